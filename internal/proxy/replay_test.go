package proxy

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"violetspan.example/violetspan/brain"
	"violetspan.example/violetspan/internal/config"
	"violetspan.example/violetspan/internal/lab"
	"violetspan.example/violetspan/internal/mesh"
	"violetspan.example/violetspan/internal/sig"
)

// A replay plays a day of the lab against real proxies, one an exchange, and stand-in
// switches that share trunk groups, all on loopback. Every call's life is checked: one
// final answer, before its caller gives up; never two attempts out; and all circuits
// free at the end. Processors are not played: a set-up takes a few milliseconds.
type replay struct {
	t     *testing.T
	cfg   mesh.Config
	ps    []*Proxy
	begun time.Time

	mu     sync.Mutex
	free   map[[2]int]int
	size   map[[2]int]int
	legs   map[legKey]*leg
	toward map[[2]int][]*wire // connections of a proxy to a switch
	front  []*wire            // by exchange: the callers' connection to its proxy
	calls  map[uint64]*replayCall
	next   uint64
	faults []string
	worth  [2]float64 // offered, and stood in time
	counts map[string]int
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

// replayCall is a call that a proxy was offered, by a caller or in transit.
type replayCall struct {
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
	out chan sig.Message
}

const wireQueue = 1 << 14

func newWire(t *testing.T, c net.Conn) *wire {
	w := &wire{c, make(chan sig.Message, wireQueue)}
	quit := make(chan struct{})
	t.Cleanup(func() { close(quit); c.Close() })
	go func() {
		for {
			select {
			case m := <-w.out:
				b, err := m.Append(nil)
				if err != nil {
					panic(err)
				}
				_ = w.SetWriteDeadline(time.Now().Add(time.Second))
				_, _ = w.Write(b) // a closed connection's calls are given up by the proxy
			case <-quit:
				return
			}
		}
	}()
	return w
}

func (w *wire) send(m sig.Message) { w.out <- m }

func ends(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

func (r *replay) fault(format string, args ...any) {
	if len(r.faults) < 20 {
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
func (r *replay) take(k [2]int, n int) {
	r.free[k] -= n
	for _, e := range [][2]int{{k[0], k[1]}, {k[1], k[0]}} {
		r.tell(e)
	}
}

func (r *replay) tell(e [2]int) {
	if ws := r.toward[e]; len(ws) > 0 {
		k := ends(e[0], e[1])
		m := sig.Message{Type: sig.Group, Params: []sig.Param{{Code: sig.ParamReport, Value: fmt.Appendf(nil, "spare:%d;total:%d", r.free[k], r.size[k])}}}
		ws[len(ws)-1].send(m)
	}
}

// setUp is a set-up's arrival at a switch. The lock is held.
func (r *replay) setUp(from, to int, w *wire, m sig.Message) {
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

func (r *replay) stand(l *leg, description []byte) {
	l.stands = true
	l.w.send(sig.Message{Type: sig.Answer, Call: l.id, Params: []sig.Param{{Code: sig.ParamDescription, Value: description}}})
}

// end frees a leg and releases it toward its proxy.
func (r *replay) end(l *leg, cause byte) {
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
func (r *replay) released(from, to int, id uint64) {
	l := r.legs[legKey{from, to, id}]
	if l == nil {
		return
	}
	delete(r.legs, l.legKey)
	r.take(ends(from, to), -l.width)
	if l.inner != 0 {
		if c := r.calls[l.inner]; c != nil && !c.over {
			c.over = true
			r.front[to].send(sig.WithCause(sig.Release, l.inner, sig.CauseNormal))
		}
	}
}

// offer brings a call to a proxy.
func (r *replay) offer(at, class int, description []byte, wait time.Duration, outer *leg, f map[string]int) uint64 {
	r.next++
	id := r.next
	now := time.Now()
	r.calls[id] = &replayCall{at: at, class: class, from: now, until: now.Add(wait), outer: outer}
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
func (r *replay) told(m sig.Message) {
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
		if k := r.cfg.Classes[c.class]; time.Since(c.from) <= k.Goal {
			r.worth[1] += k.Worth
		}
		return
	}
	c.over = true
	if c.outer != nil && c.answered {
		r.end(c.outer, sig.CauseNormal)
	} else if c.outer != nil {
		r.counts["turned back"]++
		r.end(c.outer, sig.CauseNoCircuit)
	} else if !c.answered {
		r.counts["refused"]++
	}
}

func (r *replay) read(w *wire, do func(sig.Message)) {
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

// playDay runs one day and returns the share of the worth that stood in time.
func playDay(t *testing.T, cfg mesh.Config, events []brain.Planned) float64 {
	t.Helper()
	n := cfg.Exchanges
	r := &replay{t: t, cfg: cfg, free: map[[2]int]int{}, size: map[[2]int]int{}, legs: map[legKey]*leg{}, toward: map[[2]int][]*wire{},
		calls: map[uint64]*replayCall{}, counts: map[string]int{}, front: make([]*wire, n)}
	for _, g := range cfg.Groups {
		r.free[ends(g.A, g.B)], r.size[ends(g.A, g.B)] = g.Circuits, g.Circuits
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, n)
	for x := range n {
		var members []string
		for to := range n {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { ln.Close() })
			members = append(members, fmt.Sprintf(`{"id":"x%d","host_port":%q,"cell":%d,"phase":"up","size":1,"up_since_ms":0}`, to, ln.Addr(), to))
			go func() {
				for {
					c, err := ln.Accept()
					if err != nil {
						return
					}
					w := newWire(t, c)
					r.mu.Lock()
					r.toward[[2]int{x, to}] = append(r.toward[[2]int{x, to}], w)
					r.tell([2]int{x, to})
					r.mu.Unlock()
					go r.read(w, func(m sig.Message) {
						switch m.Type {
						case sig.SetUp:
							r.setUp(x, to, w, m)
						case sig.Release:
							r.released(x, to, m.Call)
						case sig.Test:
							w.send(sig.WithCause(sig.Tested, m.Call, 1))
						}
					})
				}
			}()
		}
		settings := fmt.Sprintf(`{"fleetSize":%d,"classes":[{"name":"space-check","goalTimeMs":2000,"deadlineMs":9000,"worth":1},
			{"name":"shuttle-video","goalTimeMs":2500,"deadlineMs":9000,"worth":2}],
			"extra":{"here":%d,"topology":"meshed","releaseMs":500,"resendMs":800,"widths":[1,4],"classHoldMs":[%d,%d]},
			"limits":{"mostTries":5,"cancel":true,"dialTimeoutMs":500},"rules":{"answerSlackMs":20,"coldShare":0.29,"rampTimeMs":15000,"fallMultiple":4,"overloadForMs":2000},
			"realms":[{"name":"main-lot"}]}`, n, x, cfg.Classes[0].Hold.Milliseconds(), cfg.Classes[1].Hold.Milliseconds())
		pf, err := config.Parse(fmt.Appendf(nil, `{"name":"n%d","listen":"127.0.0.1:0","seed":"%x","channel":"127.0.0.1:9","limits":{"sockets":1024},
			"known":{"cursor":1,"cmds":[{"cursor":1,"nodes":{"complete":true,"members":[%s]}}]},"settings":%s}`, x, cfg.Seed*100+uint64(x), strings.Join(members, ","), settings))
		if err != nil {
			t.Fatal(err)
		}
		p, err := New(pf, nil, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		ready := make(chan struct{})
		go func() { done <- p.Run(ctx, nil, func() { close(ready) }) }()
		select {
		case <-ready:
		case <-time.After(patience):
			t.Fatal("a proxy did not start")
		}
		if events != nil {
			p.core.Plan(events[x], time.Now().Add(time.Hour))
		}
		c, err := net.Dial("tcp", p.CallAddr.String())
		if err != nil {
			t.Fatal(err)
		}
		r.front[x] = newWire(t, c)
		r.ps = append(r.ps, p)
		go r.read(r.front[x], func(m sig.Message) { r.told(m) })
	}
	r.arrivals()
	// What is still out is answered within its time; what stands is hung up by its end.
	deadline := time.Now().Add(patience + 10*cfg.Classes[1].Hold)
	for {
		r.mu.Lock()
		left, busy := 0, len(r.legs)
		for _, c := range r.calls {
			if !c.over {
				left++
			}
		}
		r.mu.Unlock()
		if left+busy == 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Errorf("%d calls and %d legs are never over", left, busy)
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	cancel()
	for range n {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, free := range r.free {
		if free != r.size[k] {
			t.Errorf("group %v: %d of %d free at the end", k, free, r.size[k])
		}
	}
	for _, f := range r.faults {
		t.Error(f)
	}
	t.Logf("seed %d: %v of %v worth in time; %v", cfg.Seed, r.worth[1], r.worth[0], r.counts)
	return r.worth[1] / r.worth[0]
}

// arrivals offers the day's calls in real time.
func (r *replay) arrivals() {
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
					if c := r.calls[id]; !c.answered && !c.over {
						c.over = true
						r.fault("call %d has no answer when its caller gives up", id)
					}
				})
			}
		})
	}
	wg.Wait()
}

// quick shortens a day: calls come and go so many times as fast, which leaves the
// circuits that they keep busy as they were.
func quick(c mesh.Config, times float64, length time.Duration) mesh.Config {
	c.Length = length
	for i := range c.Classes {
		c.Classes[i].Hold = time.Duration(float64(c.Classes[i].Hold) / times)
	}
	for i := range c.Flows {
		c.Flows[i].Rate *= times
	}
	return c
}

// One day at 110% of plan, with weights, in its short form: six seconds, calls eight
// times as fast. Set VIOLETSPAN_REPLAY to a number of seeds for the long form: each
// seed's day of 50 s as it is, with weights and without.
func TestReplay(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("VIOLETSPAN_REPLAY"))
	if seeds == 0 {
		cfg := quick(lab.Draw(4, 1.1, time.Second, 7), 8, 6*time.Second)
		events, _, err := lab.Planned(&cfg, 0.2, true)
		if err != nil {
			t.Fatal(err)
		}
		if got := playDay(t, cfg, events); got < 0.5 || got > 1 {
			t.Errorf("%v of the worth stood in time", got)
		}
		return
	}
	var diffs []float64
	for s := range seeds {
		cfg := lab.Draw(5, 1.1, 50*time.Second, uint64(6001+s))
		events, _, err := lab.Planned(&cfg, 0.2, true)
		if err != nil {
			t.Fatal(err)
		}
		with := playDay(t, cfg, events)
		without := playDay(t, cfg, nil)
		diffs = append(diffs, with-without)
		t.Logf("seed %d: %.4f with weights, %.4f without", cfg.Seed, with, without)
	}
	mean, low, high := lab.Bootstrap(diffs, 10_000, 1)
	t.Logf("difference %+.4f (95%% %+.4f to %+.4f), %d pairs", mean, low, high, len(diffs))
}
