package peers_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"chestnutshed.example/chestnutshed/internal/config/settings"
	"chestnutshed.example/chestnutshed/internal/standin/broken"
	"chestnutshed.example/chestnutshed/internal/traffic/peers"
	"chestnutshed.example/chestnutshed/internal/traffic/wire"
	"github.com/matryer/is"
)

// send sends a call with a body of this size to a peer that answers so.
func send(t *testing.T, a broken.Answer, size int) (peers.Reply, error) {
	t.Helper()
	address, err := a.Listen(t.Context())
	is.New(t).NoErr(err)
	client, err := peers.NewClient(settings.Settings{}.WithSecret([]byte("secret")))
	is.New(t).NoErr(err)
	defer client.CloseIdle()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return client.Send(ctx, address, "/peer/call", wire.Call{ID: "1", MaxResponseBytes: 1 << 20}, http.Header{}, make([]byte, size))
}

// head is the head of the answer to a call that the target has answered with 200.
const head = "HTTP/1.1 200 OK\r\nChestnut-Outcome: {\"id\":\"1\",\"status\":200}\r\n"

// A node resets the connection in the middle of a reply without a length, while the body of
// the call is written. The part is not taken for the whole reply.
func TestResetDuringUpload(t *testing.T) {
	for _, size := range []int{0, 12 << 10, 1 << 20, 8 << 20} {
		for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("upload of %d bytes, %v", size, pause), func(t *testing.T) {
				t.Parallel()
				for range 10 {
					reply, err := send(t, broken.Answer{Text: head + "\r\npart", Pause: pause, End: broken.Reset}, size)
					if err == nil {
						t.Errorf("reset taken for the end of a reply with body %q", reply.Body)
					}
					if errors.Is(err, peers.ErrNotSent) {
						t.Error("call taken for not sent")
					}
				}
			})
		}
	}
}

// A whole reply that comes before the body of the call was written is read, although the
// write then fails.
func TestWholeReplyDuringUpload(t *testing.T) {
	body := strings.Repeat("x", 20<<10) // fits into the first window, so that a reset does not discard any of it
	for _, size := range []int{0, 12 << 10, 1 << 20, 8 << 20} {
		for _, a := range []broken.Answer{
			{Text: head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), End: broken.Reset},
			{Text: head + "\r\n" + body, End: broken.Close},
			{Text: head + "\r\n" + body, End: broken.CloseThenReset},
		} {
			for _, a.Pause = range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
				t.Run(fmt.Sprintf("upload of %d bytes, %s, %v", size, a.End, a.Pause), func(t *testing.T) {
					t.Parallel()
					for range 10 {
						reply, err := send(t, a, size)
						if err != nil || string(reply.Body) != body {
							t.Errorf("reply lost: %d bytes, error %v", len(reply.Body), err)
						}
					}
				})
			}
		}
	}
}
