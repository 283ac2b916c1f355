package standin

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"violetspan.example/violetspan/internal/sig"
)

// ClientConfig are what the callers of one proxy do.
type ClientConfig struct {
	Rate          float64       // set-ups a second
	Conns         int           // connections that they keep
	MinWait       time.Duration // for an answer
	MaxWait       time.Duration
	GiveUp        float64 // part of the set-ups that is given up early
	HangUp        float64 // part of the calls that is hung up
	SplitWrites   float64 // part of the set-ups that is written in pieces
	NoReleaseAcks bool    // they acknowledge no release
	Dests         []int
	Class         string
	Tenant        string
}

// nextID numbers the set-ups of all clients.
var nextID atomic.Uint64

// Client plays the callers of one proxy. They use open connections until the proxy's
// end, and come again at once when it is there again.
type Client struct {
	Proxy  *Process
	Ledger *Ledger
	Config ClientConfig

	mu    sync.Mutex // guards all below
	rng   *rand.Rand
	conns []*clientConn
	quit  chan struct{}  // closed when the calling ends
	done  chan struct{}  // closed when the callers leave
	wg    sync.WaitGroup // the calling
	conn  sync.WaitGroup // keepConns
}

// clientConn is one connection of a Client.
type clientConn struct {
	net.Conn
	client      *Client
	incarnation int // of the proxy, when it came up
	writing     sync.Mutex

	// Under the client's lock:
	open     map[uint64]*setUp // without a final answer
	standing map[uint64]bool   // calls that were answered on it
	used     time.Time
}

// setUp is what a caller asked for.
type setUp struct {
	message []byte
	wait    time.Duration
	written time.Time
	resent  bool
}

// NewClient makes the callers of a proxy.
func NewClient(p *Process, l *Ledger, h ClientConfig, seed uint64) *Client {
	return &Client{Proxy: p, Ledger: l, Config: h, rng: rand.New(rand.NewPCG(seed, 77)), quit: make(chan struct{}), done: make(chan struct{})}
}

// Start begins to call.
func (c *Client) Start() {
	c.conn.Go(c.keepConns)
	c.wg.Go(func() {
		at := time.Now()
		for {
			at = at.Add(time.Duration(c.exp() / c.Config.Rate * float64(time.Second)))
			pause := time.NewTimer(time.Until(at))
			select {
			case <-pause.C:
				go c.Call()
			case <-c.quit:
				pause.Stop()
				return
			}
		}
	})
}

// Stop ends the calling; connections are kept until Close.
func (c *Client) Stop() {
	close(c.quit)
	c.wg.Wait()
}

// Close closes the connections.
func (c *Client) Close() {
	close(c.done)
	c.conn.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cc := range c.conns {
		cc.Close()
	}
}

func (c *Client) exp() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.ExpFloat64()
}

func (c *Client) chance() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}

const (
	connectPause  = 5 * time.Millisecond // between looks at the connections
	newConnsFor   = 300 * time.Millisecond
	idleCloses    = 4 * time.Second
	dialPatience  = 500 * time.Millisecond
	clientWrite   = 2 * time.Second
	pieceMost     = 40 * time.Millisecond
	afterDeadline = answerLimit + 100*time.Millisecond
)

// keepConns keeps as many connections as the callers want. None is opened once the
// proxy was told to stop some time ago; after its end they come again at once.
func (c *Client) keepConns() {
	for {
		term, kill := c.Proxy.SignalTimes()
		c.mu.Lock()
		want := len(c.conns) < c.Config.Conns
		for _, cc := range c.conns {
			if len(cc.open)+len(cc.standing) == 0 && time.Since(cc.used) > idleCloses {
				cc.Close()
			}
		}
		c.mu.Unlock()
		ended := false
		select {
		case <-c.Proxy.Exited():
			ended = true
		default:
		}
		if want && kill.IsZero() && !ended && (term.IsZero() || time.Since(term) < newConnsFor) {
			c.connect()
		}
		select {
		case <-c.done:
			return
		case <-time.After(connectPause):
		}
	}
}

// connect opens a connection; nil if none comes up.
func (c *Client) connect() *clientConn {
	incarnation := c.Proxy.Incarnation()
	nc, err := net.DialTimeout("tcp", c.Proxy.Listen, dialPatience)
	if err != nil {
		return nil
	}
	cc := &clientConn{Conn: nc, client: c, incarnation: incarnation, open: map[uint64]*setUp{}, standing: map[uint64]bool{}, used: time.Now()}
	c.mu.Lock()
	c.conns = append(c.conns, cc)
	c.mu.Unlock()
	go cc.read()
	return cc
}

// Call sends a set-up on one of the connections.
func (c *Client) Call() {
	c.mu.Lock()
	if len(c.conns) == 0 {
		c.mu.Unlock()
		c.Ledger.Count("no connection to call on")
		return
	}
	cc := c.conns[c.rng.IntN(len(c.conns))]
	h := c.Config
	dest := h.Dests[c.rng.IntN(len(h.Dests))]
	wait := h.MinWait + time.Duration(c.rng.Float64()*float64(h.MaxWait-h.MinWait))
	giveUp, hangUp, pieces := c.rng.Float64() < h.GiveUp, c.rng.Float64() < h.HangUp, c.rng.Float64() < h.SplitWrites
	early := time.Duration(c.rng.Float64() * float64(wait))
	c.mu.Unlock()

	id := nextID.Add(1)
	m := sig.Message{Type: sig.SetUp, Call: id, Params: []sig.Param{
		{Code: sig.ParamClass, Value: []byte(h.Class)}, {Code: sig.ParamWait, Value: strconv.AppendInt(nil, wait.Milliseconds(), 10)},
		{Code: sig.ParamTenant, Value: []byte(h.Tenant)}, {Code: sig.ParamNumber, Value: fmt.Appendf(nil, "%016x", id)},
		{Code: sig.ParamAttributes, Value: fmt.Appendf(nil, "dest:%d;width:1;via:-1", dest)},
		{Code: sig.ParamDescription, Value: fmt.Appendf(nil, "call %d", id)}}}
	b, err := m.Append(nil)
	if err != nil {
		panic(err) // it was made here
	}
	s := &setUp{message: b, wait: wait}
	if !cc.setUp(id, s, pieces) {
		return
	}
	if giveUp {
		time.AfterFunc(early, func() { c.giveUp(cc, id) })
	} else {
		time.AfterFunc(wait+afterDeadline, func() { c.giveUp(cc, id) })
	}
	if hangUp {
		time.AfterFunc(wait+early, func() { c.hangUp(id) })
	}
}

// setUp writes a set-up; false if it can't be written whole.
func (cc *clientConn) setUp(id uint64, s *setUp, pieces bool) bool {
	c := cc.client
	cc.writing.Lock()
	defer cc.writing.Unlock()
	_ = cc.SetWriteDeadline(time.Now().Add(clientWrite))
	rest := s.message
	if pieces {
		for len(rest) > 1 {
			n := 1 + int(c.chance()*float64(len(rest)-1))
			if _, err := cc.Write(rest[:n]); err != nil {
				c.Ledger.Count("set-ups not written whole")
				return false
			}
			rest = rest[n:]
			time.Sleep(time.Duration(c.chance() * float64(pieceMost)))
		}
	}
	s.written = time.Now()
	c.Ledger.Offered(id, c.Proxy.Name, cc.incarnation, s.written.Add(s.wait))
	c.mu.Lock()
	cc.open[id], cc.used = s, s.written
	c.mu.Unlock()
	if _, err := cc.Write(rest); err != nil {
		c.mu.Lock()
		delete(cc.open, id)
		c.mu.Unlock()
		c.Ledger.Excused(id, "not written")
		return false
	}
	return true
}

// giveUp tells the proxy that a caller does not wait any more.
func (c *Client) giveUp(cc *clientConn, id uint64) {
	c.mu.Lock()
	_, open := cc.open[id]
	delete(cc.open, id)
	c.mu.Unlock()
	if open {
		c.Ledger.GivenUp(id)
		cc.say(sig.WithCause(sig.Release, id, sig.CauseNormal))
	}
}

// hangUp ends a call that stands, on any connection.
func (c *Client) hangUp(id uint64) {
	c.mu.Lock()
	var on *clientConn
	stands := false
	for _, cc := range c.conns {
		stands = stands || cc.standing[id]
		delete(cc.standing, id)
		if on == nil || c.rng.IntN(2) == 0 {
			on = cc
		}
	}
	c.mu.Unlock()
	if stands {
		c.Ledger.HungUp(id)
		on.say(sig.WithCause(sig.Release, id, sig.CauseNormal))
	}
}

func (cc *clientConn) say(m sig.Message) {
	b, err := m.Append(nil)
	if err != nil {
		panic(err) // it was made here
	}
	cc.writing.Lock()
	defer cc.writing.Unlock()
	_ = cc.SetWriteDeadline(time.Now().Add(clientWrite))
	_, _ = cc.Write(b) // its reader finds out
}

// read takes in what the proxy says until the connection ends.
func (cc *clientConn) read() {
	c := cc.client
	in := bufio.NewReader(cc)
	for {
		m, err := sig.Read(in)
		if err != nil {
			break
		}
		switch m.Type {
		case sig.Answer:
			if cc.answered(m.Call) {
				c.mu.Lock()
				cc.standing[m.Call] = true
				c.mu.Unlock()
			}
			c.Ledger.Answered(m.Call, true)
		case sig.Release:
			if cc.answered(m.Call) {
				c.Ledger.Answered(m.Call, false)
				continue
			}
			c.over(m.Call)
			if !c.Config.NoReleaseAcks {
				go cc.say(sig.Message{Type: sig.ReleaseAck, Call: m.Call}) // a slow writer reads on
			}
		}
	}
	cc.Close()
	c.ended(cc)
}

// answered notes a final answer; false if none is waited for.
func (cc *clientConn) answered(id uint64) bool {
	cc.client.mu.Lock()
	defer cc.client.mu.Unlock()
	_, open := cc.open[id]
	delete(cc.open, id)
	return open
}

// over notes that a call that stood is over. The callers of a proxy are one: what was
// answered on one connection may be released on another.
func (c *Client) over(id uint64) {
	c.mu.Lock()
	for _, cc := range c.conns {
		delete(cc.standing, id)
	}
	c.mu.Unlock()
	c.Ledger.EndNotified(id, c.Proxy.Incarnation())
}

// ended says what becomes of the set-ups that were open on a connection that has ended.
func (c *Client) ended(cc *clientConn) {
	now := time.Now()
	term, kill := c.Proxy.SignalTimes()
	if c.Proxy.Incarnation() != cc.incarnation {
		term, kill = time.Time{}, now // of an incarnation that was killed before this one began
	}
	c.mu.Lock()
	for i, other := range c.conns {
		if other == cc {
			c.conns = append(c.conns[:i:i], c.conns[i+1:]...)
			break
		}
	}
	open := cc.open
	cc.open = map[uint64]*setUp{}
	c.mu.Unlock()
	for id, s := range open {
		switch {
		case !kill.IsZero() && (term.IsZero() || s.written.Before(term.Add(killGrace))):
			c.Ledger.Excused(id, "killed")
		case !kill.IsZero():
			c.Ledger.Lost(id, fmt.Sprintf("SIGKILL found it unanswered, %v after SIGTERM", s.written.Sub(term)))
		case len(open) == 1 && now.Sub(s.written) < crossing && !s.resent:
			c.resend(id, s)
		default:
			c.Ledger.Lost(id, fmt.Sprintf("its connection was closed %v after it, with %d open", now.Sub(s.written), len(open)))
		}
	}
}

// resend sends a set-up that crossed a close once more, on a new connection.
func (c *Client) resend(id uint64, s *setUp) {
	c.Ledger.Count("set-ups that crossed a close")
	cc := c.connect()
	if cc == nil {
		c.Ledger.Excused(id, "crossed the last close")
		return
	}
	s.resent = true
	if cc.setUp(id, s, false) {
		time.AfterFunc(s.wait+afterDeadline, func() { c.giveUp(cc, id) })
	}
}
