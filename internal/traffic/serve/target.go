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
	"syscall"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/failure"
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
	"github.com/gravitational/trace"
)

const (
	// announceLife is how long an announcement holds without a renewal.
	announceLife = 3 * time.Second
	// targetDial bounds the opening of a connection to the target.
	targetDial = 500 * time.Millisecond
	// maxHead bounds the head of an answer, in bytes.
	maxHead = 64 << 10
)

// Announcement is what a target tells its node about itself, every second or
// so while it is ready.
type Announcement struct {
	Service string `json:"service"`
	// Instance is the target's own incarnation.
	Instance string `json:"instance"`
	// Address is where it takes requests, IP:port.
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	// Connections is the most it accepts at once.
	Connections int `json:"connections"`
	// Echo is set by a target that repeats the Chestnut-Echo header in its
	// answers. Connections of others are used once.
	Echo bool `json:"echo"`
	// Leaving is set when it wants no new work.
	Leaving bool `json:"leaving"`
}

// Validate returns one error that names every field that is wrong.
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
	transport    *http.Transport
}

func newClient(a Announcement) *client {
	dialer := &net.Dialer{Timeout: targetDial}
	return &client{announcement: a, transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: a.Slots,
		MaxConnsPerHost:     a.Connections,
		IdleConnTimeout:     30 * time.Second,
		DisableKeepAlives:   !a.Echo,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHead,
	}}
}

// answer is a target's whole answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// onceBody keeps net/http from sending a request twice by itself.
type onceBody struct{ *bytes.Reader }

// send runs one request on the target. The refusal tells whether the target
// can have run it.
func (c *client) send(ctx context.Context, call wire.Call, token string, header http.Header, body []byte) (answer, *failure.Refusal) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.announcement.Address+call.Target, onceBody{bytes.NewReader(body)})
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
		return answer{}, c.lost(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if c.announcement.Echo && resp.Header.Get(wire.EchoHeader) != call.ID {
		c.transport.CloseIdleConnections()
		r := failure.New(failure.BadResponse, "the target's answer belongs to another request")
		return answer{}, r.WithRan(failure.RanUnknown)
	}
	return c.read(ctx, resp, call.MaxResponseBytes)
}

// read takes the whole answer; a cut or oversized one is no answer.
func (c *client) read(ctx context.Context, resp *http.Response, limit int64) (answer, *failure.Refusal) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil && ctx.Err() != nil {
		return answer{}, c.lost(ctx, err)
	}
	if err != nil {
		return answer{}, failure.New(failure.BadResponse, "the target's answer was cut").WithRan(failure.RanYes)
	}
	if int64(len(body)) > limit {
		return answer{}, failure.New(failure.BadResponse, "the target's answer is over %d bytes", limit).WithRan(failure.RanYes)
	}
	return answer{resp.StatusCode, resp.Header, body}, nil
}

// lost tells what is known of a request that got no answer.
func (c *client) lost(ctx context.Context, err error) *failure.Refusal {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return failure.New(failure.NotReady, "the target accepts no connection")
	}
	if ctx.Err() != nil {
		c.transport.CloseIdleConnections()
		return failure.New(failure.Deadline, "the target did not answer in time").WithRan(failure.RanUnknown)
	}
	return failure.New(failure.Lost, "the target closed the connection").WithRan(failure.RanUnknown)
}

// refuses reports whether the target's port refuses connections: its process
// is gone.
func (c *client) refuses() bool {
	conn, err := net.DialTimeout("tcp", c.announcement.Address, targetDial)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// String names the target in logs.
func (c *client) String() string {
	return fmt.Sprintf("%s at %s", c.announcement.Service, c.announcement.Address)
}
