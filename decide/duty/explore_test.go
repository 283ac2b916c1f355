package duty

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// The exploration: three instances, two duties, a log that a majority can append to,
// and a sink. Each step is one of: the leader ticks and hears all that run or all but
// one; an instance applies the log's next entry; it starts what it may; the effect of
// a run reaches the sink, once or staying on its way as a copy, and its acknowledgement
// is taken or lost; an instance crashes, or starts anew. A pause is an instance that
// takes no step, and an effect that stays on its way, for as long as others go on; the
// steady clock goes on for all. Reordering is any order of what is on its way.

var (
	exploreIDs = []string{"a", "b", "c"}
	exploreCfg = Config{Lease: 3 * time.Second, MaxStep: 10 * time.Second}
	exploreLog = []Entry{Register{Spec{Name: "up", Period: 2 * time.Second, MakeUp: true}}, Register{Spec{Name: "now", Period: 2 * time.Second}},
		Join{"a", 1}, Join{"b", 1}, Join{"c", 1}, Tick{Now: 0, Heard: []string{"a", "b", "c"}}}
)

type flight struct {
	c    Claim
	from int
	life uint64
}

type instance struct {
	up      bool
	life    uint64
	applied int
	agent   *Agent
}

// world is one state of the exploration. Its parts are replaced, never changed, when a
// step is tried, but for the instance that the step is of.
type world struct {
	log     []Entry
	now     time.Duration
	ins     [3]instance
	flights []flight
	sink    *Sink
	effects map[string]int // how often each duty's period happened
	broken  string         // a broken fence: "epoch", "done" or ""
}

func first() *world {
	w := &world{log: exploreLog, sink: NewSink(), effects: map[string]int{}}
	for i, id := range exploreIDs {
		w.ins[i] = instance{up: true, life: 1, agent: NewAgent(id, exploreCfg, 4)}
		for w.ins[i].applied < len(w.log) {
			w.apply(i)
		}
	}
	return w
}

func (w *world) clone() *world {
	v := *w
	v.log = slices.Clip(w.log)
	v.flights = slices.Clone(w.flights)
	v.effects = maps.Clone(w.effects)
	v.sink = NewSink()
	for n, f := range w.sink.duties {
		g := *f
		g.done = maps.Clone(f.done)
		v.sink.duties[n] = &g
	}
	for i := range v.ins {
		a := *w.ins[i].agent
		a.running, a.ended, a.pauses = maps.Clone(a.running), maps.Clone(a.ended), maps.Clone(a.pauses)
		v.ins[i].agent = &a
	}
	return &v
}

func (w *world) key() string {
	var b strings.Builder
	fmt.Fprint(&b, w.now, w.log[len(exploreLog):])
	for _, in := range w.ins {
		fmt.Fprint(&b, "|", in.up, in.life, in.applied, in.agent.seen, in.agent.running, in.agent.ended, in.agent.pauses)
	}
	fl := slices.Clone(w.flights)
	slices.SortFunc(fl, func(a, b flight) int { return compare(a.c, b.c)*8 + a.from - b.from })
	fmt.Fprint(&b, fl, w.effects)
	for _, n := range slices.Sorted(maps.Keys(w.sink.duties)) {
		fmt.Fprint(&b, w.sink.duties[n].epoch)
	}
	return b.String()
}

func (w *world) majority() bool {
	n := 0
	for _, in := range w.ins {
		if in.up {
			n++
		}
	}
	return n >= 2
}

// state is what an instance has after so many entries.
func (w *world) state(applied int) *State {
	s := New(exploreCfg)
	for _, e := range w.log[:applied] {
		_ = s.Apply(e) // a Done of what is gone is refused, by design
	}
	return s
}

func (w *world) apply(i int) {
	in := &w.ins[i]
	e := w.log[in.applied]
	in.applied++
	if t, ok := e.(Tick); ok && slices.Contains(t.Heard, exploreIDs[i]) {
		in.agent.RenewLease(t.Now) // ticks are asked for at their time: the clocks agree here
	}
}

func (w *world) start(i int) bool {
	in := &w.ins[i]
	cs := in.agent.Start(w.now, w.state(in.applied))
	for _, c := range cs {
		w.flights = append(w.flights, flight{c, i, in.life})
	}
	return len(cs) > 0
}

// accept is the sink, or a broken one.
func (w *world) accept(c Claim) error {
	switch w.broken {
	case "epoch": // remembers what is done for the epoch alone, as a lock service's client might
		c.Duty = fmt.Sprint(c.Duty, c.Epoch)
	case "none":
		return nil
	}
	return w.sink.Accept(c)
}

// deliver lets an effect reach the sink. Its acknowledgement is lost if heard is false.
func (w *world) deliver(k int, keep, heard bool) {
	f := w.flights[k]
	if !keep {
		w.flights = slices.Delete(slices.Clone(w.flights), k, k+1)
	}
	err := w.accept(f.c)
	if err == nil {
		w.effects[fmt.Sprint(f.c.Duty, f.c.Period)]++
	}
	in := &w.ins[f.from]
	if !heard || !in.up || in.life != f.life {
		return
	}
	if _, on := in.agent.running[f.c]; !on && !errors.Is(err, ErrAlreadyDone) {
		return // a copy
	}
	if in.agent.RunEnded(w.now, f.c, err) && w.majority() {
		w.log = append(slices.Clip(w.log), Done{f.c})
	}
}

func (w *world) tick(without int) bool {
	if !w.majority() {
		return false
	}
	w.now += time.Second
	var heard []string
	for i, in := range w.ins {
		if in.up && i != without {
			heard = append(heard, exploreIDs[i])
		}
	}
	w.log = append(slices.Clip(w.log), Tick{Now: w.now, Heard: heard})
	return true
}

// next is every state that one step leads to.
func (w *world) next() (out []*world) {
	try := func(do func(v *world) bool) {
		if v := w.clone(); do(v) {
			out = append(out, v)
		}
	}
	for without := -1; without < 3; without++ {
		if without < 0 || w.ins[without].up {
			try(func(v *world) bool { return v.tick(without) })
		}
	}
	for i, in := range w.ins {
		if !in.up {
			try(func(v *world) bool { // it starts anew, with nothing but the log
				if !v.majority() {
					return false
				}
				v.restart(i)
				return true
			})
			continue
		}
		if in.applied < len(w.log) {
			try(func(v *world) bool { v.apply(i); return true })
		}
		try(func(v *world) bool { return v.start(i) })
		try(func(v *world) bool { v.ins[i].up = false; return true })
	}
	for k := range w.flights {
		try(func(v *world) bool { v.deliver(k, false, true); return true })
		try(func(v *world) bool { v.deliver(k, false, false); return true })
		try(func(v *world) bool { v.deliver(k, true, true); return true })
		try(func(v *world) bool { v.flights = slices.Delete(v.flights, k, k+1); return true }) // lost
	}
	return out
}

func (w *world) restart(i int) {
	life := w.ins[i].life + 1
	w.ins[i] = instance{up: true, life: life, agent: NewAgent(exploreIDs[i], exploreCfg, 4)}
	w.log = append(slices.Clip(w.log), Join{exploreIDs[i], life})
}

// twice says which period happened more than once.
func (w *world) twice() string {
	for k, n := range w.effects {
		if n > 1 {
			return k
		}
	}
	return ""
}

// settle lets all run in fair weather, and says which period of the duty that makes up
// was skipped in the end.
func (w *world) settle() string {
	for i := range w.ins {
		if !w.ins[i].up {
			w.restart(i)
		}
	}
	for range 12 {
		w.tick(-1)
		for i := range w.ins {
			for w.ins[i].applied < len(w.log) {
				w.apply(i)
			}
			// A run whose effect was lost ends at its deadline.
			stop, _ := w.ins[i].agent.Stop(w.now, w.state(w.ins[i].applied))
			for _, c := range stop {
				w.ins[i].agent.RunEnded(w.now, c, errors.New("stopped"))
			}
			for _, c := range w.ins[i].agent.Repropose(w.now, w.state(w.ins[i].applied)) {
				w.log = append(slices.Clip(w.log), Done{c})
			}
			w.start(i)
		}
		for len(w.flights) > 0 {
			w.deliver(0, false, true)
		}
	}
	last := int64(w.now/(2*time.Second)) - 1
	for p := int64(1); p <= last; p++ {
		if w.effects[fmt.Sprint("up", p)] != 1 {
			return fmt.Sprint("up", p)
		}
	}
	return ""
}

// explore walks all states breadth first to a depth, from a state some steps on, and
// returns how many there were and the first fault.
func explore(from *world, depth, most int) (states int, fault string) {
	seen := map[string]bool{from.key(): true}
	level := []*world{from}
	for d := 0; d < depth; d++ {
		var next []*world
		for _, w := range level {
			for _, v := range w.next() {
				k := v.key()
				if seen[k] {
					continue
				}
				seen[k] = true
				if two := v.twice(); two != "" {
					return len(seen), fmt.Sprintf("depth %d: %s done twice", d+1, two)
				}
				if len(seen)%67 == 0 { // a settled end costs as much as fifty states
					c := v.clone()
					if skipped := c.settle(); skipped != "" {
						return len(seen), fmt.Sprintf("depth %d: %s skipped or done twice: %v", d+1, skipped, c.effects)
					}
				}
				if len(seen) >= most {
					return len(seen), fmt.Sprintf("more than %d states at depth %d", most, d+1)
				}
				next = append(next, v)
			}
		}
		level = next
	}
	return len(seen), ""
}

// pressed is a state in which things are about to happen: two seconds in, a period is
// due and begun at its owners, and one of them is not heard any more.
func pressed(heard int) *world {
	w := first()
	for range 2 {
		w.tick(-1)
	}
	for i := range w.ins {
		for w.ins[i].applied < len(w.log) {
			w.apply(i)
		}
	}
	for i := range w.ins {
		w.start(i)
	}
	for range 3 {
		w.tick(heard)
	}
	return w
}

// deeper goes so many steps deeper than CI does: go test -run Explore -deeper 1 takes
// some ten times as long.
var deeper = flag.Int("deeper", 0, "steps that TestExplore goes beyond its usual depth")

func TestExplore(t *testing.T) {
	var mu sync.Mutex
	total := 0
	var all sync.WaitGroup
	for name, c := range map[string]struct {
		from  *world
		depth int
	}{"from the start": {first(), 5}, "a is not heard": {pressed(0), 4}, "b is not heard": {pressed(1), 4}, "c is not heard": {pressed(2), 4}} {
		all.Go(func() {
			n, fault := explore(c.from, c.depth+*deeper, 5_000_000)
			if fault != "" {
				t.Errorf("%s: %s", name, fault)
			}
			t.Logf("%s: %d states to depth %d", name, n, c.depth+*deeper)
			mu.Lock()
			defer mu.Unlock()
			total += n
		})
	}
	all.Wait()
	t.Logf("%d states", total)
}

// A sink whose fence is broken is found out by the same search.
func TestExploreFindsBrokenFence(t *testing.T) {
	for _, broken := range []string{"epoch", "none"} {
		found := ""
		for i := range 3 {
			w := pressed(i)
			w.broken = broken
			if _, fault := explore(w, 5, 2_000_000); strings.Contains(fault, "twice") {
				found = fault
			}
		}
		if found == "" {
			t.Errorf("fence without %s: nothing found", broken)
		}
		t.Log(broken, found)
	}
}
