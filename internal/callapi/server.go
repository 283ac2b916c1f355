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

// CallHandler processes the calls that a Server receives; core.Core implements it. Offer
// returns an error if it can't accept the call. HangUp ends a call at its switch, or
// cancels its set-up.
type CallHandler interface {
	Offer(s *core.SetUp, from core.Caller) error
	HangUp(id uint64)
}

// Class is a class of calls: its index in the settings and its default width.
type Class struct {
	Index, Width int
}

// Server serves the API to the clients of tenants. Its exported fields must be set before
// its first use.
type Server struct {
	Handler         CallHandler
	Tenants         *tenant.Registry
	Classes         map[string]Class
	Log             *slog.Logger
	AnswerRetention time.Duration // how long a call is stored after its end, for clients that reconnect
	MaxStoredCalls  int           // limit on stored calls of all tenants, ended ones included
	MaxStoredBytes  int           // limit on the descriptions of stored calls, in bytes
	Destinations    int           // number of destinations; the highest dest is one less

	mu          sync.Mutex
	tenants     map[tenant.Account]*tenantState
	stored      usage // of all tenants
	queuedBytes int   // size of the messages that wait for all clients
	closed      bool
	connections sync.WaitGroup // open connections; added to under mu, and only while closed is false
}

// tenantState holds the calls and sockets of one tenant, so that operations on a tenant's
// connections take time in proportion to its own calls and not to all calls.
type tenantState struct {
	calls   map[string]*call // by the tenant's call ID
	sockets map[*socket]bool
	used    usage
	// pendingEnds are the ended calls, by their ids, of which no client has been sent the end or is about
	// to be.
	pendingEnds map[string]*call
	removed     bool // the tenant was removed; its sockets stay open for the ends of its calls only
}

// usage is the number of stored calls and the size of their descriptions in bytes.
type usage struct{ calls, bytes int }

func (u *usage) add(calls, bytes int) {
	u.calls += calls
	u.bytes += bytes
}

const (
	closeTimeout         = 2 * time.Second
	messageTimeout       = 2 * time.Second // from the start of a client's message to its end
	tenantStorageDivisor = 4               // one tenant may use 1/tenantStorageDivisor of the storage
	queuedBytesDivisor   = 2               // messages that wait for clients may take MaxStoredBytes/queuedBytesDivisor
	maxBadMessages       = 20              // unreadable messages on one socket, after which it is closed
	defaultRetryAfter    = time.Second
)

// ServeHTTP accepts a client's connection and serves it until it ends.
func (srv *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	account, known := tenant.Account{}, false
	if ok {
		account, known = srv.Tenants.Authenticate(token)
	}
	if !known {
		w.Header().Set("WWW-Authenticate", "Bearer")
		http.Error(w, "a valid bearer token is wanted", http.StatusUnauthorized)
		return
	}
	if err := srv.Tenants.Connect(account); err != nil {
		http.Error(w, err.Error(), http.StatusTooManyRequests)
		return
	}
	defer srv.Tenants.Disconnect(account)
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{Protocol}})
	if err != nil {
		srv.Log.Warn("call API: WebSocket handshake failed", "tenant", account.ID, "error", err)
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
	flushing, flush := context.WithCancel(ctx)
	defer flush()
	s := newSocket(srv, account, conn, cancel, flush)
	if reason := srv.addSocket(s); reason != "" {
		conn.Close(websocket.StatusGoingAway, reason)
		return
	}
	defer srv.connections.Done()
	var wg sync.WaitGroup
	wg.Go(func() { s.write(ctx, flushing) })
	wg.Go(func() { s.ping(ctx) })
	err = s.read(ctx)
	cancel()
	wg.Wait()
	srv.removeSocket(s)
	srv.Log.Debug("call API: connection ended", "tenant", account.ID, "error", err)
}

var (
	errConflict    = errors.New("the id is known with other content")
	errUnknownCall = errors.New("no such call")
)

// Reasons that clients receive when the server closes their connection.
const (
	closeReasonStopping = "the proxy stops"
	closeReasonRemoved  = "the tenant was removed"
)

// addSocket adds a socket and queues on it the ends that no socket has received. If the server is
// closed, or the tenant was removed since it authenticated, it adds nothing and returns the reason.
func (srv *Server) addSocket(s *socket) (closeReason string) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.closed {
		return closeReasonStopping
	}
	if !srv.Tenants.Exists(s.tenant) {
		return closeReasonRemoved
	}
	srv.connections.Add(1)
	ts := srv.stateOf(s.tenant)
	ts.sockets[s] = true
	ts.queuePendingEnds(s)
	return ""
}

// queuePendingEnds queues pending ends on a socket while it has room. The server's lock is held.
func (ts *tenantState) queuePendingEnds(s *socket) {
	for id, c := range ts.pendingEnds {
		if !s.hasRoomForEnds() {
			return
		}
		delete(ts.pendingEnds, id)
		s.enqueueEnd(c)
	}
}

// stateOf returns the state of a tenant, and creates it if there is none. srv.mu must be
// held.
func (srv *Server) stateOf(account tenant.Account) *tenantState {
	if srv.tenants == nil {
		srv.tenants = map[tenant.Account]*tenantState{}
	}
	if srv.tenants[account] == nil {
		srv.tenants[account] = &tenantState{calls: map[string]*call{}, sockets: map[*socket]bool{}, pendingEnds: map[string]*call{}}
	}
	return srv.tenants[account]
}

// dropIfEmpty removes the state of a tenant without calls and sockets. srv.mu must be held.
func (srv *Server) dropIfEmpty(account tenant.Account) {
	if ts := srv.tenants[account]; ts != nil && len(ts.calls) == 0 && len(ts.sockets) == 0 {
		delete(srv.tenants, account)
	}
}

// limitQueuedBytes disconnects the clients for which most waits while more waits than is allowed.
// srv.mu must be held.
func (srv *Server) limitQueuedBytes() {
	for srv.queuedBytes > srv.MaxStoredBytes/queuedBytesDivisor {
		var largest *socket
		for _, ts := range srv.tenants {
			for s := range ts.sockets {
				if largest == nil || s.queuedBytes > largest.queuedBytes {
					largest = s
				}
			}
		}
		if largest == nil || largest.queuedBytes == 0 {
			return
		}
		largest.disconnectSlow()
	}
}

// removeSocket removes a closed socket. Pending calls without another socket fail, which is
// their final answer, and are hung up. Ends of calls that were not written are announced again.
func (srv *Server) removeSocket(s *socket) {
	var abandoned []uint64
	srv.mu.Lock()
	ts := srv.stateOf(s.tenant)
	delete(ts.sockets, s)
	unwritten := s.takeUnwrittenEnds()
	for _, c := range ts.calls {
		if !c.watchers[s] {
			continue
		}
		delete(c.watchers, s)
		if c.state == pending && len(c.watchers) == 0 {
			c.setFinalAnswer(message{Type: typeFailed, Reason: reasonConnectionClosed})
			abandoned = append(abandoned, c.coreID)
		}
	}
	for _, c := range unwritten {
		if !c.endWritten && c.endsQueued == 0 {
			c.announceEnd()
		}
	}
	for other := range ts.sockets {
		ts.queuePendingEnds(other) // those for which the closed one had no room
	}
	srv.dropIfEmpty(s.tenant)
	srv.mu.Unlock()
	for _, id := range abandoned {
		srv.Handler.HangUp(id)
	}
}

// RemoveTenants closes the connections of tenants that were removed, at once or when the last of their
// calls has ended. Their stored calls belong to accounts that nobody can authenticate as any more.
func (srv *Server) RemoveTenants(removed []tenant.Account) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	for _, account := range removed {
		if ts := srv.tenants[account]; ts != nil {
			ts.removed = true
			ts.closeIfRemoved()
		}
	}
}

// closeIfRemoved closes the sockets of a removed tenant that has no call left. The server's lock is held.
func (ts *tenantState) closeIfRemoved() {
	if !ts.removed {
		return
	}
	for _, c := range ts.calls {
		if c.state != ended {
			return
		}
	}
	for s := range ts.sockets {
		s.closeAfterFlush(closeReasonRemoved)
	}
}

// Close closes every connection when its queue has been written, and waits for that for
// up to closeTimeout. It ends established calls: after the exit no process could notify
// their clients of their end.
func (srv *Server) Close() {
	srv.mu.Lock()
	srv.closed = true
	var hangUps []uint64
	for _, ts := range srv.tenants {
		for _, c := range ts.calls {
			if c.state == established {
				c.end(reasonCut)
				hangUps = append(hangUps, c.coreID)
			}
		}
		for s := range ts.sockets {
			s.closeAfterFlush(closeReasonStopping)
		}
	}
	srv.mu.Unlock()
	for _, id := range hangUps {
		srv.Handler.HangUp(id)
	}
	timer := time.AfterFunc(closeTimeout, func() {
		srv.mu.Lock()
		defer srv.mu.Unlock()
		for _, ts := range srv.tenants {
			for s := range ts.sockets {
				s.abort()
			}
		}
	})
	defer timer.Stop()
	srv.connections.Wait()
}

// setUp handles a set-up. A repeated set-up joins the existing call: there is one call and
// one answer, however often the set-up is sent.
func (srv *Server) setUp(s *socket, m message, receivedAt time.Time) error {
	req, timeout, err := srv.parseSetUp(m)
	if err != nil {
		return err
	}
	srv.mu.Lock()
	defer srv.mu.Unlock()
	ts := srv.stateOf(s.tenant)
	defer srv.dropIfEmpty(s.tenant)
	if c := ts.calls[m.Call]; c != nil {
		if c.request != req {
			return errConflict
		}
		c.watchers[s] = true
		if c.state != pending {
			s.enqueue(c.answer)
		}
		if c.state == ended && c.released.Type != "" {
			s.enqueueEnd(c)
		}
		return nil
	}
	c := &call{server: srv, key: callKey{s.tenant, m.Call}, coreID: rand.Uint64(), request: req, watchers: map[*socket]bool{s: true}}
	if !srv.hasStorage(ts) {
		s.enqueue(c.refusedMessage(reasonOverload, defaultRetryAfter))
		return nil
	}
	ts.calls[m.Call] = c
	c.addUsage(1, len(req.description)+maxDescription) // reserves the maximum for the answer's description
	if retryAfter, err := srv.Tenants.BeginCall(s.tenant); err != nil {
		reason := reasonQuota
		if !errors.Is(err, tenant.ErrQuota) {
			reason = reasonDisabled
		}
		c.setFinalAnswer(c.refusedMessage(reason, retryAfter))
		return nil
	}
	c.counted = true
	err = srv.Handler.Offer(&core.SetUp{ID: c.coreID, Class: srv.Classes[req.class].Index, ClassName: req.class, Tenant: s.tenant.ID, Source: s.tenant,
		Number: req.number, Description: []byte(req.description), Dest: req.dest, Width: req.width, Deadline: receivedAt.Add(timeout)}, c)
	if err != nil {
		c.setFinalAnswer(c.refusedMessage(reasonOverload, defaultRetryAfter))
	}
	return nil
}

// hasStorage reports whether another call of a tenant can be stored. Each tenant has a
// limit, so that none can use all the storage.
func (srv *Server) hasStorage(ts *tenantState) bool {
	return srv.stored.calls < srv.MaxStoredCalls && srv.stored.bytes < srv.MaxStoredBytes &&
		ts.used.calls < max(1, srv.MaxStoredCalls/tenantStorageDivisor) && ts.used.bytes < srv.MaxStoredBytes/tenantStorageDivisor
}

// parseSetUp validates a set-up and returns its content and its wait_ms. An error names the
// invalid field.
func (srv *Server) parseSetUp(m message) (req request, timeout time.Duration, err error) {
	class, known := srv.Classes[m.Class]
	b, err := m.decodeDescription()
	timeout = time.Duration(m.WaitMs * float64(time.Millisecond))
	problem := ""
	switch {
	case m.Call == "" || len(m.Call) > maxID:
		problem = fmt.Sprintf("call: 1 to %d bytes are wanted", maxID)
	case !known:
		problem = fmt.Sprintf("class: %q is not known", truncate(m.Class))
	case !core.IsValidNumber(m.Number):
		problem = fmt.Sprintf("number: 1 to %d decimal or hexadecimal digits are wanted", core.MaxNumberDigits)
	case m.Dest == nil || *m.Dest < 0 || *m.Dest >= srv.Destinations:
		problem = "dest: a number of an exchange is wanted"
	case m.Width < 0 || m.Width > maxWidth:
		problem = fmt.Sprintf("width: a number from 1 to %d is wanted", maxWidth)
	case !(m.WaitMs > 0) || timeout > maxWait:
		problem = fmt.Sprintf("wait_ms: a time above 0 and up to %d is wanted", maxWait.Milliseconds())
	case err != nil:
		problem = err.Error()
	}
	if problem != "" {
		return req, 0, badMessageError{problem}
	}
	if m.Width == 0 {
		m.Width = max(1, class.Width)
	}
	return request{m.Class, m.Number, string(b), *m.Dest, m.Width}, timeout, nil
}

// release handles a client's release: it cancels a pending call and hangs up an
// established one.
func (srv *Server) release(s *socket, m message) error {
	srv.mu.Lock()
	c := srv.stateOf(s.tenant).calls[m.Call]
	if c == nil {
		srv.mu.Unlock()
		return errUnknownCall
	}
	previous := c.state
	switch previous {
	case pending:
		c.setFinalAnswer(message{Type: typeFailed, Reason: reasonGivenUp})
	case established:
		c.end(reasonCaller)
	}
	srv.mu.Unlock()
	if previous != ended {
		srv.Handler.HangUp(c.coreID)
	}
	return nil
}
