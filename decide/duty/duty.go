// Package duty distributes periodic duties among instances. State is the replicated
// part: instances that apply the same log entries in the same order have the same state.
// Agent is the local part of one instance: it decides which runs to start and stop. Sink
// is the fence, stored where a duty's effect takes place. None of them does I/O or reads a
// clock. docs/cluster.md defines what "once" means.
//
// Times are durations since an origin that the host chooses; the log's time is set by its
// ticks. Nothing in this package is safe for concurrent use.
package duty

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of a State and of the names and loads in its entries.
const (
	MaxMembers = 64
	MaxDuties  = 4096
	MaxNameLen = 128 // bytes
	MaxLoad    = 1_000_000
)

// Spec is the configuration of a duty.
type Spec struct {
	Name     string
	Period   time.Duration // at least 100 ms
	Deadline time.Duration // longer runs are stopped; 0 means Period
	Load     int           // of one run, relative to other duties; 0 means 1
	MakeUp   bool          // run missed periods later, oldest first, up to MostMissed of them
	// MostMissed is the maximum number of missed periods to make up; older ones are
	// skipped. 0 means 16.
	MostMissed int
	Sink       string // where the fence is checked; "none": nowhere, a period may be done twice
}

// withDefaults returns s with defaults for unset fields.
func (s Spec) withDefaults() Spec {
	if s.Load == 0 {
		s.Load = 1
	}
	if s.Deadline == 0 {
		s.Deadline = s.Period
	}
	if s.MostMissed == 0 {
		s.MostMissed = 16
	}
	return s
}

// Config must be the same for all instances of a log.
type Config struct {
	Lease   time.Duration // an instance not heard from for this long loses its duties
	MaxStep time.Duration // the maximum by which one tick advances the log's time; 0 means Lease
}

// Entry is an entry of the log.
type Entry interface{ isEntry() }

// Join adds an instance. A higher incarnation of a known instance means that it restarted:
// its duties get new epochs. An incarnation that is not higher comes from an earlier or the
// current run of the process and is ignored.
type Join struct {
	Member      string
	Incarnation uint64
}

// Leave removes an instance.
type Leave struct{ Member string }

// Register adds a duty, or replaces the configuration of the duty of the same name. The
// record of done periods is kept unless the period changes.
type Register struct{ Spec Spec }

// Remove removes a duty.
type Remove struct{ Name string }

// Tick carries the leader's clock and the instances heard from since its last tick.
type Tick struct {
	Now   time.Duration
	Heard []string
	// At lists, in the order of Heard, when each instance sent its message, by its own
	// monotonic clock. The instance counts its lease from that time, however late the tick
	// reaches it.
	At []time.Duration
}

// Done reports that a claim was executed at its sink or found already done there.
type Done struct{ Claim Claim }

func (Join) isEntry()     {}
func (Leave) isEntry()    {}
func (Register) isEntry() {}
func (Remove) isEntry()   {}
func (Tick) isEntry()     {}
func (Done) isEntry()     {}

// Claim is the right to execute one period of a duty.
type Claim struct {
	Duty   string
	Series uint64 // increases when a duty of this name is added again or its period changes
	Period int64  // number of the period since the log's origin
	Epoch  uint64 // increases, across all duties, with each change of owner
}

// Errors of Apply. An entry that fails changes nothing.
var (
	ErrUnknown = errors.New("duty: unknown")
	ErrLimit   = errors.New("duty: limit reached")
	ErrInvalid = errors.New("duty: invalid specification")
)

// member is the state of an instance.
type member struct {
	incarnation uint64
	leaseEnd    time.Duration // in the log's time
	live        bool
	load        int // sum over its duties; an integer, so that the sum does not depend on the order
}

// dutyState is the state of a duty.
type dutyState struct {
	spec        Spec
	owner       string // "": none
	epoch       uint64
	doneThrough int64          // all periods up to this one are done or skipped
	doneAhead   map[int64]bool // done periods after doneThrough
	series      uint64
}

// State is the replicated state. The zero value is not usable; see New.
type State struct {
	cfg       Config
	now       time.Duration
	ticked    bool
	members   map[string]*member
	duties    map[string]*dutyState
	lastEpoch uint64 // last one assigned, across all duties; never decreases, not even on Remove
	moves     int
}

// New returns a State without instances and duties.
func New(cfg Config) *State {
	if cfg.MaxStep <= 0 {
		cfg.MaxStep = cfg.Lease
	}
	return &State{cfg: cfg, members: map[string]*member{}, duties: map[string]*dutyState{}}
}

// Now returns the log's time.
func (s *State) Now() time.Duration { return s.now }

// Moves returns how often a duty that had had an owner was assigned again.
func (s *State) Moves() int { return s.moves }

// Apply applies the next entry of the log.
func (s *State) Apply(e Entry) error {
	switch e := e.(type) {
	case Join:
		return s.join(e)
	case Leave:
		m := s.members[e.Member]
		if m == nil {
			return fmt.Errorf("%w: instance %q", ErrUnknown, e.Member)
		}
		s.deactivate(e.Member)
		delete(s.members, e.Member)
		s.assignUnowned()
	case Register:
		return s.register(e.Spec)
	case Remove:
		d := s.duties[e.Name]
		if d == nil {
			return fmt.Errorf("%w: duty %q", ErrUnknown, e.Name)
		}
		s.unassign(d)
		delete(s.duties, e.Name)
	case Tick:
		s.tick(e)
	case Done:
		d := s.duties[e.Claim.Duty]
		if d == nil {
			return fmt.Errorf("%w: duty %q", ErrUnknown, e.Claim.Duty)
		}
		if e.Claim.Series == d.series { // otherwise the period number belongs to another series
			d.markDone(e.Claim.Period, s.currentPeriod(d))
		}
	default:
		return fmt.Errorf("%w: entry %T", ErrUnknown, e)
	}
	return nil
}

func (s *State) join(e Join) error {
	if e.Member == "" || len(e.Member) > MaxNameLen {
		return fmt.Errorf("%w: instance %q", ErrInvalid, e.Member)
	}
	m := s.members[e.Member]
	switch {
	case m == nil && len(s.members) >= MaxMembers:
		return fmt.Errorf("%w: %d instances", ErrLimit, len(s.members))
	case m != nil && e.Incarnation <= m.incarnation:
		return nil
	case m != nil: // restarted: fence its earlier runs
		s.deactivate(e.Member)
	}
	s.members[e.Member] = &member{incarnation: e.Incarnation, leaseEnd: s.now + s.cfg.Lease, live: true}
	s.assignUnowned()
	s.rebalance(e.Member)
	return nil
}

func (s *State) register(spec Spec) error {
	if spec.Name == "" || len(spec.Name) > MaxNameLen || spec.Period < 100*time.Millisecond || spec.Load < 0 || spec.Load > MaxLoad ||
		spec.Deadline < 0 || spec.MostMissed < 0 {
		return fmt.Errorf("%w: %+v", ErrInvalid, spec)
	}
	spec = spec.withDefaults()
	d := s.duties[spec.Name]
	if d == nil {
		if len(s.duties) >= MaxDuties {
			return fmt.Errorf("%w: %d duties", ErrLimit, len(s.duties))
		}
		d = &dutyState{spec: spec, doneAhead: map[int64]bool{}}
		s.duties[spec.Name] = d
		s.startSeries(d)
	} else if d.spec.Period != spec.Period {
		s.unassign(d)
		d.spec, d.doneAhead = spec, map[int64]bool{}
		s.startSeries(d)
	} else {
		if m := s.members[d.owner]; m != nil {
			m.load += spec.Load - d.spec.Load
		}
		d.spec = spec
	}
	s.assignUnowned()
	return nil
}

// startSeries starts a new series of periods for a duty. The current period is not due,
// because part of it has passed.
func (s *State) startSeries(d *dutyState) {
	s.lastEpoch++
	d.series, d.doneThrough = s.lastEpoch, s.currentPeriod(d)
}

// currentPeriod returns the number of the period that contains the log's time.
func (s *State) currentPeriod(d *dutyState) int64 { return int64(s.now / d.spec.Period) }

// markDone records a period as done. A claim for a period after the next one is ignored.
func (d *dutyState) markDone(period, current int64) {
	if period <= d.doneThrough || period > current+1 {
		return
	}
	d.doneAhead[period] = true
	for d.doneAhead[d.doneThrough+1] {
		d.doneThrough++
		delete(d.doneAhead, d.doneThrough)
	}
}

// skipMissed skips missed periods that will not be made up.
func (d *dutyState) skipMissed(current int64) {
	maxPending := int64(1)
	if d.spec.MakeUp {
		maxPending = int64(d.spec.MostMissed)
	}
	for d.doneThrough < current-maxPending || d.doneAhead[d.doneThrough+1] {
		d.doneThrough++
		delete(d.doneAhead, d.doneThrough)
	}
}

func (s *State) tick(e Tick) {
	if !s.ticked { // first tick: the origin may be any time ago
		s.ticked = true
		s.now = max(s.now, e.Now)
		for _, m := range s.members {
			m.leaseEnd = s.now + s.cfg.Lease
		}
		for _, d := range s.duties {
			d.doneThrough = s.currentPeriod(d)
		}
	}
	s.now = max(s.now, min(e.Now, s.now+s.cfg.MaxStep))
	for _, id := range e.Heard {
		if m := s.members[id]; m != nil {
			m.leaseEnd = s.now + s.cfg.Lease
			if !m.live { // back after its lease expired, without a restart: it lost all its duties
				m.live = true
				s.assignUnowned()
				s.rebalance(id)
			}
		}
	}
	for _, id := range s.memberIDs() {
		if m := s.members[id]; m.live && m.leaseEnd <= s.now {
			s.deactivate(id)
		}
	}
	for _, d := range s.duties {
		d.skipMissed(s.currentPeriod(d))
	}
	s.assignUnowned()
}

func (s *State) memberIDs() []string {
	ids := make([]string, 0, len(s.members))
	for id := range s.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *State) dutyNames() []string {
	names := make([]string, 0, len(s.duties))
	for n := range s.duties {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// deactivate marks an instance as not live and removes its duties from it.
func (s *State) deactivate(id string) {
	for _, d := range s.duties {
		if d.owner == id {
			d.owner = ""
		}
	}
	s.members[id].live, s.members[id].load = false, 0
}

// unassign removes a duty from its owner.
func (s *State) unassign(d *dutyState) {
	if m := s.members[d.owner]; m != nil {
		m.load -= d.spec.Load
	}
	d.owner = ""
}

// setOwner assigns a duty to an instance under a new epoch.
func (s *State) setOwner(d *dutyState, id string) {
	s.lastEpoch++
	d.owner, d.epoch = id, s.lastEpoch
	s.members[id].load += d.spec.Load
}

// tieBreak orders instances of equal load for a duty, and duties of equal load for an
// instance.
func tieBreak(duty, id string) uint64 {
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(len(duty)))
	digest := xxhash.New()
	_, _ = digest.Write(n[:]) // hash writes never fail
	_, _ = digest.WriteString(duty)
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}

// assignUnowned assigns duties without an owner to the live instances of least load,
// the duty of greatest load first.
func (s *State) assignUnowned() {
	var unowned []*dutyState
	for _, n := range s.dutyNames() {
		if d := s.duties[n]; d.owner == "" {
			unowned = append(unowned, d)
		}
	}
	slices.SortStableFunc(unowned, func(a, b *dutyState) int { return cmp.Compare(b.spec.Load, a.spec.Load) })
	ids := s.memberIDs()
	for _, d := range unowned {
		best := ""
		for _, id := range ids {
			m := s.members[id]
			if !m.live {
				continue
			}
			if o := s.members[best]; best == "" || m.load < o.load || m.load == o.load && tieBreak(d.spec.Name, id) < tieBreak(d.spec.Name, best) {
				best = id
			}
		}
		if best == "" {
			return
		}
		if d.epoch > 0 {
			s.moves++
		}
		s.setOwner(d, best)
	}
}

// rebalance moves duties from the live instance of greatest load to an instance that has
// joined or come back, one at a time, as long as that reduces the greater of the two loads.
func (s *State) rebalance(to string) {
	for {
		m := s.members[to]
		from := ""
		for _, id := range s.memberIDs() {
			if o := s.members[id]; o.live && (from == "" || o.load > s.members[from].load) {
				from = id
			}
		}
		if from == "" || from == to {
			return
		}
		difference := s.members[from].load - m.load
		var pick *dutyState
		for _, n := range s.dutyNames() { // the greatest load that is less than the difference
			d := s.duties[n]
			if d.owner == from && d.spec.Load < difference && (pick == nil || d.spec.Load > pick.spec.Load ||
				d.spec.Load == pick.spec.Load && tieBreak(n, to) < tieBreak(pick.spec.Name, to)) {
				pick = d
			}
		}
		if pick == nil {
			return
		}
		s.unassign(pick)
		s.moves++
		s.setOwner(pick, to)
	}
}

// Due returns the claims that an instance may execute at the log's time, sorted by duty
// name and then by period.
func (s *State) Due(id string) []Claim {
	var claims []Claim
	for _, n := range s.dutyNames() {
		d := s.duties[n]
		if d.owner != id {
			continue
		}
		for period := d.doneThrough + 1; period <= s.currentPeriod(d); period++ {
			if !d.doneAhead[period] {
				claims = append(claims, Claim{n, d.series, period, d.epoch})
			}
		}
	}
	return claims
}

// MissingRegistrations returns the registrations needed to bring the state to specs.
// Duties that are not in specs stay: another instance may have registered them.
func (s *State) MissingRegistrations(specs []Spec) []Register {
	var missing []Register
	for _, spec := range specs {
		if d := s.duties[spec.Name]; d == nil || d.spec != spec.withDefaults() {
			missing = append(missing, Register{spec})
		}
	}
	return missing
}

// Status is the current state of a duty.
type Status struct {
	Spec        Spec
	Owner       string
	Epoch       uint64
	DoneThrough int64 // all periods up to this one are done or skipped
	Pending     int   // number of periods due and not done
}

// Duties returns all duties, sorted by name.
func (s *State) Duties() []Status {
	var duties []Status
	for _, n := range s.dutyNames() {
		d := s.duties[n]
		duties = append(duties, Status{d.spec, d.owner, d.epoch, d.doneThrough, int(s.currentPeriod(d)-d.doneThrough) - len(d.doneAhead)})
	}
	return duties
}

// MemberStatus is the current state of an instance.
type MemberStatus struct {
	Member      string
	Incarnation uint64
	Live        bool
	Load        int
}

// Members returns all instances, sorted by name.
func (s *State) Members() []MemberStatus {
	var members []MemberStatus
	for _, id := range s.memberIDs() {
		m := s.members[id]
		members = append(members, MemberStatus{id, m.incarnation, m.live, m.load})
	}
	return members
}
