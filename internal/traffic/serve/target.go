package serve

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/core/status"
	"chestnutshed.example/chestnutshed/internal/core/strict"
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
	"github.com/gravitational/trace"
)

const (
	// announcementTTL is how long an announcement is valid without a renewal.
	announcementTTL = 3 * time.Second
	// targetDialTimeout bounds opening a connection to the target.
	targetDialTimeout = 500 * time.Millisecond
	// maxHeaderBytes bounds the headers of a response.
	maxHeaderBytes = 64 << 10
)

// Announcement is sent by a ready target to its node about once a second.
type Announcement struct {
	Service string `json:"service"`
	// Instance identifies the target's incarnation.
	Instance string `json:"instance"`
	// Address where the target accepts requests, IP:port.
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	// Connections is the number of connections that the target accepts at once.
	Connections int `json:"connections"`
	// Echo is set if the target repeats the Chestnut-Echo header in its responses.
	// Without it a connection is used for one request only.
	Echo bool `json:"echo"`
	// Leaving is set if the target accepts no new work.
	Leaving bool `json:"leaving"`
}

// Validate returns one error that lists all invalid fields.
func (a Announcement) Validate() error {
	var errs []error
	if a.Service == "" {
		errs = append(errs, trace.BadParameter("service: must be set"))
	}
	if a.Instance == "" {
		errs = append(errs, trace.BadParameter("instance: must be set"))
	}
	if _, _, err := net.SplitHostPort(a.Address); err != nil {
		errs = append(errs, trace.BadParameter("address: must be IP:port, got %q", a.Address))
	}
	if a.Slots < 1 {
		errs = append(errs, trace.BadParameter("slots: must be at least 1, got %d", a.Slots))
	}
	if a.Connections < a.Slots {
		errs = append(errs, trace.BadParameter("connections: must be at least the slots, got %d", a.Connections))
	}
	return errors.Join(errs...)
}

// client sends requests to one instance of the target.
type client struct {
	announcement Announcement
	transport    *strict.Transport
}

func newClient(a Announcement) *client {
	dialer := &net.Dialer{Timeout: targetDialTimeout}
	return &client{announcement: a, transport: strict.NewTransport(&http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: a.Slots,
		MaxConnsPerHost:     a.Connections,
		IdleConnTimeout:     30 * time.Second,
		DisableKeepAlives:   !a.Echo,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	})}
}

// answer is a target's complete response.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// noRetryBody hides the body's type from net/http. It then sets no GetBody and can't
// send a request twice by itself.
type noRetryBody struct{ *bytes.Reader }

// send sends one request to the target. A refusal says whether the target may have
// run the request.
func (c *client) send(ctx context.Context, call wire.Call, token string, header http.Header, body []byte) (answer, *failure.Refusal) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.announcement.Address+call.Target, noRetryBody{bytes.NewReader(body)})
	if err != nil {
		return answer{}, failure.New(failure.BadRequest, "the request can't be forwarded")
	}
	req.ContentLength = int64(len(body))
	req.Header = header
	req.Header.Set(wire.TokenHeader, token)
	req.Header.Set(wire.EchoHeader, call.ID)
	req.Header.Set(wire.RootHeader, call.Root)
	req.Header.Set(wire.RemainingHeader, strconv.FormatInt(call.Remaining.Milliseconds(), 10))
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return answer{}, c.classifyError(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if c.announcement.Echo && resp.Header.Get(wire.EchoHeader) != call.ID {
		c.transport.CloseIdleConnections()
		r := failure.New(failure.BadResponse, "the target's response belongs to another request")
		return answer{}, r.WithRan(failure.RanUnknown)
	}
	if !status.Final(resp.StatusCode) {
		c.transport.CloseIdleConnections()
		return answer{}, failure.New(failure.BadResponse, "the target's response has status %d, which is no final one", resp.StatusCode).WithRan(failure.RanUnknown)
	}
	return c.read(ctx, resp, call.MaxResponseBytes)
}

// read reads the whole response. It returns a refusal if the response is truncated
// or larger than limit bytes.
func (c *client) read(ctx context.Context, resp *http.Response, limit int64) (answer, *failure.Refusal) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil && ctx.Err() != nil {
		return answer{}, c.classifyError(ctx, err)
	}
	if err != nil {
		return answer{}, failure.New(failure.BadResponse, "the target's response was truncated").WithRan(failure.RanYes)
	}
	if int64(len(body)) > limit {
		return answer{}, failure.New(failure.BadResponse, "the target's response exceeds %d bytes", limit).WithRan(failure.RanYes)
	}
	return answer{resp.StatusCode, resp.Header, body}, nil
}

// classifyError returns the refusal for a request that got no response.
func (c *client) classifyError(ctx context.Context, err error) *failure.Refusal {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failure.New(failure.NotReady, "could not connect to the target")
	}
	if ctx.Err() != nil {
		c.transport.CloseIdleConnections()
		return failure.New(failure.Deadline, "the target did not respond before the deadline").WithRan(failure.RanUnknown)
	}
	if trace.IsBadParameter(err) {
		return failure.New(failure.BadResponse, "the target's response is malformed: %v", err).WithRan(failure.RanUnknown)
	}
	return failure.New(failure.Lost, "the connection to the target failed before the target responded").WithRan(failure.RanUnknown)
}

// String returns the target's service and address for logs.
func (c *client) String() string {
	return fmt.Sprintf("%s at %s", c.announcement.Service, c.announcement.Address)
}
