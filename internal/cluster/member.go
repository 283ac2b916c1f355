package cluster

import (
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"violetspan.example/violetspan/decide/duty"
)

// Storage keeps what must survive. Save returns once all of it is durable; after an error
// the member must not go on, since nobody knows what is there.
type Storage interface {
	Load() (*StoredState, error)
	Save(c *WriteBatch) error
}

// StoredState is what a disk holds.
type StoredState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot // empty: none
	Entries   []*pb.Entry  // after the snapshot, without a gap
}

// WriteBatch is what is to be saved, all or nothing.
type WriteBatch struct {
	HardState *pb.HardState // nil: unchanged
	Snapshot  *pb.Snapshot  // nil: unchanged; entries up to it may go
	Received  bool          // the snapshot is another's: all entries go
	Entries   []*pb.Entry   // they replace all from the first one's index on
}

// Config is what a member is made of.
type Config struct {
	ID   uint64 // not 0
	Name string // as the duties know it
	// InitialMembers are the members of a new installation, the same at each of them; none
	// for one that joins later. They count only while the disk is empty.
	InitialMembers []uint64
	Duty           duty.Config
	Storage        Storage
	Log            *slog.Logger
	// Rand decides when to stand for leader, and nothing else.
	Rand *rand.Rand
	// SnapshotEvery is how many applied entries bring a snapshot; 0: 1,024.
	SnapshotEvery uint64
}

// Times, in ticks of the host's.
const (
	electionTicks  = 10 // silence of the leader after which a member may stand, up to twice that
	heartbeatTicks = 2
	keepEntries    = 256 // behind a snapshot, for members that are a little behind
	maxPending     = 1 << 20
)

// Errors of a Member.
var (
	ErrNoLeader         = errors.New("cluster: no leader is known")
	ErrMemberFailed     = errors.New("cluster: the member has stopped on an error of its disk")
	ErrTooManyProposals = errors.New("cluster: too much is waiting to be agreed on")
)

// Member is one instance's part of the log. It may be used by one goroutine at a time.
type Member struct {
	cfg     Config
	rn      *raft.RawNode
	mem     *raft.MemoryStorage
	state   *duty.State
	applied uint64
	snapAt  uint64
	conf    *pb.ConfState
	changed bool // the members have, since the last snapshot
	silent  int  // ticks since the leader was heard
	stand   int  // ticks of silence after which it stands
	broken  error
}

// Output is what a step of work brings.
type Output struct {
	Messages       []*pb.Message // after this, in any order, or never
	Applied        []duty.Entry  // what the state has taken in since the last Work
	ConfirmedReads []uint64      // tokens of reads that may be answered from the state now
}

// OpenMember makes a member from what its disk holds. A disk that can't be read is an error
// that names what is wrong; nothing is served from it.
func OpenMember(cfg Config) (*Member, error) {
	if cfg.SnapshotEvery == 0 {
		cfg.SnapshotEvery = 1024
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	k, err := cfg.Storage.Load()
	if err != nil {
		return nil, err
	}
	m := &Member{cfg: cfg, mem: raft.NewMemoryStorage(), state: duty.New(cfg.Duty), conf: &pb.ConfState{}}
	fresh := raft.IsEmptyHardState(k.HardState) && raft.IsEmptySnap(k.Snapshot) && len(k.Entries) == 0
	if fresh && len(cfg.InitialMembers) > 0 {
		// Founders begin from the same snapshot, at an index of its own: nothing is
		// agreed on before there is a majority, but who it is of.
		empty, err := m.state.Save()
		if err != nil {
			return nil, err
		}
		k.Snapshot = &pb.Snapshot{Data: empty, Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1),
			ConfState: &pb.ConfState{Voters: cfg.InitialMembers}}}
		k.HardState = &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}
		if err := cfg.Storage.Save(&WriteBatch{HardState: k.HardState, Snapshot: k.Snapshot}); err != nil {
			return nil, err
		}
	}
	if !raft.IsEmptySnap(k.Snapshot) {
		if err := m.mem.ApplySnapshot(k.Snapshot); err != nil {
			return nil, fmt.Errorf("cluster: snapshot: %w", err)
		}
		if err := m.restore(k.Snapshot); err != nil {
			return nil, err
		}
	}
	if !raft.IsEmptyHardState(k.HardState) {
		if err := m.mem.SetHardState(k.HardState); err != nil {
			return nil, fmt.Errorf("cluster: hard state: %w", err)
		}
	}
	if err := m.mem.Append(k.Entries); err != nil {
		return nil, fmt.Errorf("cluster: entries: %w", err)
	}
	m.rn, err = raft.NewRawNode(&raft.Config{ID: cfg.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: m.mem,
		Applied: m.applied, MaxSizePerMsg: 256 << 10, MaxCommittedSizePerReady: 1 << 20, MaxUncommittedEntriesSize: maxPending,
		MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, DisableProposalForwarding: false, StepDownOnRemoval: true,
		Logger: &raft.DefaultLogger{Logger: discard}})
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	m.draw()
	return m, nil
}

func (m *Member) draw() { m.silent, m.stand = 0, electionTicks+m.cfg.Rand.IntN(electionTicks) }

// State is the replicated state as far as it is applied here. It must not be changed.
func (m *Member) State() *duty.State { return m.state }

// Leader says who leads as far as is known here, 0 if nobody, and in which term.
func (m *Member) Leader() (id, term uint64) {
	st := m.rn.BasicStatus()
	return st.Lead, st.GetTerm()
}

// IsLeader says whether this member is the leader.
func (m *Member) IsLeader() bool { return m.rn.BasicStatus().RaftState == raft.StateLeader }

// AppliedIndex is the index up to which the state is applied here.
func (m *Member) AppliedIndex() uint64 { return m.applied }

// Tick is the passing of one unit of the host's time.
//
// When to stand for leader is timed here and not by the library, which draws from a
// source that no seed decides.
func (m *Member) Tick() {
	if m.broken != nil {
		return
	}
	if m.IsLeader() {
		m.draw()
		m.rn.Tick() // heartbeats, and stepping down without a majority
		return
	}
	m.rn.TickQuiesced()
	if m.silent++; m.silent >= m.stand {
		m.draw()
		_ = m.rn.Campaign() // refused for one that is no voter
	}
}

// Step takes in a message of another member.
func (m *Member) Step(msg *pb.Message) error {
	if m.broken != nil {
		return ErrMemberFailed
	}
	if msg.GetTo() != m.cfg.ID {
		return fmt.Errorf("cluster: a message for member %d", msg.GetTo())
	}
	if raft.IsLocalMsg(msg.GetType()) {
		return fmt.Errorf("cluster: a message of type %v from outside", msg.GetType())
	}
	term := m.rn.BasicStatus().GetTerm()
	switch msg.GetType() {
	case pb.MsgHeartbeat, pb.MsgApp, pb.MsgSnap:
		if msg.GetTerm() >= term {
			m.silent = 0
		}
	}
	if err := m.rn.Step(msg); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
		return fmt.Errorf("cluster: %w", err)
	}
	return nil
}

// Propose asks for an entry to be agreed on. Without an error it may be, or not: it is
// when it turns up in Applied.
func (m *Member) Propose(e duty.Entry) error {
	b, err := EncodeEntry(e)
	if err != nil {
		return err
	}
	if m.broken != nil {
		return ErrMemberFailed
	}
	if lead, _ := m.Leader(); lead == 0 {
		return ErrNoLeader
	}
	if err := m.rn.Propose(b); errors.Is(err, raft.ErrProposalDropped) {
		return ErrTooManyProposals
	} else if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	return nil
}

// ProposeConfChange asks for a change of the members: joint, so that no two majorities exist on
// the way.
func (m *Member) ProposeConfChange(steps ...*pb.ConfChangeSingle) error {
	if m.broken != nil {
		return ErrMemberFailed
	}
	if lead, _ := m.Leader(); lead == 0 {
		return ErrNoLeader
	}
	if err := m.rn.ProposeConfChange(&pb.ConfChangeV2{Changes: steps}); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	return nil
}

// ReadIndex asks when the state here is as new as anything agreed on before now; the token
// turns up in Reads then, or never.
func (m *Member) ReadIndex(token uint64) error {
	if m.broken != nil {
		return ErrMemberFailed
	}
	if lead, _ := m.Leader(); lead == 0 {
		return ErrNoLeader
	}
	var b [8]byte
	for i := range b {
		b[i] = byte(token >> (8 * i))
	}
	m.rn.ReadIndex(b[:])
	return nil
}

// Voters returns who may vote and who only learns.
func (m *Member) Voters() (voters, learners []uint64) {
	return m.conf.GetVoters(), m.conf.GetLearners()
}

// maxRounds bounds one Work.
const maxRounds = 64

// ProcessReady does what is due: saves, applies, and gives what is to be sent. An error of the
// disk stops the member for good: what it may have promised is not known to be kept.
func (m *Member) ProcessReady() (*Output, error) {
	out := &Output{}
	if m.broken != nil {
		return out, m.broken
	}
	for round := 0; round < maxRounds && m.rn.HasReady(); round++ {
		rd := m.rn.Ready()
		c := &WriteBatch{Entries: rd.Entries}
		if !raft.IsEmptyHardState(rd.HardState) {
			c.HardState = rd.HardState
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			c.Snapshot, c.Received = rd.Snapshot, true
		}
		if c.HardState != nil || c.Snapshot != nil || len(c.Entries) > 0 {
			if err := m.cfg.Storage.Save(c); err != nil {
				return m.fail(out, err)
			}
		}
		if c.Snapshot != nil {
			if err := m.mem.ApplySnapshot(c.Snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
				return m.fail(out, err)
			}
			if err := m.restore(c.Snapshot); err != nil {
				return m.fail(out, err)
			}
		}
		if err := m.mem.Append(c.Entries); err != nil {
			return m.fail(out, err)
		}
		if c.HardState != nil {
			if err := m.mem.SetHardState(c.HardState); err != nil {
				return m.fail(out, err)
			}
		}
		out.Messages = append(out.Messages, rd.Messages...)
		for _, msg := range rd.Messages {
			if msg.GetType() == pb.MsgSnap { // the link tells if it was lost; until then it counts as sent
				m.rn.ReportSnapshot(msg.GetTo(), raft.SnapshotFinish)
			}
		}
		for _, e := range rd.CommittedEntries {
			if err := m.apply(e, out); err != nil {
				return m.fail(out, err)
			}
		}
		for _, r := range rd.ReadStates {
			token := uint64(0)
			for i, b := range r.RequestCtx {
				token |= uint64(b) << (8 * i)
			}
			if r.Index <= m.applied {
				out.ConfirmedReads = append(out.ConfirmedReads, token)
			}
		}
		m.rn.Advance(rd)
	}
	// A member that joins ignores a snapshot that does not name it.
	if m.applied >= m.snapAt+m.cfg.SnapshotEvery || m.changed && m.applied > m.snapAt {
		if err := m.snapshot(); err != nil {
			return m.fail(out, err)
		}
	}
	return out, nil
}

func (m *Member) fail(out *Output, err error) (*Output, error) {
	m.broken = fmt.Errorf("%w: %w", ErrMemberFailed, err)
	out.Messages = nil // what was not saved must not be said
	return out, m.broken
}

func (m *Member) apply(e *pb.Entry, out *Output) error {
	if e.GetIndex() <= m.applied {
		return nil
	}
	switch e.GetType() {
	case pb.EntryNormal:
		if len(e.GetData()) == 0 {
			break // a new leader's first
		}
		d, err := DecodeEntry(e.GetData())
		if err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
		if err := m.state.Apply(d); err != nil {
			m.cfg.Log.Warn("entry without effect", "index", e.GetIndex(), "error", err) // the same everywhere
		}
		out.Applied = append(out.Applied, d)
	case pb.EntryConfChange:
		cc := &pb.ConfChange{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
		m.conf, m.changed = m.rn.ApplyConfChange(cc), true
	case pb.EntryConfChangeV2:
		cc := &pb.ConfChangeV2{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
		m.conf, m.changed = m.rn.ApplyConfChange(cc), true
	}
	m.applied = e.GetIndex()
	return nil
}

// restore takes a snapshot's state.
func (m *Member) restore(s *pb.Snapshot) error {
	state, err := duty.Load(m.cfg.Duty, s.GetData())
	if err != nil {
		return err
	}
	m.state, m.applied, m.snapAt, m.conf = state, s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	return nil
}

// snapshot saves the state and lets the entries before it go, but for some.
func (m *Member) snapshot() error {
	b, err := m.state.Save()
	if err != nil {
		return err
	}
	s, err := m.mem.CreateSnapshot(m.applied, m.conf, b)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if err := m.cfg.Storage.Save(&WriteBatch{Snapshot: s}); err != nil {
		return err
	}
	m.snapAt, m.changed = m.applied, false
	first, err := m.mem.FirstIndex()
	if err != nil {
		return err
	}
	if to := m.applied - min(m.applied, keepEntries); to >= first {
		if err := m.mem.Compact(to); err != nil {
			return fmt.Errorf("compact: %w", err)
		}
	}
	return nil
}

var discard = stdLogger(io.Discard)

func stdLogger(w io.Writer) *log.Logger { return log.New(w, "", 0) }
