package cluster

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"violetspan.example/violetspan/decide/duty"
)

// testCluster connects members: every message is delivered in order, unless the sender or
// the receiver is isolated.
type testCluster struct {
	t        *testing.T
	members  map[uint64]*Member
	isolated map[uint64]bool
	ticks    int
	// reads holds the tokens of all confirmed reads.
	reads []uint64
}

// newTestCluster returns a cluster of three initial members.
func newTestCluster(t *testing.T) *testCluster {
	c := &testCluster{t: t, members: map[uint64]*Member{}, isolated: map[uint64]bool{}}
	for id := uint64(1); id <= 3; id++ {
		c.addMember(id, &memStorage{}, 1, 2, 3)
	}
	return c
}

func (c *testCluster) addMember(id uint64, storage Storage, initialMembers ...uint64) *Member {
	c.t.Helper()
	m, err := OpenMember(Config{ID: id, Name: memberName(id), InitialMembers: initialMembers, Duty: simDuty, Storage: storage, Rand: rand.New(rand.NewPCG(id, 1)), SnapshotEvery: 20})
	if err != nil {
		c.t.Fatal(err)
	}
	c.members[id] = m
	return m
}

// runTicks advances all members by some ticks and delivers their messages.
func (c *testCluster) runTicks(ticks int) {
	c.t.Helper()
	for range ticks {
		c.ticks++
		var ids []uint64
		for id := range c.members {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			c.members[id].Tick()
		}
		for range 6 { // enough rounds to deliver what one tick causes
			var all []*pb.Message
			for _, id := range ids {
				out, err := c.members[id].ProcessReady()
				if err != nil {
					c.t.Fatal(id, err)
				}
				c.reads = append(c.reads, out.ConfirmedReads...)
				if !c.isolated[id] {
					all = append(all, out.Messages...)
				}
			}
			for _, msg := range all {
				if m := c.members[msg.GetTo()]; m != nil && !c.isolated[msg.GetTo()] {
					if err := m.Step(proto.Clone(msg).(*pb.Message)); err != nil {
						c.t.Fatal(err)
					}
				}
			}
		}
	}
}

// leader runs ticks until a member that is not isolated leads, and returns it.
func (c *testCluster) leader() *Member {
	c.t.Helper()
	for range 200 {
		c.runTicks(1)
		for id, m := range c.members {
			if m.IsLeader() && !c.isolated[id] {
				return m
			}
		}
	}
	c.t.Fatal("no leader")
	return nil
}

func (c *testCluster) commit(es ...duty.Entry) {
	c.t.Helper()
	for _, e := range es {
		for tries := 0; ; tries++ {
			if err := c.leader().Propose(e); err == nil {
				break
			} else if tries > 20 {
				c.t.Fatal(err)
			}
		}
		c.runTicks(2)
	}
}

func (c *testCluster) changeMembership(kind pb.ConfChangeType, id uint64) {
	c.t.Helper()
	if err := c.leader().ProposeConfChange(&pb.ConfChangeSingle{Type: &kind, NodeId: proto.Uint64(id)}); err != nil {
		c.t.Fatal(err)
	}
	c.runTicks(12)
}

// requireSameState checks that the members have equal states and the given number of voters.
func (c *testCluster) requireSameState(voters int, ids ...uint64) {
	c.t.Helper()
	c.runTicks(12)
	want := ""
	for _, id := range ids {
		s, err := c.members[id].State().Save()
		if err != nil {
			c.t.Fatal(err)
		}
		if want == "" {
			want = string(s)
		}
		if v, _ := c.members[id].Voters(); string(s) != want || len(v) != voters {
			c.t.Fatalf("member %d, voters %v:\n%s\nwant\n%s", id, v, s, want)
		}
	}
}

// A member joins as a learner while entries are committed. It needs a snapshot, since the
// log has been compacted. It is promoted; a member that lost its storage is replaced by a
// member with a new number; others are removed until two are left, and then one.
func TestMembersComeAndGo(t *testing.T) {
	c := newTestCluster(t)
	c.leader()
	registerDuties := func(n int) {
		for i := range n {
			c.commit(duty.Register{Spec: duty.Spec{Name: fmt.Sprint("d", c.ticks, "-", i), Period: time.Second}})
		}
	}
	registerDuties(400) // more than trailingEntries, so that the log is compacted
	c.addMember(4, &memStorage{})
	c.runTicks(30)
	if len(c.members[4].State().Duties()) != 0 || c.members[4].IsLeader() {
		t.Fatal("a member that was not added takes part")
	}
	c.changeMembership(pb.ConfChangeType_ConfChangeAddLearnerNode, 4)
	registerDuties(30) // while it catches up
	c.requireSameState(3, 1, 2, 3, 4)
	c.changeMembership(pb.ConfChangeType_ConfChangeAddNode, 4)
	c.requireSameState(4, 1, 2, 3, 4)
	// Member 2 loses its storage: it must not return under the same number.
	delete(c.members, 2)
	c.changeMembership(pb.ConfChangeType_ConfChangeRemoveNode, 2)
	c.addMember(5, &memStorage{})
	c.changeMembership(pb.ConfChangeType_ConfChangeAddLearnerNode, 5)
	c.changeMembership(pb.ConfChangeType_ConfChangeAddNode, 5)
	c.requireSameState(4, 1, 3, 4, 5)
	for _, id := range []uint64{1, 3, 4} { // the leader may be among them
		c.changeMembership(pb.ConfChangeType_ConfChangeRemoveNode, id)
		c.isolated[id] = true
		registerDuties(3)
	}
	c.requireSameState(1, 5)
	if n := len(c.members[5].State().Duties()); n != 439 {
		t.Errorf("%d duties at the end", n)
	}
}

// A minority commits nothing and rejects proposals, and a leader without a majority steps
// down. Only a leader with a majority confirms a read.
func TestMinority(t *testing.T) {
	c := newTestCluster(t)
	c.commit(duty.Join{Member: "x", Incarnation: 1})
	leader := c.leader()
	oldLeader := leader.cfg.ID
	c.isolated[oldLeader] = true
	if err := leader.Propose(duty.Leave{Member: "x"}); err != nil {
		t.Fatal(err) // it has not yet detected the loss of the majority
	}
	if err := leader.ReadIndex(7); err != nil {
		t.Fatal(err)
	}
	for range 40 {
		leader.Tick()
		out, err := leader.ProcessReady()
		if err != nil || len(out.Applied) > 0 || len(out.ConfirmedReads) > 0 {
			t.Fatalf("a leader without a majority applied %v, read %v: %v", out.Applied, out.ConfirmedReads, err)
		}
	}
	if leader.IsLeader() {
		t.Error("leader without a majority did not step down")
	}
	if err := leader.Propose(duty.Leave{Member: "x"}); !errors.Is(err, ErrNoLeader) {
		t.Error(err)
	}
	c.commit(duty.Join{Member: "y", Incarnation: 1})
	c.isolated[oldLeader] = false
	c.runTicks(60)
	c.requireSameState(3, 1, 2, 3)
	if got := c.members[oldLeader].State().Members(); len(got) != 2 {
		t.Errorf("%+v: the proposal of the minority was applied", got)
	}
	if err := c.leader().ReadIndex(9); err != nil {
		t.Fatal(err)
	}
	c.runTicks(5)
	if !slices.Equal(c.reads, []uint64{9}) {
		t.Error(c.reads)
	}
}
