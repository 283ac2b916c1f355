// Package standin provides stand-ins for the parties that a proxy talks to, for tests and load:
// switches, callers and discovery with injected faults, links that can be cut, and a ledger that
// checks the platform's rules for every call. They use loopback addresses only. They don't model
// the processors of switches: a set-up takes a few milliseconds.
package standin

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"violetspan.example/violetspan/internal/mesh"
	"violetspan.example/violetspan/internal/sig"
)

// Mesh simulates the switches and callers of a mesh.Config in real time for proxies, one per
// exchange. It checks that every call gets one final answer before its caller gives up, and never
// has two outstanding attempts. Its exported methods are safe for concurrent use.
type Mesh struct {
	cfg mesh.Config

	mu            sync.Mutex // guards all below
	freeCircuits  map[[2]int]int
	totalCircuits map[[2]int]int
	legs          map[legKey]*leg
	switchConns   map[[2]int][]*queuedConn // by exchange and switch: the connections of the exchange's proxy to the switch
	repeated      map[[2]int][]sig.Message // by exchange and switch: releases to send on the next connection too
	callerConns   []*queuedConn            // by exchange: the callers' connection to the proxy
	calls         map[uint64]*call
	lastCallID    uint64
	violations    []string
	worth         [2]float64 // total worth of the calls offered, and of those established within their class's goal time
	counts        map[string]int
	closers       []io.Closer
}

// maxMeshViolations bounds the number of stored violations; the first ones matter most.
const maxMeshViolations = 20

// NewMesh returns stand-ins for a config; its NewPolicy, Faults and delays are not used.
func NewMesh(cfg mesh.Config) *Mesh {
	r := &Mesh{cfg: cfg, freeCircuits: map[[2]int]int{}, totalCircuits: map[[2]int]int{}, legs: map[legKey]*leg{}, switchConns: map[[2]int][]*queuedConn{},
		repeated: map[[2]int][]sig.Message{}, calls: map[uint64]*call{}, counts: map[string]int{}, callerConns: make([]*queuedConn, cfg.Exchanges)}
	for _, g := range cfg.Groups {
		r.freeCircuits[groupKey(g.A, g.B)], r.totalCircuits[groupKey(g.A, g.B)] = g.Circuits, g.Circuits
	}
	return r
}

// Close closes all connections and listeners.
func (r *Mesh) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.closers {
		_ = c.Close() // some connections are already closed
	}
}

// OpenSwitches opens a listener for every switch, for the proxy of one exchange, and returns the
// addresses by switch number.
func (r *Mesh) OpenSwitches(exchange int) ([]string, error) {
	var addrs []string
	for to := range r.cfg.Exchanges {
		ln, err := Serve(func(c net.Conn) {
			conn := r.addSwitchConn([2]int{exchange, to}, c)
			r.readMessages(conn, func(m sig.Message) {
				switch m.Type {
				case sig.SetUp:
					r.handleSetUp(exchange, to, conn, m)
				case sig.Release:
					r.handleRelease(exchange, to, m.Call)
				case sig.Test:
					conn.send(sig.WithCause(sig.TestResult, m.Call, 1))
				}
			})
		})
		if err != nil {
			return nil, err
		}
		r.mu.Lock()
		r.closers = append(r.closers, ln)
		r.mu.Unlock()
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}

// addSwitchConn registers a proxy's connection to a switch, given the exchange and the switch. It
// repeats the releases that were sent since the last one was opened.
func (r *Mesh) addSwitchConn(end [2]int, c net.Conn) *queuedConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	conn := r.newQueuedConn(c)
	r.switchConns[end] = append(r.switchConns[end], conn)
	r.reportCircuits(end)
	for _, m := range r.repeated[end] {
		conn.send(m)
	}
	delete(r.repeated, end)
	return conn
}

// ConnectCallers connects the callers of an exchange to its proxy, whose address is given.
func (r *Mesh) ConnectCallers(exchange int, proxy string) error {
	c, err := net.Dial("tcp", proxy)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.callerConns[exchange] = r.newQueuedConn(c)
	r.mu.Unlock()
	go r.readMessages(r.callerConns[exchange], r.handleProxyMessage)
	return nil
}

// Serve accepts connections on a loopback address until the returned listener is closed, and
// handles each in a separate goroutine.
func Serve(handle func(c net.Conn)) (net.Listener, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go handle(c)
		}
	}()
	return ln, nil
}

// Unfinished returns the number of calls and of legs that have not ended.
func (r *Mesh) Unfinished() (calls, legs int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.calls {
		if !c.ended {
			calls++
		}
	}
	return calls, len(r.legs)
}

// Result returns the results so far: the worth of the offered calls and of those established in
// time, counters of events, and violations.
func (r *Mesh) Result() (worthOffered, worthInTime float64, counts map[string]int, violations []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	violations = append(violations, r.violations...)
	for group, free := range r.freeCircuits {
		if occupied := r.occupiedCircuits(group); free+occupied != r.totalCircuits[group] {
			violations = append(violations, fmt.Sprintf("group %v: %d free and %d occupied of %d circuits", group, free, occupied, r.totalCircuits[group]))
		}
	}
	return r.worth[0], r.worth[1], r.counts, violations
}

func (r *Mesh) occupiedCircuits(group [2]int) (n int) {
	for _, l := range r.legs {
		if groupKey(l.from, l.to) == group {
			n += l.width
		}
	}
	return n
}

// legKey identifies a leg by the exchange of the proxy, the switch and the call id.
type legKey struct {
	from, to int
	id       uint64
}

// leg is a set-up or call from one proxy to one switch, with the circuits that it occupies.
type leg struct {
	legKey
	conn        *queuedConn
	width       int
	established bool
	transitCall uint64 // the transit call offered to the tandem's proxy; 0: none
}

// call is a call offered to a proxy, by a caller or in transit.
type call struct {
	exchange    int
	class       int
	offeredAt   time.Time
	deadline    time.Time
	incomingLeg *leg // of a transit call: the leg that it continues; otherwise nil
	answered    bool
	ended       bool
}

// queuedConn is a connection with a queue of outgoing messages, which keeps their order.
type queuedConn struct {
	net.Conn
	outgoing   chan sig.Message
	closed     chan struct{}
	closeOnce  sync.Once
	peerClosed bool // guarded by Mesh.mu; nothing more arrives from the proxy
}

const sendQueueSize = 1 << 14

// newQueuedConn starts the writer of a connection. r.mu must be held.
func (r *Mesh) newQueuedConn(c net.Conn) *queuedConn {
	conn := &queuedConn{Conn: c, outgoing: make(chan sig.Message, sendQueueSize), closed: make(chan struct{})}
	r.closers = append(r.closers, conn)
	go func() {
		for {
			select {
			case m := <-conn.outgoing:
				b, err := m.Append(nil)
				if err != nil {
					panic(err) // a message built here always fits
				}
				_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
				_, _ = conn.Write(b) // the proxy gives up the calls of a closed connection
			case <-conn.closed:
				return
			}
		}
	}()
	return conn
}

// Close closes the connection and stops its writer.
func (q *queuedConn) Close() error {
	q.closeOnce.Do(func() { close(q.closed) })
	return q.Conn.Close()
}

// send queues a message. If the queue is full, the message is dropped and its call lost.
func (q *queuedConn) send(m sig.Message) {
	select {
	case q.outgoing <- m:
	default:
	}
}

func groupKey(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

func (r *Mesh) recordViolation(format string, args ...any) {
	if len(r.violations) < maxMeshViolations {
		r.violations = append(r.violations, fmt.Sprintf(format, args...))
	}
}

// parseDescription parses a set-up's description, which proxies pass on unchanged.
func parseDescription(m *sig.Message) (values map[string]int) {
	values = map[string]int{}
	for name, text := range sig.Pairs(m.Get(sig.ParamDescription)) {
		values[name], _ = strconv.Atoi(text)
	}
	return values
}

// occupy takes n circuits of a group, or frees them if n is negative, and reports the change to the
// proxies at both ends.
func (r *Mesh) occupy(group [2]int, n int) {
	r.freeCircuits[group] -= n
	for _, end := range [][2]int{{group[0], group[1]}, {group[1], group[0]}} {
		r.reportCircuits(end)
	}
}

// reportCircuits sends the state of a group to the proxy at one end, on its newest connection.
func (r *Mesh) reportCircuits(end [2]int) {
	if conns := r.switchConns[end]; len(conns) > 0 {
		group := groupKey(end[0], end[1])
		m := sig.Message{Type: sig.GroupState, Params: []sig.Param{{Code: sig.ParamReport, Value: fmt.Appendf(nil, "spare:%d;total:%d", r.freeCircuits[group], r.totalCircuits[group])}}}
		conns[len(conns)-1].send(m)
	}
}

// handleSetUp handles a set-up that arrived at a switch. r.mu must be held.
func (r *Mesh) handleSetUp(from, to int, conn *queuedConn, m sig.Message) {
	values := parseDescription(&m)
	k := legKey{from, to, m.Call}
	for other := range r.cfg.Exchanges {
		if l := r.legs[legKey{from, other, m.Call}]; l != nil {
			r.recordViolation("two outstanding attempts of call %d of exchange %d: at %d and %d", m.Call, from, other, to)
		}
	}
	r.counts["set-ups"]++
	group := groupKey(from, to)
	refuse := func(detail string) {
		conn.send(sig.Message{Type: sig.Release, Call: m.Call, Params: []sig.Param{{Code: sig.ParamCause, Value: []byte{sig.CauseNoCircuit}}, {Code: sig.ParamCauseDetail, Value: []byte(detail)}}})
	}
	if r.freeCircuits[group] < values["width"] {
		refuse("no_path")
		return
	}
	l := &leg{legKey: k, conn: conn, width: values["width"]}
	r.legs[k] = l
	r.occupy(group, l.width)
	if values["dest"] == to {
		time.AfterFunc(3*time.Millisecond, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.legs[k] != l {
				return
			}
			r.establish(l, m.Get(sig.ParamDescription))
			time.AfterFunc(time.Duration(values["hold"])*time.Millisecond, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.endLeg(l, sig.CauseNormal)
			})
		})
		return
	}
	r.counts["transit"]++
	wait, _ := strconv.Atoi(string(m.Get(sig.ParamWait)))
	l.transitCall = r.offerCall(to, values["class"], m.Get(sig.ParamDescription), time.Duration(wait)*time.Millisecond, l, values)
}

// establish marks a leg as established and sends the answer to its proxy.
func (r *Mesh) establish(l *leg, description []byte) {
	l.established = true
	l.conn.send(sig.Message{Type: sig.Answer, Call: l.id, Params: []sig.Param{{Code: sig.ParamDescription, Value: description}}})
}

// endedCallRetention is how long an ended call is kept to detect a second final answer.
const endedCallRetention = 10 * time.Second

// finishCall marks a call as ended.
func (r *Mesh) finishCall(id uint64, c *call) {
	c.ended = true
	time.AfterFunc(endedCallRetention, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.calls, id)
	})
}

// endLeg frees a leg's circuits and sends a release to its proxy.
func (r *Mesh) endLeg(l *leg, cause byte) {
	if r.legs[l.legKey] != l {
		return
	}
	delete(r.legs, l.legKey)
	r.occupy(groupKey(l.from, l.to), -l.width)
	m := sig.WithCause(sig.Release, l.id, cause)
	if cause == sig.CauseNoCircuit {
		m.Params = append(m.Params, sig.Param{Code: sig.ParamCauseDetail, Value: []byte("sent_back")})
	}
	r.sendRelease(l, m)
}

// sendRelease sends the release of a leg on its connection, or on the newest one if the proxy has
// closed that, and also on the next one that is opened.
func (r *Mesh) sendRelease(l *leg, m sig.Message) {
	end := [2]int{l.from, l.to}
	conn := l.conn
	if conns := r.switchConns[end]; conn.peerClosed {
		conn = conns[len(conns)-1]
	}
	conn.send(m)
	r.repeated[end] = append(r.repeated[end], m)
}

// handleRelease handles a proxy's release of a set-up or an established call.
func (r *Mesh) handleRelease(from, to int, id uint64) {
	l := r.legs[legKey{from, to, id}]
	if l == nil {
		return
	}
	delete(r.legs, l.legKey)
	r.occupy(groupKey(from, to), -l.width)
	if l.transitCall != 0 {
		if c := r.calls[l.transitCall]; c != nil && !c.ended {
			r.finishCall(l.transitCall, c)
			r.callerConns[to].send(sig.WithCause(sig.Release, l.transitCall, sig.CauseNormal))
		}
	}
}

// offerCall sends a set-up to the proxy of an exchange and returns its call id.
func (r *Mesh) offerCall(exchange, class int, description []byte, wait time.Duration, incomingLeg *leg, values map[string]int) uint64 {
	r.lastCallID++
	id := r.lastCallID
	now := time.Now()
	r.calls[id] = &call{exchange: exchange, class: class, offeredAt: now, deadline: now.Add(wait), incomingLeg: incomingLeg}
	attributes := fmt.Sprintf("dest:%d;width:%d;via:-1", values["dest"], values["width"])
	if incomingLeg != nil {
		attributes = fmt.Sprintf("dest:%d;width:%d;via:%d;transit:1", values["dest"], values["width"], incomingLeg.from)
	}
	r.callerConns[exchange].send(sig.Message{Type: sig.SetUp, Call: id, Params: []sig.Param{
		{Code: sig.ParamClass, Value: []byte(r.cfg.Classes[class].Name)}, {Code: sig.ParamWait, Value: strconv.AppendInt(nil, wait.Milliseconds(), 10)},
		{Code: sig.ParamTenant, Value: []byte("main-lot")}, {Code: sig.ParamNumber, Value: fmt.Appendf(nil, "%016x", id)},
		{Code: sig.ParamAttributes, Value: []byte(attributes)}, {Code: sig.ParamDescription, Value: description}}})
	return id
}

// handleProxyMessage handles a message from a proxy to its callers.
func (r *Mesh) handleProxyMessage(m sig.Message) {
	c := r.calls[m.Call]
	if c == nil {
		r.recordViolation("message for call %d, which no caller offered", m.Call)
		return
	}
	if m.Type != sig.Answer && m.Type != sig.Release {
		return
	}
	late := time.Since(c.deadline)
	switch {
	case m.Type == sig.Answer && (c.answered || c.ended):
		if c.incomingLeg == nil || c.answered {
			r.recordViolation("a second final answer for call %d", m.Call)
		}
		return
	case m.Type == sig.Release && c.ended && !c.answered && c.incomingLeg == nil:
		r.recordViolation("a second final answer for call %d", m.Call)
		return
	case !c.answered && !c.ended && late > 50*time.Millisecond:
		r.recordViolation("call %d answered %v after its deadline", m.Call, late)
	}
	if m.Type == sig.Answer {
		c.answered = true
		if c.incomingLeg != nil {
			r.establish(c.incomingLeg, m.Get(sig.ParamDescription))
			return
		}
		r.counts["established"]++
		if class := r.cfg.Classes[c.class]; time.Since(c.offeredAt) <= class.GoalTime {
			r.worth[1] += class.Worth
		}
		return
	}
	r.finishCall(m.Call, c)
	if c.incomingLeg != nil && c.answered {
		r.endLeg(c.incomingLeg, sig.CauseNormal)
	} else if c.incomingLeg != nil {
		r.counts["turned back"]++
		r.endLeg(c.incomingLeg, sig.CauseNoCircuit)
	} else if !c.answered {
		r.counts["refused"]++
	}
}

// readMessages calls handle, with r.mu held, for each message until the connection ends.
func (r *Mesh) readMessages(conn *queuedConn, handle func(sig.Message)) {
	in := bufio.NewReader(conn)
	for {
		m, err := sig.Read(in)
		r.mu.Lock()
		if err != nil {
			conn.peerClosed = true
			r.mu.Unlock()
			return
		}
		handle(m)
		r.mu.Unlock()
	}
}

// Run offers the calls of all flows in real time for the configured length. It returns when the
// last call has been offered.
func (r *Mesh) Run() {
	var wg sync.WaitGroup
	for i, flow := range r.cfg.Flows {
		rng := rand.New(rand.NewPCG(r.cfg.Seed, 1000+uint64(i)))
		wg.Go(func() {
			next := time.Now()
			end := next.Add(r.cfg.Length)
			for {
				next = next.Add(time.Duration(rng.ExpFloat64() / flow.Rate * float64(time.Second)))
				// Limited to three times the mean, so that the last calls of a short run end soon.
				hold := time.Duration(min(3, rng.ExpFloat64()) * float64(r.cfg.Classes[flow.Class].Hold))
				if next.After(end) {
					return
				}
				time.Sleep(time.Until(next))
				class := r.cfg.Classes[flow.Class]
				attributes := map[string]int{"dest": flow.To, "width": class.Width, "class": flow.Class}
				description := fmt.Appendf(nil, "dest:%d;width:%d;class:%d;hold:%d", flow.To, class.Width, flow.Class, hold.Milliseconds())
				wait := time.Duration(r.cfg.TryShare * float64(class.Deadline))
				r.mu.Lock()
				r.worth[0] += class.Worth
				id := r.offerCall(flow.From, flow.Class, description, wait, nil, attributes)
				r.mu.Unlock()
				time.AfterFunc(wait+100*time.Millisecond, func() {
					r.mu.Lock()
					defer r.mu.Unlock()
					if c := r.calls[id]; c != nil && !c.answered && !c.ended {
						r.finishCall(id, c)
						r.recordViolation("call %d has no final answer when its caller gives up", id)
					}
				})
			}
		})
	}
	wg.Wait()
}
