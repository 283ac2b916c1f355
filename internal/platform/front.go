package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/sig"
)

// Calls is the core, as a front of callers sees it.
type Calls interface {
	Offer(s *core.SetUp, from core.Caller) error
	Leave(id uint64)
}

const (
	callerWrite = time.Second
	maxOrphans  = 4096
	orphanFor   = 8 * time.Second
	unheardFor  = 2 * time.Second
	callerIdle  = time.Minute // a connection without an open set-up that is silent for so long is closed
)

// Front takes calls from callers' connections.
type Front struct {
	Calls    Calls
	Classes  map[string]int // places of the classes
	MaxConns int
	Log      *slog.Logger
	idle     time.Duration
	rest     time.Duration // how long a message may take once it has begun

	mu      sync.Mutex
	conns   map[*conn]bool
	orphans chan orphan   // releases for any connection; see NewFront
	arrived chan struct{} // a connection was accepted
	wg      sync.WaitGroup
}

// orphan is the release of a call whose own connection is gone.
type orphan struct {
	id   uint64
	cut  bool
	till time.Time
}

// NewFront makes a front. Its Calls may be set later, but before Serve.
func NewFront(classes map[string]int, maxConns int, log *slog.Logger) *Front {
	return &Front{Classes: classes, MaxConns: maxConns, Log: log, idle: callerIdle, rest: 2 * time.Second, conns: map[*conn]bool{},
		orphans: make(chan orphan, maxOrphans), arrived: make(chan struct{}, 1)}
}

// conn is one connection from callers.
type conn struct {
	front *Front
	net.Conn
	mu   sync.Mutex      // one message at a time
	open map[uint64]bool // set-ups taken here and not answered; under front.mu

	// Releases sent here lately and not acknowledged, and whether this caller
	// acknowledges at all; under front.mu.
	unheard map[uint64]orphan
	hears   bool
}

// Serve accepts connections until the listener closes.
func (f *Front) Serve(ln net.Listener) error {
	quit := make(chan struct{})
	defer close(quit)
	f.wg.Go(func() { f.deliver(quit) })
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Most likely out of descriptors: the ones in use come back.
			f.Log.Warn("accept failed", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c := &conn{front: f, Conn: nc, open: map[uint64]bool{}, unheard: map[uint64]orphan{}}
		if !f.add(c) {
			f.Log.Warn("too many connections from callers", "limit", f.MaxConns)
			nc.Close()
			continue
		}
		f.wg.Go(c.read)
		select {
		case f.arrived <- struct{}{}:
		default:
		}
	}
}

func (f *Front) add(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.conns) >= f.MaxConns {
		return false
	}
	f.conns[c] = true
	return true
}

// Conns returns how many connections from callers are open.
func (f *Front) Conns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Close closes every connection and waits for their readers.
func (f *Front) Close() {
	f.mu.Lock()
	for c := range f.conns {
		c.Close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

// read takes in messages until the connection ends; the set-ups still open on
// it are given up then.
func (c *conn) read() {
	f := c.front
	in := bufio.NewReaderSize(c, readBuffer)
	var err error
	for err == nil {
		var m sig.Message
		if err = begun(c.Conn, in, time.Now().Add(f.idle)); errors.Is(err, os.ErrDeadlineExceeded) {
			if err = nil; c.owes() {
				continue
			}
			err = io.EOF // closed for its silence: no more news than an end
		}
		if err == nil {
			m, err = finish(c.Conn, in, f.rest)
		}
		if err == nil {
			c.take(&m, time.Now())
		}
	}
	if !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		f.Log.Warn("connection from a caller broke", "addr", c.RemoteAddr(), "error", err)
	}
	c.Close()
	f.mu.Lock()
	delete(f.conns, c)
	open, unheard := c.open, c.unheard
	c.open, c.unheard = map[uint64]bool{}, map[uint64]orphan{}
	if !c.hears {
		unheard = nil
	}
	f.mu.Unlock()
	for id := range open {
		f.Calls.Leave(id)
	}
	for _, o := range unheard {
		if time.Now().Before(o.till) {
			f.Orphan(o.id, o.cut) // it may have crossed the close
		}
	}
}

// owes says whether a set-up that came on the connection waits for its answer.
func (c *conn) owes() bool {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	return len(c.open) > 0
}

// take acts on one message of a caller, read whole at the given time.
func (c *conn) take(m *sig.Message, at time.Time) {
	f := c.front
	switch m.Type {
	case sig.SetUp:
		s, err := f.setUp(m, at)
		was := false
		if err == nil {
			f.mu.Lock()
			was, c.open[s.ID] = c.open[s.ID], true
			f.mu.Unlock()
			err = f.Calls.Offer(s, c)
		}
		switch {
		case errors.Is(err, core.ErrKnown):
			// Its first copy is answered where it came in, and is not given up when
			// this connection closes.
			if !was {
				f.mu.Lock()
				delete(c.open, s.ID)
				f.mu.Unlock()
			}
			f.Log.Warn("set-up of a known call", "call", fmt.Sprintf("%016x", m.Call))
		case errors.Is(err, core.ErrBusy):
			c.Refuse(m.Call, 0)
		case err != nil:
			f.Log.Warn("set-up that can't be read", "call", fmt.Sprintf("%016x", m.Call), "error", err)
			c.answer(m.Call, sig.WithCause(sig.Release, m.Call, sig.CauseContents))
		}
	case sig.Release:
		f.mu.Lock()
		delete(c.open, m.Call)
		f.mu.Unlock()
		f.Calls.Leave(m.Call)
		_ = c.send(&sig.Message{Type: sig.Heard, Call: m.Call})
	case sig.Heard:
		f.mu.Lock()
		c.hears = true
		delete(c.unheard, m.Call)
		f.mu.Unlock()
	case sig.Test:
		passed := sig.WithCause(sig.Tested, m.Call, 1)
		_ = c.send(&passed)
	}
}

// setUp reads a set-up. Parameters and figures that it does not know are skipped.
func (f *Front) setUp(m *sig.Message, at time.Time) (*core.SetUp, error) {
	s := &core.SetUp{ID: m.Call, Dest: -1, Width: 1, ClassName: string(m.Get(sig.ParamClass)),
		Tenant: string(m.Get(sig.ParamTenant)), Number: string(m.Get(sig.ParamNumber)),
		Description: m.Get(sig.ParamDescription)}
	var ok bool
	if s.Class, ok = f.Classes[s.ClassName]; !ok {
		return nil, fmt.Errorf("class %q is not known", s.ClassName)
	}
	wait, err := strconv.ParseFloat(string(m.Get(sig.ParamWait)), 64)
	if err != nil || wait < 0 || wait > 1e9 {
		return nil, fmt.Errorf("a wait of %q", m.Get(sig.ParamWait))
	}
	s.Deadline = at.Add(time.Duration(wait * float64(time.Millisecond)))
	for name, v := range sig.Figures(m.Get(sig.ParamFigures)) {
		var n int
		switch name {
		case "dest", "width", "transit", "again":
			if n, err = strconv.Atoi(v); err != nil {
				return nil, fmt.Errorf("figure %s of %q", name, v)
			}
		}
		switch name {
		case "dest":
			s.Dest = n
		case "width":
			s.Width = n
		case "transit":
			s.Transit = n != 0
		case "again":
			s.Again = n != 0
		}
	}
	if s.Dest < 0 {
		return nil, errors.New("no destination")
	}
	return s, nil
}

// Answer implements core.Caller, as do Refuse, Fail and Release.
func (c *conn) Answer(id uint64, description []byte) error {
	return c.answer(id, sig.Message{Type: sig.Answer, Call: id,
		Params: []sig.Param{{Code: sig.ParamDescription, Value: description}}})
}

// Refuse turns a call away. The protocol has no word for when to come back.
func (c *conn) Refuse(id uint64, _ time.Duration) {
	_ = c.answer(id, sig.WithCause(sig.Release, id, sig.CauseCongestion))
}

// Fail says that a call failed.
func (c *conn) Fail(id uint64) { _ = c.answer(id, sig.WithCause(sig.Release, id, sig.CauseTemporary)) }

// Release says that a call that stood is over, on any connection from callers.
// One that a close crosses is lost without an error, so it is remembered until
// the caller acknowledges it.
func (c *conn) Release(id uint64, cut bool) {
	f, now := c.front, time.Now()
	f.mu.Lock()
	for id, o := range c.unheard {
		if now.After(o.till) {
			delete(c.unheard, id)
		}
	}
	c.unheard[id] = orphan{id, cut, now.Add(unheardFor)}
	f.mu.Unlock()
	m := releaseOf(id, cut)
	if c.send(&m) != nil {
		f.mu.Lock()
		_, here := c.unheard[id]
		delete(c.unheard, id)
		again := here || !c.hears // else the end of the connection has sent it again
		f.mu.Unlock()
		if again {
			f.Orphan(id, cut)
		}
	}
}

func releaseOf(id uint64, cut bool) sig.Message {
	cause := sig.CauseNormal
	if cut {
		cause = sig.CauseTemporary
	}
	return sig.WithCause(sig.Release, id, cause)
}

// Orphan passes on the release of a call whose own connection is gone. It never
// blocks: the readers of switches call it, and a slow caller must not hold them.
func (f *Front) Orphan(id uint64, cut bool) {
	select {
	case f.orphans <- orphan{id, cut, time.Now().Add(orphanFor)}:
	default:
		f.Log.Error("a release is lost: too many wait for a connection", "call", fmt.Sprintf("%016x", id))
	}
}

// deliver sends orphans on any connection, or on the next one that opens.
func (f *Front) deliver(quit <-chan struct{}) {
	for {
		select {
		case o := <-f.orphans:
			for !f.sendAny(o) {
				limit := time.NewTimer(time.Until(o.till))
				select {
				case <-f.arrived:
				case <-quit:
					limit.Stop()
					return
				case <-limit.C:
					f.Log.Error("a release is lost: no connection from callers", "call", fmt.Sprintf("%016x", o.id))
				}
				if limit.Stop(); !time.Now().Before(o.till) {
					break
				}
			}
		case <-quit:
			return
		}
	}
}

// sendAny sends on any connection, first on those that no one is writing to.
func (f *Front) sendAny(o orphan) bool {
	m := releaseOf(o.id, o.cut)
	f.mu.Lock()
	var free, busy []*conn
	for c := range f.conns {
		if c.mu.TryLock() {
			c.mu.Unlock()
			free = append(free, c)
		} else {
			busy = append(busy, c)
		}
	}
	f.mu.Unlock()
	for _, c := range append(free, busy...) {
		if c.send(&m) == nil {
			return true
		}
	}
	return false
}

// answer gives a set-up its final answer.
func (c *conn) answer(id uint64, m sig.Message) error {
	c.front.mu.Lock()
	delete(c.open, id)
	c.front.mu.Unlock()
	return c.send(&m)
}

// send writes one message whole, or closes the connection.
func (c *conn) send(m *sig.Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := write(c.Conn, m, callerWrite)
	if err != nil {
		c.Close()
	}
	return err
}

// Listen opens the callers' listener.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(ctx, "tcp", addr)
}
