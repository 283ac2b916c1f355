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

// ClientConfig describes how the callers of one proxy behave.
type ClientConfig struct {
	Rate          float64       // set-ups per second
	Conns         int           // connections that the callers keep open
	MinWait       time.Duration // range of the time that a caller waits for an answer
	MaxWait       time.Duration
	GiveUp        float64 // fraction of the set-ups that are given up before their deadline
	HangUp        float64 // fraction of the calls that the caller hangs up
	SplitWrites   float64 // fraction of the set-ups that are written in several parts
	NoReleaseAcks bool    // the callers acknowledge no release
	Dests         []int
	Class         string
	Tenant        string
}

// lastCallID is the latest call id; the ids are unique across all clients.
var lastCallID atomic.Uint64

// Client simulates the callers of one proxy. They use open connections until the proxy exits
// and reconnect as soon as it is back.
type Client struct {
	Proxy  *Process
	Ledger *Ledger
	Config ClientConfig

	mu       sync.Mutex // guards all below
	rng      *rand.Rand
	conns    []*clientConn
	stopping chan struct{}  // closed by Stop
	closing  chan struct{}  // closed by Close
	callLoop sync.WaitGroup // the loop that starts calls
	connLoop sync.WaitGroup // maintainConns
}

// clientConn is one connection of a Client.
type clientConn struct {
	net.Conn
	client      *Client
	incarnation int // incarnation of the proxy when the connection was opened
	writeMu     sync.Mutex

	// Guarded by the client's mu:
	pending     map[uint64]*pendingSetUp // set-ups with a pending final answer
	established map[uint64]bool          // calls that were answered on this connection
	lastUsed    time.Time
}

// pendingSetUp is a set-up that has no final answer yet.
type pendingSetUp struct {
	message   []byte
	wait      time.Duration
	writtenAt time.Time
	resent    bool
}

// NewClient returns the callers of a proxy; Start lets them call.
func NewClient(proxy *Process, ledger *Ledger, config ClientConfig, seed uint64) *Client {
	return &Client{Proxy: proxy, Ledger: ledger, Config: config, rng: rand.New(rand.NewPCG(seed, 77)), stopping: make(chan struct{}), closing: make(chan struct{})}
}

// Start opens the connections and starts calls at random intervals with the mean 1/Rate.
func (c *Client) Start() {
	c.connLoop.Go(c.maintainConns)
	c.callLoop.Go(func() {
		next := time.Now()
		for {
			next = next.Add(time.Duration(c.randomExp() / c.Config.Rate * float64(time.Second)))
			pause := time.NewTimer(time.Until(next))
			select {
			case <-pause.C:
				go c.Call()
			case <-c.stopping:
				pause.Stop()
				return
			}
		}
	})
}

// Stop starts no more calls. The connections are kept until Close.
func (c *Client) Stop() {
	close(c.stopping)
	c.callLoop.Wait()
}

// Close closes the connections.
func (c *Client) Close() {
	close(c.closing)
	c.connLoop.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cc := range c.conns {
		cc.Close()
	}
}

func (c *Client) randomExp() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.ExpFloat64()
}

func (c *Client) randomFloat() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}

const (
	connCheckInterval   = 5 * time.Millisecond // between checks of the connections
	newConnsAfterTerm   = 300 * time.Millisecond
	idleTimeout         = 4 * time.Second
	dialTimeout         = 500 * time.Millisecond
	writeTimeout        = 2 * time.Second
	maxPartDelay        = 40 * time.Millisecond
	giveUpAfterDeadline = answerLimit + 100*time.Millisecond
)

// maintainConns keeps Config.Conns connections open and closes idle ones. From newConnsAfterTerm
// after SIGTERM until the next incarnation is running, it opens none.
func (c *Client) maintainConns() {
	for {
		term, kill := c.Proxy.SignalTimes()
		c.mu.Lock()
		missing := len(c.conns) < c.Config.Conns
		for _, cc := range c.conns {
			if len(cc.pending)+len(cc.established) == 0 && time.Since(cc.lastUsed) > idleTimeout {
				cc.Close()
			}
		}
		c.mu.Unlock()
		exited := false
		select {
		case <-c.Proxy.Exited():
			exited = true
		default:
		}
		if missing && kill.IsZero() && !exited && (term.IsZero() || time.Since(term) < newConnsAfterTerm) {
			c.connect()
		}
		select {
		case <-c.closing:
			return
		case <-time.After(connCheckInterval):
		}
	}
}

// connect opens a connection; it returns nil if the dial fails.
func (c *Client) connect() *clientConn {
	incarnation := c.Proxy.Incarnation()
	conn, err := net.DialTimeout("tcp", c.Proxy.Listen, dialTimeout)
	if err != nil {
		return nil
	}
	cc := &clientConn{Conn: conn, client: c, incarnation: incarnation, pending: map[uint64]*pendingSetUp{}, established: map[uint64]bool{}, lastUsed: time.Now()}
	c.mu.Lock()
	c.conns = append(c.conns, cc)
	c.mu.Unlock()
	go cc.read()
	return cc
}

// Call sends a set-up on a randomly chosen connection.
func (c *Client) Call() {
	c.mu.Lock()
	if len(c.conns) == 0 {
		c.mu.Unlock()
		c.Ledger.Count("calls not made: no connection")
		return
	}
	cc := c.conns[c.rng.IntN(len(c.conns))]
	config := c.Config
	dest := config.Dests[c.rng.IntN(len(config.Dests))]
	wait := config.MinWait + time.Duration(c.rng.Float64()*float64(config.MaxWait-config.MinWait))
	giveUp, hangUp, split := c.rng.Float64() < config.GiveUp, c.rng.Float64() < config.HangUp, c.rng.Float64() < config.SplitWrites
	randomDelay := time.Duration(c.rng.Float64() * float64(wait))
	c.mu.Unlock()

	id := lastCallID.Add(1)
	m := sig.Message{Type: sig.SetUp, Call: id, Params: []sig.Param{
		{Code: sig.ParamClass, Value: []byte(config.Class)}, {Code: sig.ParamWait, Value: strconv.AppendInt(nil, wait.Milliseconds(), 10)},
		{Code: sig.ParamTenant, Value: []byte(config.Tenant)}, {Code: sig.ParamNumber, Value: fmt.Appendf(nil, "%016x", id)},
		{Code: sig.ParamAttributes, Value: fmt.Appendf(nil, "dest:%d;width:1;via:-1", dest)},
		{Code: sig.ParamDescription, Value: fmt.Appendf(nil, "call %d", id)}}}
	encoded, err := m.Append(nil)
	if err != nil {
		panic(err) // a message built here always fits
	}
	setUp := &pendingSetUp{message: encoded, wait: wait}
	if !cc.sendSetUp(id, setUp, split) {
		return
	}
	if giveUp {
		time.AfterFunc(randomDelay, func() { c.giveUp(cc, id) })
	} else {
		time.AfterFunc(wait+giveUpAfterDeadline, func() { c.giveUp(cc, id) })
	}
	if hangUp {
		time.AfterFunc(wait+randomDelay, func() { c.hangUp(id) })
	}
}

// sendSetUp writes a set-up; it returns false if the set-up can't be written completely.
func (cc *clientConn) sendSetUp(id uint64, setUp *pendingSetUp, split bool) bool {
	c := cc.client
	cc.writeMu.Lock()
	defer cc.writeMu.Unlock()
	_ = cc.SetWriteDeadline(time.Now().Add(writeTimeout))
	remaining := setUp.message
	if split {
		for len(remaining) > 1 {
			n := 1 + int(c.randomFloat()*float64(len(remaining)-1))
			if _, err := cc.Write(remaining[:n]); err != nil {
				c.Ledger.Count("set-ups not written completely")
				return false
			}
			remaining = remaining[n:]
			time.Sleep(time.Duration(c.randomFloat() * float64(maxPartDelay)))
		}
	}
	setUp.writtenAt = time.Now()
	c.Ledger.Offered(id, c.Proxy.Name, cc.incarnation, setUp.writtenAt.Add(setUp.wait))
	c.mu.Lock()
	cc.pending[id], cc.lastUsed = setUp, setUp.writtenAt
	c.mu.Unlock()
	if _, err := cc.Write(remaining); err != nil {
		c.mu.Lock()
		delete(cc.pending, id)
		c.mu.Unlock()
		c.Ledger.Excused(id, "not written")
		return false
	}
	return true
}

// giveUp releases a set-up that has no final answer yet.
func (c *Client) giveUp(cc *clientConn, id uint64) {
	c.mu.Lock()
	_, pending := cc.pending[id]
	delete(cc.pending, id)
	c.mu.Unlock()
	if pending {
		c.Ledger.GivenUp(id)
		cc.send(sig.WithCause(sig.Release, id, sig.CauseNormal))
	}
}

// hangUp releases an established call, on a randomly chosen connection.
func (c *Client) hangUp(id uint64) {
	c.mu.Lock()
	var conn *clientConn
	established := false
	for _, cc := range c.conns {
		established = established || cc.established[id]
		delete(cc.established, id)
		if conn == nil || c.rng.IntN(2) == 0 {
			conn = cc
		}
	}
	c.mu.Unlock()
	if established {
		c.Ledger.HungUp(id)
		conn.send(sig.WithCause(sig.Release, id, sig.CauseNormal))
	}
}

func (cc *clientConn) send(m sig.Message) {
	b, err := m.Append(nil)
	if err != nil {
		panic(err) // a message built here always fits
	}
	cc.writeMu.Lock()
	defer cc.writeMu.Unlock()
	_ = cc.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, _ = cc.Write(b) // read notices a broken connection
}

// read handles the proxy's messages until the connection ends.
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
			if cc.removePending(m.Call) {
				c.mu.Lock()
				cc.established[m.Call] = true
				c.mu.Unlock()
			}
			c.Ledger.Answered(m.Call, true)
		case sig.Release:
			if cc.removePending(m.Call) {
				c.Ledger.Answered(m.Call, false)
				continue
			}
			c.callEnded(m.Call)
			if !c.Config.NoReleaseAcks {
				go cc.send(sig.Message{Type: sig.ReleaseAck, Call: m.Call}) // in a goroutine, so that a blocked write does not stop reading
			}
		}
	}
	cc.Close()
	c.connEnded(cc)
}

// removePending removes a set-up that got its final answer; it returns false if none was pending.
func (cc *clientConn) removePending(id uint64) bool {
	cc.client.mu.Lock()
	defer cc.client.mu.Unlock()
	_, pending := cc.pending[id]
	delete(cc.pending, id)
	return pending
}

// callEnded records that the proxy released an established call. The proxy may release a call
// on another connection than the one it was answered on: all belong to the same client.
func (c *Client) callEnded(id uint64) {
	c.mu.Lock()
	for _, cc := range c.conns {
		delete(cc.established, id)
	}
	c.mu.Unlock()
	c.Ledger.EndNotified(id, c.Proxy.Incarnation())
}

// connEnded removes an ended connection and decides on each set-up that was pending on it:
// excused, lost or sent again.
func (c *Client) connEnded(cc *clientConn) {
	now := time.Now()
	term, kill := c.Proxy.SignalTimes()
	if c.Proxy.Incarnation() != cc.incarnation {
		term, kill = time.Time{}, now // the incarnation of this connection was killed before the current one started
	}
	c.mu.Lock()
	for i, other := range c.conns {
		if other == cc {
			c.conns = append(c.conns[:i:i], c.conns[i+1:]...)
			break
		}
	}
	pending := cc.pending
	cc.pending = map[uint64]*pendingSetUp{}
	c.mu.Unlock()
	allCrossed := true // a proxy may close a connection only if none of its set-ups is open
	for _, setUp := range pending {
		allCrossed = allCrossed && now.Sub(setUp.writtenAt) < closeCrossingWindow && !setUp.resent
	}
	for id, setUp := range pending {
		switch {
		case !kill.IsZero() && (term.IsZero() || setUp.writtenAt.Before(term.Add(killGrace))):
			c.Ledger.Excused(id, "killed")
		case !kill.IsZero():
			c.Ledger.Lost(id, fmt.Sprintf("pending at SIGKILL, though it was written %v after SIGTERM", setUp.writtenAt.Sub(term)))
		case allCrossed:
			c.resend(id, setUp)
		default:
			c.Ledger.Lost(id, fmt.Sprintf("its connection was closed %v after the set-up, with %d set-ups pending", now.Sub(setUp.writtenAt), len(pending)))
		}
	}
}

// resend sends a set-up again on a new connection, after the proxy closed the connection while
// the set-up was on its way.
func (c *Client) resend(id uint64, setUp *pendingSetUp) {
	c.Ledger.Count("set-ups that crossed a connection close")
	cc := c.connect()
	if cc == nil {
		c.Ledger.Excused(id, "crossed the last connection close")
		return
	}
	setUp.resent = true
	if cc.sendSetUp(id, setUp, false) {
		time.AfterFunc(setUp.wait+giveUpAfterDeadline, func() { c.giveUp(cc, id) })
	}
}
