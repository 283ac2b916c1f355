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

// Settings configures a Loop. The zero value of Deadline, Gap, Blocking or a field of Replan
// means its default, which is given at the end of the field's comment.
type Settings struct {
	File        string        // plan file to read at the start and on each reload; "": none
	Measure     bool          // solve for new plans from the measured demand
	OwnExchange int           // number of the own exchange
	Deadline    time.Duration // time limit of one solve; 20 s
	Gap         float64       // relative optimality gap of one solve; 1e-3
	Blocking    float64       // blocking at which a group counts as full; 0.2
	Costs       plan.Costs
	Replan      replan.Settings
}

// Defaults of Settings, and the interval of the planner's ticks.
const (
	defaultDeadline = 20 * time.Second
	defaultGap      = 1e-3
	defaultBlocking = 0.2
	tickInterval    = time.Second
)

// Loop runs a replan.Planner: it keeps its clock, counts calls and solves off the call path.
// It is safe for concurrent use.
type Loop struct {
	settings Settings
	log      *slog.Logger
	notify   func(e routing.PlanUpdated, until time.Time)
	start    time.Time
	results  chan solveResult // of the one solve in progress

	countsMu sync.Mutex // guards counts
	counts   map[flowKey]int

	mu            sync.Mutex // guards the fields below; not held while solving
	planner       *replan.Planner
	problem       *plan.Problem
	switchIDs     map[int]string // by exchange number
	switchNumbers map[string]int
	ownSwitch     string
	cancelSolve   func() // cancels the solve in progress; nil: none
}

// flowKey identifies the calls of one class to one exchange.
type flowKey struct {
	class string
	dest  int
}

// solveResult is the result of the solve with the given ID.
type solveResult struct {
	id     uint64
	answer *plan.Answer
	err    error
}

// New returns a Loop that passes plans to the controller through notify. The second argument
// of notify is when the plan expires; the event's ValidUntil is not set.
func New(settings Settings, log *slog.Logger, notify func(e routing.PlanUpdated, until time.Time)) *Loop {
	if settings.Deadline <= 0 {
		settings.Deadline = defaultDeadline
	}
	if settings.Gap <= 0 {
		settings.Gap = defaultGap
	}
	if settings.Blocking <= 0 {
		settings.Blocking = defaultBlocking
	}
	return &Loop{settings: settings, log: log, notify: notify, start: time.Now(), results: make(chan solveResult, 1), counts: map[flowKey]int{}}
}

func (l *Loop) now() time.Duration { return time.Since(l.start) }

// SetInventory sets the inventory and the switch IDs by exchange number, then puts the plan
// of the plan file into force if one is configured. An error concerns the plan file only: the
// inventory is set, and a plan in force stays if it is still for this inventory.
func (l *Loop) SetInventory(inventory *plan.Problem, switchIDs map[int]string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	problem := *inventory
	problem.Target, problem.Costs = l.settings.Blocking, l.settings.Costs
	l.problem, l.switchIDs, l.switchNumbers = &problem, switchIDs, map[string]int{}
	for n, id := range switchIDs {
		l.switchNumbers[id] = n
	}
	if ownSwitch := switchIDs[l.settings.OwnExchange]; l.planner == nil || ownSwitch != l.ownSwitch {
		replanSettings := l.settings.Replan
		replanSettings.OwnSwitch, l.ownSwitch = ownSwitch, ownSwitch
		version := uint64(time.Now().UnixNano()) // above those of an earlier planner
		if l.planner != nil {
			l.notify(routing.PlanUpdated{Version: version}, time.Now())
		}
		l.planner = replan.New(replanSettings, version)
	}
	if l.ownSwitch == "" {
		l.log.Warn("no switch of the inventory belongs to the own exchange: plans have no effect", "exchange", l.settings.OwnExchange)
	}
	l.apply(l.planner.SetInventory(l.now(), &problem))
	if l.settings.File == "" {
		return nil
	}
	f, err := Read(l.settings.File)
	if err != nil {
		return err
	}
	if err := f.CheckInventory(&problem); err != nil {
		return err
	}
	remaining := f.Remaining(time.Now())
	if remaining <= 0 {
		return errors.New("the plan has expired")
	}
	actions, err := l.planner.Import(l.now(), f.Problem, f.Answer, f.Gap, remaining)
	if err != nil {
		return err
	}
	l.apply(actions)
	return nil
}

// maxCountedFlows is the maximum number of flows counted between two ticks.
const maxCountedFlows = 1 << 16

// CountCall counts a call of the own exchange's callers to measure the demand. It takes no
// lock that is held while notify runs, so the caller may hold any lock.
func (l *Loop) CountCall(class string, dest int) {
	if !l.settings.Measure {
		return
	}
	l.countsMu.Lock()
	defer l.countsMu.Unlock()
	k := flowKey{class, dest}
	if _, ok := l.counts[k]; ok || len(l.counts) < maxCountedFlows {
		l.counts[k]++
	}
}

// takeCounts passes the counted calls to the planner in a deterministic order. The caller
// holds mu.
func (l *Loop) takeCounts(now time.Duration) {
	l.countsMu.Lock()
	counts := l.counts
	l.counts = map[flowKey]int{}
	l.countsMu.Unlock()
	keys := slices.SortedFunc(maps.Keys(counts), func(a, b flowKey) int { return cmp.Or(cmp.Compare(a.class, b.class), a.dest-b.dest) })
	for _, k := range keys {
		if id, ok := l.switchIDs[k.dest]; ok {
			l.planner.Count(now, replan.Flow{Class: k.class, To: id}, counts[k])
		}
	}
}

// Run keeps a plan in force until ctx is done. It returns nil.
func (l *Loop) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.mu.Lock()
			if l.planner != nil {
				now := l.now()
				l.takeCounts(now)
				l.apply(l.planner.Tick(now))
			}
			l.mu.Unlock()
		case result := <-l.results:
			l.mu.Lock()
			l.cancelSolve = nil
			l.apply(l.planner.HandleSolved(l.now(), result.id, result.answer, result.err))
			l.mu.Unlock()
		case <-ctx.Done():
			l.mu.Lock()
			if l.cancelSolve != nil {
				l.cancelSolve()
			}
			l.mu.Unlock()
			return nil
		}
	}
}

// apply executes the planner's actions. The caller holds mu.
func (l *Loop) apply(actions []replan.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case replan.Solve:
			if l.settings.Measure {
				l.solve(a)
			}
		case replan.Publish:
			until := l.start.Add(a.Until)
			l.notify(l.planUpdate(a), until)
			l.log.Info("plan in force", "version", a.Version, "worth", a.Answer.Worth, "bound", a.Answer.Bound, "gap", a.Answer.Gap, "until", until.UTC().Format(time.RFC3339))
		case replan.Withdraw:
			l.notify(routing.PlanUpdated{Version: a.Version}, time.Now())
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

// solve starts a solve in a goroutine. An earlier solve that still runs is cancelled, because
// its result is no longer awaited.
func (l *Loop) solve(s replan.Solve) {
	if l.cancelSolve != nil {
		l.cancelSolve()
	}
	ctx, stop := context.WithTimeout(context.Background(), l.settings.Deadline)
	l.cancelSolve = stop
	go func() {
		defer stop()
		answer, err := plan.Solve(s.Problem, plan.Options{Gap: l.settings.Gap, Stop: func() bool { return ctx.Err() != nil }})
		for result := (solveResult{s.ID, answer, err}); ; {
			select {
			case l.results <- result:
				return
			default:
				select { // discard an older result that was not received
				case <-l.results:
				default:
				}
			}
		}
	}()
}

// planUpdate returns the controller's event for a plan: the tandem weights of the own
// exchange's calls, and the circuit values of its groups as guards.
func (l *Loop) planUpdate(a replan.Publish) routing.PlanUpdated {
	e := routing.PlanUpdated{Version: a.Version}
	for _, w := range a.Answer.TandemWeights(a.Problem) {
		dest, destFound := l.switchNumbers[w.To]
		tandem, tandemFound := l.switchNumbers[w.Tandem]
		if w.From == l.ownSwitch && destFound && tandemFound {
			e.Weights = append(e.Weights, routing.Weight{Dest: dest, Tandem: tandem, Weight: w.Weight})
		}
	}
	for _, g := range a.Answer.CircuitValues(a.Problem) {
		neighbor := g.A
		if g.A == l.ownSwitch {
			neighbor = g.B
		} else if g.B != l.ownSwitch {
			continue
		}
		if n, ok := l.switchNumbers[neighbor]; ok {
			e.Guards = append(e.Guards, routing.Guard{Toward: n, Value: g.Value})
		}
	}
	return e
}
