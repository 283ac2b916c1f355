package duty

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Agent is the local part of one instance: it decides which claims to start and which
// runs to stop. Its times are those of the instance's monotonic clock, which must keep
// counting while the process is suspended.
type Agent struct {
	id         string
	cfg        Config
	maxRuns    int // maximum number of concurrent runs
	leaseStart time.Duration
	leased     bool // a lease was granted; it may have expired
	running    map[Claim]run
	proposedAt map[Claim]time.Duration // of claims executed here: when Done was last proposed
	backoffs   map[string]backoff      // by duty whose last run failed here
	hung       map[string]bool         // duties with a run that was given up and has not ended
}

// run is the state of a run in progress.
type run struct {
	startedAt       time.Duration
	stopRequestedAt time.Duration
	stopRequested   bool
}

// hungAfterLeases is how long, in leases, a run may continue after it was asked to stop
// before it is given up.
const hungAfterLeases = 3

// backoff is a retry delay that doubles with each failure, so that a duty that always
// fails does not occupy the pool at the expense of the others.
type backoff struct{ delay, until time.Duration }

// backoffRange limits the retry delay: it is at least Lease/backoffRange, an eighth of a
// lease, and at most Lease*backoffRange, eight leases.
const backoffRange = 8

// NewAgent returns the agent of instance id, which runs at most maxRuns duties at once.
func NewAgent(id string, cfg Config, maxRuns int) *Agent {
	return &Agent{id: id, cfg: cfg, maxRuns: max(1, maxRuns), running: map[Claim]run{}, proposedAt: map[Claim]time.Duration{}, backoffs: map[string]backoff{}, hung: map[string]bool{}}
}

// RenewLease must be called when a tick that lists this instance as heard was applied.
// sentAt is when the instance sent the message that was heard, by its own monotonic
// clock: the lease counts from then and not from the tick's arrival, which may be late.
func (a *Agent) RenewLease(sentAt time.Duration) {
	a.leaseStart, a.leased = max(a.leaseStart, sentAt), true
}

// HasLease reports whether the instance may run the duties that it owns by the state.
func (a *Agent) HasLease(now time.Duration) bool { return a.leased && now < a.leaseStart+a.cfg.Lease }

// Start returns the claims to start now and records them as running. Without a lease
// there are none. Each duty has at most one run at a time, oldest period first; a duty
// with a hung run on this instance is not started.
func (a *Agent) Start(now time.Duration, s *State) []Claim {
	if !a.HasLease(now) {
		return nil
	}
	due := s.Due(a.id)
	for c := range a.proposedAt {
		if !slices.Contains(due, c) {
			delete(a.proposedAt, c) // Done is in the log, or another instance owns the duty
		}
	}
	for n := range a.backoffs {
		if !slices.ContainsFunc(due, func(c Claim) bool { return c.Duty == n }) {
			delete(a.backoffs, n)
		}
	}
	var claims []Claim
	for _, c := range due {
		if len(a.running) >= a.maxRuns {
			break
		}
		busy := a.hung[c.Duty]
		for o := range a.running {
			busy = busy || o.Duty == c.Duty
		}
		if _, completed := a.proposedAt[c]; !busy && !completed && now >= a.backoffs[c.Duty].until {
			a.running[c] = run{startedAt: now}
			claims = append(claims, c)
		}
	}
	return claims
}

// Stop returns in stop the claims whose runs must be asked to stop now: those past their
// deadline or no longer owned by this instance. It returns in hung those that were asked
// to stop hungAfterLeases leases ago and still run. These are given up: they no longer
// count toward the limit of concurrent runs, and their duties are not started on this
// instance until HungRunEnded.
func (a *Agent) Stop(now time.Duration, s *State) (stop, hung []Claim) {
	due := s.Due(a.id)
	for c, r := range a.running {
		d := s.duties[c.Duty]
		switch {
		case r.stopRequested && now >= r.stopRequestedAt+hungAfterLeases*a.cfg.Lease:
			hung = append(hung, c)
			delete(a.running, c)
			a.hung[c.Duty] = true
		case !r.stopRequested && (d == nil || now >= r.startedAt+d.spec.Deadline || !slices.Contains(due, c)):
			stop = append(stop, c)
			r.stopRequested, r.stopRequestedAt = true, now
			a.running[c] = r
		}
	}
	slices.SortFunc(stop, compareClaims)
	slices.SortFunc(hung, compareClaims)
	return stop, hung
}

func compareClaims(a, b Claim) int {
	return cmp.Or(cmp.Compare(a.Duty, b.Duty), cmp.Compare(a.Series, b.Series), cmp.Compare(a.Period, b.Period), cmp.Compare(a.Epoch, b.Epoch))
}

// RunEnded records the result of a run at its sink. It reports whether Done must be
// proposed: if the effect has taken place, by this run or another.
func (a *Agent) RunEnded(now time.Duration, c Claim, err error) (propose bool) {
	delete(a.running, c)
	if err == nil || errors.Is(err, ErrAlreadyDone) {
		a.proposedAt[c] = now
		delete(a.backoffs, c.Duty)
		return true
	}
	if !errors.Is(err, ErrFenced) { // retried after a delay if still due on this instance
		b := a.backoffs[c.Duty]
		b.delay = min(max(2*b.delay, a.cfg.Lease/backoffRange), a.cfg.Lease*backoffRange)
		b.until = now + b.delay
		a.backoffs[c.Duty] = b
	}
	return false
}

// HungRunEnded records that a run that was given up has ended.
func (a *Agent) HungRunEnded(c Claim) { delete(a.hung, c.Duty) }

// Repropose returns claims for which Done must be proposed again: they were executed on
// this instance, Done was last proposed at least a lease ago, and they are still due, so
// the proposal was lost.
func (a *Agent) Repropose(now time.Duration, s *State) []Claim {
	var claims []Claim
	for _, c := range s.Due(a.id) {
		if at, completed := a.proposedAt[c]; completed && now >= at+a.cfg.Lease {
			a.proposedAt[c] = now
			claims = append(claims, c)
		}
	}
	return claims
}

// Errors of a Sink.
var (
	ErrFenced      = errors.New("duty: fenced by a later owner")
	ErrAlreadyDone = errors.New("duty: period already done")
)

// Sink is the fence. It must be stored where the effect takes place and be updated
// atomically with it: the effect takes place if and only if Accept returns nil.
//
// It remembers maxSinkDuties duties. When there are more, the least recently used one is
// evicted; from then on, claims for unknown duties are fenced if their epoch is not above
// that of the evicted duty. Later owners are not affected, because epochs increase across
// all duties.
type Sink struct {
	duties          map[string]*fence
	maxEvictedEpoch uint64 // of the evicted duties
	uses            uint64
}

// fence is the record that a Sink keeps of a duty.
type fence struct {
	series, epoch, lastUse uint64
	done                   map[int64]bool
	doneThrough            int64 // all periods up to this one are done or no longer accepted
}

// Limits of a Sink: duties, and done periods of each after doneThrough.
const (
	maxSinkDuties  = 2 * MaxDuties
	maxSinkPeriods = 1024
)

// NewSink returns an empty Sink.
func NewSink() *Sink { return &Sink{duties: map[string]*fence{}} }

// Accept checks a claim and records it as done. It returns nil, at most once per period,
// if the effect must take place now, and else ErrFenced or ErrAlreadyDone.
func (k *Sink) Accept(c Claim) error {
	f := k.duties[c.Duty]
	if f == nil && c.Epoch <= k.maxEvictedEpoch || f != nil && (c.Epoch < f.epoch || c.Series < f.series) {
		return fmt.Errorf("%w: %s under epoch %d", ErrFenced, c.Duty, c.Epoch)
	}
	if f == nil || c.Series > f.series {
		f = &fence{series: c.Series, done: map[int64]bool{}, doneThrough: c.Period - 1 - maxSinkPeriods}
		k.duties[c.Duty] = f
		k.evict(c.Duty)
	}
	k.uses++
	f.epoch, f.lastUse = c.Epoch, k.uses
	if c.Period <= f.doneThrough || f.done[c.Period] {
		return fmt.Errorf("%w: %s period %d", ErrAlreadyDone, c.Duty, c.Period)
	}
	f.done[c.Period] = true
	for len(f.done) > maxSinkPeriods {
		f.doneThrough++
		delete(f.done, f.doneThrough)
	}
	return nil
}

// evict removes the least recently used duty other than except if there are too many.
func (k *Sink) evict(except string) {
	if len(k.duties) <= maxSinkDuties {
		return
	}
	leastRecent := ""
	for n, f := range k.duties {
		if n != except && (leastRecent == "" || f.lastUse < k.duties[leastRecent].lastUse) {
			leastRecent = n
		}
	}
	k.maxEvictedEpoch = max(k.maxEvictedEpoch, k.duties[leastRecent].epoch)
	delete(k.duties, leastRecent)
}
