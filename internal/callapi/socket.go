package callapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/coder/websocket"

	"violetspan.example/violetspan/internal/tenant"
)

const (
	writeTimeout = 2 * time.Second
	pingInterval = 15 * time.Second
	pingTimeout  = 5 * time.Second
	// maxQueueTime is how long a message may wait for the client to read those before it.
	maxQueueTime = 5 * time.Second
	// maxQueuedBytes is the size of the messages that may wait for one client. Ends of calls take up to
	// maxQueuedEndBytes of it; more of them are queued when these have been written.
	maxQueuedBytes    = 1 << 20
	maxQueuedEndBytes = maxQueuedBytes / 2
	// maxUnreadReplies is how many messages may wait for a client before its next one is read.
	maxUnreadReplies = 256
)

// socket is one client's connection. Messages for the client are queued: nobody waits for it. A client
// that does not read them is disconnected, so that the queue is bounded in bytes and in time.
type socket struct {
	server        *Server
	tenant        tenant.Account
	conn          *websocket.Conn
	abort         context.CancelFunc // closes the connection at once
	flushAndClose context.CancelFunc // closes the connection when the queue has been written
	queued        chan struct{}      // receives a value when a message is queued
	written       chan struct{}      // receives a value when a message was written

	// Guarded by server.mu:
	queue       []queuedMessage // the first is being written
	queuedBytes int
	closeReason string // set before flushAndClose is called
	tooSlow     bool   // nothing more is queued or written
}

// queuedMessage is an encoded message that waits to be written.
type queuedMessage struct {
	payload  []byte
	end      *call // the call of which it is the end; nil: another message
	queuedAt time.Time
}

func newSocket(srv *Server, account tenant.Account, conn *websocket.Conn, abort, flushAndClose context.CancelFunc) *socket {
	return &socket{server: srv, tenant: account, conn: conn, abort: abort, flushAndClose: flushAndClose,
		queued: make(chan struct{}, 1), written: make(chan struct{}, 1)}
}

// notify sends on a channel that holds one value, unless it holds one already.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// closeAfterFlush closes the connection when the queue has been written; the client receives the reason.
// The server's lock is held.
func (s *socket) closeAfterFlush(reason string) {
	if s.closeReason == "" {
		s.closeReason = reason
		s.flushAndClose()
	}
}

// enqueue queues a message. The server's lock is held.
func (s *socket) enqueue(m message) { s.push(m, nil) }

// enqueueEnd queues the end of a call. The server's lock is held.
func (s *socket) enqueueEnd(c *call) { s.push(c.released, c) }

// hasRoomForEnds reports whether ends of calls may be queued. The server's lock is held.
func (s *socket) hasRoomForEnds() bool { return !s.tooSlow && s.queuedBytes < maxQueuedEndBytes }

func (s *socket) push(m message, end *call) {
	if s.tooSlow {
		return
	}
	payload, err := json.Marshal(m)
	if err != nil {
		s.server.Log.Error("call API: message can't be encoded", "tenant", s.tenant.ID, "error", err)
		return
	}
	if end != nil {
		end.endsQueued++
	}
	s.queue = append(s.queue, queuedMessage{payload, end, time.Now()})
	s.addQueuedBytes(len(payload))
	if s.queuedBytes > maxQueuedBytes {
		s.disconnectSlow()
	}
	s.server.limitQueuedBytes()
	notify(s.queued)
}

func (s *socket) addQueuedBytes(n int) {
	s.queuedBytes += n
	s.server.queuedBytes += n
}

// disconnectSlow disconnects a client that does not read. It can get its answers after it has
// reconnected. The server's lock is held.
func (s *socket) disconnectSlow() {
	if s.tooSlow {
		return
	}
	s.server.Log.Warn("call API: slow client disconnected", "tenant", s.tenant.ID, "messages", len(s.queue), "bytes", s.queuedBytes)
	s.tooSlow = true
	for i := range s.queue {
		s.queue[i].payload = nil
	}
	s.addQueuedBytes(-s.queuedBytes)
	s.abort()
}

// front returns the first message of the queue, unless it is empty.
func (s *socket) front() (m queuedMessage, found bool) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	if len(s.queue) == 0 || s.tooSlow {
		return m, false
	}
	if m = s.queue[0]; time.Since(m.queuedAt) > maxQueueTime {
		s.disconnectSlow()
		return m, false
	}
	return m, true
}

// frontWritten removes the first message of the queue, which the client has been sent.
func (s *socket) frontWritten() {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	if s.tooSlow {
		return
	}
	m := s.queue[0]
	s.queue[0] = queuedMessage{}
	s.queue = s.queue[1:]
	s.addQueuedBytes(-len(m.payload))
	if m.end != nil {
		m.end.endsQueued--
		m.end.endWritten = true
	}
	if s.hasRoomForEnds() {
		s.server.stateOf(s.tenant).queuePendingEnds(s)
	}
	notify(s.written)
}

// takeUnwrittenEnds empties the queue and returns the calls of which the client was not sent the end.
// The server's lock is held.
func (s *socket) takeUnwrittenEnds() (calls []*call) {
	for _, m := range s.queue {
		if m.end != nil {
			m.end.endsQueued--
			calls = append(calls, m.end)
		}
	}
	s.queue = nil
	s.addQueuedBytes(-s.queuedBytes)
	return calls
}

// write sends the queued messages until the socket is closed. If flushing ends, it closes the connection
// when the queue is empty.
func (s *socket) write(ctx, flushing context.Context) {
	defer s.abort()
	for ctx.Err() == nil {
		m, found := s.front()
		if !found {
			select {
			case <-s.queued:
			case <-ctx.Done():
			case <-flushing.Done():
				if s.closeIfFlushed() {
					return
				}
			}
			continue
		}
		if err := writePayload(ctx, s.conn, m.payload, writeTimeout); err != nil {
			s.writeFailed(err)
			return
		}
		s.frontWritten()
	}
}

// writeFailed logs and counts a client as slow if a write to it took too long.
func (s *socket) writeFailed(err error) {
	if !errors.Is(err, context.DeadlineExceeded) {
		return
	}
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.disconnectSlow()
}

// closeIfFlushed closes the connection if its queue is empty, and reports whether it was.
func (s *socket) closeIfFlushed() bool {
	s.server.mu.Lock()
	flushed, reason := len(s.queue) == 0, s.closeReason
	s.server.mu.Unlock()
	if flushed {
		s.conn.Close(websocket.StatusGoingAway, reason)
	}
	return flushed
}

// ping pings the client until the socket is closed, and closes it if the client does not answer.
func (s *socket) ping(ctx context.Context) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
		err := s.conn.Ping(pingCtx)
		cancel()
		if err != nil {
			s.abort()
			return
		}
	}
}

// awaitRoom waits until at most maxUnreadReplies messages wait for the client: one that sends and
// does not read is not read, either.
func (s *socket) awaitRoom(ctx context.Context) error {
	for {
		s.server.mu.Lock()
		full := len(s.queue) > maxUnreadReplies
		s.server.mu.Unlock()
		if !full {
			return nil
		}
		select {
		case <-s.written:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// read handles the client's messages until the connection fails or too many of them were
// unreadable.
func (s *socket) read(ctx context.Context) error {
	bad := 0
	for {
		if err := s.awaitRoom(ctx); err != nil {
			return err
		}
		m, err := read(ctx, s.conn, messageTimeout)
		receivedAt := time.Now()
		var badMessage badMessageError
		switch {
		case errors.As(err, &badMessage):
		case err != nil:
			return err
		case m.Type == typeSetUp:
			err = s.server.setUp(s, m, receivedAt)
		case m.Type == typeRelease:
			err = s.server.release(s, m)
		default:
			err = badMessageError{fmt.Sprintf("type: %q is not known", m.Type)}
		}
		if err == nil {
			continue
		}
		code := codeBadMessage
		switch {
		case errors.Is(err, errConflict):
			code = codeConflict
		case errors.Is(err, errUnknownCall):
			code = codeUnknownCall
		default:
			bad++
		}
		s.reportError(message{Type: typeError, Call: truncate(m.Call), Code: code, Detail: err.Error()})
		if bad >= maxBadMessages {
			s.server.Log.Warn("call API: too many unreadable messages", "tenant", s.tenant.ID)
			return err
		}
	}
}

// reportError queues an error message.
func (s *socket) reportError(m message) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.enqueue(m)
}

// truncate limits a text of a peer to maxID bytes.
func truncate(id string) string { return id[:min(len(id), maxID)] }
