package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/internal/sig"
)

var testForm = SetUpRules{Classes: map[string]Class{"space-check": {Width: 1, MaxWait: time.Hour}}, DestCount: 3}

type offers chan core.Caller // must have room for all that a test offers

func (o offers) Offer(_ *core.SetUp, from core.Caller) error { o <- from; return nil }
func (o offers) HangUp(uint64)                               {}

// newFront serves a front whose callers may be silent for the times given.
func newFront(t *testing.T, silent, rest time.Duration) net.Conn {
	_, dial := serveFront(t, 8, 8, silent, rest)
	return dial()
}

func serveFront(t *testing.T, conns, open int, silent, rest time.Duration) (*Server, func() net.Conn) {
	f := NewServer(testForm, conns, open, slog.New(slog.DiscardHandler), metrics.New())
	f.Handler, f.silent, f.rest = make(offers, 1000), silent, rest
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
	return f, func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		c.SetDeadline(time.Now().Add(20 * time.Second))
		return c
	}
}

// offered waits for a set-up that reaches the core.
func offered(t *testing.T, f *Server) core.Caller {
	t.Helper()
	select {
	case from := <-f.Handler.(offers):
		return from
	case <-time.After(20 * time.Second):
		t.Fatal("no set-up was offered")
		return nil
	}
}

// say sends a message, and hear reads one; "" for the end of the connection.
func say(t *testing.T, c net.Conn, m sig.Message) {
	t.Helper()
	b, err := m.Append(nil)
	if err == nil {
		_, err = c.Write(b)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func hear(t *testing.T, c net.Conn) string {
	t.Helper()
	m, err := sig.Read(c)
	if err == io.EOF || errors.Is(err, syscall.ECONNRESET) {
		return ""
	} else if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%d %x %d", m.Type, m.Call, m.Cause())
}

func setUpOf(id uint64) sig.Message {
	return sig.Message{Type: sig.SetUp, Call: id, Params: []sig.Param{{Code: sig.ParamClass, Value: []byte("space-check")},
		{Code: sig.ParamWait, Value: []byte("60000")}, {Code: sig.ParamAttributes, Value: []byte("dest:1")},
		{Code: sig.ParamNumber, Value: []byte("1")}, {Code: sig.ParamDescription, Value: []byte("d")}}}
}

var test, passed = sig.WithCause(sig.Test, 0, 0), "53 0 1"

// Guards against callers that fill all places and keep them: the connection that
// is missed least makes room, one with an open set-up never.
func TestRoomIsMadeForNewCallers(t *testing.T) {
	f, dial := serveFront(t, 3, 100, time.Hour, time.Hour)
	busy, asked, mute := dial(), dial(), dial()
	say(t, busy, setUpOf(7))
	from := offered(t, f)
	say(t, asked, test)
	if got := hear(t, asked); got != passed {
		t.Fatalf("got %q", got)
	}
	f.mu.Lock()
	for c := range f.conns {
		c.last = c.last.Add(-time.Hour) // the silent one is past its first moment
	}
	f.mu.Unlock()
	for _, out := range []net.Conn{mute, asked} {
		c := dial()
		if got := hear(t, out); got != "" {
			t.Errorf("got %q, want the end of the connection", got)
		}
		say(t, c, setUpOf(uint64(f.ConnCount())<<32|uint64(len(f.owner))))
		offered(t, f)
	}
	last := dial() // no one to close: all have set-ups open
	if got := hear(t, last); got != "" {
		t.Errorf("got %q, want the end of the connection", got)
	}
	from.Fail(7)
	if got := hear(t, busy); got != "12 7 41" {
		t.Errorf("got %q for the call that was open all the time", got)
	}
}

// Guards against one bad caller that takes the room of all: until a call was set
// up for it, a connection may have few set-ups open.
func TestNewCallersHaveFewSetUpsOpen(t *testing.T) {
	f, dial := serveFront(t, 8, 1000, time.Hour, time.Hour)
	c := dial()
	for id := uint64(1); id <= untrustedOpen+1; id++ {
		say(t, c, setUpOf(id))
	}
	if got, want := hear(t, c), fmt.Sprintf("12 %x %d", untrustedOpen+1, sig.CauseCongestion); got != want {
		t.Fatalf("got %q, want %q", got, want)
	}
	from := offered(t, f)
	if err := from.Answer(1, []byte("d")); err != nil {
		t.Fatal(err)
	}
	hear(t, c)
	for id := uint64(100); id < 200; id++ {
		say(t, c, setUpOf(id))
	}
	for range untrustedOpen - 1 + 100 {
		offered(t, f)
	}
}

// Guards against a release that a connection swallows: a caller who acknowledged
// one is told again on another connection.
func TestReleaseIsRepeatedElsewhere(t *testing.T) {
	f, dial := serveFront(t, 8, 8, time.Hour, time.Hour)
	a, b := dial(), dial()
	say(t, a, setUpOf(1))
	from := offered(t, f)
	say(t, b, test)
	hear(t, b)
	for _, id := range []uint64{1, 2} {
		from.Release(id, false)
		if got, want := hear(t, a), fmt.Sprintf("12 %x 16", id); got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
		if id == 1 {
			say(t, a, sig.Message{Type: sig.ReleaseAck, Call: 1})
			say(t, a, test) // once its answer is here, the acknowledgement was read
			hear(t, a)
		}
	}
	if got := hear(t, b); got != "12 2 16" {
		t.Errorf("got %q, want the release that was not acknowledged", got)
	}
	say(t, b, sig.Message{Type: sig.ReleaseAck, Call: 2})
	f.WaitForReleases(t.Context())
}

// Guards against callers that hold a descriptor for good: silent ones, and
// those that never finish a message.
func TestSilentCallersAreClosed(t *testing.T) {
	for name, tc := range map[string]struct {
		sends        string
		silent, rest time.Duration
	}{
		"silent":         {"", time.Millisecond, time.Hour},
		"half a message": {"\x00\x0d\x34\x00", time.Hour, time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			c := newFront(t, tc.silent, tc.rest)
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
	m := setUpOf(7)
	b, err := m.Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	f := NewServer(testForm, 8, 8, slog.New(slog.DiscardHandler), metrics.New())
	f.Handler = make(offers, 1)
	nc := &mute{sends: b, events: make(chan string, 4)}
	c := newConn(f, nc, time.Now())
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

// Guards against a command channel that replies at once with nothing new, which
// would be asked without end.
func TestEmptyRepliesAreNotAskedForWithoutEnd(t *testing.T) {
	var asked atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		io.WriteString(w, `{"cursor":0,"cmds":[]}`)
	}))
	defer srv.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	c := NewCommandChannel(srv.Listener.Addr().String(), nil, slog.New(slog.DiscardHandler), metrics.New())
	if err := c.Follow(ctx); err != nil || asked.Load() == 0 || asked.Load() > 20 {
		t.Errorf("asked %d times, %v", asked.Load(), err)
	}
}

// Guards against requests that are lost when a proxy stops: a connection stays while a
// call stands that was answered on it, what is asked on it meanwhile is refused, and it is
// closed when nothing is left, after what was written before was answered.
func TestDrainClosesWhatNothingIsLeftOn(t *testing.T) {
	f, dial := serveFront(t, 8, 8, time.Hour, time.Hour)
	standing, idle, half := dial(), dial(), dial()
	for _, c := range []net.Conn{standing, idle, half} {
		say(t, c, test)
		hear(t, c)
	}
	say(t, standing, setUpOf(1))
	from := offered(t, f)
	if err := from.Answer(1, []byte("d")); err != nil {
		t.Fatal(err)
	}
	hear(t, standing)
	m := setUpOf(3)
	b, err := m.Append(nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := half.Write(b[:len(b)/2]); err != nil { // begun, and not whole yet
		t.Fatal(err)
	}
	for begun := false; !begun; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		begun = true
		for c := range f.conns {
			begun = begun && (!c.awaiting || c.LocalAddr() == nil || c.RemoteAddr().String() != half.LocalAddr().String())
		}
		f.mu.Unlock()
	}
	f.Handler = stopped{}
	f.Drain()
	if got := hear(t, idle); got != "" {
		t.Errorf("got %q, want the end of the idle connection", got)
	}
	if _, err := half.Write(b[len(b)/2:]); err != nil {
		t.Fatal(err)
	}
	if got := hear(t, half); got != "12 3 42" {
		t.Errorf("got %q for a set-up that was being written", got)
	}
	if got := hear(t, half); got != "" {
		t.Errorf("got %q, want the end", got)
	}
	say(t, standing, setUpOf(2))
	if got := hear(t, standing); got != "12 2 42" {
		t.Errorf("got %q for a set-up beside a call that stands", got)
	}
	from.Release(1, false)
	if got := hear(t, standing); got != "12 1 16" {
		t.Errorf("got %q for the end of the call", got)
	}
	if got := hear(t, standing); got != "" {
		t.Errorf("got %q, want the end once nothing is left", got)
	}
}

// stopped is a core that takes nothing any more.
type stopped struct{}

func (stopped) Offer(*core.SetUp, core.Caller) error { return core.ErrBusy }
func (stopped) HangUp(uint64)                        {}

// Guards against dials to a command channel that is cut off: they come up only with the
// kernel's retries, which double, and kept the polls after them waiting.
func TestChannelThatWasCutOffIsHeardSoon(t *testing.T) {
	var up atomic.Bool
	answered := make(chan bool, 64)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		answered <- true
		io.WriteString(w, `{"cursor":1,"cmds":[]}`)
	}))
	defer srv.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c := NewCommandChannel(srv.Listener.Addr().String(), nil, slog.New(slog.DiscardHandler), metrics.New())
	c.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if !up.Load() {
			<-ctx.Done() // however long it takes, as a dial into the void
			return nil, ctx.Err()
		}
		var d net.Dialer
		return d.DialContext(ctx, network, addr)
	}
	done := make(chan error, 1)
	go func() { done <- c.Follow(ctx) }()
	time.Sleep(3 * time.Second)
	up.Store(true)
	began := time.Now()
	select {
	case <-answered:
	case <-time.After(20 * time.Second):
		t.Fatal("never asked again")
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("asked %v after it could be reached", took)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
