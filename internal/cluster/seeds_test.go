package cluster

import (
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"violetspan.example/violetspan/decide/duty"
)

var seedsFlag = flag.Int("seeds", 200, "seeds that TestSeeds plays")
var seedFlag = flag.Uint64("seed", 0, "the one seed that TestSeeds plays, told step by step; 0: all")

// memDisk is a disk of the simulation. A crash in the middle of a Save leaves all of it
// or nothing, as a store with checksums does.
type memDisk struct {
	kept  StoredState
	crash func() (before, after bool) // asked at each Save
}

var errCrash = errors.New("crash")

func (d *memDisk) Load() (*StoredState, error) {
	k := &StoredState{}
	if d.kept.HardState != nil {
		k.HardState = proto.Clone(d.kept.HardState).(*pb.HardState)
	}
	if d.kept.Snapshot != nil {
		k.Snapshot = proto.Clone(d.kept.Snapshot).(*pb.Snapshot)
	}
	for _, e := range d.kept.Entries {
		k.Entries = append(k.Entries, proto.Clone(e).(*pb.Entry))
	}
	return k, nil
}

func (d *memDisk) Save(c *WriteBatch) error {
	before, after := false, false
	if d.crash != nil {
		before, after = d.crash()
	}
	if before {
		return errCrash
	}
	if c.HardState != nil {
		d.kept.HardState = proto.Clone(c.HardState).(*pb.HardState)
	}
	if c.Snapshot != nil {
		d.kept.Snapshot = proto.Clone(c.Snapshot).(*pb.Snapshot)
		at := c.Snapshot.GetMetadata().GetIndex()
		d.kept.Entries = slices.DeleteFunc(d.kept.Entries, func(e *pb.Entry) bool { return c.Received || e.GetIndex() <= at })
	}
	if len(c.Entries) > 0 {
		from := c.Entries[0].GetIndex()
		d.kept.Entries = slices.DeleteFunc(d.kept.Entries, func(e *pb.Entry) bool { return e.GetIndex() >= from })
		for _, e := range c.Entries {
			d.kept.Entries = append(d.kept.Entries, proto.Clone(e).(*pb.Entry))
		}
	}
	if after {
		return errCrash
	}
	return nil
}

// node is one instance of the simulation.
type node struct {
	id     uint64
	name   string
	disk   *memDisk
	m      *Member // nil: down
	agent  *duty.Agent
	life   uint64
	skew   time.Duration // of its wall clock
	paused int           // steps that it takes no part in
	heard  map[string]time.Duration
	joined bool
}

// parcel is something on its way.
type parcel struct {
	at   int
	from int
	to   int
	msg  *pb.Message
	beat time.Duration // not a message: the sender spoke to whom it takes for the leader
	done *duty.Claim   // an effect on its way to the sink
	life uint64
}

const (
	step     = 50 * time.Millisecond // of virtual time; one raft tick is two
	simLease = time.Second
	simSteps = 1200 // a minute
)

var simDuty = duty.Config{Lease: simLease}

// sim is raft, disk and duties together on a virtual clock. Its only source of chance
// is the seed.
type sim struct {
	t       testing.TB
	r       *rand.Rand
	n       int
	nodes   []*node
	now     int
	mail    []parcel
	cut     map[[2]int]bool // links that lose all, one way
	sink    *duty.Sink
	effects map[string]int
	trace   *xxhash.Digest
	lead    map[uint64]uint64 // leader of each term
	loud    bool
	fault   string
	calm    bool
	agreed  map[uint64]string // the entry at each index, as first applied

}

func (s *sim) say(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	_, _ = s.trace.WriteString(line) // a hash takes every write
	if s.loud {
		s.t.Logf("%v %s", time.Duration(s.now)*step, line)
	}
}

func (s *sim) failf(format string, args ...any) {
	if s.fault == "" {
		s.fault = fmt.Sprintf("step %d: ", s.now) + fmt.Sprintf(format, args...)
	}
}

func newSim(t testing.TB, seed uint64, n int, loud bool) *sim {
	s := &sim{t: t, r: rand.New(rand.NewPCG(seed, 8)), n: n, cut: map[[2]int]bool{}, sink: duty.NewSink(), effects: map[string]int{},
		trace: xxhash.New(), lead: map[uint64]uint64{}, loud: loud, agreed: map[uint64]string{}}
	for i := range n {
		s.nodes = append(s.nodes, &node{id: uint64(i + 1), name: fmt.Sprint("n", i+1), disk: &memDisk{},
			skew: time.Duration(s.r.Int64N(int64(2*time.Second))) - time.Second})
		s.nodes[i].disk.crash = func() (bool, bool) {
			if s.calm || s.r.IntN(400) > 0 {
				return false, false
			}
			b := s.r.IntN(2) == 0
			return b, !b
		}
		s.up(i)
	}
	return s
}

func (s *sim) up(i int) {
	n := s.nodes[i]
	var founders []uint64
	for k := range s.n {
		founders = append(founders, uint64(k+1))
	}
	m, err := OpenMember(Config{ID: n.id, Name: n.name, InitialMembers: founders, Duty: simDuty, Storage: n.disk,
		Rand: rand.New(rand.NewPCG(s.r.Uint64(), n.id)), SnapshotEvery: 40})
	if errors.Is(err, errCrash) {
		return // it is tried again
	}
	if err != nil {
		s.failf("%s does not open: %v", n.name, err)
		return
	}
	n.life++
	n.m, n.agent, n.heard, n.joined = m, duty.NewAgent(n.name, simDuty, 4), map[string]time.Duration{}, false
	s.say("%s up, life %d, applied %d", n.name, n.life, m.AppliedIndex())
}

func (s *sim) down(i int) {
	s.say("%s down", s.nodes[i].name)
	s.nodes[i].m = nil
}

func (s *sim) steady() time.Duration { return time.Duration(s.now) * step }

// post sends something, with delay, loss, copies and disorder.
func (s *sim) post(p parcel) {
	copies := 1
	if !s.calm {
		switch {
		case p.done == nil && (s.cut[[2]int{p.from, p.to}] || s.r.IntN(50) == 0):
			copies = 0
		case s.r.IntN(50) == 0:
			copies = 2
		}
	}
	for range copies {
		q := p
		q.at = s.now + s.r.IntN(3)
		if !s.calm && s.r.IntN(40) == 0 {
			q.at += s.r.IntN(40)
		}
		s.mail = append(s.mail, q)
	}
}

func (s *sim) deliver() {
	var later, now []parcel
	for _, p := range s.mail {
		if p.at <= s.now && (p.done != nil || s.nodes[p.to].paused == 0) {
			now = append(now, p)
		} else {
			later = append(later, p)
		}
	}
	s.mail = later
	for _, p := range now {
		if p.done != nil {
			s.effect(p)
			continue
		}
		n := s.nodes[p.to]
		if n.m == nil {
			continue
		}
		if p.msg == nil {
			n.heard[s.nodes[p.from].name] = max(n.heard[s.nodes[p.from].name], p.beat)
			continue
		}
		if err := n.m.Step(proto.Clone(p.msg).(*pb.Message)); err != nil && !errors.Is(err, ErrMemberFailed) {
			s.failf("%s: %v", n.name, err)
		}
	}
}

// effect is a run's arrival at the sink, from an owner that may be paused or dead.
func (s *sim) effect(p parcel) {
	err := s.sink.Accept(*p.done)
	s.say("sink: %+v: %v", *p.done, err)
	if err == nil {
		s.effects[fmt.Sprint(p.done.Duty, " ", p.done.Period)]++
	}
	n := s.nodes[p.from]
	if n.m == nil || n.life != p.life {
		return
	}
	if !s.calm && s.r.IntN(20) == 0 {
		return // its acknowledgement is lost: the run is stopped at its deadline
	}
	if n.agent.RunEnded(s.steady(), *p.done, err) {
		_ = n.m.Propose(duty.Done{Claim: *p.done}) // if it is lost, it is proposed again
	}
}

// chaos is what goes wrong in a step.
func (s *sim) chaos() {
	if s.r.IntN(60) == 0 {
		i := s.r.IntN(s.n)
		switch n := s.nodes[i]; {
		case n.m == nil:
			s.up(i)
		case s.r.IntN(2) == 0:
			s.down(i)
		default:
			n.paused = 1 + s.r.IntN(60)
			s.say("%s pauses for %d", n.name, n.paused)
		}
	}
	if s.r.IntN(80) == 0 {
		k := [2]int{s.r.IntN(s.n), s.r.IntN(s.n)}
		s.cut[k] = !s.cut[k]
		s.say("link %v cut %v", k, s.cut[k])
	}
	if s.r.IntN(150) == 0 {
		clear(s.cut)
	}
	if s.r.IntN(200) == 0 {
		n := s.nodes[s.r.IntN(s.n)]
		n.skew += time.Duration(s.r.Int64N(int64(20*time.Second))) - 10*time.Second
		s.say("%s's clock is off by %v", n.name, n.skew)
	}
}

func (s *sim) turn(i int) {
	n := s.nodes[i]
	if n.m == nil {
		return
	}
	if n.paused > 0 {
		n.paused--
		return
	}
	if s.now%2 == 0 {
		n.m.Tick()
	}
	lead, term := n.m.Leader()
	if n.m.IsLeader() {
		if was := s.lead[term]; was != 0 && was != n.id {
			s.failf("term %d has leaders %d and %d", term, was, n.id)
		}
		s.lead[term] = n.id
		if s.now%6 == 0 { // the duties' clock
			n.heard[n.name] = s.steady()
			t := duty.Tick{Now: 1000*time.Second + s.steady() + n.skew}
			for _, o := range s.nodes {
				if at, ok := n.heard[o.name]; ok {
					t.Heard, t.At = append(t.Heard, o.name), append(t.At, at)
				}
			}
			clear(n.heard)
			_ = n.m.Propose(t) // refused while too much waits
		}
	} else if lead > 0 && s.now%4 == 0 {
		s.post(parcel{from: i, to: int(lead - 1), beat: s.steady()})
	}
	if !n.joined && lead > 0 && s.now%10 == 0 {
		_ = n.m.Propose(duty.Join{Member: n.name, Incarnation: n.life})
		for d := range 3 {
			if len(n.m.State().Duties()) < 3 {
				_ = n.m.Propose(duty.Register{Spec: duty.Spec{Name: fmt.Sprint("d", d), Period: time.Duration(1+d) * 2 * time.Second, Deadline: time.Second,
					MakeUp: true, MostMissed: 1 << 20}})
			}
		}
	}
	out, err := n.m.ProcessReady()
	if err != nil {
		if !errors.Is(err, errCrash) {
			s.failf("%s: %v", n.name, err)
		}
		s.down(i)
		return
	}
	for _, msg := range out.Messages {
		to := int(msg.GetTo() - 1)
		s.post(parcel{from: i, to: to, msg: msg})
	}
	for _, e := range out.Applied {
		switch e := e.(type) {
		case duty.Tick:
			if k := slices.Index(e.Heard, n.name); k >= 0 {
				n.agent.RenewLease(e.At[k])
			}
		case duty.Join:
			n.joined = n.joined || e.Member == n.name && e.Incarnation == n.life
		}
	}
	if len(out.Applied) > 0 {
		b, err := n.m.State().Save()
		if err != nil {
			s.failf("%v", err)
		}
		sum := fmt.Sprintf("%x", xxhash.Sum64(b))
		if was, ok := s.agreed[n.m.AppliedIndex()]; ok && was != sum {
			s.failf("%s holds another state at %d", n.name, n.m.AppliedIndex())
		}
		s.agreed[n.m.AppliedIndex()] = sum
	}
	state := n.m.State()
	stop, _ := n.agent.Stop(s.steady(), state)
	for _, c := range stop {
		n.agent.RunEnded(s.steady(), c, errors.New("stopped"))
	}
	for _, c := range n.agent.Repropose(s.steady(), state) {
		s.say("%s proposes again that %+v is done", n.name, c)
		_ = n.m.Propose(duty.Done{Claim: c})
	}
	if !n.joined {
		return // what the state says is of an earlier life
	}
	for _, c := range n.agent.Start(s.steady(), state) {
		s.say("%s starts %+v", n.name, c)
		p := parcel{from: i, to: i, done: &c, life: n.life}
		s.post(p)
	}
}

// play runs a seed and returns the trace's hash, and what went wrong.
func play(t testing.TB, seed uint64, loud bool) (hash uint64, fault string, effects int) {
	n := 3 + 2*int(seed%3)
	s := newSim(t, seed, n, loud)
	for s.now = 1; s.now <= simSteps && s.fault == ""; s.now++ {
		s.calm = s.now > simSteps*2/3 // in the end the weather is fair, and all must come to rest
		if s.calm {
			clear(s.cut)
			for i, x := range s.nodes {
				if x.m == nil {
					s.up(i)
				}
			}
		} else {
			s.chaos()
		}
		s.deliver()
		for _, i := range s.r.Perm(n) {
			s.turn(i)
		}
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], uint64(len(s.mail)))
		_, _ = s.trace.Write(b[:])
	}
	for k, c := range s.effects {
		if c != 1 {
			s.failf("%s done %d times", k, c)
		}
	}
	s.rest()
	return s.trace.Sum64(), s.fault, len(s.effects)
}

// rest checks the end: one leader, equal states, and every period done but the last.
func (s *sim) rest() {
	leaders := 0
	var state *duty.State
	for _, n := range s.nodes {
		if n.m == nil {
			s.failf("%s is down at the end", n.name)
			return
		}
		if n.m.IsLeader() {
			leaders++
			state = n.m.State()
		}
	}
	if leaders != 1 {
		s.failf("%d leaders at the end", leaders)
		return
	}
	ds := state.Duties()
	if len(ds) != 3 {
		s.failf("%d duties at the end", len(ds))
		return
	}
	for _, d := range ds {
		if d.Pending > 1 {
			s.failf("%s: %d periods owed at the end", d.Spec.Name, d.Pending)
		}
		done := 0
		low, high := int64(1)<<62, int64(0)
		for k := range s.effects {
			var name string
			var p int64
			if _, err := fmt.Sscan(k, &name, &p); err == nil && name == d.Spec.Name {
				done++
				low, high = min(low, p), max(high, p)
			}
		}
		if int64(done) != high-low+1 || done == 0 {
			s.failf("%s: %d effects in periods %d to %d", d.Spec.Name, done, low, high)
		}
	}
}

// Raft, disk, duties and sink together: no period twice, none skipped, one leader a term,
// equal states at equal places of the log; and a seed decides all of it.
func TestSeeds(t *testing.T) {
	if *seedFlag > 0 {
		hash, fault, n := play(t, *seedFlag, true)
		t.Logf("seed %d: trace %016x, %d effects %s", *seedFlag, hash, n, fault)
		if fault != "" {
			t.Fail()
		}
		return
	}
	total := 0
	for seed := uint64(1); seed <= uint64(*seedsFlag); seed++ {
		hash, fault, n := play(t, seed, false)
		total += n
		if fault != "" {
			t.Errorf("seed %d (trace %016x): %s", seed, hash, fault)
		}
		if seed%25 == 0 {
			if again, _, _ := play(t, seed, false); again != hash {
				t.Errorf("seed %d: trace %016x, then %016x", seed, hash, again)
			}
		}
	}
	t.Logf("%d seeds, %d effects, each once", *seedsFlag, total)
}
