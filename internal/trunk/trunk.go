// Package trunk keeps the way to one listed switch open, whichever wire the
// switch speaks. A front brings the wire as a Dial and a Conn.
package trunk

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"violetspan.example/violetspan/brain"
	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
)

// Conn is one connection to a switch. Read is called by one goroutine; the
// other methods one at a time, and each gives up after WriteTimeout. Read fails
// on anything that can't be a switch's message: after that the connection is of
// no use, whether it stays open or not.
type Conn interface {
	Read() (Event, error)
	SetUp(s *core.SetUp, until time.Time) error
	Release(id uint64) error
	Heard(id uint64) error
	Passed(id uint64) error
	Close() error
}

// MessageRest bounds how long a message of a switch may take once it has begun:
// one that stops short holds up all that is behind it.
const MessageRest = 500 * time.Millisecond

// WriteTimeout bounds every write. It is below the drain grace, so that no byte
// of a set-up leaves later than its check allows.
const WriteTimeout = 400 * time.Millisecond

// Kind is what a switch said.
type Kind int

// The kinds of events.
const (
	Nothing Kind = iota // free of meaning here
	Answer
	End
	Group
	Test
)

// Event is one thing that a switch said.
type Event struct {
	Kind        Kind
	Call        uint64
	Description []byte       // of an answer
	End         core.End     // of an end
	Report      brain.Report // of a group's state
	Note        error        // why something in it was skipped
}

// Up is what a link tells of its switch.
type Up interface {
	Answered(host string, id uint64, description []byte) core.Verdict
	Ended(host string, id uint64, e core.End)
	Group(host string, r brain.Report)
	Dead(host string)
}

const (
	redialFirst = 50 * time.Millisecond
	redialMost  = time.Second

	maxOwed = 1024 // releases kept for a switch without a connection

)

// Link keeps one connection to one switch: group states and releases come on
// it also when nothing is sent. It implements core.Link.
type Link struct {
	member core.Member
	up     Up
	log    *slog.Logger
	dial   func(ctx context.Context, addr string) (Conn, error)
	times  Times
	count  *metrics.Set
	ctx    context.Context
	stop   context.CancelFunc
	group  errgroup.Group // the keeper and the readers
	turn   chan struct{}  // held by whoever dials
	lost   chan struct{}  // a connection has ended: the keeper dials again
	poke   chan struct{}  // a set-up went out after something was heard: the keeper watches

	mu    sync.Mutex
	conn  Conn
	done  bool            // closed: no new reader
	open  map[uint64]bool // set-ups out on conn, not answered
	owed  []uint64        // releases to send once there is a connection
	asked time.Time       // when the first set-up went out since something came; zero: none
	last  struct {        // how the last dial went
		at  time.Time
		err error
	}

	writing sync.Mutex // one message at a time
}

// Times bound what a link waits for.
type Times struct {
	Dial    time.Duration // a dial
	Silence time.Duration // a word from a switch that has a set-up
}

// New makes a link and starts to connect.
func New(ctx context.Context, m core.Member, up Up, times Times, log *slog.Logger, count *metrics.Set,
	dial func(ctx context.Context, addr string) (Conn, error)) *Link {
	l := &Link{member: m, up: up, log: log.With("switch", m.ID, "addr", m.Addr), dial: dial, times: times, count: count,
		turn: make(chan struct{}, 1), lost: make(chan struct{}, 1), poke: make(chan struct{}, 1), open: map[uint64]bool{}}
	l.ctx, l.stop = context.WithCancel(ctx)
	l.group.Go(l.keep)
	return l
}

// keep holds a connection up until the link closes.
func (l *Link) keep() error {
	gap := redialFirst
	for l.ctx.Err() == nil {
		if _, err := l.connect(l.ctx); err == nil {
			gap = redialFirst
			l.watch()
			continue
		} else if errors.Is(err, syscall.ECONNREFUSED) {
			l.up.Dead(l.member.ID) // nothing listens: its process is gone, and its calls with it
			l.mu.Lock()
			l.owed = nil
			l.mu.Unlock()
		}
		again := time.NewTimer(gap)
		select {
		case <-again.C:
		case <-l.ctx.Done():
			again.Stop()
		}
		gap = min(2*gap, redialMost)
	}
	return nil
}

// watch waits until the connection ends, and ends it when it is silent though a
// set-up is out. Without one it may be silent: a switch that drains takes no new
// connection, and a release of what stands there can come on this one alone.
func (l *Link) watch() {
	for {
		l.mu.Lock()
		conn, asked := l.conn, l.asked
		l.mu.Unlock()
		limit := time.NewTimer(time.Hour)
		if conn != nil && !asked.IsZero() {
			limit.Reset(time.Until(asked.Add(l.times.Silence)))
		}
		select {
		case <-l.lost:
			limit.Stop()
			return
		case <-l.ctx.Done():
			limit.Stop()
			return
		case <-l.poke: // a set-up is the first since something was heard
			limit.Stop()
			continue
		case <-limit.C:
		}
		l.mu.Lock()
		silent := conn != nil && !asked.IsZero() && l.conn == conn && l.asked.Equal(asked)
		l.mu.Unlock()
		if silent {
			l.log.Warn("connection to a switch is silent", "for", l.times.Silence)
			l.count.SwitchConnsClosed.WithLabelValues(metrics.CloseSilent).Inc()
			conn.Close()
			<-l.lost // its reader says so once what was open is settled
			return
		}
	}
}

// said notes that something came on a connection.
func (l *Link) said() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked = time.Time{}
}

// connect returns the connection, dialling if there is none. Who waits while
// another dials takes that dial's result.
func (l *Link) connect(ctx context.Context) (Conn, error) {
	asked := time.Now()
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-l.turn }()
	l.mu.Lock()
	conn, last := l.conn, l.last
	l.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	if last.err != nil && last.at.After(asked) {
		return nil, last.err
	}
	dctx, cancel := context.WithTimeout(l.ctx, l.times.Dial)
	defer cancel()
	conn, err := l.dial(dctx, l.member.Addr)
	l.mu.Lock()
	if err == nil && l.done {
		conn.Close() // the link was closed during the dial
		err = context.Canceled
	}
	failedBefore := l.last.err != nil
	l.last.at, l.last.err = time.Now(), err
	l.count.Dials.WithLabelValues(dialResult(err)).Inc()
	if err != nil {
		l.mu.Unlock()
		if !failedBefore { // the first of a series; the others are counted
			l.log.Warn("no connection to a switch", "error", err)
		}
		return nil, err
	}
	owed := l.owed
	l.owed = nil
	l.mu.Unlock()
	// Before any set-up goes out: it may be of the same call.
	for len(owed) > 0 && l.write(conn, nil, func() error { return conn.Release(owed[0]) }) == nil {
		owed = owed[1:]
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range owed {
		l.owe(id) // this connection broke at once: its reader finds that out
	}
	if l.done {
		conn.Close()
		return nil, context.Canceled
	}
	l.conn, l.asked = conn, time.Time{}
	l.group.Go(func() error {
		l.read(conn)
		return nil
	})
	return conn, nil
}

// dialResult is the metrics label of a dial's error.
func dialResult(err error) string {
	var timeout interface{ Timeout() bool }
	switch {
	case err == nil:
		return metrics.DialUp
	case errors.Is(err, syscall.ECONNREFUSED):
		return metrics.DialRefused
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, context.DeadlineExceeded):
		return metrics.DialTimeout
	}
	return metrics.DialOther
}

// read takes in what the switch says until the connection ends. Then the
// set-ups that were open on it are over. Any of them may have run, and its answer
// may be what was lost: the switch is told of their end on the next connection.
func (l *Link) read(conn Conn) {
	for {
		ev, err := conn.Read()
		if err != nil {
			switch {
			case l.ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			case errors.Is(err, io.EOF):
				l.log.Info("connection to a switch closed by it")
				l.count.SwitchConnsClosed.WithLabelValues(metrics.CloseByPeer).Inc()
			default:
				l.log.Warn("connection to a switch broke", "error", err)
				l.count.SwitchConnsClosed.WithLabelValues(metrics.CloseBroken).Inc()
			}
			break
		}
		l.said()
		if ev.Note != nil {
			l.log.Warn("message of a switch with something unknown", "error", ev.Note)
		}
		l.take(conn, ev)
	}
	conn.Close()
	l.mu.Lock()
	open := l.open
	l.conn, l.open = nil, map[uint64]bool{}
	for id := range open {
		l.owe(id)
	}
	l.mu.Unlock()
	for id := range open {
		l.up.Ended(l.member.ID, id, core.End{Result: brain.Reset})
	}
	select {
	case l.lost <- struct{}{}:
	default:
	}
}

// take acts on what the switch said. A lost reply is made good by its repeat.
func (l *Link) take(conn Conn, ev Event) {
	switch ev.Kind {
	case Answer:
		l.forget(ev.Call)
		switch l.up.Answered(l.member.ID, ev.Call, ev.Description) {
		case core.Late:
			// The attempt was given up: what it set up is released, not passed on.
			l.log.Debug("late answer released", "call", name(ev.Call))
			l.Release(ev.Call)
		case core.Copy, core.Unknown:
			// A release would end a call that stands, or one of somebody else.
			l.log.Debug("answer dropped: a copy, or of an unknown call", "call", name(ev.Call))
		}
	case End:
		l.forget(ev.Call)
		l.up.Ended(l.member.ID, ev.Call, ev.End)
		_ = l.write(conn, nil, func() error { return conn.Heard(ev.Call) })
	case Group:
		l.up.Group(l.member.ID, ev.Report)
	case Test:
		_ = l.write(conn, nil, func() error { return conn.Passed(ev.Call) })
	}
}

func (l *Link) forget(id uint64) {
	l.mu.Lock()
	delete(l.open, id)
	l.mu.Unlock()
}

func (l *Link) current() Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// write sends one message whole, or closes the connection: its reader then
// ends what was open on it.
func (l *Link) write(conn Conn, mayGo func() bool, send func() error) error {
	l.writing.Lock()
	defer l.writing.Unlock()
	if mayGo != nil && !mayGo() {
		return core.ErrNotSent
	}
	err := send()
	if errors.Is(err, core.ErrNotSent) {
		return err // this message can't be sent; the connection is sound
	}
	if err != nil {
		conn.Close()
		return fmt.Errorf("connection broke during a write: %w", err)
	}
	return nil
}

// SetUp implements core.Link. It sends on a new connection if there is none.
func (l *Link) SetUp(ctx context.Context, s *core.SetUp, until time.Time, mayGo func() bool) error {
	if _, err := l.connect(ctx); err != nil {
		return fmt.Errorf("%w: %w", core.ErrNotReached, err)
	}
	l.mu.Lock()
	conn := l.conn
	if conn != nil {
		l.open[s.ID] = true // before the write: the answer may be quick
	}
	l.mu.Unlock()
	if conn == nil {
		return core.ErrNotReached // it ended a moment ago
	}
	err := l.write(conn, mayGo, func() error { return conn.SetUp(s, until) })
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		delete(l.open, s.ID)
	} else if l.conn == conn && l.open[s.ID] && l.asked.IsZero() {
		l.asked = time.Now()
		select {
		case l.poke <- struct{}{}:
		default:
		}
	}
	return err
}

// GiveUp tells the switch that a set-up is given up.
func (l *Link) GiveUp(id uint64) {
	l.forget(id)
	l.Release(id)
}

// Release tells the switch that a call is over: now, or without a connection,
// first thing on the next one. Past maxOwed the switch is told when it speaks
// of the call again.
func (l *Link) Release(id uint64) {
	l.mu.Lock()
	conn := l.conn
	if conn == nil {
		l.owe(id)
	}
	l.mu.Unlock()
	if conn == nil {
		return
	}
	if err := l.write(conn, nil, func() error { return conn.Release(id) }); err != nil {
		l.log.Debug("release not sent", "call", name(id), "error", err)
	}
}

// owe keeps a release for the next connection. The lock is held.
func (l *Link) owe(id uint64) {
	if len(l.owed) < maxOwed {
		l.owed = append(l.owed, id)
	}
}

// Close ends the link and waits for its goroutines.
func (l *Link) Close() {
	l.stop()
	l.mu.Lock()
	l.done = true
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
	_ = l.group.Wait()
}

func name(id uint64) string { return fmt.Sprintf("%016x", id) }
