// Package trunk keeps the way to one listed switch open, whichever wire the switch
// speaks, and finds out whether the calls that stand there are still there. A front
// brings the wire as a Dial and a Conn; decide/liveness judges the evidence.
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

// Conn is one connection to a switch. Read is called by one goroutine; the
// other methods one at a time, and each gives up after WriteTimeout. Read fails
// on anything that can't be a switch's message: after that the connection is of
// no use, whether it stays open or not.
type Conn interface {
	Read() (Event, error)
	SetUp(s *core.SetUp, until time.Time) error
	Release(id uint64) error
	AcknowledgeRelease(id uint64) error
	ReplyToTest(id uint64) error
	Close() error
}

// HalfCloser is a Conn that can say that nothing more will be written, and still read
// what the switch had said by then.
type HalfCloser interface {
	CloseWrite() error
}

// Drainer is a Conn that can be read on after Read has failed, without sense to be made of
// it, until it ends: with nil for a clean end.
type Drainer interface {
	Drain() error
}

// Pinger is a Conn that can ask for a sign of life. Without one, a switch is verified by
// another connection to it.
type Pinger interface {
	Ping(ctx context.Context) error
}

// Dial opens a connection to a switch.
type Dial func(ctx context.Context, addr string) (Conn, error)

// MessageTimeout bounds how long a message of a switch may take once it has begun:
// one that stops short holds up all that is behind it.
const MessageTimeout = 500 * time.Millisecond

// WriteTimeout bounds every write. It is below the drain grace, so that no byte
// of a set-up leaves later than its check allows.
const WriteTimeout = 400 * time.Millisecond

// Kind is what a switch said.
type Kind int

// The kinds of events.
const (
	Ignored Kind = iota // free of meaning here
	Answer
	End
	Group
	Test
)

// Event is one thing that a switch said.
type Event struct {
	Kind        Kind
	Call        uint64
	Description []byte         // of an answer
	End         core.End       // of an end
	Report      routing.Report // of a group's state
	Warning     error          // why something in it was skipped
}

// Timeouts bound what a link waits for.
type Timeouts struct {
	Dial           time.Duration // a dial
	Silence        time.Duration // a word from a switch that has a set-up
	ReleaseBackoff time.Duration // a call's next set-up to a switch after a release that went out late
}

// dialResult is the metrics label of a dial's error.
func dialResult(err error) string {
	switch {
	case err == nil:
		return metrics.DialUp
	case isRefused(err):
		return metrics.DialRefused
	case isUnanswered(err):
		return metrics.DialTimeout
	}
	return metrics.DialOther
}

// isRefused says whether a dial's error shows that nothing listens there.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// isUnanswered says whether a dial's error shows that nothing came back. Errors of this
// machine, such as a lack of descriptors, say nothing of the switch.
func isUnanswered(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, context.DeadlineExceeded) ||
		errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

// callName is a call's id as logs have it.
func callName(id uint64) string { return fmt.Sprintf("%016x", id) }
