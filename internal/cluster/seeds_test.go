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

var seedsFlag = flag.Int("seeds", 200, "number of seeds that TestSeeds runs")
var seedFlag = flag.Uint64("seed", 0, "run TestSeeds with only this seed and log each step; 0: all seeds")

// memStorage is an in-memory Storage. A crash during a Save leaves all or nothing of the
// batch, as in a Store.
type memStorage struct {
	stored StoredState
	crash  func() (before, after bool) // called at each Save: whether to crash before or after storing
}

var errCrash = errors.New("crash")

func (d *memStorage) Load() (*StoredState, error) {
	stored := &StoredState{}
	if d.stored.HardState != nil {
		stored.HardState = proto.Clone(d.stored.HardState).(*pb.HardState)
	}
	if d.stored.Snapshot != nil {
		stored.Snapshot = proto.Clone(d.stored.Snapshot).(*pb.Snapshot)
	}
	for _, e := range d.stored.Entries {
		stored.Entries = append(stored.Entries, proto.Clone(e).(*pb.Entry))
	}
	return stored, nil
}

func (d *memStorage) Save(batch *WriteBatch) error {
	before, after := false, false
	if d.crash != nil {
		before, after = d.crash()
	}
	if before {
		return errCrash
	}
	if batch.HardState != nil {
		d.stored.HardState = proto.Clone(batch.HardState).(*pb.HardState)
	}
	if batch.Snapshot != nil {
		d.stored.Snapshot = proto.Clone(batch.Snapshot).(*pb.Snapshot)
		at := batch.Snapshot.GetMetadata().GetIndex()
		d.stored.Entries = slices.DeleteFunc(d.stored.Entries, func(e *pb.Entry) bool { return batch.Received || e.GetIndex() <= at })
	}
	if len(batch.Entries) > 0 {
		from := batch.Entries[0].GetIndex()
		d.stored.Entries = slices.DeleteFunc(d.stored.Entries, func(e *pb.Entry) bool { return e.GetIndex() >= from })
		for _, e := range batch.Entries {
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
	storage     *memStorage
	member      *Member // nil if the node is down
	agent       *duty.Agent
	incarnation uint64
	clockSkew   time.Duration // of the node's wall clock
	pausedSteps int           // remaining steps of a pause
	heartbeats  map[string]time.Duration
	joined      bool
}

// packet is a message, a heartbeat or a duty run in transit.
type packet struct {
	deliverAt   int
	from        int
	to          int
	msg         *pb.Message
	heartbeat   time.Duration // if msg and claim are nil: a heartbeat to the presumed leader
	claim       *duty.Claim   // if not nil: a run on its way to the sink
	incarnation uint64
}

const (
	stepDuration = 50 * time.Millisecond // virtual time; a Raft tick is two steps
	simLease     = time.Second
	simSteps     = 1200 // one minute
)

var simDuty = duty.Config{Lease: simLease}

// sim simulates Raft members, their storage and their duties on a virtual clock. The seed
// determines the whole run.
type sim struct {
	t           testing.TB
	random      *rand.Rand
	size        int
	nodes       []*simNode
	step        int
	inFlight    []packet
	cutLinks    map[[2]int]bool // directed links that drop everything
	sink        *duty.Sink
	effects     map[string]int
	trace       *xxhash.Digest
	leaders     map[uint64]uint64 // leader of each term
	verbose     bool
	failure     string
	faultFree   bool
	stateHashes map[uint64]string // hash of the state at each applied index
}

func (s *sim) tracef(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	_, _ = s.trace.WriteString(line) // a hash never fails
	if s.verbose {
		s.t.Logf("%v %s", time.Duration(s.step)*stepDuration, line)
	}
}

func (s *sim) failf(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf("step %d: ", s.step) + fmt.Sprintf(format, args...)
	}
}

func newSim(t testing.TB, seed uint64, size int, verbose bool) *sim {
	s := &sim{t: t, random: rand.New(rand.NewPCG(seed, 8)), size: size, cutLinks: map[[2]int]bool{}, sink: duty.NewSink(), effects: map[string]int{},
		trace: xxhash.New(), leaders: map[uint64]uint64{}, verbose: verbose, stateHashes: map[uint64]string{}}
	for i := range size {
		s.nodes = append(s.nodes, &simNode{id: uint64(i + 1), name: fmt.Sprint("n", i+1), storage: &memStorage{},
			clockSkew: time.Duration(s.random.Int64N(int64(2*time.Second))) - time.Second})
		s.nodes[i].storage.crash = func() (bool, bool) {
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
	node := s.nodes[i]
	var initialMembers []uint64
	for k := range s.size {
		initialMembers = append(initialMembers, uint64(k+1))
	}
	m, err := OpenMember(Config{ID: node.id, Name: node.name, InitialMembers: initialMembers, Duty: simDuty, Storage: node.storage,
		Rand: rand.New(rand.NewPCG(s.random.Uint64(), node.id)), SnapshotEvery: 40})
	if errors.Is(err, errCrash) {
		return // a later step tries again
	}
	if err != nil {
		s.failf("cannot open the member of %s: %v", node.name, err)
		return
	}
	node.incarnation++
	node.member, node.agent, node.heartbeats, node.joined = m, duty.NewAgent(node.name, simDuty, 4), map[string]time.Duration{}, false
	s.tracef("%s started, incarnation %d, applied %d", node.name, node.incarnation, m.AppliedIndex())
}

func (s *sim) stopNode(i int) {
	s.tracef("%s stopped", s.nodes[i].name)
	s.nodes[i].member = nil
}

func (s *sim) steadyTime() time.Duration { return time.Duration(s.step) * stepDuration }

// send queues a packet, which may be delayed, lost, duplicated or reordered.
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
		node := s.nodes[p.to]
		if node.member == nil {
			continue
		}
		if p.msg == nil {
			node.heartbeats[s.nodes[p.from].name] = max(node.heartbeats[s.nodes[p.from].name], p.heartbeat)
			continue
		}
		if err := node.member.Step(proto.Clone(p.msg).(*pb.Message)); err != nil && !errors.Is(err, ErrMemberFailed) {
			s.failf("%s: %v", node.name, err)
		}
	}
}

// runAtSink passes a claim to the sink. Its owner may be paused or down.
func (s *sim) runAtSink(p packet) {
	err := s.sink.Accept(*p.claim)
	s.tracef("sink: %+v: %v", *p.claim, err)
	if err == nil {
		s.effects[fmt.Sprint(p.claim.Duty, " ", p.claim.Period)]++
	}
	node := s.nodes[p.from]
	if node.member == nil || node.incarnation != p.incarnation {
		return
	}
	if !s.faultFree && s.random.IntN(20) == 0 {
		return // the sink's answer is lost: the run is cancelled at its deadline
	}
	if node.agent.RunEnded(s.steadyTime(), *p.claim, err) {
		_ = node.member.Propose(duty.Done{Claim: *p.claim}) // proposed again if lost
	}
}

// injectFaults injects the random faults of one step.
func (s *sim) injectFaults() {
	if s.random.IntN(60) == 0 {
		i := s.random.IntN(s.size)
		switch node := s.nodes[i]; {
		case node.member == nil:
			s.startNode(i)
		case s.random.IntN(2) == 0:
			s.stopNode(i)
		default:
			node.pausedSteps = 1 + s.random.IntN(60)
			s.tracef("%s paused for %d steps", node.name, node.pausedSteps)
		}
	}
	if s.random.IntN(80) == 0 {
		k := [2]int{s.random.IntN(s.size), s.random.IntN(s.size)}
		s.cutLinks[k] = !s.cutLinks[k]
		s.tracef("link %v cut: %v", k, s.cutLinks[k])
	}
	if s.random.IntN(150) == 0 {
		clear(s.cutLinks)
	}
	if s.random.IntN(200) == 0 {
		node := s.nodes[s.random.IntN(s.size)]
		node.clockSkew += time.Duration(s.random.Int64N(int64(20*time.Second))) - 10*time.Second
		s.tracef("clock of %s skewed by %v", node.name, node.clockSkew)
	}
}

func (s *sim) stepNode(i int) {
	node := s.nodes[i]
	if node.member == nil {
		return
	}
	if node.pausedSteps > 0 {
		node.pausedSteps--
		return
	}
	if s.step%2 == 0 {
		node.member.Tick()
	}
	leader, term := node.member.Leader()
	if node.member.IsLeader() {
		if previous := s.leaders[term]; previous != 0 && previous != node.id {
			s.failf("term %d has leaders %d and %d", term, previous, node.id)
		}
		s.leaders[term] = node.id
		if s.step%6 == 0 { // advance the duty clock
			node.heartbeats[node.name] = s.steadyTime()
			t := duty.Tick{Now: 1000*time.Second + s.steadyTime() + node.clockSkew}
			for _, o := range s.nodes {
				if at, ok := node.heartbeats[o.name]; ok {
					t.Heard, t.At = append(t.Heard, o.name), append(t.At, at)
				}
			}
			clear(node.heartbeats)
			_ = node.member.Propose(t) // may be dropped; a later tick replaces it
		}
	} else if leader > 0 && s.step%4 == 0 {
		s.send(packet{from: i, to: int(leader - 1), heartbeat: s.steadyTime()})
	}
	if !node.joined && leader > 0 && s.step%10 == 0 {
		_ = node.member.Propose(duty.Join{Member: node.name, Incarnation: node.incarnation})
		for d := range 3 {
			if len(node.member.State().Duties()) < 3 {
				_ = node.member.Propose(duty.Register{Spec: duty.Spec{Name: fmt.Sprint("d", d), Period: time.Duration(1+d) * 2 * time.Second, Deadline: time.Second,
					MakeUp: true, MostMissed: 1 << 20}})
			}
		}
	}
	out, err := node.member.ProcessReady()
	if err != nil {
		if !errors.Is(err, errCrash) {
			s.failf("%s: %v", node.name, err)
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
			if k := slices.Index(e.Heard, node.name); k >= 0 {
				node.agent.RenewLease(e.At[k])
			}
		case duty.Join:
			node.joined = node.joined || e.Member == node.name && e.Incarnation == node.incarnation
		}
	}
	if len(out.Applied) > 0 {
		b, err := node.member.State().Save()
		if err != nil {
			s.failf("%v", err)
		}
		sum := fmt.Sprintf("%x", xxhash.Sum64(b))
		if previous, ok := s.stateHashes[node.member.AppliedIndex()]; ok && previous != sum {
			s.failf("%s has a different state at index %d", node.name, node.member.AppliedIndex())
		}
		s.stateHashes[node.member.AppliedIndex()] = sum
	}
	state := node.member.State()
	stop, _ := node.agent.Stop(s.steadyTime(), state)
	for _, c := range stop {
		node.agent.RunEnded(s.steadyTime(), c, errors.New("stopped"))
	}
	for _, c := range node.agent.Repropose(s.steadyTime(), state) {
		s.tracef("%s proposes Done again for %+v", node.name, c)
		_ = node.member.Propose(duty.Done{Claim: c})
	}
	if !node.joined {
		return // the state is that of an earlier incarnation
	}
	for _, c := range node.agent.Start(s.steadyTime(), state) {
		s.tracef("%s starts %+v", node.name, c)
		p := packet{from: i, to: i, claim: &c, incarnation: node.incarnation}
		s.send(p)
	}
}

// runSeed simulates one seed. It returns the hash of the trace, the first failure and the
// number of effects.
func runSeed(t testing.TB, seed uint64, verbose bool) (hash uint64, failure string, effects int) {
	size := 3 + 2*int(seed%3)
	s := newSim(t, seed, size, verbose)
	for s.step = 1; s.step <= simSteps && s.failure == ""; s.step++ {
		s.faultFree = s.step > simSteps*2/3 // the last third has no faults, so that the state must converge
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
		for _, i := range s.random.Perm(size) {
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

// checkFinalState checks that all nodes are up, that there is one leader, and that every period
// but the last is done.
func (s *sim) checkFinalState() {
	leaders := 0
	var state *duty.State
	for _, node := range s.nodes {
		if node.member == nil {
			s.failf("%s is down at the end", node.name)
			return
		}
		if node.member.IsLeader() {
			leaders++
			state = node.member.State()
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
			s.failf("%s: %d periods pending at the end", d.Spec.Name, d.Pending)
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

// Simulates Raft, storage, duties and sink together. No period may be done twice or skipped,
// each term has one leader, states at the same log index are equal, and the same seed gives
// the same trace.
func TestSeeds(t *testing.T) {
	if *seedFlag > 0 {
		hash, failure, n := runSeed(t, *seedFlag, true)
		t.Logf("seed %d: trace %016x, %d effects %s", *seedFlag, hash, n, failure)
		if failure != "" {
			t.Fail()
		}
		return
	}
	total := 0
	for seed := uint64(1); seed <= uint64(*seedsFlag); seed++ {
		hash, failure, n := runSeed(t, seed, false)
		total += n
		if failure != "" {
			t.Errorf("seed %d (trace %016x): %s", seed, hash, failure)
		}
		if seed%25 == 0 {
			if again, _, _ := runSeed(t, seed, false); again != hash {
				t.Errorf("seed %d: trace %016x, then %016x", seed, hash, again)
			}
		}
	}
	t.Logf("%d seeds, %d effects, no duplicates", *seedsFlag, total)
}
