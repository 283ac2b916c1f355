// Package standin has stand-ins for what a proxy talks to, for tests and load: switches
// of the platform's protocol that share trunk groups, with their callers, and links that
// can be cut. They keep to loopback, end by themselves when closed, and are no model of
// processors: a set-up takes a few milliseconds.
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

// Mesh plays the switches and callers of a mesh.Config in real time against proxies, one
// an exchange. It checks every call's life: one final answer, before its caller gives
// up, and never two attempts out. Its methods may be called by several goroutines.
type Mesh struct {
	cfg mesh.Config

	mu     sync.Mutex // guards all below
	free   map[[2]int]int
	size   map[[2]int]int
	legs   map[legKey]*leg
	toward map[[2]int][]*wire // connections of a proxy to a switch
	front  []*wire            // by exchange: the callers' connection to its proxy
	calls  map[uint64]*call
	next   uint64
	faults []string
	worth  [2]float64 // offered, and stood in time
	counts map[string]int
	open   []io.Closer
}

// maxFaults bounds what is kept of faults; the first ones say most.
const maxFaults = 20

// NewMesh returns stand-ins for a config; its Make, troubles and delays are not used.
func NewMesh(cfg mesh.Config) *Mesh {
	r := &Mesh{cfg: cfg, free: map[[2]int]int{}, size: map[[2]int]int{}, legs: map[legKey]*leg{}, toward: map[[2]int][]*wire{},
		calls: map[uint64]*call{}, counts: map[string]int{}, front: make([]*wire, cfg.Exchanges)}
	for _, g := range cfg.Groups {
		r.free[ends(g.A, g.B)], r.size[ends(g.A, g.B)] = g.Circuits, g.Circuits
	}
	return r
}

// Close ends all connections and listeners.
func (r *Mesh) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.open {
		_ = c.Close() // some are closed already
	}
}

// Switches opens the switches as one exchange's proxy sees them and returns their
// addresses by number.
func (r *Mesh) Switches(x int) ([]string, error) {
	var addrs []string
	for to := range r.cfg.Exchanges {
		ln, err := Serve(func(c net.Conn) {
			r.mu.Lock()
			w := r.wire(c)
			r.toward[[2]int{x, to}] = append(r.toward[[2]int{x, to}], w)
			r.tell([2]int{x, to})
			r.mu.Unlock()
			r.read(w, func(m sig.Message) {
				switch m.Type {
				case sig.SetUp:
					r.setUp(x, to, w, m)
				case sig.Release:
					r.released(x, to, m.Call)
				case sig.Test:
					w.send(sig.WithCause(sig.Tested, m.Call, 1))
				}
			})
		})
		if err != nil {
			return nil, err
		}
		r.mu.Lock()
		r.open = append(r.open, ln)
		r.mu.Unlock()
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}

// Callers connects the callers of one exchange to its proxy.
func (r *Mesh) Callers(x int, proxy string) error {
	c, err := net.Dial("tcp", proxy)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.front[x] = r.wire(c)
	r.mu.Unlock()
	go r.read(r.front[x], r.told)
	return nil
}

// Serve takes connections on loopback, each for a goroutine of its own, until the
// listener is closed.
func Serve(do func(c net.Conn)) (net.Listener, error) {
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
			go do(c)
		}
	}()
	return ln, nil
}

// Left is how many calls and circuits' legs are not over.
func (r *Mesh) Left() (calls, legs int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.calls {
		if !c.over {
			calls++
		}
	}
	return calls, len(r.legs)
}

// Result is what was seen so far: the worth offered and that which stood in time, counts
// of what happened, and what went wrong.
func (r *Mesh) Result() (offered, inTime float64, counts map[string]int, faults []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	faults = append(faults, r.faults...)
	for k, free := range r.free {
		if held := r.held(k); free+held != r.size[k] {
			faults = append(faults, fmt.Sprintf("group %v: %d free and %d held of %d", k, free, held, r.size[k]))
		}
	}
	return r.worth[0], r.worth[1], r.counts, faults
}

func (r *Mesh) held(k [2]int) (n int) {
	for _, l := range r.legs {
		if ends(l.from, l.to) == k {
			n += l.width
		}
	}
	return n
}

type legKey struct {
	from, to int
	id       uint64
}

// leg is a set-up from one proxy to one switch, with its circuits.
type leg struct {
	legKey
	w      *wire
	width  int
	stands bool
	inner  uint64 // the call in transit at the tandem's proxy; 0: none
}

// call is a call that a proxy was offered, by a caller or in transit.
type call struct {
	at       int
	class    int
	from     time.Time
	until    time.Time
	outer    *leg // in transit: the leg that it goes on for
	answered bool
	over     bool
}

// wire is a connection with a queue, so that what is told last is heard last.
type wire struct {
	net.Conn
	out  chan sig.Message
	quit chan struct{}
	once sync.Once
}

const wireQueue = 1 << 14

// wire makes one. The lock is held.
func (r *Mesh) wire(c net.Conn) *wire {
	w := &wire{Conn: c, out: make(chan sig.Message, wireQueue), quit: make(chan struct{})}
	r.open = append(r.open, w)
	go func() {
		for {
			select {
			case m := <-w.out:
				b, err := m.Append(nil)
				if err != nil {
					panic(err) // it was made here
				}
				_ = w.SetWriteDeadline(time.Now().Add(time.Second))
				_, _ = w.Write(b) // a closed connection's calls are given up by the proxy
			case <-w.quit:
				return
			}
		}
	}()
	return w
}

// Close ends the connection and its queue.
func (w *wire) Close() error {
	w.once.Do(func() { close(w.quit) })
	return w.Conn.Close()
}

// send queues a message; one that finds the queue full is lost, and its call with it.
func (w *wire) send(m sig.Message) {
	select {
	case w.out <- m:
	default:
	}
}

func ends(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

func (r *Mesh) fault(format string, args ...any) {
	if len(r.faults) < maxFaults {
		r.faults = append(r.faults, fmt.Sprintf(format, args...))
	}
}

// figures reads the description that a set-up passes on unchanged.
func figures(m *sig.Message) (v map[string]int) {
	v = map[string]int{}
	for name, text := range sig.Figures(m.Get(sig.ParamDescription)) {
		v[name], _ = strconv.Atoi(text)
	}
	return v
}

// take and give move circuits and tell both ends' proxies.
func (r *Mesh) take(k [2]int, n int) {
	r.free[k] -= n
	for _, e := range [][2]int{{k[0], k[1]}, {k[1], k[0]}} {
		r.tell(e)
	}
}

func (r *Mesh) tell(e [2]int) {
	if ws := r.toward[e]; len(ws) > 0 {
		k := ends(e[0], e[1])
		m := sig.Message{Type: sig.Group, Params: []sig.Param{{Code: sig.ParamReport, Value: fmt.Appendf(nil, "spare:%d;total:%d", r.free[k], r.size[k])}}}
		ws[len(ws)-1].send(m)
	}
}

// setUp is a set-up's arrival at a switch. The lock is held.
func (r *Mesh) setUp(from, to int, w *wire, m sig.Message) {
	f := figures(&m)
	k := legKey{from, to, m.Call}
	for other := range r.cfg.Exchanges {
		if l := r.legs[legKey{from, other, m.Call}]; l != nil {
			r.fault("two attempts out for call %d of exchange %d: at %d and %d", m.Call, from, other, to)
		}
	}
	r.counts["set-ups"]++
	g := ends(from, to)
	refuse := func(note string) {
		w.send(sig.Message{Type: sig.Release, Call: m.Call, Params: []sig.Param{{Code: sig.ParamCause, Value: []byte{sig.CauseNoCircuit}}, {Code: sig.ParamNote, Value: []byte(note)}}})
	}
	if r.free[g] < f["width"] {
		refuse("no_path")
		return
	}
	l := &leg{legKey: k, w: w, width: f["width"]}
	r.legs[k] = l
	r.take(g, l.width)
	if f["dest"] == to {
		time.AfterFunc(3*time.Millisecond, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.legs[k] != l {
				return
			}
			r.stand(l, m.Get(sig.ParamDescription))
			time.AfterFunc(time.Duration(f["hold"])*time.Millisecond, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.end(l, sig.CauseNormal)
			})
		})
		return
	}
	r.counts["transit"]++
	wait, _ := strconv.Atoi(string(m.Get(sig.ParamWait)))
	l.inner = r.offer(to, f["class"], m.Get(sig.ParamDescription), time.Duration(wait)*time.Millisecond, l, f)
}

func (r *Mesh) stand(l *leg, description []byte) {
	l.stands = true
	l.w.send(sig.Message{Type: sig.Answer, Call: l.id, Params: []sig.Param{{Code: sig.ParamDescription, Value: description}}})
}

// remember is how long a call that is over is kept, to know a second answer.
const remember = 10 * time.Second

// finish notes that a call is over.
func (r *Mesh) finish(id uint64, c *call) {
	c.over = true
	time.AfterFunc(remember, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.calls, id)
	})
}

// end frees a leg and releases it toward its proxy.
func (r *Mesh) end(l *leg, cause byte) {
	if r.legs[l.legKey] != l {
		return
	}
	delete(r.legs, l.legKey)
	r.take(ends(l.from, l.to), -l.width)
	m := sig.WithCause(sig.Release, l.id, cause)
	if cause == sig.CauseNoCircuit {
		m.Params = append(m.Params, sig.Param{Code: sig.ParamNote, Value: []byte("sent_back")})
	}
	l.w.send(m)
}

// released is a proxy's release: a set-up that it gives up, or a call that it hangs up.
func (r *Mesh) released(from, to int, id uint64) {
	l := r.legs[legKey{from, to, id}]
	if l == nil {
		return
	}
	delete(r.legs, l.legKey)
	r.take(ends(from, to), -l.width)
	if l.inner != 0 {
		if c := r.calls[l.inner]; c != nil && !c.over {
			r.finish(l.inner, c)
			r.front[to].send(sig.WithCause(sig.Release, l.inner, sig.CauseNormal))
		}
	}
}

// offer brings a call to a proxy.
func (r *Mesh) offer(at, class int, description []byte, wait time.Duration, outer *leg, f map[string]int) uint64 {
	r.next++
	id := r.next
	now := time.Now()
	r.calls[id] = &call{at: at, class: class, from: now, until: now.Add(wait), outer: outer}
	fig := fmt.Sprintf("dest:%d;width:%d;via:-1", f["dest"], f["width"])
	if outer != nil {
		fig = fmt.Sprintf("dest:%d;width:%d;via:%d;transit:1", f["dest"], f["width"], outer.from)
	}
	r.front[at].send(sig.Message{Type: sig.SetUp, Call: id, Params: []sig.Param{
		{Code: sig.ParamClass, Value: []byte(r.cfg.Classes[class].Name)}, {Code: sig.ParamWait, Value: strconv.AppendInt(nil, wait.Milliseconds(), 10)},
		{Code: sig.ParamTenant, Value: []byte("main-lot")}, {Code: sig.ParamNumber, Value: fmt.Appendf(nil, "%016x", id)},
		{Code: sig.ParamFigures, Value: []byte(fig)}, {Code: sig.ParamDescription, Value: description}}})
	return id
}

// told is a message of a proxy to its callers.
func (r *Mesh) told(m sig.Message) {
	c := r.calls[m.Call]
	if c == nil {
		r.fault("an answer for call %d, which nobody offered", m.Call)
		return
	}
	if m.Type != sig.Answer && m.Type != sig.Release {
		return
	}
	late := time.Since(c.until)
	switch {
	case m.Type == sig.Answer && (c.answered || c.over):
		if c.outer == nil || c.answered {
			r.fault("a second final answer for call %d", m.Call)
		}
		return
	case m.Type == sig.Release && c.over && !c.answered && c.outer == nil:
		r.fault("a second final answer for call %d", m.Call)
		return
	case !c.answered && !c.over && late > 50*time.Millisecond:
		r.fault("call %d answered %v after its caller gave up", m.Call, late)
	}
	if m.Type == sig.Answer {
		c.answered = true
		if c.outer != nil {
			r.stand(c.outer, m.Get(sig.ParamDescription))
			return
		}
		r.counts["stood"]++
		if k := r.cfg.Classes[c.class]; time.Since(c.from) <= k.GoalTime {
			r.worth[1] += k.Worth
		}
		return
	}
	r.finish(m.Call, c)
	if c.outer != nil && c.answered {
		r.end(c.outer, sig.CauseNormal)
	} else if c.outer != nil {
		r.counts["turned back"]++
		r.end(c.outer, sig.CauseNoCircuit)
	} else if !c.answered {
		r.counts["refused"]++
	}
}

func (r *Mesh) read(w *wire, do func(sig.Message)) {
	in := bufio.NewReader(w)
	for {
		m, err := sig.Read(in)
		if err != nil {
			return
		}
		r.mu.Lock()
		do(m)
		r.mu.Unlock()
	}
}

// Play offers the day's calls in real time.
func (r *Mesh) Play() {
	var wg sync.WaitGroup
	for i, f := range r.cfg.Flows {
		rng := rand.New(rand.NewPCG(r.cfg.Seed, 1000+uint64(i)))
		wg.Go(func() {
			at := time.Now()
			end := at.Add(r.cfg.Length)
			for {
				at = at.Add(time.Duration(rng.ExpFloat64() / f.Rate * float64(time.Second)))
				// None so long that the end of a short day waits for it.
				hold := time.Duration(min(3, rng.ExpFloat64()) * float64(r.cfg.Classes[f.Class].Hold))
				if at.After(end) {
					return
				}
				time.Sleep(time.Until(at))
				k := r.cfg.Classes[f.Class]
				fig := map[string]int{"dest": f.To, "width": k.Width, "class": f.Class}
				d := fmt.Appendf(nil, "dest:%d;width:%d;class:%d;hold:%d", f.To, k.Width, f.Class, hold.Milliseconds())
				patience := time.Duration(r.cfg.TryShare * float64(k.Deadline))
				r.mu.Lock()
				r.worth[0] += k.Worth
				id := r.offer(f.From, f.Class, d, patience, nil, fig)
				r.mu.Unlock()
				time.AfterFunc(patience+100*time.Millisecond, func() {
					r.mu.Lock()
					defer r.mu.Unlock()
					if c := r.calls[id]; c != nil && !c.answered && !c.over {
						r.finish(id, c)
						r.fault("call %d has no answer when its caller gives up", id)
					}
				})
			}
		})
	}
	wg.Wait()
}
