// Package logs writes log lines without ever making the one who logs wait.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Writer hands lines to another writer from a queue of its own. It drops lines,
// and counts them, while the queue is full.
//
// It guards against a reader of the log that stalls: a line written under the
// core's lock would then hold up every call.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	quit    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// New makes a writer with room for so many lines.
func New(to io.Writer, room int) *Writer {
	w := &Writer{to: to, lines: make(chan []byte, room), quit: make(chan struct{}), done: make(chan struct{})}
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

// Close writes what is queued and ends. What is written later is lost.
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
			w.put(b)
		case <-w.quit:
			for len(w.lines) > 0 {
				w.put(<-w.lines)
			}
			return
		}
	}
}

func (w *Writer) put(b []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w.to, "level=WARN msg=\"lines dropped\" lines=%d\n", n)
	}
	if _, err := w.to.Write(b); err != nil {
		w.dropped.Add(1)
	}
}
