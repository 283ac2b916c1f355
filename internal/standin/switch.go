package standin

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"violetspan.example/violetspan/internal/sig"
)

// FaultRates holds the probability of each fault in a switch's handling of a set-up, from 0 to 1.
// At most one of ProcessorFull to DuplicateAnswer applies to a set-up; if none of ProcessorFull to
// Malformed does, the set-up is answered.
type FaultRates struct {
	ProcessorFull   float64 // refuses the set-up with the cause detail queue_long
	Failure         float64 // refuses the set-up with CauseResourceUnavailable
	NoAnswer        float64 // never answers the set-up
	ConnReset       float64 // resets the connection of the set-up
	Malformed       float64 // replies with bytes that are no valid message
	DuplicateAnswer float64 // sends the answer twice
	SplitWrites     float64 // writes a message byte by byte; drawn per message, independently of the others
}

// HoldTimes is the range from which the duration of an established call is drawn.
type HoldTimes struct{ Min, Max time.Duration }

// Switch simulates one switch for several proxies, with a Port for each.
type Switch struct {
	ID         string
	Exchange   int
	Ledger     *Ledger
	FaultRates FaultRates
	HoldTimes  HoldTimes

	mu         sync.Mutex // guards all below
	rng        *rand.Rand
	ports      map[string]*switchPort // by proxy
	draining   bool
	poweredOff bool
}

// switchPort is the port of a switch for one proxy, with the connections and calls of that proxy.
type switchPort struct {
	*Port
	proxy string
	sw    *Switch
	// groupQueued is set while a report of the group waits to be written: it will show later changes too.
	groupQueued atomic.Bool

	mu              sync.Mutex // guards all below
	conns           []*PortConn
	calls           map[uint64]*switchCall
	pendingReleases []uint64       // releases that are also sent on the next connection
	connCount       int            // number of connections accepted so far
	releasedOn      map[uint64]int // by released call: the number of the connection that carried the release
}

// switchCall is a set-up or an established call.
type switchCall struct {
	conn        *PortConn
	established bool
}

// groupSize is the number of circuits of the group between a switch and the exchange of one proxy. A call
// takes one of them from its set-up until it ends.
const groupSize = 1000

// closeNoticeDelay is how long a switch takes, after a silence or a write, to notice that the
// peer has closed the connection.
const closeNoticeDelay = 20 * time.Millisecond

// NewSwitch returns a switch that does not listen yet.
func NewSwitch(id string, exchange int, ledger *Ledger, faultRates FaultRates, holdTimes HoldTimes, seed uint64) *Switch {
	return &Switch{ID: id, Exchange: exchange, Ledger: ledger, FaultRates: faultRates, HoldTimes: holdTimes,
		rng: rand.New(rand.NewPCG(seed, uint64(exchange))), ports: map[string]*switchPort{}}
}

// Listen opens a port for a proxy.
func (s *Switch) Listen(proxy, addr string) error {
	p := &switchPort{proxy: proxy, sw: s, calls: map[uint64]*switchCall{}, releasedOn: map[uint64]int{}}
	p.Port = NewPort(addr, p.serve)
	s.mu.Lock()
	s.ports[proxy] = p
	s.mu.Unlock()
	return p.Open()
}

// Addr returns the address at which a proxy reaches the switch.
func (s *Switch) Addr(proxy string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ports[proxy].Addr()
}

func (s *Switch) forEachPort(do func(p *switchPort)) {
	s.mu.Lock()
	ports := make([]*switchPort, 0, len(s.ports))
	for _, p := range s.ports {
		ports = append(ports, p)
	}
	s.mu.Unlock()
	for _, p := range ports {
		do(p)
	}
}

// PowerOff simulates a loss of power: calls end without a release, open connections are silent
// and no new one is established.
func (s *Switch) PowerOff() error {
	s.mu.Lock()
	s.poweredOff = true
	s.mu.Unlock()
	s.forEachPort(func(p *switchPort) {
		p.Hang()
		p.endAll(false)
	})
	return s.Partition("")
}

// Partition makes the connections of one proxy silent and lets no new one be established; with ""
// those of all proxies. Restore ends it.
func (s *Switch) Partition(proxy string) error {
	var group errgroup.Group // at the same time, as each port takes a while
	s.forEachPort(func(p *switchPort) {
		if proxy == "" || p.proxy == proxy {
			group.Go(p.Partition)
		}
	})
	return group.Wait()
}

// Restore ends the effect of Partition or Hang.
func (s *Switch) Restore() error {
	var failed error
	s.forEachPort(func(p *switchPort) {
		if err := p.Restore(); err != nil {
			failed = err
		}
	})
	return failed
}

// ForgetIdleConns simulates a network that drops connections which carried nothing for the given time,
// and answers what is sent on them later with a reset. Zero: it drops none.
func (s *Switch) ForgetIdleConns(after time.Duration) {
	s.forEachPort(func(p *switchPort) { p.ForgetIdleConns(after) })
}

// Hang suspends the process until Restore.
func (s *Switch) Hang() { s.forEachPort(func(p *switchPort) { p.Hang() }) }

// HangConns makes the open connections silent; new ones are served.
func (s *Switch) HangConns() { s.forEachPort(func(p *switchPort) { p.HangConns() }) }

// ResumeConns ends the effect of HangConns.
func (s *Switch) ResumeConns() { s.forEachPort(func(p *switchPort) { p.ResumeConns() }) }

// Kill ends the process: its calls end, connections are reset and new ones refused.
func (s *Switch) Kill() {
	s.forEachPort(func(p *switchPort) {
		p.endAll(false)
		p.StopListening()
		p.ResetConns()
	})
}

// Start starts a killed process again.
func (s *Switch) Start() error {
	var failed error
	s.forEachPort(func(p *switchPort) {
		if err := p.Open(); err != nil {
			failed = err
		}
	})
	return failed
}

// Drain refuses new connections and new set-ups; established calls continue.
func (s *Switch) Drain() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.forEachPort(func(p *switchPort) { p.StopListening() })
}

// ResetConns resets the open connections; the process keeps running.
func (s *Switch) ResetConns() {
	s.forEachPort(func(p *switchPort) {
		p.mu.Lock()
		conns := slices.Clone(p.conns)
		p.mu.Unlock()
		p.ResetConns()
		for _, c := range conns {
			p.connClosed(c) // without waiting for its reader, which may still be handling a message
		}
	})
}

// ReassignAddresses frees the switch's addresses for another machine.
func (s *Switch) ReassignAddresses() {
	s.forEachPort(func(p *switchPort) { p.ReassignAddress() })
}

// Close closes all ports of the switch.
func (s *Switch) Close() { s.forEachPort(func(p *switchPort) { p.Close() }) }

// EstablishedCalls returns the number of calls established at the switch.
func (s *Switch) EstablishedCalls() (n int) {
	s.forEachPort(func(p *switchPort) {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range p.calls {
			if c.established {
				n++
			}
		}
	})
	return n
}

func (s *Switch) randomFloat() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

func (s *Switch) randomHoldTime() time.Duration {
	return s.HoldTimes.Min + time.Duration(s.randomFloat()*float64(s.HoldTimes.Max-s.HoldTimes.Min))
}

// endAll ends all set-ups and calls; with sendReleases, established calls are released.
func (p *switchPort) endAll(sendReleases bool) {
	p.mu.Lock()
	calls := p.calls
	p.calls = map[uint64]*switchCall{}
	p.mu.Unlock()
	for id, c := range calls {
		p.sw.Ledger.AttemptEnded(id, p.sw.ID, false)
		if c.established {
			p.sw.Ledger.CallEnded(id)
			if sendReleases {
				p.releaseCall(id, c.conn)
			}
		}
	}
}

// groupReport builds a report of the group's free circuits, as they are now.
func (p *switchPort) groupReport() sig.Message {
	p.groupQueued.Store(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	report := fmt.Appendf(nil, "spare:%d;total:%d", groupSize-len(p.calls), groupSize)
	return sig.Message{Type: sig.GroupState, Params: []sig.Param{{Code: sig.ParamReport, Value: report}}}
}

// groupChanged reports the free circuits on an open connection, without waiting until that is done.
func (p *switchPort) groupChanged() {
	if c := p.openConn(nil); c != nil && !p.groupQueued.Swap(true) {
		go p.sendMessage(c, p.groupReport)
	}
}

// serve handles a proxy's messages on one connection until it ends.
func (p *switchPort) serve(c *PortConn) {
	c.messageMu.Lock() // the report of the group is the first message
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.connCount++
	connNumber := p.connCount
	pendingReleases := p.pendingReleases
	p.pendingReleases = nil
	p.mu.Unlock()
	go func() { // a switch reads while it writes
		p.writeMessage(c, p.groupReport)
		c.messageMu.Unlock()
		for _, id := range pendingReleases {
			p.sendRelease(c, id)
		}
	}()
	in := bufio.NewReader(c)
	for {
		m, err := sig.Read(in)
		if err != nil {
			break
		}
		switch m.Type {
		case sig.SetUp:
			if c.stale {
				// The set-up was written while the switch was silent. The proxy may have
				// given it up since, with a release that follows on this connection.
				p.sw.Ledger.Count("set-ups to a silent switch")
				continue
			}
			p.handleSetUp(c, connNumber, m)
		case sig.Release:
			p.handleRelease(connNumber, m.Call)
		}
	}
	p.connClosed(c)
	c.messageMu.Lock() // waits until a message in progress is written completely
	defer c.messageMu.Unlock()
}

// connClosed removes an ended connection and ends its unanswered set-ups.
func (p *switchPort) connClosed(c *PortConn) {
	backoff := !p.recentlySilent()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.conns {
		if other == c {
			p.conns = append(p.conns[:i:i], p.conns[i+1:]...)
			break
		}
	}
	for id, call := range p.calls {
		if call.conn == c && !call.established {
			delete(p.calls, id)
			p.sw.Ledger.AttemptEnded(id, p.sw.ID, backoff)
		}
	}
}

// handleSetUp handles a set-up that arrived on connection connNumber: it draws either a fault or an
// answer after 1 to 10 ms.
func (p *switchPort) handleSetUp(c *PortConn, connNumber int, m sig.Message) {
	s := p.sw
	p.mu.Lock()
	overtaken := p.releasedOn[m.Call] > connNumber
	p.mu.Unlock()
	if overtaken {
		s.Ledger.Count("set-ups overtaken by a release on a newer connection")
		return
	}
	s.Ledger.AttemptStarted(m.Call, s.ID)
	s.mu.Lock()
	draining, faultRates := s.draining, s.FaultRates
	s.mu.Unlock()
	call := &switchCall{conn: c}
	p.mu.Lock()
	p.calls[m.Call] = call
	p.mu.Unlock()
	draw := s.randomFloat()
	drawn := func(probability float64) bool {
		draw -= probability
		return draw < 0
	}
	switch {
	case draining || drawn(faultRates.ProcessorFull):
		p.refuse(c, m.Call, sig.CauseNoCircuit, "queue_long")
	case drawn(faultRates.Failure):
		p.refuse(c, m.Call, sig.CauseResourceUnavailable, "")
	case drawn(faultRates.NoAnswer):
	case drawn(faultRates.ConnReset):
		p.endAttempt(m.Call, true)
		_ = c.SetLinger(0)
		c.TCPConn.Close()
	case drawn(faultRates.Malformed):
		p.endAttempt(m.Call, true)
		_, _ = c.Write([]byte("\x00\x05\x09spoilt, and more of it"))
	default:
		duplicate := drawn(faultRates.DuplicateAnswer)
		time.AfterFunc(time.Duration(1+9*s.randomFloat())*time.Millisecond, func() { p.answer(call, m, duplicate) })
	}
}

// endAttempt removes an ended set-up; it returns false if the set-up had ended before.
func (p *switchPort) endAttempt(id uint64, backoff bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls[id] == nil {
		return false
	}
	delete(p.calls, id)
	p.sw.Ledger.AttemptEnded(id, p.sw.ID, backoff)
	return true
}

func (p *switchPort) refuse(c *PortConn, id uint64, cause byte, detail string) {
	if p.endAttempt(id, false) {
		m := sig.WithCause(sig.Release, id, cause)
		m.Params = append(m.Params, sig.Param{Code: sig.ParamCauseDetail, Value: []byte(detail)})
		go p.send(c, m) // a switch reads while it writes
	}
}

// answer establishes a call and ends it after a random hold time.
func (p *switchPort) answer(call *switchCall, m sig.Message, duplicate bool) {
	p.waitWhileSilent() // a hanging process answers later
	p.mu.Lock()
	if p.calls[m.Call] != call {
		p.mu.Unlock()
		return // the proxy gave the set-up up, or the process has ended
	}
	call.established = true
	p.mu.Unlock()
	answer := sig.Message{Type: sig.Answer, Call: m.Call, Params: []sig.Param{
		{Code: sig.ParamDescription, Value: fmt.Appendf(m.Get(sig.ParamDescription), " by %s", p.sw.ID)}}}
	p.send(call.conn, answer)
	if duplicate {
		p.send(call.conn, answer)
	}
	p.groupChanged()
	time.AfterFunc(p.sw.randomHoldTime(), func() {
		p.mu.Lock()
		established := p.calls[m.Call] == call
		if established {
			delete(p.calls, m.Call)
		}
		p.mu.Unlock()
		if established {
			p.sw.Ledger.AttemptEnded(m.Call, p.sw.ID, false)
			p.sw.Ledger.CallEnded(m.Call)
			p.releaseCall(m.Call, call.conn)
			p.groupChanged()
		}
	})
}

// releaseCall sends the release of an ended call: on the connection of its set-up or on another
// open one, and also on the next connection that is opened.
func (p *switchPort) releaseCall(id uint64, conn *PortConn) {
	p.mu.Lock()
	p.pendingReleases = append(p.pendingReleases, id)
	p.mu.Unlock()
	if p.isSilent() {
		p.waitWhileSilent()
		time.Sleep(closeNoticeDelay)
	}
	if openConn := p.openConn(conn); openConn != nil {
		p.sendRelease(openConn, id)
	}
}

// openConn returns an open connection, preferably the given one; nil if there is none.
func (p *switchPort) openConn(preferred *PortConn) (conn *PortConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		if !c.peerClosed.Load() && (conn == nil || c == preferred) {
			conn = c
		}
	}
	return conn
}

func (p *switchPort) sendRelease(c *PortConn, id uint64) {
	sent := p.send(c, sig.WithCause(sig.Release, id, sig.CauseNormal))
	sentAt := time.Now()
	// The first write to a connection that the peer has closed still succeeds; the close is
	// noticed only later.
	time.AfterFunc(closeNoticeDelay, func() {
		if sent && !c.peerClosed.Load() {
			p.sw.Ledger.ReleaseSent(id, sentAt)
			return
		}
		if other := p.openConn(nil); other != nil {
			p.sendRelease(other, id)
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pendingReleases = append(p.pendingReleases, id)
	})
}

// handleRelease handles a proxy's release of a set-up or an established call.
func (p *switchPort) handleRelease(connNumber int, id uint64) {
	p.mu.Lock()
	p.releasedOn[id] = connNumber
	call := p.calls[id]
	delete(p.calls, id)
	p.mu.Unlock()
	if call != nil {
		p.sw.Ledger.AttemptEnded(id, p.sw.ID, !call.established && !p.recentlySilent())
		if call.established {
			p.sw.Ledger.ReleasedByProxy(id)
			p.sw.Ledger.CallEnded(id)
			p.groupChanged()
		}
	}
}

// send writes a message; it returns false if the write fails.
func (p *switchPort) send(c *PortConn, m sig.Message) bool {
	return p.sendMessage(c, func() sig.Message { return m })
}

// sendMessage writes a message that is built when its turn has come. It returns false if the write fails.
func (p *switchPort) sendMessage(c *PortConn, build func() sig.Message) bool {
	p.waitWhileSilent()
	c.messageMu.Lock()
	defer c.messageMu.Unlock()
	return p.writeMessage(c, build)
}

// writeMessage is sendMessage with c.messageMu held.
func (p *switchPort) writeMessage(c *PortConn, build func() sig.Message) bool {
	m := build()
	encoded, err := m.Append(nil)
	if err != nil {
		panic(err) // a message built here always fits
	}
	if p.sw.randomFloat() >= p.sw.FaultRates.SplitWrites {
		_, err = c.Write(encoded)
		return err == nil
	}
	for i := range encoded {
		if _, err = c.Write(encoded[i : i+1]); err != nil {
			return false
		}
		time.Sleep(time.Millisecond)
	}
	return true
}
