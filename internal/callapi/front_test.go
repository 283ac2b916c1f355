package callapi

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/google/go-cmp/cmp"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/tenant"
)

// offers is a core that hands each call it is offered to the test, and counts
// those that are left.
type offers struct {
	taken chan core.Caller
	left  *atomic.Int32
}

func (o offers) Offer(_ *core.SetUp, from core.Caller) error { o.taken <- from; return nil }
func (o offers) HangUp(uint64)                               { o.left.Add(1) }

// newFront serves a front with the tenants "acme" and "other", whose tokens
// are their names and "-token".
func newFront(t *testing.T, maxKept int) (f *Server, o offers, dial func(tenant string) *websocket.Conn) {
	o = offers{make(chan core.Caller, 1000), new(atomic.Int32)}
	f = &Server{Calls: o, Tenants: tenant.New(time.Now), Classes: map[string]Class{"space-check": {Width: 1}},
		Log: slog.New(slog.DiscardHandler), AnswerRetention: time.Minute, MaxStoredCalls: maxKept, MaxStoredBytes: 32 << 20, Destinations: 4}
	for _, id := range []string{"acme", "other"} {
		if err := f.Tenants.Create(tenant.Spec{ID: id, TokenSHA256: tenant.HashToken(id + "-token")}, "test"); err != nil {
			t.Fatal(err)
		}
	}
	srv := httptest.NewServer(f)
	t.Cleanup(srv.Close)
	return f, o, func(id string) *websocket.Conn {
		c, _, err := websocket.Dial(t.Context(), "ws"+strings.TrimPrefix(srv.URL, "http"), &websocket.DialOptions{
			Subprotocols: []string{Protocol}, HTTPHeader: http.Header{"Authorization": {"Bearer " + id + "-token"}}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.CloseNow() })
		return c
	}
}

func ask(t *testing.T, c *websocket.Conn, call int) {
	t.Helper()
	err := c.Write(t.Context(), websocket.MessageText, fmt.Appendf(nil,
		`{"type":"setup","call":"%d","class":"space-check","number":"4711","dest":2,"wait_ms":60000}`, call))
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against an exit that overtakes answers: they were queued for a client,
// the core owed none any more, and the connection closed before they left. And
// against calls that stand for good, as nobody is left to tell of their end.
func TestCloseWritesWhatIsQueued(t *testing.T) {
	f, o, dial := newFront(t, 1000)
	c := dial("acme")
	const calls = 100 // their answers and ends fit the queue
	var taken []core.Caller
	for n := range calls {
		ask(t, c, n)
		taken = append(taken, <-o.taken)
	}
	for _, k := range taken {
		if err := k.Answer(0, []byte("made")); err != nil {
			t.Fatal(err)
		}
	}
	closed := make(chan struct{})
	go func() {
		f.Close()
		close(closed)
	}()
	got := map[string]int{}
	for range 2 * calls {
		m, err := read(t.Context(), c, time.Minute)
		if err != nil {
			t.Fatalf("after %v: %v", got, err)
		}
		got[m.Type+m.Reason]++
	}
	want := map[string]int{typeAnswer: calls, typeReleased + reasonCut: calls}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("read before the end (-want +got):\n%s", diff)
	}
	if _, err := read(t.Context(), c, time.Minute); websocket.CloseStatus(err) != websocket.StatusGoingAway {
		t.Errorf("ended with %v, want a close that says 'going away'", err)
	}
	<-closed
	if left := o.left.Load(); left != calls {
		t.Errorf("%d calls hung up towards their switches, want %d", left, calls)
	}
}

// Guards against an exit that hangs on a client that reads nothing.
func TestCloseDoesNotWaitForASlowClient(t *testing.T) {
	f, o, dial := newFront(t, 1000)
	ask(t, dial("acme"), 1)
	if err := (<-o.taken).Answer(0, []byte(strings.Repeat("x", maxDescription))); err != nil {
		t.Fatal(err)
	}
	f.Close() // the client reads neither the answer nor the close
}

// Guards against a tenant that fills the store of answers with new ids until
// no other tenant's calls are taken.
func TestOneTenantCantTakeTheRoomOfAll(t *testing.T) {
	_, o, dial := newFront(t, 2*keptShare)
	c := dial("acme")
	for n := range 10 {
		ask(t, c, n)
	}
	for n := range 8 {
		m, err := read(t.Context(), c, time.Minute)
		if err != nil || m.Type != typeRefused || m.Reason != reasonBusy || m.RetryAfterMs <= 0 {
			t.Fatalf("refusal %d: %+v, %v", n, m, err)
		}
	}
	if len(o.taken) != 2 {
		t.Errorf("%d calls of a tenant offered, want its share of 2", len(o.taken))
	}
	ask(t, dial("other"), 1)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for n := range 3 {
		select {
		case <-o.taken:
		case <-ctx.Done():
			t.Fatalf("%d calls offered, want the other tenant's too", n)
		}
	}
}

// Guards against answers that take all the memory there is: what is kept is
// bounded by its bytes, and all of it is given back in the end.
func TestWhatIsKeptIsCountedInBytes(t *testing.T) {
	f, o, dial := newFront(t, 1000)
	f.AnswerRetention = time.Nanosecond
	c := dial("acme")
	kept := func() usage {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.kept
	}
	for n := range 3 {
		ask(t, c, n)
		k := <-o.taken
		if got, want := kept(), (usage{1, maxDescription}); got != want {
			t.Errorf("kept %+v while the answer is owed, want %+v", got, want)
		}
		if err := k.Answer(0, []byte("made")); err != nil {
			t.Fatal(err)
		}
		if got, want := kept(), (usage{1, len("made")}); got != want {
			t.Errorf("kept %+v while the call stands, want %+v", got, want)
		}
		k.Release(0, false)
		for end := time.Now().Add(20 * time.Second); kept() != (usage{}); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("kept %+v after the call's end", kept())
			}
		}
	}
	f.mu.Lock()
	f.share("acme").used = usage{1, f.MaxStoredBytes / keptShare}
	f.mu.Unlock()
	for range 6 { // three answers and three releases
		if _, err := read(t.Context(), c, time.Minute); err != nil {
			t.Fatal(err)
		}
	}
	ask(t, c, 10)
	if m, err := read(t.Context(), c, time.Minute); err != nil || m.Reason != reasonBusy {
		t.Errorf("past the share: %+v, %v", m, err)
	}
}

// Guards against memory that stays taken for every tenant that ever connected.
func TestNothingIsHeldForATenantThatIsGone(t *testing.T) {
	f, _, dial := newFront(t, 1000)
	c := dial("acme")
	if err := c.Write(t.Context(), websocket.MessageText, []byte(`{"type":"release","call":"a"}`)); err != nil {
		t.Fatal(err)
	}
	if m, err := read(t.Context(), c, time.Minute); err != nil || m.Code != codeUnknown {
		t.Fatalf("%+v, %v", m, err)
	}
	c.CloseNow()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		f.mu.Lock()
		held := len(f.shares)
		f.mu.Unlock()
		if held == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d tenants held", held)
		}
	}
}

// A description passes through unchanged, text or not, and has one form only.
func TestDescriptions(t *testing.T) {
	for _, b := range []string{"", "text", "\xff\x00binary"} {
		var m message
		m.describe([]byte(b))
		got, err := m.described()
		if err != nil || string(got) != b {
			t.Errorf("%q came out as %q, %v", b, got, err)
		}
	}
	for why, m := range map[string]message{
		"given twice":      {Description: "a", DescriptionB64: "YQ=="},
		"not base64":       {DescriptionB64: "?"},
		"longer than 8192": {Description: strings.Repeat("x", maxDescription+1)},
	} {
		if _, err := m.described(); err == nil || !strings.Contains(err.Error(), why) {
			t.Errorf("got %v, want %q", err, why)
		}
	}
}

// Guards against set-ups that a switch of the platform can't read, and against
// destinations without end, each of which the module would remember.
func TestNumbersAndDestinationsAreChecked(t *testing.T) {
	f := &Server{Classes: map[string]Class{"space-check": {}}, Destinations: 4}
	for _, c := range []struct {
		number string
		dest   int
		want   string
	}{
		{"4711", 3, ""},
		{"7f3a9c21e0b4d655", 0, ""},
		{"", 1, "number:"},
		{"47 11\n", 1, "number:"},
		{strings.Repeat("1", core.MaxNumberDigits+1), 1, "number:"},
		{"4711", 4, "dest:"},
		{"4711", -1, "dest:"},
	} {
		_, _, err := f.check(message{Call: "a", Class: "space-check", Number: c.number, Dest: &c.dest, WaitMs: 100})
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.HasPrefix(err.Error(), c.want)) {
			t.Errorf("%+v: got %v", c, err)
		}
	}
}
