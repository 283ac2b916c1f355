package callapi

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/coder/websocket"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/trunk"
	"violetspan.example/violetspan/routing"
)

// switchConn is a connection to a switch that speaks the API. It implements trunk.Conn.
type switchConn struct {
	conn   *websocket.Conn
	ctx    context.Context
	cancel context.CancelFunc
}

// Dial connects to a switch at a ws:// or wss:// address. It fails if the switch does not
// support the subprotocol.
func Dial(ctx context.Context, addr string) (trunk.Conn, error) {
	// A separate transport: connections are not pooled, and ctx limits the dial only.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	c, _, err := websocket.Dial(ctx, addr, &websocket.DialOptions{HTTPClient: client, Subprotocols: []string{Protocol}})
	if err != nil {
		return nil, err
	}
	if c.Subprotocol() != Protocol {
		c.CloseNow()
		return nil, fmt.Errorf("the switch does not speak %s", Protocol)
	}
	c.SetReadLimit(maxMessage)
	s := &switchConn{conn: c}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s, nil
}

var causeByReason = map[string]routing.Cause{
	"":                 routing.CauseNone,
	"no_circuit":       routing.CauseNoCircuit,
	"turned_back":      routing.CauseTurnedBack,
	"processor_full":   routing.CauseProcessorFull,
	"number_busy":      routing.CauseNumberBusy,
	"destination_full": routing.CauseDestinationFull,
}

// Read reads the next message. An unreadable message is an error, which ends the connection:
// it may concern any call, whereas the effect of a reset on the calls is known. A message
// of a type that switches don't send is an error, too: it may be a corrupted answer.
func (s *switchConn) Read() (trunk.Event, error) {
	m, err := read(s.ctx, s.conn, trunk.MessageTimeout)
	if err != nil {
		var closed websocket.CloseError
		if errors.As(err, &closed) {
			err = io.EOF
		}
		return trunk.Event{}, err
	}
	ev := trunk.Event{}
	if m.Type != typeGroup && m.Type != typeError {
		b, err := hex.DecodeString(m.Call)
		if err != nil || len(b) != 8 {
			return ev, badMessageError{fmt.Sprintf("call: %q is not an id of this proxy", truncate(m.Call))}
		}
		ev.Call, _ = strconv.ParseUint(m.Call, 16, 64)
	}
	cause, known := causeByReason[m.Reason]
	if !known {
		cause = routing.CauseNone
	}
	switch m.Type {
	case typeAnswer:
		ev.Kind = trunk.Answer
		if ev.Description, err = m.decodeDescription(); err != nil {
			return ev, badMessageError{err.Error()}
		}
	case typeRefused:
		ev.Kind, ev.End = trunk.End, core.Outcome{Result: routing.Refused, Cause: cause}
	case typeFailed:
		ev.Kind, ev.End = trunk.End, core.Outcome{Result: routing.Failed, Cause: cause}
	case typeReleased:
		ev.Kind, ev.End.Result = trunk.End, routing.Ended
		if m.Reason == reasonCut {
			ev.End.Result = routing.Reset
		}
	case typeGroup:
		if m.Free == nil || m.Size == nil || *m.Free < 0 || *m.Size < *m.Free {
			ev.Warning = errors.New("group: free and size are missing or out of range")
			return ev, nil
		}
		ev.Kind, ev.Report = trunk.Group, routing.NoReport
		ev.Report.Free, ev.Report.Size = *m.Free, *m.Size
	case typeError:
		ev.Warning = fmt.Errorf("error reported by the switch: %s %.200s", m.Code, m.Detail)
	default:
		return ev, badMessageError{fmt.Sprintf("type: %q is not a message that a switch sends", truncate(m.Type))}
	}
	return ev, nil
}

// SetUp sends a set-up; the time until the deadline is its wait_ms, at least 1.
func (s *switchConn) SetUp(setUp *core.SetUp, deadline time.Time) error {
	m := message{Type: typeSetUp, Call: callID(setUp.ID), Class: setUp.ClassName, Number: setUp.Number, Dest: &setUp.Dest, Width: setUp.Width,
		WaitMs: float64(max(1, time.Until(deadline).Milliseconds()))}
	m.setDescription(setUp.Description)
	return s.send(m)
}

// Release cancels a set-up or ends a call.
func (s *switchConn) Release(id uint64) error {
	return s.send(message{Type: typeRelease, Call: callID(id)})
}

// AcknowledgeRelease does nothing: the API has no acknowledgement of releases.
func (s *switchConn) AcknowledgeRelease(uint64) error { return nil }

// ReplyToTest does nothing: the API uses WebSocket pings.
func (s *switchConn) ReplyToTest(uint64) error { return nil }

// Ping sends a WebSocket ping and waits for the pong, which Read must receive.
func (s *switchConn) Ping(ctx context.Context) error { return s.conn.Ping(ctx) }

// CloseWrite implements trunk.HalfCloser. WebSocket has no half-closed state: the connection stays open,
// so that what the switch sends on it is still read, and nothing more is written to it.
func (s *switchConn) CloseWrite() error { return nil }

// Close closes the connection without a close handshake.
func (s *switchConn) Close() error {
	s.cancel()
	return s.conn.CloseNow()
}

func (s *switchConn) send(m message) error { return write(s.ctx, s.conn, m, trunk.WriteTimeout) }

// callID formats a call's ID for messages to switches.
func callID(id uint64) string { return fmt.Sprintf("%016x", id) }
