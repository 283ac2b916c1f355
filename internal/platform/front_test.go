package platform

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/sig"
)

type offers chan core.Caller

func (o offers) Offer(_ *core.SetUp, from core.Caller) error { o <- from; return nil }
func (o offers) Leave(uint64)                                {}

// newFront serves a front whose callers may be silent for the times given.
func newFront(t *testing.T, idle, rest time.Duration) net.Conn {
	f := NewFront(map[string]int{"space-check": 0}, 8, slog.New(slog.DiscardHandler))
	f.Calls, f.idle, f.rest = make(offers, 1), idle, rest
	ln, err := Listen(t.Context(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- f.Serve(ln) }()
	t.Cleanup(func() {
		ln.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
		f.Close()
	})
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// Guards against callers that hold a descriptor for good: silent ones, and
// those that never finish a message.
func TestSilentCallersAreClosed(t *testing.T) {
	for name, tc := range map[string]struct {
		sends      string
		idle, rest time.Duration
	}{
		"silent":         {"", time.Millisecond, time.Hour},
		"half a message": {"\x00\x0d\x34\x00", time.Hour, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := newFront(t, tc.idle, tc.rest)
			if _, err := c.Write([]byte(tc.sends)); err != nil {
				t.Fatal(err)
			}
			if _, err := c.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("got %v, want the end of the connection", err)
			}
		})
	}
}

// mute is a connection that sends a set-up and is silent from then on.
type mute struct {
	net.Conn // nil: nothing else is used
	sends    []byte
	reads    int
	events   chan string
}

func (m *mute) Read(b []byte) (int, error) {
	m.reads++
	switch m.reads {
	case 1:
		return copy(b, m.sends), nil
	case 2:
		return 0, os.ErrDeadlineExceeded
	}
	m.events <- "read on"
	return 0, io.EOF
}
func (m *mute) SetReadDeadline(time.Time) error { return nil }
func (m *mute) Close() error                    { m.events <- "closed"; return nil }

// Guards against a caller that is closed for its silence while it waits for
// its answer.
func TestWaitingCallersAreNotClosed(t *testing.T) {
	m := sig.Message{Type: sig.SetUp, Call: 7, Params: []sig.Param{{Code: sig.ParamClass, Value: []byte("space-check")},
		{Code: sig.ParamWait, Value: []byte("60000")}, {Code: sig.ParamFigures, Value: []byte("dest:1")}}}
	b, err := m.Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	f := NewFront(map[string]int{"space-check": 0}, 8, slog.New(slog.DiscardHandler))
	f.Calls = make(offers, 1)
	nc := &mute{sends: b, events: make(chan string, 4)}
	c := &conn{front: f, Conn: nc, open: map[uint64]bool{}, unheard: map[uint64]orphan{}}
	c.read()
	if diff := cmp.Diff([]string{"read on", "closed"}, []string{<-nc.events, <-nc.events}); diff != "" {
		t.Errorf("after the silence (-want +got):\n%s", diff)
	}
}

// Guards against the loss of what a switch had said before its connection was
// closed here, as after a failed write: a release that was read counts.
func TestWhatWasReadBeforeACloseCounts(t *testing.T) {
	ours, theirs := net.Pipe()
	c := &switchConn{ours, bufio.NewReaderSize(ours, readBuffer)}
	var b []byte
	for _, id := range []uint64{1, 2} {
		m := sig.WithCause(sig.Release, id, sig.CauseNormal)
		b, _ = m.Append(b)
	}
	go theirs.Write(b)
	if ev, err := c.Read(); err != nil || ev.Call != 1 {
		t.Fatalf("first: %+v, %v", ev, err)
	}
	ours.Close()
	if ev, err := c.Read(); err != nil || ev.Call != 2 {
		t.Errorf("second, after the close: %+v, %v", ev, err)
	}
	if _, err := c.Read(); err == nil {
		t.Error("a third was read from a closed connection")
	}
}
