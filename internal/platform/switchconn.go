// Package platform implements the platform's protocols: the binary signalling protocol with
// callers and switches, and the command channel, which publishes the list of switches.
package platform

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/sig"
	"violetspan.example/violetspan/internal/trunk"
	"violetspan.example/violetspan/routing"
)

const readBufferSize = 1 << 10 // bytes; longer messages bypass the buffer

// waitForFirstByte waits for the first byte of a message, without a timeout. It and readMessage
// ignore an error in setting a deadline: the connection was closed, and messages read before
// that are still processed.
func waitForFirstByte(c net.Conn, in *bufio.Reader) error {
	if in.Buffered() > 0 {
		return nil
	}
	_ = c.SetReadDeadline(time.Time{})
	_, err := in.Peek(1)
	return err
}

// readMessage reads a message whose first byte has arrived, within the timeout.
func readMessage(c net.Conn, in *bufio.Reader, timeout time.Duration) (sig.Message, error) {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	return sig.Read(in)
}

// switchConn is a connection to a switch. It implements trunk.Conn.
type switchConn struct {
	net.Conn
	in         *bufio.Reader
	incomplete bool // the last Read returned trunk.ErrIncomplete
}

// Dial connects to a switch that speaks the binary protocol.
func Dial(ctx context.Context, addr string) (trunk.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &switchConn{Conn: c, in: bufio.NewReaderSize(c, readBufferSize)}, nil
}

// Read reads the next message. It returns an error, which ends the connection, for a malformed
// message and for a type that switches do not send: a corrupted answer may look like that, and
// nothing more arrives on such a connection although it stays open.
func (c *switchConn) Read() (trunk.Event, error) {
	if err := waitForFirstByte(c.Conn, c.in); err != nil {
		return trunk.Event{}, err
	}
	m, err := c.readMessage()
	if err != nil {
		return trunk.Event{}, err
	}
	ev := trunk.Event{Call: m.Call}
	switch m.Type {
	case sig.Answer:
		ev.Kind, ev.Description = trunk.Answer, m.Get(sig.ParamDescription)
		if ev.Description == nil {
			return ev, fmt.Errorf("%w: answer without a description", sig.ErrMalformed)
		}
	case sig.Release:
		ev.Kind = trunk.End
		ev.End, ev.Warning = releaseOutcome(&m)
	case sig.GroupState:
		if ev.Report, ev.Warning = parseReport(&m); ev.Warning == nil {
			ev.Kind = trunk.Group
		}
	case sig.Test:
		ev.Kind = trunk.Test
	case sig.Progress, sig.ReleaseAck, sig.TestResult:
	default:
		return ev, fmt.Errorf("%w: message type %d from a switch", sig.ErrMalformed, m.Type)
	}
	return ev, nil
}

// readMessage reads a message whose first byte has arrived, within trunk.MessageTimeout. If that
// passes, the error is trunk.ErrIncomplete, and the next call waits for the rest without a timeout. A
// message that is longer than the buffer can't be continued: the error is os.ErrDeadlineExceeded.
func (c *switchConn) readMessage() (sig.Message, error) {
	var deadline time.Time
	if !c.incomplete {
		deadline = time.Now().Add(trunk.MessageTimeout)
	}
	_ = c.SetReadDeadline(deadline)
	err := c.fillBuffer()
	c.incomplete = errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case c.incomplete:
		return sig.Message{}, trunk.ErrIncomplete
	case errors.Is(err, io.EOF):
		return sig.Message{}, io.ErrUnexpectedEOF
	case err != nil:
		return sig.Message{}, err
	}
	return sig.Read(c.in)
}

// fillBuffer waits until the buffer holds the next message, or as much of it as it can hold. It does not
// wait for the rest of what begins with an invalid length.
func (c *switchConn) fillBuffer() error {
	prefix, err := c.in.Peek(sig.LengthSize)
	if err != nil {
		return err
	}
	length := int(binary.BigEndian.Uint16(prefix))
	if !sig.IsValidLength(length) {
		return nil
	}
	_, err = c.in.Peek(min(sig.LengthSize+length, c.in.Size()))
	return err
}

// SetUp sends a set-up with its class, number and description unchanged, and the time left until
// the deadline as its wait (at least 1 ms).
func (c *switchConn) SetUp(setUp *core.SetUp, deadline time.Time) error {
	return c.send(sig.Message{Type: sig.SetUp, Call: setUp.ID, Params: []sig.Param{
		{Code: sig.ParamClass, Value: []byte(setUp.ClassName)},
		{Code: sig.ParamWait, Value: strconv.AppendInt(nil, max(1, time.Until(deadline).Milliseconds()), 10)},
		{Code: sig.ParamNumber, Value: []byte(setUp.Number)},
		{Code: sig.ParamDescription, Value: setUp.Description},
	}})
}

// Release sends the release of a call, with CauseNormal.
func (c *switchConn) Release(id uint64) error {
	return c.send(sig.WithCause(sig.Release, id, sig.CauseNormal))
}

// AcknowledgeRelease acknowledges the release of a call.
func (c *switchConn) AcknowledgeRelease(id uint64) error {
	return c.send(sig.Message{Type: sig.ReleaseAck, Call: id})
}

// ReplyToTest reports that a test has passed.
func (c *switchConn) ReplyToTest(id uint64) error {
	return c.send(sig.WithCause(sig.TestResult, id, 1))
}

// CloseWrite closes the sending direction of the connection.
func (c *switchConn) CloseWrite() error { return closeWrite(c.Conn) }

// Drain reads and discards data until the connection ends.
func (c *switchConn) Drain() error {
	_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection, which Copy reports
	_, err := io.Copy(io.Discard, c.Conn)
	return err
}

// closeWrite closes the sending direction of c, or returns errors.ErrUnsupported.
func closeWrite(c net.Conn) error {
	closer, ok := c.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return closer.CloseWrite()
}

func (c *switchConn) send(m sig.Message) error { return writeMessage(c.Conn, &m, trunk.WriteTimeout) }

// writeMessage sends a message within the timeout. The error wraps core.ErrNotSent if the
// message cannot be encoded.
func writeMessage(c net.Conn, m *sig.Message, timeout time.Duration) error {
	b, err := m.Append(nil)
	if err != nil {
		return fmt.Errorf("%w: %w", core.ErrNotSent, err)
	}
	if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	_, err = c.Write(b)
	return err
}

// releaseOutcome returns the outcome of a call that a switch released. For an unknown cause it
// returns routing.Failed and an error.
func releaseOutcome(m *sig.Message) (core.Outcome, error) {
	outcome := core.Outcome{Cause: causesByDetail[string(m.Get(sig.ParamCauseDetail))]}
	switch cause := m.Cause(); cause {
	case sig.CauseNoCircuit, sig.CauseCongestion:
		outcome.Result = routing.Refused
	case sig.CauseBusy, sig.CauseResourceUnavailable:
		outcome.Result = routing.Failed
	case sig.CauseTimerExpired:
		outcome.Result = routing.NotSent
	case sig.CauseTemporaryFailure:
		outcome.Result = routing.Reset
	case sig.CauseNormal:
		outcome.Result = routing.Ended
	default:
		outcome.Result = routing.Failed
		return outcome, fmt.Errorf("unknown cause %d", cause)
	}
	return outcome, nil
}

// causesByDetail holds the causes by the values of sig.ParamCauseDetail.
var causesByDetail = map[string]routing.Cause{
	"no_path":        routing.CauseNoCircuit,
	"sent_back":      routing.CauseTurnedBack,
	"queue_long":     routing.CauseProcessorFull,
	"line_taken":     routing.CauseNumberBusy,
	"end_queue_long": routing.CauseDestinationFull,
}

// parseReport returns a trunk group's free circuits and size, and the other values that a
// switch reports, which have the names that the settings use for report columns.
func parseReport(m *sig.Message) (routing.Report, error) {
	report := routing.NoReport
	for name, v := range sig.Pairs(m.Get(sig.ParamReport)) {
		if err := report.Set(name, v); err != nil {
			return report, fmt.Errorf("report value %s: %w", name, err)
		}
	}
	return report, nil
}
