package callapi

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/coder/websocket"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/tenant"
)

// Calls is the core, as this front sees it.
type Calls interface {
	Offer(s *core.SetUp, from core.Caller) error
	HangUp(id uint64)
}

// Class is what the front needs of a class of call.
type Class struct {
	Index, Width int
}

// Server serves the API to tenants' clients. Fill it before its first use.
type Server struct {
	Calls           Calls
	Tenants         *tenant.Registry
	Classes         map[string]Class
	Log             *slog.Logger
	AnswerRetention time.Duration // how long an answer is kept for a client that comes back
	MaxStoredCalls  int           // calls held at once, those that are over included
	MaxStoredBytes  int           // bytes of their descriptions
	Destinations    int           // destinations are numbered below this

	mu     sync.Mutex
	shares map[string]*share // by tenant
	kept   usage             // of all tenants
	closed bool
	serves sync.WaitGroup // connections; grows under mu while not closed
}

// share is what the front holds for one tenant. What a tenant's connections do
// costs time by its own calls, not by everyone's.
type share struct {
	calls map[string]*call // by id
	socks map[*socket]bool
	used  usage
}

// usage is what calls take up: their number and their descriptions' bytes.
type usage struct{ calls, bytes int }

func (u *usage) add(calls, bytes int) {
	u.calls += calls
	u.bytes += bytes
}

// key names a call: its id is the tenant's own.
type key struct{ tenant, id string }

// content is what a set-up asks for. A repeat must ask for the same.
type content struct {
	class, number, description string
	dest, width                int
}

// The states of a call.
type state int

const (
	pending state = iota // its answer is owed
	stands
	over
)

// call is one call of a tenant. It outlives its sockets, and its end by a
// while, so that a client that comes back hears the same answer.
type call struct {
	front *Server
	key   key
	core  uint64
	content

	// Under the front's lock:
	state    state
	bytes    int  // counted in the front's usage
	begun    bool // it counts in the tenant's quota
	watchers map[*socket]bool
	answer   message // the one final answer
	released message // its end, if it stood
	untold   bool    // the end reached no socket yet
}

const (
	socketQueue  = 256
	socketWrite  = 2 * time.Second
	pingEvery    = 15 * time.Second
	pingWait     = 5 * time.Second
	closeWait    = 2 * time.Second
	messageRest  = 2 * time.Second // a message of a client ends within this once it has begun
	keptShare    = 4               // one tenant holds at most this part of what is kept
	maxBad       = 20              // unreadable messages on one socket before it is closed
	retryDefault = time.Second
)

// socket is one client's connection.
type socket struct {
	front  *Server
	tenant string
	conn   *websocket.Conn
	out    chan message
	close  context.CancelFunc
	leave  context.CancelFunc // ends it once what is queued is written
}

// ServeHTTP takes one client's connection and serves it until it ends.
func (f *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	id, known := "", false
	if ok {
		id, known = f.Tenants.Authenticate(token)
	}
	if !known {
		w.Header().Set("WWW-Authenticate", "Bearer")
		http.Error(w, "a valid bearer token is wanted", http.StatusUnauthorized)
		return
	}
	if err := f.Tenants.Connect(id); err != nil {
		http.Error(w, err.Error(), http.StatusTooManyRequests)
		return
	}
	defer f.Tenants.Disconnect(id)
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{Protocol}})
	if err != nil {
		f.Log.Warn("call API: no WebSocket", "tenant", id, "error", err)
		return
	}
	defer conn.CloseNow()
	if conn.Subprotocol() != Protocol {
		conn.Close(websocket.StatusPolicyViolation, "subprotocol "+Protocol+" is wanted")
		return
	}
	conn.SetReadLimit(maxMessage)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	leaving, leave := context.WithCancel(ctx)
	defer leave()
	s := &socket{front: f, tenant: id, conn: conn, out: make(chan message, socketQueue), close: cancel, leave: leave}
	if !f.join(s) {
		conn.Close(websocket.StatusGoingAway, "the proxy stops")
		return
	}
	defer f.serves.Done()
	var wg sync.WaitGroup
	wg.Go(func() { s.write(ctx, leaving) })
	err = s.read(ctx)
	f.leave(s)
	cancel()
	wg.Wait()
	f.Log.Debug("call API: connection ended", "tenant", id, "error", err)
}

// write sends what is queued, and pings, until the socket ends. A client that
// does not read in time loses its connection, and nobody waits for it.
func (s *socket) write(ctx, leaving context.Context) {
	defer s.close()
	ping := time.NewTicker(pingEvery)
	defer ping.Stop()
	for {
		var err error
		select {
		case m := <-s.out:
			err = write(ctx, s.conn, m, socketWrite)
		case <-ping.C:
			pctx, cancel := context.WithTimeout(ctx, pingWait)
			err = s.conn.Ping(pctx)
			cancel()
		case <-leaving.Done():
			// The proxy stops: what is queued may be the only answer to a call.
			for len(s.out) > 0 && err == nil {
				err = write(ctx, s.conn, <-s.out, socketWrite)
			}
			if err == nil {
				s.conn.Close(websocket.StatusGoingAway, "the proxy stops")
			}
			return
		}
		if err != nil {
			return
		}
	}
}

// tell queues a message. A full queue ends the connection: the client is slow,
// and finds its answers again when it comes back.
func (s *socket) tell(m message) {
	select {
	case s.out <- m:
	default:
		s.front.Log.Warn("call API: slow client disconnected", "tenant", s.tenant)
		s.close()
	}
}

func (s *socket) read(ctx context.Context) error {
	bad := 0
	for {
		m, err := read(ctx, s.conn, messageRest)
		at := time.Now()
		var why errBad
		switch {
		case errors.As(err, &why):
		case err != nil:
			return err
		case m.Type == typeSetUp:
			err = s.front.setUp(s, m, at)
		case m.Type == typeRelease:
			err = s.front.release(s, m)
		default:
			err = errBad{fmt.Sprintf("type: %q is not known", m.Type)}
		}
		if err == nil {
			continue
		}
		code := codeBadMessage
		switch {
		case errors.Is(err, errConflict):
			code = codeConflict
		case errors.Is(err, errUnknown):
			code = codeUnknown
		default:
			bad++
		}
		s.tell(message{Type: typeError, Call: clip(m.Call), Code: code, Detail: err.Error()})
		if bad >= maxBad {
			s.front.Log.Warn("call API: too many unreadable messages", "tenant", s.tenant)
			return err
		}
	}
}

func clip(id string) string { return id[:min(len(id), maxID)] }

var (
	errConflict = errors.New("the id is known with other content")
	errUnknown  = errors.New("no such call")
)

// join adds a socket and tells it of the ends that none has heard of; false if
// the front is closed.
func (f *Server) join(s *socket) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.serves.Add(1)
	sh := f.share(s.tenant)
	sh.socks[s] = true
	for _, k := range sh.calls {
		if k.untold {
			k.untold = false
			s.tell(k.released)
		}
	}
	return true
}

// share returns what is held for a tenant; tidy drops it once that is nothing.
func (f *Server) share(tenant string) *share {
	if f.shares == nil {
		f.shares = map[string]*share{}
	}
	if f.shares[tenant] == nil {
		f.shares[tenant] = &share{calls: map[string]*call{}, socks: map[*socket]bool{}}
	}
	return f.shares[tenant]
}

func (f *Server) tidy(tenant string) {
	if sh := f.shares[tenant]; sh != nil && len(sh.calls) == 0 && len(sh.socks) == 0 {
		delete(f.shares, tenant)
	}
}

// leave removes a socket. A call that nobody waits for any more is given up,
// and that is its one answer.
func (f *Server) leave(s *socket) {
	var gone []uint64
	f.mu.Lock()
	sh := f.share(s.tenant)
	delete(sh.socks, s)
	for _, k := range sh.calls {
		if !k.watchers[s] {
			continue
		}
		delete(k.watchers, s)
		if k.state == pending && len(k.watchers) == 0 {
			k.finish(message{Type: typeFailed, Reason: reasonLeft})
			gone = append(gone, k.core)
		}
	}
	f.tidy(s.tenant)
	f.mu.Unlock()
	for _, id := range gone {
		f.Calls.HangUp(id)
	}
}

// Disconnect closes a tenant's connections.
func (f *Server) Disconnect(tenant string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sh := f.shares[tenant]; sh != nil {
		for s := range sh.socks {
			s.close()
		}
	}
}

// Close closes every connection once what is queued on it is written, and
// waits for that, but not long. What stands is ended: after an exit nobody could
// tell its client of its end.
func (f *Server) Close() {
	f.mu.Lock()
	f.closed = true
	var ended []uint64
	for _, sh := range f.shares {
		for _, k := range sh.calls {
			if k.state == stands {
				k.end(reasonCut)
				ended = append(ended, k.core)
			}
		}
		for s := range sh.socks {
			s.leave()
		}
	}
	f.mu.Unlock()
	for _, id := range ended {
		f.Calls.HangUp(id)
	}
	late := time.AfterFunc(closeWait, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, sh := range f.shares {
			for s := range sh.socks {
				s.close()
			}
		}
	})
	defer late.Stop()
	f.serves.Wait()
}

// setUp takes a set-up. One that is known joins the first: there is one call
// and one answer, however often it is asked for.
func (f *Server) setUp(s *socket, m message, at time.Time) error {
	c, wait, err := f.check(m)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	sh := f.share(s.tenant)
	defer f.tidy(s.tenant)
	if k := sh.calls[m.Call]; k != nil {
		if k.content != c {
			return errConflict
		}
		k.watchers[s] = true
		if k.state != pending {
			s.tell(k.answer)
		}
		if k.state == over && k.released.Type != "" {
			k.untold = false
			s.tell(k.released)
		}
		return nil
	}
	k := &call{front: f, key: key{s.tenant, m.Call}, core: rand.Uint64(), content: c, watchers: map[*socket]bool{s: true}}
	if !f.hasRoom(sh) {
		s.tell(k.refusal(reasonBusy, retryDefault))
		return nil
	}
	sh.calls[m.Call] = k
	k.count(1, len(c.description)+maxDescription) // the answer's is not known yet
	if again, err := f.Tenants.BeginCall(s.tenant); err != nil {
		reason := reasonQuota
		if !errors.Is(err, tenant.ErrQuota) {
			reason = reasonDisabled
		}
		k.finish(k.refusal(reason, again))
		return nil
	}
	k.begun = true
	err = f.Calls.Offer(&core.SetUp{ID: k.core, Class: f.Classes[c.class].Index, ClassName: c.class, Tenant: s.tenant,
		Number: c.number, Description: []byte(c.description), Dest: c.dest, Width: c.width, Deadline: at.Add(wait)}, k)
	if err != nil {
		k.finish(k.refusal(reasonBusy, retryDefault))
	}
	return nil
}

// hasRoom says whether a tenant may have another call kept. Each has a share, so
// that none takes the room of all.
func (f *Server) hasRoom(sh *share) bool {
	return f.kept.calls < f.MaxStoredCalls && f.kept.bytes < f.MaxStoredBytes &&
		sh.used.calls < max(1, f.MaxStoredCalls/keptShare) && sh.used.bytes < f.MaxStoredBytes/keptShare
}

// count adds to what is kept, or takes from it.
func (k *call) count(calls, bytes int) {
	k.bytes += bytes
	k.front.kept.add(calls, bytes)
	k.front.share(k.key.tenant).used.add(calls, bytes)
}

// check reads what a set-up asks for; an error names the field.
func (f *Server) check(m message) (c content, wait time.Duration, err error) {
	class, known := f.Classes[m.Class]
	b, err := m.described()
	wait = time.Duration(m.WaitMs * float64(time.Millisecond))
	why := ""
	switch {
	case m.Call == "" || len(m.Call) > maxID:
		why = fmt.Sprintf("call: 1 to %d bytes are wanted", maxID)
	case !known:
		why = fmt.Sprintf("class: %q is not known", clip(m.Class))
	case !core.IsValidNumber(m.Number):
		why = fmt.Sprintf("number: 1 to %d decimal or hexadecimal digits are wanted", core.MaxNumberDigits)
	case m.Dest == nil || *m.Dest < 0 || *m.Dest >= f.Destinations:
		why = "dest: a number of an exchange is wanted"
	case m.Width < 0 || m.Width > maxWidth:
		why = fmt.Sprintf("width: a number from 1 to %d is wanted", maxWidth)
	case !(m.WaitMs > 0) || wait > maxWait:
		why = fmt.Sprintf("wait_ms: a time above 0 and up to %d is wanted", maxWait.Milliseconds())
	case err != nil:
		why = err.Error()
	}
	if why != "" {
		return c, 0, errBad{why}
	}
	if m.Width == 0 {
		m.Width = max(1, class.Width)
	}
	return content{m.Class, m.Number, string(b), *m.Dest, m.Width}, wait, nil
}

// release takes a client's release: it gives up a call that is not answered,
// and hangs up one that stands.
func (f *Server) release(s *socket, m message) error {
	f.mu.Lock()
	k := f.share(s.tenant).calls[m.Call]
	if k == nil {
		f.mu.Unlock()
		return errUnknown
	}
	was := k.state
	switch was {
	case pending:
		k.finish(message{Type: typeFailed, Reason: reasonGivenUp})
	case stands:
		k.end(reasonCaller)
	}
	f.mu.Unlock()
	if was != over {
		f.Calls.HangUp(k.core)
	}
	return nil
}

func (k *call) refusal(reason string, again time.Duration) message {
	return message{Type: typeRefused, Call: k.key.id, Reason: reason, RetryAfterMs: again.Milliseconds()}
}

// finish gives the call its one answer and keeps it; false if it has one. The
// front's lock is held, as for end.
func (k *call) finish(m message) bool {
	if k.state != pending {
		return false
	}
	m.Call = k.key.id
	k.answer = m
	k.count(0, len(m.Description)+len(m.DescriptionB64)-maxDescription)
	k.state = over
	if m.Type == typeAnswer {
		k.state = stands
	} else {
		k.forgetLater()
	}
	for s := range k.watchers {
		s.tell(m)
	}
	return true
}

// end notes that a call that stood is over, and tells whoever can be told.
func (k *call) end(reason string) {
	if k.state != stands {
		return
	}
	k.state = over
	k.released = message{Type: typeReleased, Call: k.key.id, Reason: reason}
	to := k.watchers
	if len(to) == 0 {
		to = k.front.share(k.key.tenant).socks
	}
	for s := range to {
		s.tell(k.released)
	}
	k.untold = len(to) == 0
	k.forgetLater()
}

// forgetLater counts the call out, and forgets it when it was kept long enough.
func (k *call) forgetLater() {
	if k.begun {
		k.front.Tenants.EndCall(k.key.tenant)
	}
	time.AfterFunc(k.front.AnswerRetention, func() {
		k.front.mu.Lock()
		defer k.front.mu.Unlock()
		k.count(-1, -k.bytes)
		delete(k.front.share(k.key.tenant).calls, k.key.id)
		k.front.tidy(k.key.tenant)
	})
}

var errAnswered = errors.New("the call was given up")

// Answer implements core.Caller, as do Refuse, Fail and Release.
func (k *call) Answer(_ uint64, description []byte) error {
	m := message{Type: typeAnswer}
	m.describe(description)
	k.front.mu.Lock()
	defer k.front.mu.Unlock()
	if !k.finish(m) {
		return errAnswered // its last connection closed a moment ago
	}
	return nil
}

// Refuse turns the call away.
func (k *call) Refuse(_ uint64, again time.Duration) {
	k.conclude(k.refusal(reasonNoRoute, again))
}

// Fail says that the call failed.
func (k *call) Fail(uint64) { k.conclude(message{Type: typeFailed, Reason: reasonFault}) }

func (k *call) conclude(m message) {
	k.front.mu.Lock()
	defer k.front.mu.Unlock()
	k.finish(m)
}

// Release says that the call is over.
func (k *call) Release(_ uint64, cut bool) {
	reason := reasonEnded
	if cut {
		reason = reasonCut
	}
	k.front.mu.Lock()
	defer k.front.mu.Unlock()
	k.end(reason)
}
