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
}

// NewAgent returns the part of an instance that may run so many duties at once.
func NewAgent(id string, cfg Config, most int) *Agent {
	return &Agent{id: id, cfg: cfg, most: max(1, most), running: map[Claim]time.Duration{}, ended: map[Claim]time.Duration{}}
}

// Ticked notes that a tick of the log in which this instance was heard was applied, and
// when it had spoken, by its own steady clock: the lease counts from there and not from
// the tick's arrival, which may be late.
func (a *Agent) Ticked(spoke time.Duration) { a.seen, a.any = max(a.seen, spoke), true }

// Leased says whether the instance may act on what the state says it owns.
func (a *Agent) Leased(now time.Duration) bool { return a.any && now < a.seen+a.cfg.Lease }

// Start returns the claims to start now and notes them as running. Without a lease
// there are none.
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
	var out []Claim
	for _, c := range due {
		if len(a.running) >= a.most {
			break
		}
		_, on := a.running[c]
		if _, over := a.ended[c]; !on && !over {
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
		return true
	}
	return false // it is started again if it is still due here
}

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
