// Package platform speaks the platform's binary protocol: to callers, to
// switches, and to the command channel that tells of switches.
package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/sig"
	"violetspan.example/violetspan/internal/trunk"
	"violetspan.example/violetspan/routing"
)

const readBuffer = 1 << 10 // longer messages are read past it

// begun waits for the first byte of a message, without a limit.
// Here and in finish a deadline that can't be set is no error: the connection
// has been closed, and what was read before that still counts.
func begun(c net.Conn, in *bufio.Reader) error {
	if in.Buffered() > 0 {
		return nil
	}
	_ = c.SetReadDeadline(time.Time{})
	_, err := in.Peek(1)
	return err
}

// finish reads the message that has begun.
func finish(c net.Conn, in *bufio.Reader, within time.Duration) (sig.Message, error) {
	_ = c.SetReadDeadline(time.Now().Add(within))
	return sig.Read(in)
}

// switchConn is a connection to a switch; see trunk.Conn.
type switchConn struct {
	net.Conn
	in *bufio.Reader
}

// Dial connects to a switch that speaks the binary protocol.
func Dial(ctx context.Context, addr string) (trunk.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &switchConn{c, bufio.NewReaderSize(c, readBuffer)}, nil
}

// Read reads the next message. What is malformed ends the connection, as does a
// message that no switch sends: a spoilt answer may look like one, and nothing
// comes on its connection any more though it stays open.
func (c *switchConn) Read() (trunk.Event, error) {
	if err := begun(c.Conn, c.in); err != nil {
		return trunk.Event{}, err
	}
	m, err := finish(c.Conn, c.in, trunk.MessageTimeout)
	if err != nil {
		return trunk.Event{}, err
	}
	ev := trunk.Event{Call: m.Call}
	switch m.Type {
	case sig.Answer:
		ev.Kind, ev.Description = trunk.Answer, m.Get(sig.ParamDescription)
		if ev.Description == nil {
			return ev, fmt.Errorf("%w: an answer without a description", sig.ErrMalformed)
		}
	case sig.Release:
		ev.Kind = trunk.End
		ev.End, ev.Warning = end(&m)
	case sig.GroupState:
		if ev.Report, ev.Warning = groupState(&m); ev.Warning == nil {
			ev.Kind = trunk.Group
		}
	case sig.Test:
		ev.Kind = trunk.Test
	case sig.Progress, sig.ReleaseAck, sig.TestResult:
	default:
		return ev, fmt.Errorf("%w: type %d of a switch", sig.ErrMalformed, m.Type)
	}
	return ev, nil
}

// SetUp sends a set-up: class, number and description as they came.
func (c *switchConn) SetUp(s *core.SetUp, until time.Time) error {
	return c.send(sig.Message{Type: sig.SetUp, Call: s.ID, Params: []sig.Param{
		{Code: sig.ParamClass, Value: []byte(s.ClassName)},
		{Code: sig.ParamWait, Value: strconv.AppendInt(nil, max(1, time.Until(until).Milliseconds()), 10)},
		{Code: sig.ParamNumber, Value: []byte(s.Number)},
		{Code: sig.ParamDescription, Value: s.Description},
	}})
}

func (c *switchConn) Release(id uint64) error {
	return c.send(sig.WithCause(sig.Release, id, sig.CauseNormal))
}

// AcknowledgeRelease says that a release was heard.
func (c *switchConn) AcknowledgeRelease(id uint64) error {
	return c.send(sig.Message{Type: sig.ReleaseAck, Call: id})
}

// ReplyToTest says that a test has passed.
func (c *switchConn) ReplyToTest(id uint64) error {
	return c.send(sig.WithCause(sig.TestResult, id, 1))
}

// CloseWrite says that nothing more will be written.
func (c *switchConn) CloseWrite() error { return closeWrite(c.Conn) }

// Drain reads on until the connection ends.
func (c *switchConn) Drain() error {
	_ = c.SetReadDeadline(time.Time{}) // one that can't be set is closed, which Copy finds out
	_, err := io.Copy(io.Discard, c.Conn)
	return err
}

// closeWrite ends one direction of a connection.
func closeWrite(c net.Conn) error {
	half, ok := c.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

func (c *switchConn) send(m sig.Message) error { return write(c.Conn, &m, trunk.WriteTimeout) }

// write sends one message whole within a time.
func write(c net.Conn, m *sig.Message, within time.Duration) error {
	b, err := m.Append(nil)
	if err != nil {
		return fmt.Errorf("%w: %w", core.ErrNotSent, err)
	}
	if err := c.SetWriteDeadline(time.Now().Add(within)); err != nil {
		return err
	}
	_, err = c.Write(b)
	return err
}

// end reads why a switch released a call.
func end(m *sig.Message) (core.Outcome, error) {
	e := core.Outcome{Cause: notes[string(m.Get(sig.ParamCauseDetail))]}
	switch cause := m.Cause(); cause {
	case sig.CauseNoCircuit, sig.CauseCongestion:
		e.Result = routing.Refused
	case sig.CauseBusy, sig.CauseResourceUnavailable:
		e.Result = routing.Failed
	case sig.CauseTimerExpired:
		e.Result = routing.NotSent
	case sig.CauseTemporaryFailure:
		e.Result = routing.Reset
	case sig.CauseNormal:
		e.Result = routing.Ended
	default:
		e.Result = routing.Failed
		return e, fmt.Errorf("cause %d", cause)
	}
	return e, nil
}

var notes = map[string]routing.Cause{
	"no_path":        routing.CauseNoCircuit,
	"sent_back":      routing.CauseTurnedBack,
	"queue_long":     routing.CauseProcessorFull,
	"line_taken":     routing.CauseNumberBusy,
	"end_queue_long": routing.CauseDestinationFull,
}

// groupState reads a group's free circuits and size, and what else a switch
// tells of itself, by the names that the settings use for report columns.
func groupState(m *sig.Message) (routing.Report, error) {
	r := routing.NoReport
	for name, v := range sig.Pairs(m.Get(sig.ParamReport)) {
		if err := r.Set(name, v); err != nil {
			return r, fmt.Errorf("figure %s: %w", name, err)
		}
	}
	return r, nil
}
