package planner

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"violetspan.example/violetspan/decide/plan"
	"violetspan.example/violetspan/decide/replan"
	"violetspan.example/violetspan/routing"
)

// Settings of a Loop. A zero value means its default.
type Settings struct {
	File     string        // a plan to take at the start and on each reload; "": none
	Measure  bool          // solve anew for the demand that is measured
	Here     int           // number of the own exchange
	Deadline time.Duration // of one solve; 20 s
	Gap      float64       // of one solve; 1e-3
	Blocking float64       // at which a group counts as full; 0.2
	Costs    plan.Costs
	Replan   replan.Settings
}

// Defaults of a Loop.
const (
	defaultDeadline = 20 * time.Second
	defaultGap      = 1e-3
	defaultBlocking = 0.2
	tick            = time.Second
)

// Loop is the running part of planning. It may be used by several goroutines.
type Loop struct {
	set  Settings
	log  *slog.Logger
	tell func(e routing.PlanUpdated, until time.Time)
	from time.Time
	done chan outcome // of the one solve on its way

	counting sync.Mutex // guards counts
	counts   map[counted]int

	mu      sync.Mutex // guards all below; never held while solving
	p       *replan.Planner
	base    *plan.Problem
	ids     map[int]string // switches by number
	numbers map[string]int
	here    string
	late    func() // stops the solve on its way
}

type counted struct {
	class string
	dest  int
}

type outcome struct {
	ticket uint64
	a      *plan.Answer
	err    error
}

// New makes a loop that tells the module of plans through tell.
func New(set Settings, log *slog.Logger, tell func(e routing.PlanUpdated, until time.Time)) *Loop {
	if set.Deadline <= 0 {
		set.Deadline = defaultDeadline
	}
	if set.Gap <= 0 {
		set.Gap = defaultGap
	}
	if set.Blocking <= 0 {
		set.Blocking = defaultBlocking
	}
	return &Loop{set: set, log: log, tell: tell, from: time.Now(), done: make(chan outcome, 1), counts: map[counted]int{}}
}

func (l *Loop) now() time.Duration { return time.Since(l.from) }

// Inventory takes what an inventory says of the mesh, then the plan's file if one is
// named. An error is of the file alone: the inventory counts, and a plan in force
// stays if it is still for it.
func (l *Loop) Inventory(base *plan.Problem, ids map[int]string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := *base
	p.Target, p.Costs = l.set.Blocking, l.set.Costs
	l.base, l.ids, l.numbers = &p, ids, map[string]int{}
	for n, id := range ids {
		l.numbers[id] = n
	}
	if here := ids[l.set.Here]; l.p == nil || here != l.here {
		s := l.set.Replan
		s.OwnSwitch, l.here = here, here
		version := uint64(time.Now().UnixNano()) // above those of a planner before
		if l.p != nil {
			l.tell(routing.PlanUpdated{Version: version}, time.Now())
		}
		l.p = replan.New(s, version)
	}
	if l.here == "" {
		l.log.Warn("no switch of the inventory is the own exchange: a plan has nothing to say here", "exchange", l.set.Here)
	}
	l.act(l.p.SetInventory(l.now(), &p))
	if l.set.File == "" {
		return nil
	}
	f, err := Read(l.set.File)
	if err != nil {
		return err
	}
	if err := f.For(&p); err != nil {
		return err
	}
	left := f.Left(time.Now())
	if left <= 0 {
		return errors.New("the plan's time is over")
	}
	acts, err := l.p.Import(l.now(), f.Problem, f.Answer, f.Gap, left)
	if err != nil {
		return err
	}
	l.act(acts)
	return nil
}

// maxCounted bounds the flows that are counted between two ticks.
const maxCounted = 1 << 16

// Count takes in a call of the own exchange's callers, for the measure of demand. It
// takes no lock that is held while others are told of anything, and may be called
// under any.
func (l *Loop) Count(class string, dest int) {
	if !l.set.Measure {
		return
	}
	l.counting.Lock()
	defer l.counting.Unlock()
	k := counted{class, dest}
	if _, ok := l.counts[k]; ok || len(l.counts) < maxCounted {
		l.counts[k]++
	}
}

// takeCounts hands what was counted to the planner, in an order that is always the
// same. The lock is held.
func (l *Loop) takeCounts(now time.Duration) {
	l.counting.Lock()
	counts := l.counts
	l.counts = map[counted]int{}
	l.counting.Unlock()
	keys := slices.SortedFunc(maps.Keys(counts), func(a, b counted) int { return cmp.Or(cmp.Compare(a.class, b.class), a.dest-b.dest) })
	for _, k := range keys {
		if id, ok := l.ids[k.dest]; ok {
			l.p.Count(now, replan.Flow{Class: k.class, To: id}, counts[k])
		}
	}
}

// Run keeps the plan until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			l.mu.Lock()
			if l.p != nil {
				now := l.now()
				l.takeCounts(now)
				l.act(l.p.Tick(now))
			}
			l.mu.Unlock()
		case o := <-l.done:
			l.mu.Lock()
			l.late = nil
			l.act(l.p.HandleSolved(l.now(), o.ticket, o.a, o.err))
			l.mu.Unlock()
		case <-ctx.Done():
			l.mu.Lock()
			if l.late != nil {
				l.late()
			}
			l.mu.Unlock()
			return nil
		}
	}
}

// act does what the planner wants. The lock is held.
func (l *Loop) act(acts []replan.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case replan.Solve:
			if l.set.Measure {
				l.solve(a)
			}
		case replan.Publish:
			until := l.from.Add(a.Until)
			l.tell(l.event(a), until)
			l.log.Info("plan in force", "version", a.Version, "worth", a.Answer.Worth, "bound", a.Answer.Bound, "gap", a.Answer.Gap, "until", until.UTC().Format(time.RFC3339))
		case replan.Withdraw:
			l.tell(routing.PlanUpdated{Version: a.Version}, time.Now())
			l.log.Info("plan withdrawn", "version", a.Version)
		case replan.Log:
			if a.Err != nil {
				l.log.Warn(a.Text, "error", a.Err)
			} else {
				l.log.Info(a.Text, "old_worth", a.OldWorth, "new_worth", a.NewWorth, "won", a.Confirmations)
			}
		}
	}
}

// solve works a plan out beside the calls. One that was asked for before, and whose
// answer nobody awaits any more, is stopped.
func (l *Loop) solve(s replan.Solve) {
	if l.late != nil {
		l.late()
	}
	ctx, stop := context.WithTimeout(context.Background(), l.set.Deadline)
	l.late = stop
	go func() {
		defer stop()
		a, err := plan.Solve(s.Problem, plan.Options{Gap: l.set.Gap, Stop: func() bool { return ctx.Err() != nil }})
		for o := (outcome{s.Ticket, a, err}); ; {
			select {
			case l.done <- o:
				return
			default:
				select { // an answer that nobody took yet is older
				case <-l.done:
				default:
				}
			}
		}
	}()
}

// event is what the module is told of a plan: the weights of the own exchange's calls
// and the worth of its groups' circuits.
func (l *Loop) event(a replan.Publish) routing.PlanUpdated {
	e := routing.PlanUpdated{Version: a.Version}
	for _, w := range a.Answer.TandemWeights(a.Problem) {
		dest, ok := l.numbers[w.To]
		tandem, ok2 := l.numbers[w.Tandem]
		if w.From == l.here && ok && ok2 {
			e.Weights = append(e.Weights, routing.Weight{Dest: dest, Tandem: tandem, Weight: w.Weight})
		}
	}
	for _, g := range a.Answer.CircuitValues(a.Problem) {
		far := g.A
		if g.A == l.here {
			far = g.B
		} else if g.B != l.here {
			continue
		}
		if n, ok := l.numbers[far]; ok {
			e.Guards = append(e.Guards, routing.Guard{Toward: n, Value: g.Value})
		}
	}
	return e
}
