// Package trunk keeps a connection to one listed switch open, whichever protocol the
// switch speaks, and finds out whether the calls established there still exist. A
// protocol package provides a Dial and a Conn; decide/liveness evaluates the evidence.
package trunk

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/routing"
)

// Conn is one connection to a switch. Read is called by one goroutine, the other methods
// by one goroutine at a time; each of these fails after WriteTimeout. Read fails on
// anything that can't be a message from a switch. The connection is then unusable,
// whether it stays open or not, unless the error is ErrIncomplete.
type Conn interface {
	Read() (Event, error)
	// SetUp sends a set-up that the switch must answer by the deadline. It returns an error
	// that wraps core.ErrNotSent if the set-up can't be encoded; the connection stays usable.
	SetUp(setUp *core.SetUp, deadline time.Time) error
	Release(id uint64) error
	AcknowledgeRelease(id uint64) error
	ReplyToTest(id uint64) error
	Close() error
}

// ErrIncomplete is returned by Conn.Read if a message is not complete MessageTimeout after its first
// byte. Read can be called again; it then waits for the rest without a timeout.
var ErrIncomplete = errors.New("a message is incomplete")

// HalfCloser is a Conn whose writing side can be closed while what the switch had sent by
// then is still read.
type HalfCloser interface {
	CloseWrite() error
}

// Drainer is a Conn that can be read to its end after Read has failed, discarding the data.
// Drain returns nil if the connection ends cleanly.
type Drainer interface {
	Drain() error
}

// Pinger is a Conn that can ping the switch. If a switch's Conn is no Pinger, the switch is probed
// by opening another connection to it.
type Pinger interface {
	Ping(ctx context.Context) error
}

// Dial opens a connection to a switch.
type Dial func(ctx context.Context, addr string) (Conn, error)

// MessageTimeout limits how long a message from a switch may take once it has begun: an
// incomplete message blocks all that follow it. The connection then takes no more set-ups.
const MessageTimeout = 500 * time.Millisecond

// WriteTimeout limits every write. It is below the drain grace period, so that no byte of
// a set-up is sent later than its check allows.
const WriteTimeout = 400 * time.Millisecond

// Kind is the kind of an Event.
type Kind int

// The kinds of events.
const (
	Ignored Kind = iota // a message that requires no action
	Answer
	End
	Group
	Test
)

// Event is one message from a switch.
type Event struct {
	Kind        Kind
	Call        uint64
	Description []byte         // of an Answer
	End         core.Outcome   // of an End
	Report      routing.Report // of a Group
	Warning     error          // why a part of the message was skipped; nil if none was
}

// Timeouts are the time limits of a link.
type Timeouts struct {
	Dial           time.Duration // for a dial
	Silence        time.Duration // for any message from a switch after a set-up was sent
	ReleaseBackoff time.Duration // before a call's next set-up to a switch, after its release was sent late
}

// dialLabel returns the metrics label of a dial's error.
func dialLabel(err error) string {
	switch {
	case err == nil:
		return metrics.DialConnected
	case isRefused(err):
		return metrics.DialRefused
	case isUnanswered(err):
		return metrics.DialTimeout
	}
	return metrics.DialOther
}

// isRefused reports whether a dial's error shows that nothing listens at the address.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isUnanswered reports whether a dial's error shows that the switch did not answer. Errors
// of the local machine, such as a lack of file descriptors, are no evidence about the switch.
func isUnanswered(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, context.DeadlineExceeded) ||
		errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

// formatCallID returns a call's id as it is logged: 16 hexadecimal digits.
func formatCallID(id uint64) string { return fmt.Sprintf("%016x", id) }
