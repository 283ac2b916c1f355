// Package duty divides periodic duties among instances. State is the replicated part:
// entries of a log go in, in order, and all instances that apply the same entries hold
// the same state. Agent is an instance's own part: what it may start now. Sink is the
// fence, to be kept where a duty's effect lands. None of them does I/O or has a clock.
// docs/cluster.md says what 'once' means.
//
// Times are durations since an origin that the host chooses; the log's own time is that
// of its ticks. Nothing here may be used by two goroutines at once.
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

// Bounds of a state.
const (
	MaxMembers = 64
	MaxDuties  = 4096
	MaxNameLen = 128
	MaxLoad    = 1_000_000
)

// Spec is what is set of a duty.
type Spec struct {
	Name     string
	Period   time.Duration // 100 ms or more
	Deadline time.Duration // a run that takes longer is stopped; 0: the period
	Load     int           // of one run, against other duties; 0 counts as 1
	MakeUp   bool          // missed periods are made up, oldest first, up to MostMissed
	// MostMissed bounds what is made up; older periods are skipped. 0: 16.
	MostMissed int
	Sink       string // where the fence is checked; "none": nowhere, it may be done twice
}

// filled is a specification with its defaults.
func (s Spec) filled() Spec {
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

// Config is set once for all instances of a log.
type Config struct {
	Lease   time.Duration // an instance that is not heard for so long loses its duties
	MaxStep time.Duration // the most that one tick moves the log's time; 0: the lease
}

// Entry is what a log holds.
type Entry interface{ isEntry() }

// Join brings an instance. A higher incarnation of one that is there is a restart: its
// duties get new epochs. A lower one is a stray of an earlier life and is ignored.
type Join struct {
	Member      string
	Incarnation uint64
}

// Leave takes an instance out.
type Leave struct{ Member string }

// Register sets a duty; one of the same name is replaced and keeps what was done.
type Register struct{ Spec Spec }

// Remove ends a duty.
type Remove struct{ Name string }

// Tick is the leader's clock and the instances that it has heard since its last tick.
type Tick struct {
	Now   time.Duration
	Heard []string
	// At holds, in the order of Heard, when each of them spoke, by its own steady clock:
	// that is where its lease counts from for itself, however late the tick reaches it.
	At []time.Duration
}

// Done says that a claim was carried out at its sink, or found done there.
type Done struct{ Claim Claim }

func (Join) isEntry()     {}
func (Leave) isEntry()    {}
func (Register) isEntry() {}
func (Remove) isEntry()   {}
func (Tick) isEntry()     {}
func (Done) isEntry()     {}

// Claim is the right to do one duty's one period.
type Claim struct {
	Duty   string
	Series uint64 // rises when a duty of this name is set anew or its period changes
	Period int64  // number of the period since the log's origin
	Epoch  uint64 // rises, over all duties, with each owner
}

// Errors of Apply. An entry that brings one has changed nothing.
var (
	ErrUnknown = errors.New("duty: not known")
	ErrLimit   = errors.New("duty: no room for more")
	ErrInvalid = errors.New("duty: a specification that can't be")
)

type member struct {
	incarnation uint64
	until       time.Duration // its lease, in the log's time
	live        bool
	load        int // sum of its duties': whole, so that no order of sums matters
}

type task struct {
	spec   Spec
	owner  string // "": none
	epoch  uint64
	done   int64 // all periods up to this one are done or skipped
	ahead  map[int64]bool
	series uint64
}

// State is the replicated part. The zero value is not usable; see New.
type State struct {
	cfg     Config
	now     time.Duration
	ticked  bool
	members map[string]*member
	duties  map[string]*task
	epochs  uint64 // the last one given, over all duties: it never falls, also not by Remove
	moves   int
}

// New returns a state without instances and duties.
func New(cfg Config) *State {
	if cfg.MaxStep <= 0 {
		cfg.MaxStep = cfg.Lease
	}
	return &State{cfg: cfg, members: map[string]*member{}, duties: map[string]*task{}}
}

// Now is the log's time.
func (s *State) Now() time.Duration { return s.now }

// Moves is how often a duty that had an owner got another.
func (s *State) Moves() int { return s.moves }

// Apply takes the log's next entry.
func (s *State) Apply(e Entry) error {
	switch e := e.(type) {
	case Join:
		return s.join(e)
	case Leave:
		m := s.members[e.Member]
		if m == nil {
			return fmt.Errorf("%w: instance %q", ErrUnknown, e.Member)
		}
		s.bury(e.Member)
		delete(s.members, e.Member)
		s.assign()
	case Register:
		return s.register(e.Spec)
	case Remove:
		t := s.duties[e.Name]
		if t == nil {
			return fmt.Errorf("%w: duty %q", ErrUnknown, e.Name)
		}
		s.unload(t)
		delete(s.duties, e.Name)
	case Tick:
		s.tick(e)
	case Done:
		t := s.duties[e.Claim.Duty]
		if t == nil {
			return fmt.Errorf("%w: duty %q", ErrUnknown, e.Claim.Duty)
		}
		if e.Claim.Series == t.series { // else its periods were numbered otherwise
			t.finish(e.Claim.Period, s.current(t))
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
	case m != nil: // it restarted: what it had begun is fenced
		s.bury(e.Member)
	}
	s.members[e.Member] = &member{incarnation: e.Incarnation, until: s.now + s.cfg.Lease, live: true}
	s.assign()
	s.level(e.Member)
	return nil
}

func (s *State) register(spec Spec) error {
	if spec.Name == "" || len(spec.Name) > MaxNameLen || spec.Period < 100*time.Millisecond || spec.Load < 0 || spec.Load > MaxLoad ||
		spec.Deadline < 0 || spec.MostMissed < 0 {
		return fmt.Errorf("%w: %+v", ErrInvalid, spec)
	}
	spec = spec.filled()
	t := s.duties[spec.Name]
	if t == nil {
		if len(s.duties) >= MaxDuties {
			return fmt.Errorf("%w: %d duties", ErrLimit, len(s.duties))
		}
		t = &task{spec: spec, ahead: map[int64]bool{}}
		s.duties[spec.Name] = t
		s.begin(t)
	} else if t.spec.Period != spec.Period {
		s.unload(t)
		t.spec, t.ahead = spec, map[int64]bool{}
		s.begin(t)
	} else {
		if m := s.members[t.owner]; m != nil {
			m.load += spec.Load - t.spec.Load
		}
		t.spec = spec
	}
	s.assign()
	return nil
}

// begin numbers a duty's periods from now on. The present one is not owed: a part of
// it had passed.
func (s *State) begin(t *task) {
	s.epochs++
	t.series, t.done = s.epochs, s.current(t)
}

// current is the number of the period that the log's time is in.
func (s *State) current(t *task) int64 { return int64(s.now / t.spec.Period) }

// finish notes a period as done; a claim ahead of the log's time is not believed.
func (t *task) finish(p, now int64) {
	if p <= t.done || p > now+1 {
		return
	}
	t.ahead[p] = true
	for t.ahead[t.done+1] {
		t.done++
		delete(t.ahead, t.done)
	}
}

// skip passes over what will not be made up.
func (t *task) skip(now int64) {
	keep := int64(1)
	if t.spec.MakeUp {
		keep = int64(t.spec.MostMissed)
	}
	for t.done < now-keep || t.ahead[t.done+1] {
		t.done++
		delete(t.ahead, t.done)
	}
}

func (s *State) tick(e Tick) {
	if !s.ticked { // the origin may be any time ago
		s.ticked = true
		s.now = max(s.now, e.Now)
		for _, m := range s.members {
			m.until = s.now + s.cfg.Lease
		}
		for _, t := range s.duties {
			t.done = s.current(t)
		}
	}
	s.now = max(s.now, min(e.Now, s.now+s.cfg.MaxStep))
	for _, id := range e.Heard {
		if m := s.members[id]; m != nil {
			m.until = s.now + s.cfg.Lease
			if !m.live { // back, in the same life: it kept nothing
				m.live = true
				s.assign()
				s.level(id)
			}
		}
	}
	for _, id := range s.ids() {
		if m := s.members[id]; m.live && m.until <= s.now {
			s.bury(id)
		}
	}
	for _, t := range s.duties {
		t.skip(s.current(t))
	}
	s.assign()
}

func (s *State) ids() []string {
	ids := make([]string, 0, len(s.members))
	for id := range s.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (s *State) names() []string {
	names := make([]string, 0, len(s.duties))
	for n := range s.duties {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// bury takes an instance's duties from it.
func (s *State) bury(id string) {
	for _, t := range s.duties {
		if t.owner == id {
			t.owner = ""
		}
	}
	s.members[id].live, s.members[id].load = false, 0
}

func (s *State) unload(t *task) {
	if m := s.members[t.owner]; m != nil {
		m.load -= t.spec.Load
	}
	t.owner = ""
}

// give makes an instance the owner, under a new epoch.
func (s *State) give(t *task, id string) {
	s.epochs++
	t.owner, t.epoch = id, s.epochs
	s.members[id].load += t.spec.Load
}

// rank orders instances for a duty where loads are alike.
func rank(duty, id string) uint64 {
	var n [8]byte
	binary.LittleEndian.PutUint64(n[:], uint64(len(duty)))
	d := xxhash.New()
	_, _ = d.Write(n[:]) // a hash takes every write
	_, _ = d.WriteString(duty)
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// assign gives duties without an owner to the least loaded live instances, the
// heaviest duty first.
func (s *State) assign() {
	var free []*task
	for _, n := range s.names() {
		if t := s.duties[n]; t.owner == "" {
			free = append(free, t)
		}
	}
	slices.SortStableFunc(free, func(a, b *task) int { return cmp.Compare(b.spec.Load, a.spec.Load) })
	ids := s.ids()
	for _, t := range free {
		best := ""
		for _, id := range ids {
			m := s.members[id]
			if !m.live {
				continue
			}
			if o := s.members[best]; best == "" || m.load < o.load || m.load == o.load && rank(t.spec.Name, id) < rank(t.spec.Name, best) {
				best = id
			}
		}
		if best == "" {
			return
		}
		if t.epoch > 0 {
			s.moves++
		}
		s.give(t, best)
	}
}

// level moves duties to an instance that has come from the most loaded one, one at a
// time, while that lowers the greater of the two loads.
func (s *State) level(to string) {
	for {
		m := s.members[to]
		from := ""
		for _, id := range s.ids() {
			if o := s.members[id]; o.live && (from == "" || o.load > s.members[from].load) {
				from = id
			}
		}
		if from == "" || from == to {
			return
		}
		gap := s.members[from].load - m.load
		var pick *task
		for _, n := range s.names() { // the heaviest that fits in less than the gap
			t := s.duties[n]
			if t.owner == from && t.spec.Load < gap && (pick == nil || t.spec.Load > pick.spec.Load ||
				t.spec.Load == pick.spec.Load && rank(n, to) < rank(pick.spec.Name, to)) {
				pick = t
			}
		}
		if pick == nil {
			return
		}
		s.unload(pick)
		s.moves++
		s.give(pick, to)
	}
}

// Due returns the claims that an instance may carry out by the log's time, oldest
// period first for each duty, duties by name.
func (s *State) Due(id string) []Claim {
	var out []Claim
	for _, n := range s.names() {
		t := s.duties[n]
		if t.owner != id {
			continue
		}
		for p := t.done + 1; p <= s.current(t); p++ {
			if !t.ahead[p] {
				out = append(out, Claim{n, t.series, p, t.epoch})
			}
		}
	}
	return out
}

// MissingRegistrations returns the registrations that bring the state to what is wanted. Duties that
// are not wanted stay: another instance may have set them.
func (s *State) MissingRegistrations(want []Spec) []Register {
	var out []Register
	for _, w := range want {
		if t := s.duties[w.Name]; t == nil || t.spec != w.filled() {
			out = append(out, Register{w})
		}
	}
	return out
}

// Status is a duty as it stands.
type Status struct {
	Spec        Spec
	Owner       string
	Epoch       uint64
	DoneThrough int64 // all periods up to this one are done or skipped
	Pending     int   // periods that are due and not done
}

// Duties returns all duties by name.
func (s *State) Duties() []Status {
	var out []Status
	for _, n := range s.names() {
		t := s.duties[n]
		out = append(out, Status{t.spec, t.owner, t.epoch, t.done, int(s.current(t)-t.done) - len(t.ahead)})
	}
	return out
}

// MemberStatus is an instance as the state has it.
type MemberStatus struct {
	Member      string
	Incarnation uint64
	Live        bool
	Load        int
}

// Members returns all instances by name.
func (s *State) Members() []MemberStatus {
	var out []MemberStatus
	for _, id := range s.ids() {
		m := s.members[id]
		out = append(out, MemberStatus{id, m.incarnation, m.live, m.load})
	}
	return out
}
