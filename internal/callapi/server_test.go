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

// fakeCore passes each call that it is offered to the test, and counts the hang-ups.
type fakeCore struct {
	offered chan core.Caller
	hungUp  *atomic.Int32
}

func (f fakeCore) Offer(_ *core.SetUp, from core.Caller) error { f.offered <- from; return nil }
func (f fakeCore) HangUp(uint64)                               { f.hungUp.Add(1) }

// newTestServer starts a server with the tenants "acme" and "other", whose tokens are
// their IDs followed by "-token".
func newTestServer(t *testing.T, maxStored int) (srv *Server, fake fakeCore, dial func(tenant string) *websocket.Conn) {
	fake = fakeCore{make(chan core.Caller, 1000), new(atomic.Int32)}
	srv = &Server{Handler: fake, Tenants: tenant.New(time.Now), Classes: map[string]Class{"space-check": {Width: 1}},
		Log: slog.New(slog.DiscardHandler), AnswerRetention: time.Minute, MaxStoredCalls: maxStored, MaxStoredBytes: 32 << 20, Destinations: 4}
	for _, id := range []string{"acme", "other"} {
		if err := srv.Tenants.Create(tenant.Spec{ID: id, TokenSHA256: tenant.HashToken(id + "-token")}, "test"); err != nil {
			t.Fatal(err)
		}
	}
	httpServer := httptest.NewServer(srv)
	t.Cleanup(httpServer.Close)
	return srv, fake, func(id string) *websocket.Conn {
		c, _, err := websocket.Dial(t.Context(), "ws"+strings.TrimPrefix(httpServer.URL, "http"), &websocket.DialOptions{
			Subprotocols: []string{Protocol}, HTTPHeader: http.Header{"Authorization": {"Bearer " + id + "-token"}}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.CloseNow() })
		return c
	}
}

func sendSetUp(t *testing.T, c *websocket.Conn, call int) {
	t.Helper()
	err := c.Write(t.Context(), websocket.MessageText, fmt.Appendf(nil,
		`{"type":"setup","call":"%d","class":"space-check","number":"4711","dest":2,"wait_ms":60000}`, call))
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against an exit that loses answers: they were queued for a client, the core had no
// pending ones, and the connection was closed before they were written. Also guards
// against established calls that never end because no process is left to release them.
func TestCloseWritesWhatIsQueued(t *testing.T) {
	srv, fake, dial := newTestServer(t, 1000)
	c := dial("acme")
	const calls = 100 // their answers and ends fit into the queue
	var offered []core.Caller
	for n := range calls {
		sendSetUp(t, c, n)
		offered = append(offered, <-fake.offered)
	}
	for _, call := range offered {
		if err := call.Answer(0, []byte("made")); err != nil {
			t.Fatal(err)
		}
	}
	closed := make(chan struct{})
	go func() {
		srv.Close()
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
		t.Errorf("messages before the close (-want +got):\n%s", diff)
	}
	if _, err := read(t.Context(), c, time.Minute); websocket.CloseStatus(err) != websocket.StatusGoingAway {
		t.Errorf("ended with %v, want a close that says 'going away'", err)
	}
	<-closed
	if hungUp := fake.hungUp.Load(); hungUp != calls {
		t.Errorf("%d calls hung up towards their switches, want %d", hungUp, calls)
	}
}

// establish sets up calls on a connection and reads their answers.
func establish(t *testing.T, fake fakeCore, c *websocket.Conn, calls int) {
	t.Helper()
	for n := range calls {
		sendSetUp(t, c, n)
		if err := (<-fake.offered).Answer(0, nil); err != nil {
			t.Fatal(err)
		}
		if m, err := read(t.Context(), c, time.Minute); err != nil || m.Type != typeAnswer {
			t.Fatalf("%+v, %v", m, err)
		}
	}
}

// Guards against ends that are thrown away because more of them are due at once than a queue holds: at a
// planned stop, at the death of a switch, and for a client that reconnects. It reads all the time.
func TestManyEndsAtOnceReachTheClient(t *testing.T) {
	const calls = 600
	endAll := func(srv *Server) {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		for _, ts := range srv.tenants {
			for _, c := range ts.calls {
				c.end(reasonCut)
			}
		}
	}
	for name, c := range map[string]struct {
		end       func(srv *Server)
		reconnect bool
		fullQueue bool // the client's queue has no room for ends at first
	}{
		"planned stop":           {func(srv *Server) { go srv.Close() }, false, false},
		"cut":                    {endAll, false, false},
		"cut, the queue is full": {endAll, false, true},
		"ended without a client": {endAll, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			srv, fake, dial := newTestServer(t, 4000)
			conn := dial("acme")
			establish(t, fake, conn, calls)
			if c.reconnect {
				conn.CloseNow()
				awaitSockets(t, srv, 0)
			}
			if c.fullQueue {
				srv.mu.Lock()
				for _, ts := range srv.tenants {
					for s := range ts.sockets {
						for s.hasRoomForEnds() {
							s.enqueue(message{Type: typeError, Detail: strings.Repeat("x", maxDescription)})
						}
					}
				}
				for _, ts := range srv.tenants {
					for _, call := range ts.calls {
						call.end(reasonCut)
					}
				}
				srv.mu.Unlock()
			} else {
				c.end(srv)
			}
			if c.reconnect {
				conn = dial("acme")
			}
			ended := map[string]bool{}
			for len(ended) < calls {
				m, err := read(t.Context(), conn, time.Minute)
				if err != nil {
					t.Fatalf("notified of %d of %d ends: %v", len(ended), calls, err)
				}
				if m.Type == typeReleased {
					ended[m.Call] = true
				}
			}
		})
	}
}

func awaitSockets(t *testing.T, srv *Server, want int) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		srv.mu.Lock()
		count := 0
		for _, ts := range srv.tenants {
			count += len(ts.sockets)
		}
		srv.mu.Unlock()
		if count == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d sockets, want %d", count, want)
		}
	}
}

// Guards against memory that a client uses up that sends and does not read: what waits for it is bounded
// in bytes, alone and beside others, and in time. Its ends are kept for its next connection.
func TestWhatWaitsForAClientThatDoesNotReadIsBounded(t *testing.T) {
	srv, fake, dial := newTestServer(t, 4000)
	const clients, calls = 3, 40
	var conns []*websocket.Conn
	for i := range clients {
		conn := dial("acme")
		for n := range calls {
			sendSetUp(t, conn, i*calls+n)
			if err := (<-fake.offered).Answer(0, []byte(strings.Repeat("x", maxDescription))); err != nil {
				t.Fatal(err)
			}
		}
		conns = append(conns, conn)
	}
	srv.mu.Lock()
	srv.MaxStoredBytes = 4 * maxQueuedBytes // so that three clients together reach the limit on all
	srv.mu.Unlock()
	for i, conn := range conns {
		go func() { // each repetition is answered again
			for n := 0; conn.Write(t.Context(), websocket.MessageText, fmt.Appendf(nil,
				`{"type":"setup","call":"%d","class":"space-check","number":"4711","dest":2,"wait_ms":60000}`, i*calls+n%calls)) == nil; n++ {
			}
		}()
	}
	largest := 0
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		srv.mu.Lock()
		waiting, sockets := srv.queuedBytes, 0
		for _, ts := range srv.tenants {
			sockets += len(ts.sockets)
		}
		srv.mu.Unlock()
		largest = max(largest, waiting)
		if sockets == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%d clients that do not read are still connected", sockets)
		}
	}
	if limit := srv.MaxStoredBytes / queuedBytesDivisor; largest > limit {
		t.Errorf("%d bytes waited, %d are allowed", largest, limit)
	}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.queuedBytes != 0 {
		t.Errorf("%d bytes are counted without a client", srv.queuedBytes)
	}
}

// Guards against an exit that hangs on a client that reads nothing.
func TestCloseDoesNotWaitForASlowClient(t *testing.T) {
	srv, fake, dial := newTestServer(t, 1000)
	sendSetUp(t, dial("acme"), 1)
	if err := (<-fake.offered).Answer(0, []byte(strings.Repeat("x", maxDescription))); err != nil {
		t.Fatal(err)
	}
	srv.Close() // the client reads neither the answer nor the close
}

// Guards against a tenant that fills the storage with new call IDs until the calls of other
// tenants are refused.
func TestStorageIsLimitedPerTenant(t *testing.T) {
	_, fake, dial := newTestServer(t, 2*tenantStorageDivisor)
	c := dial("acme")
	for n := range 10 {
		sendSetUp(t, c, n)
	}
	for n := range 8 {
		m, err := read(t.Context(), c, time.Minute)
		if err != nil || m.Type != typeRefused || m.Reason != reasonOverload || m.RetryAfterMs <= 0 {
			t.Fatalf("refusal %d: %+v, %v", n, m, err)
		}
	}
	if len(fake.offered) != 2 {
		t.Errorf("%d calls of a tenant offered, want its limit of 2", len(fake.offered))
	}
	sendSetUp(t, dial("other"), 1)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for n := range 3 {
		select {
		case <-fake.offered:
		case <-ctx.Done():
			t.Fatalf("%d calls offered, want the other tenant's too", n)
		}
	}
}

// Guards against stored answers that use all memory: their size in bytes is limited, and
// all of it is released when the calls are removed.
func TestStorageIsLimitedInBytes(t *testing.T) {
	srv, fake, dial := newTestServer(t, 1000)
	srv.AnswerRetention = time.Nanosecond
	c := dial("acme")
	stored := func() usage {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		return srv.stored
	}
	for n := range 3 {
		sendSetUp(t, c, n)
		call := <-fake.offered
		if got, want := stored(), (usage{1, maxDescription}); got != want {
			t.Errorf("stored %+v while the answer is pending, want %+v", got, want)
		}
		if err := call.Answer(0, []byte("made")); err != nil {
			t.Fatal(err)
		}
		if got, want := stored(), (usage{1, len("made")}); got != want {
			t.Errorf("stored %+v while the call is established, want %+v", got, want)
		}
		call.Release(0, false)
		for end := time.Now().Add(20 * time.Second); stored() != (usage{}); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("stored %+v after the call's end", stored())
			}
		}
	}
	srv.mu.Lock()
	acme, _ := srv.Tenants.Authenticate("acme-token")
	srv.stateOf(acme).used = usage{1, srv.MaxStoredBytes / tenantStorageDivisor}
	srv.mu.Unlock()
	for range 6 { // three answers and three releases
		if _, err := read(t.Context(), c, time.Minute); err != nil {
			t.Fatal(err)
		}
	}
	sendSetUp(t, c, 10)
	if m, err := read(t.Context(), c, time.Minute); err != nil || m.Reason != reasonOverload {
		t.Errorf("above the tenant's limit: %+v, %v", m, err)
	}
}

// Guards against memory that is never released for tenants that have disconnected.
func TestStateOfDisconnectedTenantIsDeleted(t *testing.T) {
	srv, _, dial := newTestServer(t, 1000)
	c := dial("acme")
	if err := c.Write(t.Context(), websocket.MessageText, []byte(`{"type":"release","call":"a"}`)); err != nil {
		t.Fatal(err)
	}
	if m, err := read(t.Context(), c, time.Minute); err != nil || m.Code != codeUnknownCall {
		t.Fatalf("%+v, %v", m, err)
	}
	c.CloseNow()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		srv.mu.Lock()
		count := len(srv.tenants)
		srv.mu.Unlock()
		if count == 0 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("state of %d tenants is still stored", count)
		}
	}
}

// A description is passed on unchanged, whether it is text or binary. Setting both fields is
// an error.
func TestDescriptions(t *testing.T) {
	for _, b := range []string{"", "text", "\xff\x00binary"} {
		var m message
		m.setDescription([]byte(b))
		got, err := m.decodeDescription()
		if err != nil || string(got) != b {
			t.Errorf("%q was decoded as %q, %v", b, got, err)
		}
	}
	for why, m := range map[string]message{
		"given twice":      {Description: "a", DescriptionB64: "YQ=="},
		"not base64":       {DescriptionB64: "?"},
		"longer than 8192": {Description: strings.Repeat("x", maxDescription+1)},
	} {
		if _, err := m.decodeDescription(); err == nil || !strings.Contains(err.Error(), why) {
			t.Errorf("got %v, want %q", err, why)
		}
	}
}

// Guards against set-ups that a switch of the platform can't read, and against an unlimited
// number of destinations, for each of which the controller would keep state.
func TestNumbersAndDestinationsAreChecked(t *testing.T) {
	srv := &Server{Classes: map[string]Class{"space-check": {}}, Destinations: 4}
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
		_, _, err := srv.parseSetUp(message{Call: "a", Class: "space-check", Number: c.number, Dest: &c.dest, WaitMs: 100})
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.HasPrefix(err.Error(), c.want)) {
			t.Errorf("%+v: got %v", c, err)
		}
	}
}
