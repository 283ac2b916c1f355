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

// memStorage is a disk of the simulation. A crash in the middle of a Save leaves all of it
// or nothing, as a store with checksums does.
type memStorage struct {
	stored StoredState
	crash  func() (before, after bool) // asked at each Save
}

var errCrash = errors.New("crash")

func (d *memStorage) Load() (*StoredState, error) {
	k := &StoredState{}
	if d.stored.HardState != nil {
		k.HardState = proto.Clone(d.stored.HardState).(*pb.HardState)
	}
	if d.stored.Snapshot != nil {
		k.Snapshot = proto.Clone(d.stored.Snapshot).(*pb.Snapshot)
	}
	for _, e := range d.stored.Entries {
		k.Entries = append(k.Entries, proto.Clone(e).(*pb.Entry))
	}
	return k, nil
}

func (d *memStorage) Save(c *WriteBatch) error {
	before, after := false, false
	if d.crash != nil {
		before, after = d.crash()
	}
	if before {
		return errCrash
	}
	if c.HardState != nil {
		d.stored.HardState = proto.Clone(c.HardState).(*pb.HardState)
	}
	if c.Snapshot != nil {
		d.stored.Snapshot = proto.Clone(c.Snapshot).(*pb.Snapshot)
		at := c.Snapshot.GetMetadata().GetIndex()
		d.stored.Entries = slices.DeleteFunc(d.stored.Entries, func(e *pb.Entry) bool { return c.Received || e.GetIndex() <= at })
	}
	if len(c.Entries) > 0 {
		from := c.Entries[0].GetIndex()
		d.stored.Entries = slices.DeleteFunc(d.stored.Entries, func(e *pb.Entry) bool { return e.GetIndex() >= from })
		for _, e := range c.Entries {
			d.stored.Entries = append(d.stored.Entries, proto.Clone(e).(*pb.Entry))
		}
	}
	if after {
		return errCrash
	}
	return nil
}

// simNode is one instance of the simulation.
type simNode struct {
	id          uint64
	name        string
	disk        *memStorage
	member      *Member // nil: down
	agent       *duty.Agent
	incarnation uint64
	clockSkew   time.Duration // of its wall clock
	pausedSteps int           // steps that it takes no part in
	heartbeats  map[string]time.Duration
	joined      bool
}

// packet is something on its way.
type packet struct {
	deliverAt   int
	from        int
	to          int
	msg         *pb.Message
	heartbeat   time.Duration // not a message: the sender spoke to whom it takes for the leader
	claim       *duty.Claim   // an effect on its way to the sink
	incarnation uint64
}

const (
	stepDuration = 50 * time.Millisecond // of virtual time; one raft tick is two
	simLease     = time.Second
	simSteps     = 1200 // a minute
)

var simDuty = duty.Config{Lease: simLease}

// sim is raft, disk and duties together on a virtual clock. Its only source of chance
// is the seed.
type sim struct {
	t           testing.TB
	random      *rand.Rand
	size        int
	nodes       []*simNode
	step        int
	inFlight    []packet
	cutLinks    map[[2]int]bool // links that lose all, one way
	sink        *duty.Sink
	effects     map[string]int
	trace       *xxhash.Digest
	leaders     map[uint64]uint64 // leader of each term
	verbose     bool
	failure     string
	faultFree   bool
	stateHashes map[uint64]string // the entry at each index, as first applied

}

func (s *sim) tracef(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	_, _ = s.trace.WriteString(line) // a hash takes every write
	if s.verbose {
		s.t.Logf("%v %s", time.Duration(s.step)*stepDuration, line)
	}
}

func (s *sim) failf(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("step %d: ", s.step) + fmt.Sprintf(format, args...)
	}
}

func newSim(t testing.TB, seed uint64, n int, loud bool) *sim {
	s := &sim{t: t, random: rand.New(rand.NewPCG(seed, 8)), size: n, cutLinks: map[[2]int]bool{}, sink: duty.NewSink(), effects: map[string]int{},
		trace: xxhash.New(), leaders: map[uint64]uint64{}, verbose: loud, stateHashes: map[uint64]string{}}
	for i := range n {
		s.nodes = append(s.nodes, &simNode{id: uint64(i + 1), name: fmt.Sprint("n", i+1), disk: &memStorage{},
			clockSkew: time.Duration(s.random.Int64N(int64(2*time.Second))) - time.Second})
		s.nodes[i].disk.crash = func() (bool, bool) {
			if s.faultFree || s.random.IntN(400) > 0 {
				return false, false
			}
			b := s.random.IntN(2) == 0
			return b, !b
		}
		s.startNode(i)
	}
	return s
}

func (s *sim) startNode(i int) {
	n := s.nodes[i]
	var founders []uint64
	for k := range s.size {
		founders = append(founders, uint64(k+1))
	}
	m, err := OpenMember(Config{ID: n.id, Name: n.name, InitialMembers: founders, Duty: simDuty, Storage: n.disk,
		Rand: rand.New(rand.NewPCG(s.random.Uint64(), n.id)), SnapshotEvery: 40})
	if errors.Is(err, errCrash) {
		return // it is tried again
	}
	if err != nil {
		s.failf("%s does not open: %v", n.name, err)
		return
	}
	n.incarnation++
	n.member, n.agent, n.heartbeats, n.joined = m, duty.NewAgent(n.name, simDuty, 4), map[string]time.Duration{}, false
	s.tracef("%s up, life %d, applied %d", n.name, n.incarnation, m.AppliedIndex())
}

func (s *sim) stopNode(i int) {
	s.tracef("%s down", s.nodes[i].name)
	s.nodes[i].member = nil
}

func (s *sim) steadyTime() time.Duration { return time.Duration(s.step) * stepDuration }

// send sends something, with delay, loss, copies and disorder.
func (s *sim) send(p packet) {
	copies := 1
	if !s.faultFree {
		switch {
		case p.claim == nil && (s.cutLinks[[2]int{p.from, p.to}] || s.random.IntN(50) == 0):
			copies = 0
		case s.random.IntN(50) == 0:
			copies = 2
		}
	}
	for range copies {
		q := p
		q.deliverAt = s.step + s.random.IntN(3)
		if !s.faultFree && s.random.IntN(40) == 0 {
			q.deliverAt += s.random.IntN(40)
		}
		s.inFlight = append(s.inFlight, q)
	}
}

func (s *sim) deliver() {
	var later, now []packet
	for _, p := range s.inFlight {
		if p.deliverAt <= s.step && (p.claim != nil || s.nodes[p.to].pausedSteps == 0) {
			now = append(now, p)
		} else {
			later = append(later, p)
		}
	}
	s.inFlight = later
	for _, p := range now {
		if p.claim != nil {
			s.runAtSink(p)
			continue
		}
		n := s.nodes[p.to]
		if n.member == nil {
			continue
		}
		if p.msg == nil {
			n.heartbeats[s.nodes[p.from].name] = max(n.heartbeats[s.nodes[p.from].name], p.heartbeat)
			continue
		}
		if err := n.member.Step(proto.Clone(p.msg).(*pb.Message)); err != nil && !errors.Is(err, ErrMemberFailed) {
			s.failf("%s: %v", n.name, err)
		}
	}
}

// runAtSink is a run's arrival at the sink, from an owner that may be paused or dead.
func (s *sim) runAtSink(p packet) {
	err := s.sink.Accept(*p.claim)
	s.tracef("sink: %+v: %v", *p.claim, err)
	if err == nil {
		s.effects[fmt.Sprint(p.claim.Duty, " ", p.claim.Period)]++
	}
	n := s.nodes[p.from]
	if n.member == nil || n.incarnation != p.incarnation {
		return
	}
	if !s.faultFree && s.random.IntN(20) == 0 {
		return // its acknowledgement is lost: the run is stopped at its deadline
	}
	if n.agent.RunEnded(s.steadyTime(), *p.claim, err) {
		_ = n.member.Propose(duty.Done{Claim: *p.claim}) // if it is lost, it is proposed again
	}
}

// injectFaults is what goes wrong in a step.
func (s *sim) injectFaults() {
	if s.random.IntN(60) == 0 {
		i := s.random.IntN(s.size)
		switch n := s.nodes[i]; {
		case n.member == nil:
			s.startNode(i)
		case s.random.IntN(2) == 0:
			s.stopNode(i)
		default:
			n.pausedSteps = 1 + s.random.IntN(60)
			s.tracef("%s pauses for %d", n.name, n.pausedSteps)
		}
	}
	if s.random.IntN(80) == 0 {
		k := [2]int{s.random.IntN(s.size), s.random.IntN(s.size)}
		s.cutLinks[k] = !s.cutLinks[k]
		s.tracef("link %v cut %v", k, s.cutLinks[k])
	}
	if s.random.IntN(150) == 0 {
		clear(s.cutLinks)
	}
	if s.random.IntN(200) == 0 {
		n := s.nodes[s.random.IntN(s.size)]
		n.clockSkew += time.Duration(s.random.Int64N(int64(20*time.Second))) - 10*time.Second
		s.tracef("%s's clock is off by %v", n.name, n.clockSkew)
	}
}

func (s *sim) stepNode(i int) {
	n := s.nodes[i]
	if n.member == nil {
		return
	}
	if n.pausedSteps > 0 {
		n.pausedSteps--
		return
	}
	if s.step%2 == 0 {
		n.member.Tick()
	}
	leader, term := n.member.Leader()
	if n.member.IsLeader() {
		if was := s.leaders[term]; was != 0 && was != n.id {
			s.failf("term %d has leaders %d and %d", term, was, n.id)
		}
		s.leaders[term] = n.id
		if s.step%6 == 0 { // the duties' clock
			n.heartbeats[n.name] = s.steadyTime()
			t := duty.Tick{Now: 1000*time.Second + s.steadyTime() + n.clockSkew}
			for _, o := range s.nodes {
				if at, ok := n.heartbeats[o.name]; ok {
					t.Heard, t.At = append(t.Heard, o.name), append(t.At, at)
				}
			}
			clear(n.heartbeats)
			_ = n.member.Propose(t) // refused while too much waits
		}
	} else if leader > 0 && s.step%4 == 0 {
		s.send(packet{from: i, to: int(leader - 1), heartbeat: s.steadyTime()})
	}
	if !n.joined && leader > 0 && s.step%10 == 0 {
		_ = n.member.Propose(duty.Join{Member: n.name, Incarnation: n.incarnation})
		for d := range 3 {
			if len(n.member.State().Duties()) < 3 {
				_ = n.member.Propose(duty.Register{Spec: duty.Spec{Name: fmt.Sprint("d", d), Period: time.Duration(1+d) * 2 * time.Second, Deadline: time.Second,
					MakeUp: true, MostMissed: 1 << 20}})
			}
		}
	}
	out, err := n.member.ProcessReady()
	if err != nil {
		if !errors.Is(err, errCrash) {
			s.failf("%s: %v", n.name, err)
		}
		s.stopNode(i)
		return
	}
	for _, msg := range out.Messages {
		to := int(msg.GetTo() - 1)
		s.send(packet{from: i, to: to, msg: msg})
	}
	for _, e := range out.Applied {
		switch e := e.(type) {
		case duty.Tick:
			if k := slices.Index(e.Heard, n.name); k >= 0 {
				n.agent.RenewLease(e.At[k])
			}
		case duty.Join:
			n.joined = n.joined || e.Member == n.name && e.Incarnation == n.incarnation
		}
	}
	if len(out.Applied) > 0 {
		b, err := n.member.State().Save()
		if err != nil {
			s.failf("%v", err)
		}
		sum := fmt.Sprintf("%x", xxhash.Sum64(b))
		if was, ok := s.stateHashes[n.member.AppliedIndex()]; ok && was != sum {
			s.failf("%s holds another state at %d", n.name, n.member.AppliedIndex())
		}
		s.stateHashes[n.member.AppliedIndex()] = sum
	}
	state := n.member.State()
	stop, _ := n.agent.Stop(s.steadyTime(), state)
	for _, c := range stop {
		n.agent.RunEnded(s.steadyTime(), c, errors.New("stopped"))
	}
	for _, c := range n.agent.Repropose(s.steadyTime(), state) {
		s.tracef("%s proposes again that %+v is done", n.name, c)
		_ = n.member.Propose(duty.Done{Claim: c})
	}
	if !n.joined {
		return // what the state says is of an earlier life
	}
	for _, c := range n.agent.Start(s.steadyTime(), state) {
		s.tracef("%s starts %+v", n.name, c)
		p := packet{from: i, to: i, claim: &c, incarnation: n.incarnation}
		s.send(p)
	}
}

// runSeed runs a seed and returns the trace's hash, and what went wrong.
func runSeed(t testing.TB, seed uint64, loud bool) (hash uint64, fault string, effects int) {
	n := 3 + 2*int(seed%3)
	s := newSim(t, seed, n, loud)
	for s.step = 1; s.step <= simSteps && s.failure == ""; s.step++ {
		s.faultFree = s.step > simSteps*2/3 // in the end the weather is fair, and all must come to rest
		if s.faultFree {
			clear(s.cutLinks)
			for i, x := range s.nodes {
				if x.member == nil {
					s.startNode(i)
				}
			}
		} else {
			s.injectFaults()
		}
		s.deliver()
		for _, i := range s.random.Perm(n) {
			s.stepNode(i)
		}
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], uint64(len(s.inFlight)))
		_, _ = s.trace.Write(b[:])
	}
	for k, c := range s.effects {
		if c != 1 {
			s.failf("%s done %d times", k, c)
		}
	}
	s.checkFinalState()
	return s.trace.Sum64(), s.failure, len(s.effects)
}

// checkFinalState checks the end: one leader, equal states, and every period done but the last.
func (s *sim) checkFinalState() {
	leaders := 0
	var state *duty.State
	for _, n := range s.nodes {
		if n.member == nil {
			s.failf("%s is down at the end", n.name)
			return
		}
		if n.member.IsLeader() {
			leaders++
			state = n.member.State()
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
		hash, fault, n := runSeed(t, *seedFlag, true)
		t.Logf("seed %d: trace %016x, %d effects %s", *seedFlag, hash, n, fault)
		if fault != "" {
			t.Fail()
		}
		return
	}
	total := 0
	for seed := uint64(1); seed <= uint64(*seedsFlag); seed++ {
		hash, fault, n := runSeed(t, seed, false)
		total += n
		if fault != "" {
			t.Errorf("seed %d (trace %016x): %s", seed, hash, fault)
		}
		if seed%25 == 0 {
			if again, _, _ := runSeed(t, seed, false); again != hash {
				t.Errorf("seed %d: trace %016x, then %016x", seed, hash, again)
			}
		}
	}
	t.Logf("%d seeds, %d effects, each once", *seedsFlag, total)
}
