package callapi

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/coder/websocket"

	"violetspan.example/violetspan/internal/tenant"
)

// socket is one client's connection.
type socket struct {
	server        *Server
	tenant        tenant.Account
	conn          *websocket.Conn
	queue         chan message
	abort         context.CancelFunc // closes the connection at once
	flushAndClose context.CancelFunc // closes the connection when the queue has been written
	closeReason   string             // set before flushAndClose is called; guarded by server.mu until then
}

// closeAfterFlush closes the connection when the queue has been written; the client receives the reason.
// The server's lock is held.
func (s *socket) closeAfterFlush(reason string) {
	if s.closeReason == "" {
		s.closeReason = reason
		s.flushAndClose()
	}
}

// write sends the queued messages, and pings, until the socket is closed. A client that
// does not read in time is disconnected, so that it delays nobody.
func (s *socket) write(ctx, flushing context.Context) {
	defer s.abort()
	ping := time.NewTicker(pingInterval)
	defer ping.Stop()
	for {
		var err error
		select {
		case m := <-s.queue:
			err = write(ctx, s.conn, m, writeTimeout)
		case <-ping.C:
			pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
			err = s.conn.Ping(pingCtx)
			cancel()
		case <-flushing.Done():
			// The queue may contain the only answer to a call.
			for len(s.queue) > 0 && err == nil {
				err = write(ctx, s.conn, <-s.queue, writeTimeout)
			}
			if err == nil {
				s.conn.Close(websocket.StatusGoingAway, s.closeReason)
			}
			return
		}
		if err != nil {
			return
		}
	}
}

// enqueue queues a message. If the queue is full, the client is too slow and is
// disconnected; it can get its answers after it has reconnected.
func (s *socket) enqueue(m message) {
	select {
	case s.queue <- m:
	default:
		s.server.Log.Warn("call API: slow client disconnected", "tenant", s.tenant.ID)
		s.abort()
	}
}

// read handles the client's messages until the connection fails or too many of them were
// unreadable.
func (s *socket) read(ctx context.Context) error {
	bad := 0
	for {
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
		s.enqueue(message{Type: typeError, Call: truncate(m.Call), Code: code, Detail: err.Error()})
		if bad >= maxBadMessages {
			s.server.Log.Warn("call API: too many unreadable messages", "tenant", s.tenant.ID)
			return err
		}
	}
}

// truncate limits a text of a peer to maxID bytes.
func truncate(id string) string { return id[:min(len(id), maxID)] }
