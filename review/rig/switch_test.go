//go:build review

package rig

import (
	"fmt"
	"net"
	"sync"
	"time"

	"violetspan.example/violetspan/internal/sig"
)

// lotSwitch is a switch of the platform's protocol. It answers each set-up after a moment and
// releases the call after its hold time. A release from the proxy, on whichever connection, cuts
// the call that it names, since a standing call is tied to no connection.
type lotSwitch struct {
	r        *run
	id       string
	addr     string
	answer   time.Duration // from the set-up to the answer
	hold     time.Duration
	circuits int // of the group towards it

	mu       sync.Mutex
	conns    []*switchSide // open connections
	count    int           // connections accepted so far
	calls    map[uint64]*switchCall
	released []uint64 // also to be released on the next connection
	ended    map[uint64]time.Time
	endedBy  map[uint64]string
}

// switchSide is the switch's side of one connection.
type switchSide struct {
	net.Conn
	n  int
	mu sync.Mutex
}

type switchCall struct {
	on    *switchSide
	stood bool
}

func newSwitch(r *run, id string, answer, hold time.Duration) *lotSwitch {
	ln := listen()
	s := &lotSwitch{r: r, id: id, addr: ln.Addr().String(), answer: answer, hold: hold, circuits: 120, calls: map[uint64]*switchCall{},
		ended: map[uint64]time.Time{}, endedBy: map[uint64]string{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *lotSwitch) serve(c net.Conn) {
	s.mu.Lock()
	s.count++
	side := &switchSide{Conn: c, n: s.count}
	s.conns = append(s.conns, side)
	released := s.released
	s.released = nil
	s.mu.Unlock()
	s.r.logf("%s: connection %d opened", s.id, side.n)
	side.send(sig.Message{Type: sig.GroupState, Params: []sig.Param{{Code: sig.ParamReport, Value: fmt.Appendf(nil, "spare:%d;total:%d", s.circuits, s.circuits)}}})
	for _, id := range released {
		side.send(sig.WithCause(sig.Release, id, sig.CauseNormal))
	}
	for {
		m, err := sig.Read(c)
		if err != nil {
			break
		}
		switch m.Type {
		case sig.SetUp:
			s.setUp(side, m)
		case sig.Release:
			s.release(side, m.Call)
		}
	}
	s.mu.Lock()
	for i, other := range s.conns {
		if other == side {
			s.conns = append(s.conns[:i:i], s.conns[i+1:]...)
			break
		}
	}
	for id, call := range s.calls {
		if call.on == side && !call.stood {
			delete(s.calls, id) // given up with its connection
		}
	}
	s.mu.Unlock()
	s.r.logf("%s: connection %d closed", s.id, side.n)
	c.Close()
}

func (side *switchSide) send(m sig.Message) {
	side.mu.Lock()
	defer side.mu.Unlock()
	send(side.Conn, m)
}

func (s *lotSwitch) setUp(side *switchSide, m sig.Message) {
	s.mu.Lock()
	if s.calls[m.Call] != nil {
		s.mu.Unlock()
		s.r.logf("%s: set-up %016x on connection %d: known, ignored", s.id, m.Call, side.n)
		return
	}
	call := &switchCall{on: side}
	s.calls[m.Call] = call
	delete(s.ended, m.Call)
	s.mu.Unlock()
	s.r.logf("%s: set-up %016x on connection %d", s.id, m.Call, side.n)
	time.AfterFunc(s.answer, func() {
		s.mu.Lock()
		if s.calls[m.Call] != call {
			s.mu.Unlock()
			return // given up
		}
		call.stood = true
		s.mu.Unlock()
		s.r.logf("%s: answer %016x on connection %d: the call stands", s.id, m.Call, side.n)
		side.send(sig.Message{Type: sig.Answer, Call: m.Call, Params: []sig.Param{
			{Code: sig.ParamDescription, Value: fmt.Appendf(m.Get(sig.ParamDescription), " at %s", s.id)}}})
		time.AfterFunc(s.hold, func() { s.end(m.Call, call) })
	})
}

// end releases a call at the end of its hold time: on its set-up's connection, otherwise on any
// open one, and also on the next one that is opened.
func (s *lotSwitch) end(id uint64, call *switchCall) {
	s.mu.Lock()
	if s.calls[id] != call {
		s.mu.Unlock()
		return
	}
	delete(s.calls, id)
	s.ended[id], s.endedBy[id] = time.Now(), bySwitch
	s.released = append(s.released, id)
	var on *switchSide
	for _, c := range s.conns {
		if on == nil || c == call.on {
			on = c
		}
	}
	s.mu.Unlock()
	if on == nil {
		s.r.logf("%s: call %016x ended, no connection open", s.id, id)
		return
	}
	s.r.logf("%s: call %016x ended, released on connection %d", s.id, id, on.n)
	on.send(sig.WithCause(sig.Release, id, sig.CauseNormal))
}

// release handles a release from the proxy.
func (s *lotSwitch) release(side *switchSide, id uint64) {
	s.mu.Lock()
	call := s.calls[id]
	delete(s.calls, id)
	what := "unknown call"
	if call != nil && call.stood {
		what = "the standing call is cut"
		s.ended[id], s.endedBy[id] = time.Now(), fmt.Sprintf("%s on connection %d", byProxy, side.n)
	} else if call != nil {
		what = "the set-up is given up"
	}
	s.mu.Unlock()
	s.r.logf("%s: release %016x from the proxy on connection %d: %s", s.id, id, side.n, what)
	side.send(sig.Message{Type: sig.ReleaseAck, Call: id})
}

// over returns when and why a call ended at the switch.
func (s *lotSwitch) over(id uint64) (at time.Time, by string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended[id], s.endedBy[id]
}

// What ends a call at a switch.
const (
	bySwitch = "the switch"
	byProxy  = "a release of the proxy"
)

// reportGroup reports the group's state at intervals, as it does when calls come and go.
func (s *lotSwitch) reportGroup(every time.Duration) {
	for i := 0; ; i++ {
		time.Sleep(every)
		s.mu.Lock()
		conns := append([]*switchSide(nil), s.conns...)
		s.mu.Unlock()
		for _, c := range conns {
			c.send(sig.Message{Type: sig.GroupState, Params: []sig.Param{{Code: sig.ParamReport, Value: fmt.Appendf(nil, "spare:%d;total:%d", s.circuits-20-i%3, s.circuits)}}})
		}
	}
}
