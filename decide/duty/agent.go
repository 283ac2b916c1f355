package duty

import (
	"cmp"
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
	running map[Claim]running
	ended   map[Claim]time.Duration // carried out here, and when that was last proposed
	pauses  map[string]pause        // of duties whose last run failed here
	hung    map[string]bool         // duties of which a run was given up and goes on
}

// running is a run under way.
type running struct {
	since   time.Duration
	stopped time.Duration // when it was to stop
	stop    bool          // it was told
}

// hangLeases is how many leases a run may go on after it was told to stop.
const hangLeases = 3

// pause is a wait that doubles with each failure, so that a duty that always fails
// does not keep the pool from the others.
type pause struct{ gap, until time.Duration }

// A pause is from an eighth of a lease to eight leases.
const pauseParts = 8

// NewAgent returns the part of an instance that may run so many duties at once.
func NewAgent(id string, cfg Config, most int) *Agent {
	return &Agent{id: id, cfg: cfg, most: max(1, most), running: map[Claim]running{}, ended: map[Claim]time.Duration{}, pauses: map[string]pause{}, hung: map[string]bool{}}
}

// RenewLease notes that a tick of the log in which this instance was heard was applied, and
// when it had spoken, by its own steady clock: the lease counts from there and not from
// the tick's arrival, which may be late.
func (a *Agent) RenewLease(spoke time.Duration) { a.seen, a.any = max(a.seen, spoke), true }

// HasLease says whether the instance may act on what the state says it owns.
func (a *Agent) HasLease(now time.Duration) bool { return a.any && now < a.seen+a.cfg.Lease }

// Start returns the claims to start now and notes them as running. Without a lease
// there are none. A duty runs once at a time, oldest period first; one of which a run
// hangs here is not started here again.
func (a *Agent) Start(now time.Duration, s *State) []Claim {
	if !a.HasLease(now) {
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
			a.running[c] = running{since: now}
			out = append(out, c)
		}
	}
	return out
}

// Stop returns the claims whose runs are to be told to stop now: past their deadline, or
// no longer this instance's; and those that were told leases ago and go on. These are
// given up: their places are others', and their duties rest here until Back.
func (a *Agent) Stop(now time.Duration, s *State) (stop, hung []Claim) {
	due := s.Due(a.id)
	for c, r := range a.running {
		t := s.duties[c.Duty]
		switch {
		case r.stop && now >= r.stopped+hangLeases*a.cfg.Lease:
			hung = append(hung, c)
			delete(a.running, c)
			a.hung[c.Duty] = true
		case !r.stop && (t == nil || now >= r.since+t.spec.Deadline || !slices.Contains(due, c)):
			stop = append(stop, c)
			r.stop, r.stopped = true, now
			a.running[c] = r
		}
	}
	slices.SortFunc(stop, compare)
	slices.SortFunc(hung, compare)
	return stop, hung
}

func compare(a, b Claim) int {
	return cmp.Or(cmp.Compare(a.Duty, b.Duty), cmp.Compare(a.Series, b.Series), cmp.Compare(a.Period, b.Period), cmp.Compare(a.Epoch, b.Epoch))
}

// RunEnded takes in how a run ended at its sink. It says whether Done is to be proposed:
// where the effect is there, by this run or another.
func (a *Agent) RunEnded(now time.Duration, c Claim, err error) (propose bool) {
	delete(a.running, c)
	if err == nil || errors.Is(err, ErrAlreadyDone) {
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

// HungRunEnded says that a run that was given up has ended after all.
func (a *Agent) HungRunEnded(c Claim) { delete(a.hung, c.Duty) }

// Repropose returns claims that were carried out here a lease ago or longer and are due
// still: what was proposed of them was lost on its way, and is to be proposed again.
func (a *Agent) Repropose(now time.Duration, s *State) []Claim {
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
	ErrFenced      = errors.New("duty: another owner has come since")
	ErrAlreadyDone = errors.New("duty: the period is done")
)

// Sink is the fence. It must be kept where the effect lands, and be changed in one
// step with it: what Accept lets pass happens, and what it refuses does not.
//
// It remembers keepDuties duties; the one that was quiet for longest is forgotten for
// another, and claims under its epoch or a lower one for duties that are not remembered
// are fenced from then on. Epochs rise over all duties, so an owner of later is not.
type Sink struct {
	duties map[string]*fence
	floor  uint64 // highest epoch of those forgotten
	asked  uint64
}

type fence struct {
	series, epoch, asked uint64
	done                 map[int64]bool
	upTo                 int64 // all periods up to this one are done or will not be taken any more
}

// Bounds of a sink: duties, and periods of each beyond upTo.
const (
	keepDuties = 2 * MaxDuties
	keepDone   = 1024
)

// NewSink returns a sink that has seen nothing.
func NewSink() *Sink { return &Sink{duties: map[string]*fence{}} }

// Accept takes a claim, once: nil means that the effect may happen now.
func (k *Sink) Accept(c Claim) error {
	f := k.duties[c.Duty]
	if f == nil && c.Epoch <= k.floor || f != nil && (c.Epoch < f.epoch || c.Series < f.series) {
		return fmt.Errorf("%w: %s under epoch %d", ErrFenced, c.Duty, c.Epoch)
	}
	if f == nil || c.Series > f.series {
		f = &fence{series: c.Series, done: map[int64]bool{}, upTo: c.Period - 1 - keepDone}
		k.duties[c.Duty] = f
		k.forget(c.Duty)
	}
	k.asked++
	f.epoch, f.asked = c.Epoch, k.asked
	if c.Period <= f.upTo || f.done[c.Period] {
		return fmt.Errorf("%w: %s period %d", ErrAlreadyDone, c.Duty, c.Period)
	}
	f.done[c.Period] = true
	for len(f.done) > keepDone {
		f.upTo++
		delete(f.done, f.upTo)
	}
	return nil
}

// forget makes room, if there are too many, by the duty that was quiet for longest.
func (k *Sink) forget(but string) {
	if len(k.duties) <= keepDuties {
		return
	}
	quiet := ""
	for n, f := range k.duties {
		if n != but && (quiet == "" || f.asked < k.duties[quiet].asked) {
			quiet = n
		}
	}
	k.floor = max(k.floor, k.duties[quiet].epoch)
	delete(k.duties, quiet)
}
