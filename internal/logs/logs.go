// Package logs writes log lines asynchronously, so that logging never blocks the caller.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Writer queues lines and writes them to another writer from its own goroutine. While the
// queue is full, it drops lines and counts them.
//
// Without it, a stalled reader of the log would block a line that is written under the
// core's lock, and with it every call. Writer is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	quit    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// New returns a Writer whose queue has room for capacity lines, and starts its goroutine.
func New(out io.Writer, capacity int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, capacity), quit: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails.
func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Close writes the queued lines and stops the writer. Lines written later are lost.
func (w *Writer) Close() error {
	w.once.Do(func() { close(w.quit) })
	<-w.done
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case b := <-w.lines:
			w.writeLine(b)
		case <-w.quit:
			for len(w.lines) > 0 {
				w.writeLine(<-w.lines)
			}
			return
		}
	}
}

func (w *Writer) writeLine(b []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w.out, "level=WARN msg=\"lines dropped\" lines=%d\n", n)
	}
	if _, err := w.out.Write(b); err != nil {
		w.dropped.Add(1)
	}
}
