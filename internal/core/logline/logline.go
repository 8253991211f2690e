// Package logline writes structured log lines without blocking the caller. Lines
// go through a bounded queue; lines dropped because it is full are counted and
// reported.
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
	// queueSize is the maximum number of lines waiting to be written: about two
	// seconds of requests at a busy node.
	queueSize = 4096
	// bufferSize is the size of the write buffer, in bytes.
	bufferSize = 32 << 10
	// reportInterval is the time between reports of dropped lines.
	reportInterval = time.Second
	// batchDelay is how long a line waits for others to share a write. On a busy
	// node, writing lines one by one costs as much as formatting them.
	batchDelay = 50 * time.Millisecond
	// timeLayout is RFC 3339 with milliseconds.
	timeLayout = "2006-01-02T15:04:05.000Z07:00"
)

// Writer writes lines in the background and drops them if its queue is full.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// New returns a writer to out and starts its goroutine, which runs until ctx ends.
func New(ctx context.Context, out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, queueSize), done: make(chan struct{})}
	go w.run(ctx)
	return w
}

// Logger returns a logger that writes JSON lines to w.
func (w *Writer) Logger(level logrus.Level) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(Formatter{})
	log.SetLevel(level)
	return log
}

// Write implements io.Writer. It queues one line and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Done is closed when the queued lines have been written after ctx ended.
func (w *Writer) Done() <-chan struct{} { return w.done }

func (w *Writer) run(ctx context.Context) {
	defer close(w.done)
	out := bufio.NewWriterSize(w.out, bufferSize)
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	var reported uint64
	for {
		select {
		case line := <-w.queue:
			_, _ = out.Write(line)
			kernel.Pause(ctx, batchDelay)
			w.flush(out)
		case <-report.C:
			if n := w.dropped.Load(); n > reported {
				_, _ = fmt.Fprintf(out, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n-reported)
				reported = n
				_ = out.Flush()
			}
		case <-ctx.Done():
			w.flush(out)
			return
		}
	}
}

// flush writes all queued lines, then flushes the buffer once.
func (w *Writer) flush(out *bufio.Writer) {
	for {
		select {
		case line := <-w.queue:
			_, _ = out.Write(line)
		default:
			// The error is ignored: a closed standard output must not stop the node.
			_ = out.Flush()
			return
		}
	}
}
