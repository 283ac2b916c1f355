package duty

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Agent is an instance's own part: it says which claims to start. Its times are those
// of the instance's steady clock, which counts on while the process is stopped.
type Agent struct {
	id      string
	cfg     Config
	most    int // runs at once
	seen    time.Duration
	any     bool
	running map[Claim]time.Duration // since when
	ended   map[Claim]time.Duration // carried out here, and when that was last proposed
	pauses  map[string]pause        // of duties whose last run failed here
	hung    map[string]bool         // duties of which a run was given up and goes on
}

// pause is a wait that doubles with each failure, so that a duty that always fails
// does not keep the pool from the others.
type pause struct{ gap, until time.Duration }

// A pause is from an eighth of a lease to eight leases.
const pauseParts = 8

// NewAgent returns the part of an instance that may run so many duties at once.
func NewAgent(id string, cfg Config, most int) *Agent {
	return &Agent{id: id, cfg: cfg, most: max(1, most), running: map[Claim]time.Duration{}, ended: map[Claim]time.Duration{}, pauses: map[string]pause{}, hung: map[string]bool{}}
}

// Ticked notes that a tick of the log in which this instance was heard was applied, and
// when it had spoken, by its own steady clock: the lease counts from there and not from
// the tick's arrival, which may be late.
func (a *Agent) Ticked(spoke time.Duration) { a.seen, a.any = max(a.seen, spoke), true }

// Leased says whether the instance may act on what the state says it owns.
func (a *Agent) Leased(now time.Duration) bool { return a.any && now < a.seen+a.cfg.Lease }

// Start returns the claims to start now and notes them as running. Without a lease
// there are none. A duty runs once at a time, oldest period first; one of which a run
// hangs here is not started here again.
func (a *Agent) Start(now time.Duration, s *State) []Claim {
	if !a.Leased(now) {
		return nil
	}
	due := s.Due(a.id)
	for c := range a.ended {
		if !slices.Contains(due, c) {
			delete(a.ended, c) // the log knows, or another owns it
		}
	}
	for n := range a.pauses {
		if !slices.ContainsFunc(due, func(c Claim) bool { return c.Duty == n }) {
			delete(a.pauses, n)
		}
	}
	var out []Claim
	for _, c := range due {
		if len(a.running) >= a.most {
			break
		}
		on := a.hung[c.Duty]
		for o := range a.running {
			on = on || o.Duty == c.Duty
		}
		if _, over := a.ended[c]; !on && !over && now >= a.pauses[c.Duty].until {
			a.running[c] = now
			out = append(out, c)
		}
	}
	return out
}

// Stop returns the claims whose runs should be stopped: past their deadline, or no
// longer this instance's. They count as running until Ended.
func (a *Agent) Stop(now time.Duration, s *State) []Claim {
	due := s.Due(a.id)
	var out []Claim
	for c, since := range a.running {
		t := s.duties[c.Duty]
		if t == nil || now >= since+t.spec.Deadline || !slices.Contains(due, c) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, compare)
	return out
}

func compare(a, b Claim) int {
	switch {
	case a.Duty != b.Duty && a.Duty < b.Duty:
		return -1
	case a.Duty != b.Duty:
		return 1
	case a.Series != b.Series:
		return int(int64(a.Series) - int64(b.Series))
	case a.Period != b.Period:
		return int(a.Period - b.Period)
	}
	return int(int64(a.Epoch) - int64(b.Epoch))
}

// Ended takes in how a run ended at its sink. It says whether Done is to be proposed:
// where the effect is there, by this run or another.
func (a *Agent) Ended(now time.Duration, c Claim, err error) (propose bool) {
	delete(a.running, c)
	if err == nil || errors.Is(err, ErrDone) {
		a.ended[c] = now
		delete(a.pauses, c.Duty)
		return true
	}
	if !errors.Is(err, ErrFenced) { // it is started again if it is still due here
		p := a.pauses[c.Duty]
		p.gap = min(max(2*p.gap, a.cfg.Lease/pauseParts), a.cfg.Lease*pauseParts)
		p.until = now + p.gap
		a.pauses[c.Duty] = p
	}
	return false
}

// Hung gives a run up that does not end though it was told to: its place is another's,
// and its duty rests here until Back.
func (a *Agent) Hung(c Claim) {
	delete(a.running, c)
	a.hung[c.Duty] = true
}

// Back says that a run that was given up has ended after all.
func (a *Agent) Back(c Claim) { delete(a.hung, c.Duty) }

// Again returns claims that were carried out here a lease ago or longer and are due
// still: what was proposed of them was lost on its way, and is to be proposed again.
func (a *Agent) Again(now time.Duration, s *State) []Claim {
	var out []Claim
	for _, c := range s.Due(a.id) {
		if at, over := a.ended[c]; over && now >= at+a.cfg.Lease {
			a.ended[c] = now
			out = append(out, c)
		}
	}
	return out
}

// Errors of a Sink.
var (
	ErrFenced = errors.New("duty: another owner has come since")
	ErrDone   = errors.New("duty: the period is done")
)

// Sink is the fence. It must be kept where the effect lands, and be changed in one
// step with it: what Accept lets pass happens, and what it refuses does not.
type Sink struct {
	duties map[string]*fence
}

type fence struct {
	series, epoch uint64
	done          map[int64]bool
	upTo          int64 // all periods up to this one are done or will not be taken any more
}

// keepDone bounds the periods that a sink remembers for each duty, beyond upTo.
const keepDone = 1024

// NewSink returns a sink that has seen nothing.
func NewSink() *Sink { return &Sink{duties: map[string]*fence{}} }

// Accept takes a claim, once: nil means that the effect may happen now.
func (k *Sink) Accept(c Claim) error {
	f := k.duties[c.Duty]
	if f == nil {
		if len(k.duties) >= MaxDuties {
			return fmt.Errorf("%w: %d duties at a sink", ErrBound, len(k.duties))
		}
		f = &fence{series: c.Series, done: map[int64]bool{}, upTo: c.Period - 1 - keepDone}
		k.duties[c.Duty] = f
	}
	if c.Epoch < f.epoch || c.Series < f.series {
		return fmt.Errorf("%w: epoch %d, now %d", ErrFenced, c.Epoch, f.epoch)
	}
	if c.Series > f.series {
		*f = fence{series: c.Series, done: map[int64]bool{}, upTo: c.Period - 1 - keepDone}
	}
	f.epoch = c.Epoch
	if c.Period <= f.upTo || f.done[c.Period] {
		return fmt.Errorf("%w: %s period %d", ErrDone, c.Duty, c.Period)
	}
	f.done[c.Period] = true
	for len(f.done) > keepDone {
		f.upTo++
		delete(f.done, f.upTo)
	}
	return nil
}
