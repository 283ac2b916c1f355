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

// switchConn is a connection to a switch that speaks the API; see trunk.Conn.
type switchConn struct {
	conn   *websocket.Conn
	ctx    context.Context
	cancel context.CancelFunc
}

// Dial connects to a switch at a ws:// address.
func Dial(ctx context.Context, addr string) (trunk.Conn, error) {
	// A transport of its own: nothing is pooled, and the connection's life is not the dial's.
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

var notes = map[string]routing.Cause{
	"":                 routing.CauseNone,
	"no_circuit":       routing.CauseNoCircuit,
	"turned_back":      routing.CauseTurnedBack,
	"processor_full":   routing.CauseProcessorFull,
	"number_busy":      routing.CauseNumberBusy,
	"destination_full": routing.CauseDestinationFull,
}

// Read reads the next message. One that can't be read ends the connection:
// what it spoke of is not known, and a reset is. So does one that no switch
// sends, which may be a spoilt answer.
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
			return ev, errBad{fmt.Sprintf("call: %q is no id of this proxy", clip(m.Call))}
		}
		ev.Call, _ = strconv.ParseUint(m.Call, 16, 64)
	}
	cause, known := notes[m.Reason]
	if !known {
		cause = routing.CauseNone
	}
	switch m.Type {
	case typeAnswer:
		ev.Kind = trunk.Answer
		if ev.Description, err = m.described(); err != nil {
			return ev, errBad{err.Error()}
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
			ev.Warning = errors.New("group: free and size are wanted")
			return ev, nil
		}
		ev.Kind, ev.Report = trunk.Group, routing.NoReport
		ev.Report.Free, ev.Report.Size = *m.Free, *m.Size
	case typeError:
		ev.Warning = fmt.Errorf("the switch says: %s %.200s", m.Code, m.Detail)
	default:
		return ev, errBad{fmt.Sprintf("type: %q is no message of a switch", clip(m.Type))}
	}
	return ev, nil
}

// SetUp sends a set-up.
func (s *switchConn) SetUp(u *core.SetUp, until time.Time) error {
	m := message{Type: typeSetUp, Call: callID(u.ID), Class: u.ClassName, Number: u.Number, Dest: &u.Dest, Width: u.Width,
		WaitMs: float64(max(1, time.Until(until).Milliseconds()))}
	m.describe(u.Description)
	return s.send(m)
}

// Release says that a set-up is given up or a call is over.
func (s *switchConn) Release(id uint64) error {
	return s.send(message{Type: typeRelease, Call: callID(id)})
}

// AcknowledgeRelease says nothing: the API has no acknowledgement of ends.
func (s *switchConn) AcknowledgeRelease(uint64) error { return nil }

// ReplyToTest says nothing: WebSocket has pings of its own.
func (s *switchConn) ReplyToTest(uint64) error { return nil }

// Ping asks for a sign of life, which Read takes in.
func (s *switchConn) Ping(ctx context.Context) error { return s.conn.Ping(ctx) }

// Close ends the connection at once.
func (s *switchConn) Close() error {
	s.cancel()
	return s.conn.CloseNow()
}

func (s *switchConn) send(m message) error { return write(s.ctx, s.conn, m, trunk.WriteTimeout) }

func callID(id uint64) string { return fmt.Sprintf("%016x", id) }
