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

// Storage persists a member's Raft state. Save returns once the whole batch is durable.
// After an error the member must stop, since it is unknown what was stored.
type Storage interface {
	Load() (*StoredState, error)
	Save(batch *WriteBatch) error
}

// StoredState is the content of a Storage.
type StoredState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot // empty if there is none
	Entries   []*pb.Entry  // entries after the snapshot, without gaps
}

// WriteBatch is a set of updates that are stored atomically.
type WriteBatch struct {
	HardState *pb.HardState // nil: unchanged
	Snapshot  *pb.Snapshot  // nil: unchanged; entries up to its index may be deleted
	Received  bool          // the snapshot came from another member: delete all entries
	Entries   []*pb.Entry   // replace all stored entries from the first one's index on
}

// Config is the configuration of a Member.
type Config struct {
	ID   uint64 // not 0
	Name string // the member's name in the duty state
	// InitialMembers are the members of a new installation, the same on each of them, and
	// empty for a member that joins later. They are ignored unless the storage is empty.
	InitialMembers []uint64
	Duty           duty.Config
	Storage        Storage
	Log            *slog.Logger
	// Rand is used only to randomize election timeouts.
	Rand *rand.Rand
	// SnapshotEvery is the number of applied entries between snapshots; 0 means 1,024.
	SnapshotEvery uint64
}

// Raft parameters. Times are in ticks of the host.
const (
	electionTicks       = 10 // minimum election timeout; a random timeout is less than twice that
	heartbeatTicks      = 2
	trailingEntries     = 256 // kept before a snapshot, for members that lag slightly
	maxUncommittedBytes = 1 << 20
)

// Errors of a Member.
var (
	ErrNoLeader         = errors.New("cluster: no known leader")
	ErrMemberFailed     = errors.New("cluster: member stopped after a failure")
	ErrTooManyProposals = errors.New("cluster: proposal dropped, too many uncommitted entries")
)

// Member is the Raft node of one instance. It is not safe for concurrent use.
type Member struct {
	cfg             Config
	node            *raft.RawNode
	raftLog         *raft.MemoryStorage
	state           *duty.State
	appliedIndex    uint64
	snapshotIndex   uint64
	confState       *pb.ConfState
	confChanged     bool // the members changed since the last snapshot
	electionElapsed int  // ticks since the last message from the leader
	electionTimeout int  // ticks without the leader after which the member campaigns
	failure         error
}

// Output is the result of a ProcessReady.
type Output struct {
	Messages       []*pb.Message // to send, in any order; they may be lost
	Applied        []duty.Entry  // entries applied since the last ProcessReady
	ConfirmedReads []uint64      // tokens of the reads that can now be served from the state
}

// OpenMember restores a member from its storage. It returns an error that names the fault
// if the storage can't be read.
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
		// The initial members start from the same snapshot, at its own index. Before there
		// is a majority, only the set of voters is agreed on.
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

// State returns the replicated state as of AppliedIndex. The caller must not change it.
func (m *Member) State() *duty.State { return m.state }

// Leader returns the known leader, 0 if there is none, and the current term.
func (m *Member) Leader() (id, term uint64) {
	st := m.node.BasicStatus()
	return st.Lead, st.GetTerm()
}

// IsLeader reports whether this member is the leader.
func (m *Member) IsLeader() bool { return m.node.BasicStatus().RaftState == raft.StateLeader }

// AppliedIndex returns the index of the last entry applied to the state.
func (m *Member) AppliedIndex() uint64 { return m.appliedIndex }

// Tick advances the member's clock by one tick.
//
// Elections are timed here and not by the raft library, whose random source can't be
// seeded.
func (m *Member) Tick() {
	if m.failure != nil {
		return
	}
	if m.IsLeader() {
		m.resetElectionTimer()
		m.node.Tick() // sends heartbeats; steps down without a majority
		return
	}
	m.node.TickQuiesced()
	if m.electionElapsed++; m.electionElapsed >= m.electionTimeout {
		m.resetElectionTimer()
		_ = m.node.Campaign() // ignored by the library if this member is not a voter
	}
}

// Step handles a message from another member.
func (m *Member) Step(msg *pb.Message) error {
	if m.failure != nil {
		return ErrMemberFailed
	}
	if msg.GetTo() != m.cfg.ID {
		return fmt.Errorf("cluster: message addressed to member %d", msg.GetTo())
	}
	if raft.IsLocalMsg(msg.GetType()) {
		return fmt.Errorf("cluster: local message type %v from another member", msg.GetType())
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

// Propose proposes an entry. A nil error doesn't mean that the entry will be committed:
// it is committed once it appears in Output.Applied.
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

// ProposeConfChange proposes a change of the members. It uses joint consensus, so that two
// disjoint majorities never exist during the change.
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

// ReadIndex requests a linearizable read. The token appears in Output.ConfirmedReads once
// the state includes every entry committed before this call; the request may be lost.
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

// Voters returns the voting members and the learners.
func (m *Member) Voters() (voters, learners []uint64) {
	return m.confState.GetVoters(), m.confState.GetLearners()
}

// maxReadyRounds is the maximum number of Ready batches in one ProcessReady.
const maxReadyRounds = 64

// ProcessReady saves and applies pending updates and returns the messages to send. After
// an error the member stops permanently, since it may have made a promise, such as a
// vote, that is not stored.
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
			if msg.GetType() == pb.MsgSnap { // counts as delivered: a loss is not reported to the member
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
	// After a membership change a snapshot is needed at once, since a joining member
	// ignores a snapshot that doesn't list it.
	if m.appliedIndex >= m.snapshotIndex+m.cfg.SnapshotEvery || m.confChanged && m.appliedIndex > m.snapshotIndex {
		if err := m.createSnapshot(); err != nil {
			return m.fail(out, err)
		}
	}
	return out, nil
}

func (m *Member) fail(out *Output, err error) (*Output, error) {
	m.failure = fmt.Errorf("%w: %w", ErrMemberFailed, err)
	out.Messages = nil // nothing may be sent that was not saved
	return out, m.failure
}

func (m *Member) applyEntry(e *pb.Entry, out *Output) error {
	if e.GetIndex() <= m.appliedIndex {
		return nil
	}
	switch e.GetType() {
	case pb.EntryNormal:
		if len(e.GetData()) == 0 {
			break // the empty entry that starts a leader's term
		}
		d, err := DecodeEntry(e.GetData())
		if err != nil {
			return fmt.Errorf("entry %d: %w", e.GetIndex(), err)
		}
		if err := m.state.Apply(d); err != nil {
			m.cfg.Log.Warn("log entry rejected by the duty state", "index", e.GetIndex(), "error", err) // deterministic, so the same on every member
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

// restoreSnapshot replaces the state with that of a snapshot.
func (m *Member) restoreSnapshot(s *pb.Snapshot) error {
	state, err := duty.Load(m.cfg.Duty, s.GetData())
	if err != nil {
		return err
	}
	m.state, m.appliedIndex, m.snapshotIndex, m.confState = state, s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex(), s.GetMetadata().GetConfState()
	return nil
}

// createSnapshot stores a snapshot of the state and compacts the log, except for the last
// trailingEntries entries.
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
