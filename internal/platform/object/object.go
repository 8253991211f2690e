// Package object is a client of the platform's object API: versioned values with
// conditional writes and watches.
package object

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/strict"
	"github.com/gravitational/trace"
)

// VersionHeader is the response header with an object's version.
const VersionHeader = "Object-Version"

// MaxSize is the maximum size of an object's value, in bytes.
const MaxSize = 1 << 20

// callTimeout bounds one call that is not a watch.
const callTimeout = 5 * time.Second

// Object is a value with the version that was read.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// ErrUncertain marks a write without a response: it may have taken effect.
var ErrUncertain = errors.New("outcome of the write is unknown")

// Client calls the object API.
type Client struct {
	base  string
	http  *http.Client
	calls atomic.Uint64
}

// New returns a client for the API at a base URL.
func New(base string) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: &http.Client{
		Transport: strict.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}),
	}}
}

// Calls is the number of calls made so far. A watch counts as one.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Get reads an object. It returns trace.NotFound if the object is missing, and
// trace.ConnectionProblem if the platform doesn't answer or fails.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.read(ctx, key, "")
}

// Watch waits until the object's version is greater than after, or wait has
// passed, and returns the current object. Errors are those of Get.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	query := fmt.Sprintf("?after=%d&wait=%s", after, wait)
	return c.read(ctx, key, query)
}

func (c *Client) read(ctx context.Context, key, query string) (Object, error) {
	status, header, body, err := c.call(ctx, http.MethodGet, key, query, nil, "")
	if err != nil {
		return Object{}, fmt.Errorf("read object %s: %w", key, err)
	}
	if status == http.StatusNotFound {
		return Object{}, trace.NotFound("object %s does not exist", key)
	}
	version, err := strconv.ParseUint(header.Get(VersionHeader), 10, 64)
	if err != nil {
		return Object{}, trace.ConnectionProblem(err, "read object %s: response has no valid version", key)
	}
	return Object{Key: key, Version: version, Value: body}, nil
}

// Put writes a value if the object still has the given version, where 0 means
// that it must not exist, and returns the new version. It returns
// trace.CompareFailed if the object has changed, trace.LimitExceeded if the value
// is larger than MaxSize, and an error wrapping ErrUncertain if the platform
// doesn't answer or fails.
func (c *Client) Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	if len(value) > MaxSize {
		return 0, trace.LimitExceeded("object %s: value has %d bytes, the limit is %d", key, len(value), MaxSize)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, header, _, err := c.call(ctx, http.MethodPut, key, "", value, strconv.FormatUint(version, 10))
	if err != nil {
		return 0, fmt.Errorf("write object %s: %w: %w", key, ErrUncertain, err)
	}
	if status == http.StatusPreconditionFailed {
		return 0, trace.CompareFailed("object %s has changed since version %d", key, version)
	}
	next, err := strconv.ParseUint(header.Get(VersionHeader), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("write object %s: %w", key, ErrUncertain)
	}
	return next, nil
}

// Delete removes an object if it still has the given version. Errors are those
// of Put.
func (c *Client) Delete(ctx context.Context, key string, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	status, _, _, err := c.call(ctx, http.MethodDelete, key, "", nil, strconv.FormatUint(version, 10))
	if err != nil {
		return fmt.Errorf("delete object %s: %w: %w", key, ErrUncertain, err)
	}
	if status == http.StatusPreconditionFailed {
		return trace.CompareFailed("object %s has changed since version %d", key, version)
	}
	return nil
}

// List returns the keys under a prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _, body, err := c.call(ctx, http.MethodGet, "", "?prefix="+url.QueryEscape(prefix), nil, "")
	if err != nil {
		return nil, fmt.Errorf("list objects under %s: %w", prefix, err)
	}
	return strings.Fields(string(body)), nil
}

func (c *Client) call(ctx context.Context, method, key, query string, value []byte, ifMatch string) (int, http.Header, []byte, error) {
	c.calls.Add(1)
	req, err := http.NewRequestWithContext(ctx, method, c.base+"/objects/"+key+query, bytes.NewReader(value))
	if err != nil {
		return 0, nil, nil, trace.BadParameter("object key %q: %v", key, err)
	}
	if ifMatch != "" {
		req.Header.Set("If-Match", ifMatch)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, nil, trace.ConnectionProblem(err, "the platform did not answer")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxSize+1))
	if err != nil {
		return 0, nil, nil, trace.ConnectionProblem(err, "the platform's response was truncated")
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusNotFound, http.StatusPreconditionFailed:
		return resp.StatusCode, resp.Header, body, nil
	}
	return 0, nil, nil, trace.ConnectionProblem(nil, "the platform returned status %s", resp.Status)
}
