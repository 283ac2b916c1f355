// Package platform speaks the platform's binary protocol: to callers, to
// switches, and to the command channel that tells of switches.
package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"violetspan.example/violetspan/brain"
	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/sig"
)

const (
	readBuffer   = 4 << 10
	writeTimeout = 400 * time.Millisecond // below the drain grace: no byte leaves later than checked
	redialFirst  = 50 * time.Millisecond
	redialMost   = time.Second
)

// Up is what a link tells of its switch.
type Up interface {
	Answered(host string, id uint64, description []byte) bool
	Ended(host string, id uint64, e core.End)
	Group(host string, r brain.Report)
	Dead(host string)
}

// Link keeps one connection to one listed switch: group states and releases
// come on it also when nothing is sent.
type Link struct {
	member core.Member
	up     Up
	log    *slog.Logger
	dialIn time.Duration
	ctx    context.Context
	stop   context.CancelFunc
	turn   chan struct{} // held by whoever dials
	lost   chan struct{} // a connection has ended: the keeper dials again

	mu   sync.Mutex
	conn net.Conn
	open map[uint64]bool // set-ups out on conn, not answered
	next dialled

	writing sync.Mutex // one message at a time
}

// dialled is how the last dial went.
type dialled struct {
	at  time.Time
	err error
}

// NewLink makes a link and starts to connect.
func NewLink(ctx context.Context, m core.Member, up Up, dialIn time.Duration, log *slog.Logger) *Link {
	l := &Link{member: m, up: up, log: log.With("switch", m.ID, "addr", m.Addr), dialIn: dialIn,
		turn: make(chan struct{}, 1), lost: make(chan struct{}, 1), open: map[uint64]bool{}}
	l.ctx, l.stop = context.WithCancel(ctx)
	go l.keep()
	return l
}

// keep holds a connection up until the link closes.
func (l *Link) keep() {
	gap := redialFirst
	for {
		_, err := l.connect(l.ctx)
		if err == nil {
			gap = redialFirst
			select {
			case <-l.lost:
			case <-l.ctx.Done():
			}
		} else if l.ctx.Err() == nil {
			l.log.Debug("no connection", "error", err)
			if errors.Is(err, syscall.ECONNREFUSED) {
				l.up.Dead(l.member.ID) // nothing listens: its process is gone, and its calls with it
			}
			again := time.NewTimer(gap)
			select {
			case <-again.C:
			case <-l.ctx.Done():
				again.Stop()
			}
			gap = min(2*gap, redialMost)
		}
		if l.ctx.Err() != nil {
			return
		}
	}
}

// connect returns the connection, dialling if there is none. Who waits while
// another dials takes that dial's result.
func (l *Link) connect(ctx context.Context) (net.Conn, error) {
	asked := time.Now()
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-l.turn }()
	l.mu.Lock()
	conn, last := l.conn, l.next
	l.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	if last.err != nil && last.at.After(asked) {
		return nil, last.err
	}
	d := net.Dialer{Timeout: l.dialIn}
	conn, err := d.DialContext(l.ctx, "tcp", l.member.Addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next = dialled{time.Now(), err}
	if err != nil {
		return nil, err
	}
	l.conn = conn
	go l.read(conn)
	return conn, nil
}

// read takes in what the switch sends until the connection ends.
func (l *Link) read(conn net.Conn) {
	in := bufio.NewReaderSize(conn, readBuffer)
	var err error
	for err == nil {
		var m sig.Message
		if m, err = sig.Read(in); err == nil {
			l.take(&m)
		}
	}
	if l.ctx.Err() == nil && !errors.Is(err, io.EOF) {
		l.log.Warn("connection to a switch broke", "error", err)
	}
	l.drop(conn)
}

// drop gives a connection up: the set-ups that were open on it are over.
func (l *Link) drop(conn net.Conn) {
	conn.Close()
	l.mu.Lock()
	if l.conn != conn {
		l.mu.Unlock()
		return
	}
	l.conn = nil
	open := l.open
	l.open = map[uint64]bool{}
	l.mu.Unlock()
	for id := range open {
		l.up.Ended(l.member.ID, id, core.End{Result: brain.Reset})
	}
	select {
	case l.lost <- struct{}{}:
	default:
	}
}

// take acts on one message of the switch.
func (l *Link) take(m *sig.Message) {
	switch m.Type {
	case sig.Answer:
		l.forget(m.Call)
		if !l.up.Answered(l.member.ID, m.Call, m.Get(sig.ParamDescription)) {
			// The attempt was given up: what it set up is released, not passed on.
			l.log.Debug("late answer released", "call", callName(m.Call))
			l.Release(m.Call)
		}
	case sig.Release:
		l.forget(m.Call)
		e, err := end(m)
		if err != nil {
			l.log.Warn("release with an unknown cause", "call", callName(m.Call), "error", err)
		}
		l.up.Ended(l.member.ID, m.Call, e)
		heard := sig.Message{Type: sig.Heard, Call: m.Call}
		_ = l.write(l.current(), &heard, nil) // a lost one is sent again by the switch
	case sig.Group:
		r, err := groupState(m)
		if err != nil {
			l.log.Warn("group state skipped", "error", err)
			return
		}
		l.up.Group(l.member.ID, r)
	case sig.Test:
		passed := sig.WithCause(sig.Tested, m.Call, 1)
		_ = l.write(l.current(), &passed, nil)
	}
}

func (l *Link) forget(id uint64) {
	l.mu.Lock()
	delete(l.open, id)
	l.mu.Unlock()
}

func (l *Link) current() net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// write sends one message whole, or drops the connection.
func (l *Link) write(conn net.Conn, m *sig.Message, mayGo func() bool) error {
	if conn == nil {
		return core.ErrNotReached
	}
	b, err := m.Append(nil)
	if err != nil {
		return fmt.Errorf("%w: %w", core.ErrNotSent, err)
	}
	l.writing.Lock()
	defer l.writing.Unlock()
	if mayGo != nil && !mayGo() {
		return core.ErrNotSent
	}
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err == nil {
		_, err = conn.Write(b)
		if err == nil {
			return nil
		}
	}
	conn.Close() // its reader drops it
	return errors.New("connection broke during a write")
}

// SetUp sends a set-up, on a new connection if there is none.
func (l *Link) SetUp(ctx context.Context, s *core.SetUp, until time.Time, mayGo func() bool) error {
	conn, err := l.connect(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", core.ErrNotReached, err)
	}
	l.mu.Lock()
	if l.conn != conn {
		l.mu.Unlock()
		return core.ErrNotReached
	}
	l.open[s.ID] = true
	l.mu.Unlock()
	m := sig.Message{Type: sig.SetUp, Call: s.ID, Params: []sig.Param{
		{Code: sig.ParamClass, Value: []byte(s.ClassName)},
		{Code: sig.ParamWait, Value: strconv.AppendInt(nil, max(1, time.Until(until).Milliseconds()), 10)},
		{Code: sig.ParamNumber, Value: []byte(s.Number)},
		{Code: sig.ParamDescription, Value: s.Description},
	}}
	err = l.write(conn, &m, mayGo)
	if err != nil {
		l.forget(s.ID)
	}
	return err
}

// GiveUp tells the switch that a set-up is given up.
func (l *Link) GiveUp(id uint64) {
	l.forget(id)
	l.Release(id)
}

// Release tells the switch that a call is over. If there is no connection now,
// the call is over with it, or is released when the switch speaks of it again.
func (l *Link) Release(id uint64) {
	m := sig.WithCause(sig.Release, id, sig.CauseNormal)
	if err := l.write(l.current(), &m, nil); err != nil {
		l.log.Debug("release not sent", "call", callName(id), "error", err)
	}
}

// Close ends the link.
func (l *Link) Close() {
	l.stop()
	if conn := l.current(); conn != nil {
		conn.Close()
	}
}

func callName(id uint64) string { return fmt.Sprintf("%016x", id) }

// end reads why a switch released a call.
func end(m *sig.Message) (core.End, error) {
	e := core.End{Cause: notes[string(m.Get(sig.ParamNote))]}
	switch cause := m.Cause(); cause {
	case sig.CauseNoCircuit, sig.CauseCongestion:
		e.Result = brain.Full
	case sig.CauseBusy, sig.CauseResource:
		e.Result = brain.Error
	case sig.CauseTimer:
		e.Result = brain.Unused
	case sig.CauseTemporary:
		e.Result = brain.Reset
	case sig.CauseNormal:
		e.Result = brain.Ended
	default:
		e.Result = brain.Error
		return e, fmt.Errorf("cause %d", cause)
	}
	return e, nil
}

var notes = map[string]brain.Cause{
	"no_path":        brain.CauseCircuits,
	"sent_back":      brain.CauseTurnedBack,
	"queue_long":     brain.CauseProcessor,
	"line_taken":     brain.CauseNumber,
	"end_queue_long": brain.CauseBeyond,
}

// groupState reads a group's free circuits and size, and what else a switch
// tells of itself, by the names that the settings use for report columns.
func groupState(m *sig.Message) (brain.Report, error) {
	r := brain.NoReport
	for name, v := range sig.Figures(m.Get(sig.ParamReport)) {
		x, err := strconv.ParseFloat(v, 64)
		if err != nil || math.IsNaN(x) || math.Abs(x) > math.MaxInt32 {
			return r, fmt.Errorf("figure %s of %q", name, v)
		}
		if x < 0 {
			continue // not known
		}
		switch name {
		case "spare":
			r.Free = int(x)
		case "total":
			r.Size = int(x)
		case "mean_ms":
			r.Wait = time.Duration(x * float64(time.Millisecond))
		case "depth":
			r.Queue = x
		case "load_share":
			r.Util = x
		case "allowed":
			r.Rate = x
		case "cut_by":
			r.HoldBack = x
		}
	}
	return r, nil
}
