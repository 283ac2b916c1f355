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
	electionTicks       = 10 // silence of the leader after which a member may stand, up to twice that
	heartbeatTicks      = 2
	trailingEntries     = 256 // behind a snapshot, for members that are a little behind
	maxUncommittedBytes = 1 << 20
)

// Errors of a Member.
var (
	ErrNoLeader         = errors.New("cluster: no leader is known")
	ErrMemberFailed     = errors.New("cluster: the member has stopped on an error of its disk")
	ErrTooManyProposals = errors.New("cluster: too much is waiting to be agreed on")
)

// Member is one instance's part of the log. It may be used by one goroutine at a time.
type Member struct {
	cfg             Config
	node            *raft.RawNode
	raftLog         *raft.MemoryStorage
	state           *duty.State
	appliedIndex    uint64
	snapshotIndex   uint64
	confState       *pb.ConfState
	confChanged     bool // the members have, since the last snapshot
	electionElapsed int  // ticks since the leader was heard
	electionTimeout int  // ticks of silence after which it stands
	failure         error
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
	stored, err := cfg.Storage.Load()
	if err != nil {
		return nil, err
	}
	m := &Member{cfg: cfg, raftLog: raft.NewMemoryStorage(), state: duty.New(cfg.Duty), confState: &pb.ConfState{}}
	fresh := raft.IsEmptyHardState(stored.HardState) && raft.IsEmptySnap(stored.Snapshot) && len(stored.Entries) == 0
	if fresh && len(cfg.InitialMembers) > 0 {
		// Founders begin from the same snapshot, at an index of its own: nothing is
		// agreed on before there is a majority, but who it is of.
		emptyState, err := m.state.Save()
		if err != nil {
			return nil, err
		}
		stored.Snapshot = &pb.Snapshot{Data: emptyState, Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1),
			ConfState: &pb.ConfState{Voters: cfg.InitialMembers}}}
		stored.HardState = &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}
		if err := cfg.Storage.Save(&WriteBatch{HardState: stored.HardState, Snapshot: stored.Snapshot}); err != nil {
			return nil, err
		}
	}
	if !raft.IsEmptySnap(stored.Snapshot) {
		if err := m.raftLog.ApplySnapshot(stored.Snapshot); err != nil {
			return nil, fmt.Errorf("cluster: snapshot: %w", err)
		}
		if err := m.restoreSnapshot(stored.Snapshot); err != nil {
			return nil, err
		}
	}
	if !raft.IsEmptyHardState(stored.HardState) {
		if err := m.raftLog.SetHardState(stored.HardState); err != nil {
			return nil, fmt.Errorf("cluster: hard state: %w", err)
		}
	}
	if err := m.raftLog.Append(stored.Entries); err != nil {
		return nil, fmt.Errorf("cluster: entries: %w", err)
	}
	m.node, err = raft.NewRawNode(&raft.Config{ID: cfg.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: m.raftLog,
		Applied: m.appliedIndex, MaxSizePerMsg: 256 << 10, MaxCommittedSizePerReady: 1 << 20, MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, DisableProposalForwarding: false, StepDownOnRemoval: true,
		Logger: &raft.DefaultLogger{Logger: discardLogger}})
	if err != nil {
		return nil, fmt.Errorf("cluster: %w", err)
	}
	m.resetElectionTimer()
	return m, nil
}

func (m *Member) resetElectionTimer() {
	m.electionElapsed, m.electionTimeout = 0, electionTicks+m.cfg.Rand.IntN(electionTicks)
}

// State is the replicated state as far as it is applied here. It must not be changed.
func (m *Member) State() *duty.State { return m.state }

// Leader says who leads as far as is known here, 0 if nobody, and in which term.
func (m *Member) Leader() (id, term uint64) {
	st := m.node.BasicStatus()
	return st.Lead, st.GetTerm()
}

// IsLeader says whether this member is the leader.
func (m *Member) IsLeader() bool { return m.node.BasicStatus().RaftState == raft.StateLeader }

// AppliedIndex is the index up to which the state is applied here.
func (m *Member) AppliedIndex() uint64 { return m.appliedIndex }

// Tick is the passing of one unit of the host's time.
//
// When to stand for leader is timed here and not by the library, which draws from a
// source that no seed decides.
func (m *Member) Tick() {
	if m.failure != nil {
		return
	}
	if m.IsLeader() {
		m.resetElectionTimer()
		m.node.Tick() // heartbeats, and stepping down without a majority
		return
	}
	m.node.TickQuiesced()
	if m.electionElapsed++; m.electionElapsed >= m.electionTimeout {
		m.resetElectionTimer()
		_ = m.node.Campaign() // refused for one that is no voter
	}
}

// Step takes in a message of another member.
func (m *Member) Step(msg *pb.Message) error {
	if m.failure != nil {
		return ErrMemberFailed
	}
	if msg.GetTo() != m.cfg.ID {
		return fmt.Errorf("cluster: a message for member %d", msg.GetTo())
	}
	if raft.IsLocalMsg(msg.GetType()) {
		return fmt.Errorf("cluster: a message of type %v from outside", msg.GetType())
	}
	term := m.node.BasicStatus().GetTerm()
	switch msg.GetType() {
	case pb.MsgHeartbeat, pb.MsgApp, pb.MsgSnap:
		if msg.GetTerm() >= term {
			m.electionElapsed = 0
		}
	}
	if err := m.node.Step(msg); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
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
	if m.failure != nil {
		return ErrMemberFailed
	}
	if leader, _ := m.Leader(); leader == 0 {
		return ErrNoLeader
	}
	if err := m.node.Propose(b); errors.Is(err, raft.ErrProposalDropped) {
		return ErrTooManyProposals
	} else if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	return nil
}

// ProposeConfChange asks for a change of the members: joint, so that no two majorities exist on
// the way.
func (m *Member) ProposeConfChange(changes ...*pb.ConfChangeSingle) error {
	if m.failure != nil {
		return ErrMemberFailed
	}
	if leader, _ := m.Leader(); leader == 0 {
		return ErrNoLeader
	}
	if err := m.node.ProposeConfChange(&pb.ConfChangeV2{Changes: changes}); err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	return nil
}

// ReadIndex asks when the state here is as new as anything agreed on before now; the token
// turns up in Reads then, or never.
func (m *Member) ReadIndex(token uint64) error {
	if m.failure != nil {
		return ErrMemberFailed
	}
	if leader, _ := m.Leader(); leader == 0 {
		return ErrNoLeader
	}
	var b [8]byte
	for i := range b {
		b[i] = byte(token >> (8 * i))
	}
	m.node.ReadIndex(b[:])
	return nil
}

// Voters returns who may vote and who only learns.
func (m *Member) Voters() (voters, learners []uint64) {
	return m.confState.GetVoters(), m.confState.GetLearners()
}

// maxReadyRounds bounds one Work.
const maxReadyRounds = 64

// ProcessReady does what is due: saves, applies, and gives what is to be sent. An error of the
// disk stops the member for good: what it may have promised is not known to be kept.
func (m *Member) ProcessReady() (*Output, error) {
	out := &Output{}
	if m.failure != nil {
		return out, m.failure
	}
	for round := 0; round < maxReadyRounds && m.node.HasReady(); round++ {
		rd := m.node.Ready()
		batch := &WriteBatch{Entries: rd.Entries}
		if !raft.IsEmptyHardState(rd.HardState) {
			batch.HardState = rd.HardState
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			batch.Snapshot, batch.Received = rd.Snapshot, true
		}
		if batch.HardState != nil || batch.Snapshot != nil || len(batch.Entries) > 0 {
			if err := m.cfg.Storage.Save(batch); err != nil {
				return m.fail(out, err)
			}
		}
		if batch.Snapshot != nil {
			if err := m.raftLog.ApplySnapshot(batch.Snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
				return m.fail(out, err)
			}
			if err := m.restoreSnapshot(batch.Snapshot); err != nil {
				return m.fail(out, err)
			}
		}
		if err := m.raftLog.Append(batch.Entries); err != nil {
			return m.fail(out, err)
		}
		if batch.HardState != nil {
			if err := m.raftLog.SetHardState(batch.HardState); err != nil {
				return m.fail(out, err)
			}
		}
		out.Messages = append(out.Messages, rd.Messages...)
		for _, msg := range rd.Messages {
			if msg.GetType() == pb.MsgSnap { // the link tells if it was lost; until then it counts as sent
				m.node.ReportSnapshot(msg.GetTo(), raft.SnapshotFinish)
			}
		}
		for _, e := range rd.CommittedEntries {
			if err := m.applyEntry(e, out); err != nil {
				return m.fail(out, err)
			}
		}
		for _, r := range rd.ReadStates {
			token := uint64(0)
			for i, b := range r.RequestCtx {
				token |= uint64(b) << (8 * i)
			}
			if r.Index <= m.appliedIndex {
				out.ConfirmedReads = append(out.ConfirmedReads, token)
			}
		}
		m.node.Advance(rd)
	}
	// A member that joins ignores a snapshot that does not name it.
	if m.appliedIndex >= m.snapshotIndex+m.cfg.SnapshotEvery || m.confChanged && m.appliedIndex > m.snapshotIndex {
		if err := m.createSnapshot(); err != nil {
			return m.fail(out, err)
		}
	}
	return out, nil
}

func (m *Member) fail(out *Output, err error) (*Output, error) {
	m.failure = fmt.Errorf("%w: %w", ErrMemberFailed, err)
	out.Messages = nil // what was not saved must not be said
	return out, m.failure
}

func (m *Member) applyEntry(e *pb.Entry, out *Output) error {
	if e.GetIndex() <= m.appliedIndex {
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
		m.confState, m.confChanged = m.node.ApplyConfChange(cc), true
	case pb.EntryConfChangeV2:
		cc := &pb.ConfChangeV2{}
		if err := proto.Unmarshal(e.GetData(), cc); err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
		m.confState, m.confChanged = m.node.ApplyConfChange(cc), true
	}
	m.appliedIndex = e.GetIndex()
	return nil
}

// restoreSnapshot takes a snapshot's state.
func (m *Member) restoreSnapshot(s *pb.Snapshot) error {
	state, err := duty.Load(m.cfg.Duty, s.GetData())
	if err != nil {
		return err
	}
	m.state, m.appliedIndex, m.snapshotIndex, m.confState = state, s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	return nil
}

// createSnapshot saves the state and lets the entries before it go, but for some.
func (m *Member) createSnapshot() error {
	b, err := m.state.Save()
	if err != nil {
		return err
	}
	snapshot, err := m.raftLog.CreateSnapshot(m.appliedIndex, m.confState, b)
	if err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if err := m.cfg.Storage.Save(&WriteBatch{Snapshot: snapshot}); err != nil {
		return err
	}
	m.snapshotIndex, m.confChanged = m.appliedIndex, false
	first, err := m.raftLog.FirstIndex()
	if err != nil {
		return err
	}
	if compactIndex := m.appliedIndex - min(m.appliedIndex, trailingEntries); compactIndex >= first {
		if err := m.raftLog.Compact(compactIndex); err != nil {
			return fmt.Errorf("compact: %w", err)
		}
	}
	return nil
}

var discardLogger = newStdLogger(io.Discard)

func newStdLogger(w io.Writer) *log.Logger { return log.New(w, "", 0) }
