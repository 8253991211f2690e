// Package logline writes structured log lines without ever blocking the
// caller: lines go through a bounded buffer, and what does not fit is counted
// and reported.
package logline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"chestnutshed.example/chestnutshed/internal/core/kernel"
	"github.com/sirupsen/logrus"
)

const (
	// room is the number of lines that may wait to be written: about two
	// seconds of a busy node's requests.
	room = 4096
	// outSize is what is written at once at most, in bytes.
	outSize = 32 << 10
	// reportEvery is the time between reports of lines left out.
	reportEvery = time.Second
	// gather is how long lines wait for others before they are written: writing
	// each by itself costs a busy node as much as making it.
	gather = 50 * time.Millisecond
	// timeLayout gives log lines a resolution of a millisecond.
	timeLayout = "2006-01-02T15:04:05.000Z07:00"
)

// Writer is a writer of lines that drops them when its buffer is full.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// New returns a writer on top of out and starts its duty.
func New(ctx context.Context, out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, room), done: make(chan struct{})}
	go w.run(ctx)
	return w
}

// Logger returns a logger of JSON lines on top of the writer.
func (w *Writer) Logger(level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(Formatter{})
	log.SetLevel(level)
	return log
}

// Write implements io.Writer; it takes one line and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines left out so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Done is closed when every line was written after the context ended.
func (w *Writer) Done() <-chan struct{} { return w.done }

func (w *Writer) run(ctx context.Context) {
	defer close(w.done)
	out := bufio.NewWriterSize(w.out, outSize)
	report := time.NewTicker(reportEvery)
	defer report.Stop()
	var told uint64
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
			kernel.Pause(ctx, gather)
			w.drain(out)
		case <-report.C:
			if n := w.dropped.Load(); n > told {
				_, _ = fmt.Fprintf(out, "{\"level\":\"warning\",\"msg\":\"log lines left out\",\"count\":%d}\n", n-told)
				told = n
				_ = out.Flush()
			}
		case <-ctx.Done():
			w.drain(out)
			return
		}
	}
}

// drain writes what waits already, then flushes once.
func (w *Writer) drain(out *bufio.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		default:
			// A closed standard output must not stop the node.
			_ = out.Flush()
			return
		}
	}
}
