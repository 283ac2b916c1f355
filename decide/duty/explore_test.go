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

// The tests of this file explore the states of a model exhaustively. The model has three
// instances, two duties, a log that a majority can append to, and a sink. Each step is one
// of: the leader ticks, having heard from all running instances or all but one; an instance
// applies the next log entry; an instance starts the runs that it may start; the effect of
// a run reaches the sink, with or without a duplicate left in flight, and its
// acknowledgement is received or lost; the effect is lost; an instance crashes or
// restarts. A suspended process is modelled by an instance that takes no step, and a delay
// by an effect that stays in flight, while others take steps; the monotonic clock of all
// instances advances. Effects in flight arrive in any order.

var (
	exploreIDs = []string{"a", "b", "c"}
	exploreCfg = Config{Lease: 3 * time.Second, MaxStep: 10 * time.Second}
	exploreLog = []Entry{Register{Spec{Name: "up", Period: 2 * time.Second, MakeUp: true}}, Register{Spec{Name: "now", Period: 2 * time.Second}},
		Join{"a", 1}, Join{"b", 1}, Join{"c", 1}, Tick{Now: 0, Heard: []string{"a", "b", "c"}}}
)

// delivery is an effect on its way to the sink.
type delivery struct {
	claim       Claim
	from        int
	incarnation uint64
}

type instance struct {
	up          bool
	incarnation uint64
	applied     int
	agent       *Agent
}

// model is one state of the exploration. A step that is tried replaces its parts and
// never modifies them, except for the instance that takes the step.
type model struct {
	log         []Entry
	now         time.Duration
	instances   [3]instance
	inFlight    []delivery
	sink        *Sink
	effects     map[string]int // number of effects by duty and period
	brokenFence string         // fault of the fence: "epoch", "none" or "" for no fault; see accept
}

func newModel() *model {
	m := &model{log: exploreLog, sink: NewSink(), effects: map[string]int{}}
	for i, id := range exploreIDs {
		m.instances[i] = instance{up: true, incarnation: 1, agent: NewAgent(id, exploreCfg, 4)}
		for m.instances[i].applied < len(m.log) {
			m.applyNext(i)
		}
	}
	return m
}

func (m *model) clone() *model {
	v := *m
	v.log = slices.Clip(m.log)
	v.inFlight = slices.Clone(m.inFlight)
	v.effects = maps.Clone(m.effects)
	v.sink = NewSink()
	for n, f := range m.sink.duties {
		g := *f
		g.done = maps.Clone(f.done)
		v.sink.duties[n] = &g
	}
	for i := range v.instances {
		a := *m.instances[i].agent
		a.running, a.proposedAt, a.backoffs = maps.Clone(a.running), maps.Clone(a.proposedAt), maps.Clone(a.backoffs)
		v.instances[i].agent = &a
	}
	return &v
}

func (m *model) key() string {
	var b strings.Builder
	fmt.Fprint(&b, m.now, m.log[len(exploreLog):])
	for _, in := range m.instances {
		fmt.Fprint(&b, "|", in.up, in.incarnation, in.applied, in.agent.leaseStart, in.agent.running, in.agent.proposedAt, in.agent.backoffs)
	}
	inFlight := slices.Clone(m.inFlight)
	slices.SortFunc(inFlight, func(a, b delivery) int { return compareClaims(a.claim, b.claim)*8 + a.from - b.from })
	fmt.Fprint(&b, inFlight, m.effects)
	for _, n := range slices.Sorted(maps.Keys(m.sink.duties)) {
		fmt.Fprint(&b, m.sink.duties[n].epoch)
	}
	return b.String()
}

func (m *model) hasMajority() bool {
	n := 0
	for _, in := range m.instances {
		if in.up {
			n++
		}
	}
	return n >= 2
}

// state returns an instance's state after the given number of entries.
func (m *model) state(applied int) *State {
	s := New(exploreCfg)
	for _, e := range m.log[:applied] {
		_ = s.Apply(e) // Done for a removed duty returns an error, by design
	}
	return s
}

func (m *model) applyNext(i int) {
	in := &m.instances[i]
	e := m.log[in.applied]
	in.applied++
	if t, ok := e.(Tick); ok && slices.Contains(t.Heard, exploreIDs[i]) {
		in.agent.RenewLease(t.Now) // the model has one clock: the tick's time is also when the instance sent its message
	}
}

func (m *model) startRuns(i int) bool {
	in := &m.instances[i]
	claims := in.agent.Start(m.now, m.state(in.applied))
	for _, c := range claims {
		m.inFlight = append(m.inFlight, delivery{c, i, in.incarnation})
	}
	return len(claims) > 0
}

// accept passes a claim to the sink, or to a sink with a broken fence.
func (m *model) accept(c Claim) error {
	switch m.brokenFence {
	case "epoch": // remembers done periods per epoch only, as a client of a lock service might
		c.Duty = fmt.Sprint(c.Duty, c.Epoch)
	case "none":
		return nil
	}
	return m.sink.Accept(c)
}

// deliver delivers effect k to the sink. With duplicate, a copy stays in flight; without
// acknowledged, the acknowledgement is lost.
func (m *model) deliver(k int, duplicate, acknowledged bool) {
	f := m.inFlight[k]
	if !duplicate {
		m.inFlight = slices.Delete(slices.Clone(m.inFlight), k, k+1)
	}
	err := m.accept(f.claim)
	if err == nil {
		m.effects[fmt.Sprint(f.claim.Duty, f.claim.Period)]++
	}
	in := &m.instances[f.from]
	if !acknowledged || !in.up || in.incarnation != f.incarnation {
		return
	}
	if _, running := in.agent.running[f.claim]; !running && !errors.Is(err, ErrAlreadyDone) {
		return // a duplicate
	}
	if in.agent.RunEnded(m.now, f.claim, err) && m.hasMajority() {
		m.log = append(slices.Clip(m.log), Done{f.claim})
	}
}

func (m *model) tick(silent int) bool {
	if !m.hasMajority() {
		return false
	}
	m.now += time.Second
	var heard []string
	for i, in := range m.instances {
		if in.up && i != silent {
			heard = append(heard, exploreIDs[i])
		}
	}
	m.log = append(slices.Clip(m.log), Tick{Now: m.now, Heard: heard})
	return true
}

// successors returns every state that one step leads to.
func (m *model) successors() (out []*model) {
	try := func(do func(v *model) bool) {
		if v := m.clone(); do(v) {
			out = append(out, v)
		}
	}
	for silent := -1; silent < 3; silent++ {
		if silent < 0 || m.instances[silent].up {
			try(func(v *model) bool { return v.tick(silent) })
		}
	}
	for i, in := range m.instances {
		if !in.up {
			try(func(v *model) bool { // it restarts with nothing but the log
				if !v.hasMajority() {
					return false
				}
				v.restart(i)
				return true
			})
			continue
		}
		if in.applied < len(m.log) {
			try(func(v *model) bool { v.applyNext(i); return true })
		}
		try(func(v *model) bool { return v.startRuns(i) })
		try(func(v *model) bool { v.instances[i].up = false; return true })
	}
	for k := range m.inFlight {
		try(func(v *model) bool { v.deliver(k, false, true); return true })
		try(func(v *model) bool { v.deliver(k, false, false); return true })
		try(func(v *model) bool { v.deliver(k, true, true); return true })
		try(func(v *model) bool { v.inFlight = slices.Delete(v.inFlight, k, k+1); return true }) // lost
	}
	return out
}

func (m *model) restart(i int) {
	incarnation := m.instances[i].incarnation + 1
	m.instances[i] = instance{up: true, incarnation: incarnation, agent: NewAgent(exploreIDs[i], exploreCfg, 4)}
	m.log = append(slices.Clip(m.log), Join{exploreIDs[i], incarnation})
}

// doneTwice returns a period that took effect more than once, or "".
func (m *model) doneTwice() string {
	for k, n := range m.effects {
		if n > 1 {
			return k
		}
	}
	return ""
}

// settle runs all instances without further faults. It returns a period of the duty with
// MakeUp that did not take effect exactly once, or "".
func (m *model) settle() string {
	for i := range m.instances {
		if !m.instances[i].up {
			m.restart(i)
		}
	}
	for range 12 {
		m.tick(-1)
		for i := range m.instances {
			for m.instances[i].applied < len(m.log) {
				m.applyNext(i)
			}
			// A run whose effect was lost ends at its deadline.
			stop, _ := m.instances[i].agent.Stop(m.now, m.state(m.instances[i].applied))
			for _, c := range stop {
				m.instances[i].agent.RunEnded(m.now, c, errors.New("stopped"))
			}
			for _, c := range m.instances[i].agent.Repropose(m.now, m.state(m.instances[i].applied)) {
				m.log = append(slices.Clip(m.log), Done{c})
			}
			m.startRuns(i)
		}
		for len(m.inFlight) > 0 {
			m.deliver(0, false, true)
		}
	}
	last := int64(m.now/(2*time.Second)) - 1
	for p := int64(1); p <= last; p++ {
		if m.effects[fmt.Sprint("up", p)] != 1 {
			return fmt.Sprint("up", p)
		}
	}
	return ""
}

// explore visits all states breadth first from the given state to the given depth. It
// returns the number of states and the first fault found.
func explore(from *model, depth, maxStates int) (states int, fault string) {
	seen := map[string]bool{from.key(): true}
	level := []*model{from}
	for d := 0; d < depth; d++ {
		var next []*model
		for _, m := range level {
			for _, v := range m.successors() {
				k := v.key()
				if seen[k] {
					continue
				}
				seen[k] = true
				if period := v.doneTwice(); period != "" {
					return len(seen), fmt.Sprintf("depth %d: %s done twice", d+1, period)
				}
				if len(seen)%67 == 0 { // settle costs as much as fifty states
					c := v.clone()
					if skipped := c.settle(); skipped != "" {
						return len(seen), fmt.Sprintf("depth %d: %s skipped or done twice: %v", d+1, skipped, c.effects)
					}
				}
				if len(seen) >= maxStates {
					return len(seen), fmt.Sprintf("more than %d states at depth %d", maxStates, d+1)
				}
				next = append(next, v)
			}
		}
		level = next
	}
	return len(seen), ""
}

// modelWithSilentInstance returns a state shortly before a failover, where faults need few
// steps: two seconds after the start, a period is due, its runs have started on their owners,
// and for three ticks the leader has not heard from the given instance.
func modelWithSilentInstance(silent int) *model {
	m := newModel()
	for range 2 {
		m.tick(-1)
	}
	for i := range m.instances {
		for m.instances[i].applied < len(m.log) {
			m.applyNext(i)
		}
	}
	for i := range m.instances {
		m.startRuns(i)
	}
	for range 3 {
		m.tick(silent)
	}
	return m
}

// extraDepth is added to the depth that CI explores: go test -run Explore -deeper 1 takes
// about ten times as long.
var extraDepth = flag.Int("deeper", 0, "steps that TestExplore explores beyond its usual depth")

// No period takes effect twice, and no period of a duty with MakeUp is skipped.
func TestExplore(t *testing.T) {
	var mu sync.Mutex
	total := 0
	var all sync.WaitGroup
	for name, c := range map[string]struct {
		from  *model
		depth int
	}{"from the start": {newModel(), 5}, "a is silent": {modelWithSilentInstance(0), 4}, "b is silent": {modelWithSilentInstance(1), 4}, "c is silent": {modelWithSilentInstance(2), 4}} {
		all.Go(func() {
			n, fault := explore(c.from, c.depth+*extraDepth, 5_000_000)
			if fault != "" {
				t.Errorf("%s: %s", name, fault)
			}
			t.Logf("%s: %d states to depth %d", name, n, c.depth+*extraDepth)
			mu.Lock()
			defer mu.Unlock()
			total += n
		})
	}
	all.Wait()
	t.Logf("%d states", total)
}

// The same search finds the fault of a sink with a broken fence.
func TestExploreFindsBrokenFence(t *testing.T) {
	for _, brokenFence := range []string{"epoch", "none"} {
		found := ""
		for i := range 3 {
			m := modelWithSilentInstance(i)
			m.brokenFence = brokenFence
			if _, fault := explore(m, 5, 2_000_000); strings.Contains(fault, "twice") {
				found = fault
			}
		}
		if found == "" {
			t.Errorf("broken fence %q: no fault found", brokenFence)
		}
		t.Log(brokenFence, found)
	}
}
