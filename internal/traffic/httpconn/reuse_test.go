package httpconn_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/policy/connreuse"
	"chestnutshed.example/chestnutshed/internal/traffic/httpconn"
	"github.com/matryer/is"
)

// target answers each request with its ID after the time that the request names, with
// status 503 if it asks for a refusal.
func target(t *testing.T) *httpconn.Server {
	return serve(t, func(_ context.Context, r *httpconn.Request) *httpconn.Response {
		work, _ := time.ParseDuration(r.Header.Get("Work"))
		time.Sleep(work)
		status := http.StatusOK
		if r.Header.Get("Refuse") != "" {
			status = http.StatusServiceUnavailable
		}
		return &httpconn.Response{Status: status, Header: http.Header{"Id": r.Header["Id"]}}
	})
}

func keeping(address string, maxIdle int) *httpconn.Pool {
	return httpconn.NewPool(address, httpconn.Options{
		DialTimeout: time.Second, MaxIdle: maxIdle, MaxBody: 1 << 10,
		Refused: func(r *httpconn.Response) bool { return r.Status == http.StatusServiceUnavailable },
		ID:      func(r *httpconn.Request) string { return r.Header.Get("Id") },
	})
}

func working(id string, work time.Duration) *httpconn.Request {
	r := get(id)
	r.Header.Set("Work", work.String())
	return r
}

func refused(id string) *httpconn.Request {
	r := get(id)
	r.Header.Set("Refuse", "yes")
	return r
}

// The caller of a call that is about to end leaves. The call ends, and its connection is
// used again.
func TestCancelledCallKeepsConnection(t *testing.T) {
	is := is.New(t)
	p := keeping(target(t).Address(), 4)
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	time.AfterFunc(20*time.Millisecond, cancel)
	resp, err := p.Do(ctx, working("1", 60*time.Millisecond), httpconn.Reuse{FinishTime: func() time.Duration { return time.Second }})
	is.NoErr(err)
	is.Equal(resp.Status, http.StatusOK)
	_, err = p.Do(t.Context(), get("2"), httpconn.Reuse{})
	is.NoErr(err)
	is.Equal(p.Opened(), map[connreuse.Reason]uint64{connreuse.Growth: 1})
}

// A cancelled call that does not end soon is broken off, at once without a time to finish.
// Its connection is closed.
func TestCancelledCallIsBrokenOff(t *testing.T) {
	for _, finish := range []time.Duration{0, 30 * time.Millisecond} {
		is := is.New(t)
		p := keeping(target(t).Address(), 4)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, cancel)
		began := time.Now()
		_, err := p.Do(ctx, working("1", timeout), httpconn.Reuse{FinishTime: func() time.Duration { return finish }})
		is.True(err != nil && time.Since(began) < timeout/2)
		_, err = p.Do(t.Context(), get("2"), httpconn.Reuse{})
		is.NoErr(err)
		is.Equal(p.Opened(), map[connreuse.Reason]uint64{connreuse.Growth: 1, connreuse.Cancelled: 1})
	}
}

// A request that can't be repeated opens a connection beside one that has been idle for
// too long. The next that can be repeated uses the old one.
func TestIdleConnectionIsLeftToOthers(t *testing.T) {
	is := is.New(t)
	p := keeping(target(t).Address(), 4)
	write := httpconn.Reuse{MaxIdleTime: 20 * time.Millisecond}
	_, err := p.Do(t.Context(), get("1"), httpconn.Reuse{})
	is.NoErr(err)
	time.Sleep(2 * write.MaxIdleTime)
	_, err = p.Do(t.Context(), get("2"), write)
	is.NoErr(err)
	var both sync.WaitGroup
	for _, id := range []string{"3", "4"} {
		both.Go(func() { _, _ = p.Do(t.Context(), working(id, 50*time.Millisecond), httpconn.Reuse{}) })
	}
	both.Wait()
	is.Equal(p.Opened(), map[connreuse.Reason]uint64{connreuse.Growth: 1, connreuse.Idle: 1})
}

// A target refuses a request, which is sent to it once more. It does not use the connection
// of the refused attempt, but any other.
func TestRetryAvoidsConnectionOfRefusedAttempt(t *testing.T) {
	is := is.New(t)
	p := keeping(target(t).Address(), 4)
	again := httpconn.Reuse{Separate: true}
	_, err := p.Do(t.Context(), refused("1"), httpconn.Reuse{})
	is.NoErr(err)
	_, err = p.Do(t.Context(), get("1"), again)
	is.NoErr(err)
	_, err = p.Do(t.Context(), get("1"), again)
	is.NoErr(err)
	_, err = p.Do(t.Context(), get("2"), again)
	is.NoErr(err)
	is.Equal(p.Opened(), map[connreuse.Reason]uint64{connreuse.Growth: 1, connreuse.Separate: 1})
}

// More calls end together than a target of few slots has connections kept. Those of a
// target with more slots are all used again.
func TestConnectionsOfPeak(t *testing.T) {
	for _, test := range []struct {
		maxIdle int
		surplus uint64
	}{{4, 4}, {8, 0}} {
		is := is.New(t)
		p := keeping(target(t).Address(), 1)
		p.SetMaxIdle(test.maxIdle)
		for range 2 {
			var peak sync.WaitGroup
			for range 8 {
				peak.Go(func() { _, _ = p.Do(t.Context(), working("1", 100*time.Millisecond), httpconn.Reuse{}) })
			}
			peak.Wait()
		}
		opened := p.Opened()
		is.Equal(opened[connreuse.Growth], uint64(8))
		is.Equal(opened[connreuse.Surplus], test.surplus)
	}
}
