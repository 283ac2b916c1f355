package core

import (
	"context"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"violetspan.example/violetspan/routing"
)

// fake is a caller and, by its link, all switches. Its channels tell what it saw.
type fake struct {
	sent     chan string // "switch set-up", "switch give-up", "switch release", "close switch"
	told     chan string // what the caller heard
	before   func(on func() bool) error
	stuck    chan struct{} // holds every release to a switch until it closes
	unproven string        // the switch whose calls may be over
}

type fakeLink struct {
	f  *fake
	id string
}

func (l fakeLink) SetUp(_ context.Context, _ *SetUp, _ time.Time, mayGo func() bool) error {
	if l.f.before != nil {
		if err := l.f.before(mayGo); err != nil {
			return err
		}
	}
	l.f.sent <- l.id + " set-up"
	return nil
}
func (l fakeLink) CancelSetUp(uint64) { l.f.sent <- l.id + " give-up" }
func (l fakeLink) Release(uint64) {
	if l.f.stuck != nil {
		<-l.f.stuck
	}
	l.f.sent <- l.id + " release"
}
func (l fakeLink) ProbeEarlyUntil(time.Time) {}
func (l fakeLink) ProbeFailing() bool        { return l.f.unproven == l.id }
func (l fakeLink) StopDialing()              {}
func (l fakeLink) SetDraining(bool)          {}
func (l fakeLink) Close()                    { l.f.sent <- "close " + l.id }

func (f *fake) Answer(_ uint64, d []byte) error      { f.told <- "answer " + string(d); return nil }
func (f *fake) Refuse(_ uint64, again time.Duration) { f.told <- "refused" }
func (f *fake) Fail(uint64)                          { f.told <- "failed" }
func (f *fake) Release(_ uint64, cut bool) {
	f.told <- map[bool]string{true: "cut", false: "ended"}[cut]
}

func newCore(t *testing.T) (*Core, *fake) {
	f := &fake{sent: make(chan string, 64), told: make(chan string, 64)}
	class := routing.Class{GoalTime: 10 * time.Second, Deadline: 20 * time.Second, Worth: 1, Width: 1}
	c, err := New(t.Context(), Options{
		Settings: routing.Settings{OwnExchange: 0, FleetSize: 2, MaxAttempts: 5, ReleaseDelay: 20 * time.Millisecond,
			CancelAllowed: true, Classes: []routing.Class{class}},
		OpenLink: func(m Switch, _ *SwitchHandler) (Link, error) { return fakeLink{f, m.ID}, nil }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, f
}

// peerOf is a switch, listed or draining, as its link sees the core.
func peerOf(t *testing.T, c *Core, id string) *SwitchHandler {
	t.Helper()
	for _, m := range c.allMembers() {
		if m.ID == id {
			return &SwitchHandler{c, m, id}
		}
	}
	t.Fatalf("no switch %s", id)
	return nil
}

func (f *fake) want(t *testing.T, from chan string, wants ...string) {
	t.Helper()
	for _, want := range wants {
		select {
		case got := <-from:
			if got != want {
				t.Fatalf("got %q, want %q", got, want)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("nothing came, want %q", want)
		}
	}
}

func offer(t *testing.T, c *Core, f *fake, id uint64, dest int) {
	t.Helper()
	if err := c.Offer(&SetUp{ID: id, Number: "100", Dest: dest, Width: 1, Deadline: time.Now().Add(15 * time.Second)}, f); err != nil {
		t.Fatal(err)
	}
}

func list(c *Core, graceful bool, ms ...Switch) {
	c.ApplyList(SwitchList{Source: "test", Switches: ms, Graceful: graceful})
}

// A dial may outlast a drain: the list is asked again just before the first
// byte, and what may not go is not sent.
func TestDrainDuringADialHoldsTheSetUpBack(t *testing.T) {
	c, f := newCore(t)
	a := Switch{ID: "a", Addr: "x", Exchange: 1}
	list(c, false, a)
	f.before = func(mayGo func() bool) error {
		a.State = routing.Draining
		list(c, false, a)
		if mayGo() {
			t.Error("a set-up may go to a switch that drains")
		}
		return ErrNotSent
	}
	offer(t, c, f, 1, 1)
	f.want(t, f.told, "refused")
	if len(f.sent) > 0 {
		t.Errorf("sent %q", <-f.sent)
	}
}

// Another switch may take the address of one that has gone: the id tells them
// apart, and the old one's calls are cut without harm to the new one's.
func TestAddressTakenByAnotherSwitch(t *testing.T) {
	c, f := newCore(t)
	list(c, false, Switch{ID: "old", Addr: "x", Exchange: 1})
	offer(t, c, f, 1, 1)
	f.want(t, f.sent, "old set-up")
	peerOf(t, c, "old").Answered(1, []byte("d"))
	f.want(t, f.told, "answer d")
	list(c, false, Switch{ID: "old", Addr: "x", Exchange: 1, State: routing.Removed}, Switch{ID: "new", Addr: "x", Exchange: 1})
	offer(t, c, f, 2, 1)
	f.want(t, f.sent, "new set-up")
	f.want(t, f.told, "cut")
	f.want(t, f.sent, "old release", "close old") // it may stand there yet
	peerOf(t, c, "new").Answered(2, []byte("e"))
	f.want(t, f.told, "answer e")
}

// A process that the list says was started anew has lost its calls.
func TestRestartedSwitchCutsItsCalls(t *testing.T) {
	c, f := newCore(t)
	list(c, false, Switch{ID: "a", Addr: "x", Exchange: 1})
	offer(t, c, f, 1, 1)
	f.want(t, f.sent, "a set-up")
	peerOf(t, c, "a").Answered(1, nil)
	f.want(t, f.told, "answer ")
	list(c, false, Switch{ID: "a", Addr: "x", Exchange: 1, Started: time.Now()})
	f.want(t, f.told, "cut")
}

// A switch that leaves an inventory may still run: its calls go on, its link
// closes with the last of them.
func TestGracefulRemovalKeepsStandingCalls(t *testing.T) {
	c, f := newCore(t)
	list(c, true, Switch{ID: "a", Addr: "x", Exchange: 1})
	offer(t, c, f, 1, 1)
	f.want(t, f.sent, "a set-up")
	peerOf(t, c, "a").Answered(1, nil)
	f.want(t, f.told, "answer ")
	c.ApplyList(SwitchList{Source: "test", Full: true, Graceful: true})
	offer(t, c, f, 2, 1)
	f.want(t, f.told, "refused")
	peerOf(t, c, "a").Ended(1, Outcome{Result: routing.Ended})
	f.want(t, f.told, "ended")
	f.want(t, f.sent, "close a")
}

// A switch that repeats an answer or a release, or answers late, changes nothing.
func TestRepeatsAndLateAnswers(t *testing.T) {
	c, f := newCore(t)
	list(c, false, Switch{ID: "a", Addr: "x", Exchange: 1}, Switch{ID: "b", Addr: "y", Exchange: 2})
	offer(t, c, f, 1, 1)
	f.want(t, f.sent, "a set-up")
	if peerOf(t, c, "b").Answered(1, nil) != Late || peerOf(t, c, "a").Answered(1, nil) != Accepted || peerOf(t, c, "a").Answered(1, nil) != Duplicate || peerOf(t, c, "a").Answered(9, nil) != UnknownCall {
		t.Error("an answer counts once, and only from where the set-up is")
	}
	f.want(t, f.told, "answer ")
	peerOf(t, c, "b").Ended(1, Outcome{Result: routing.Ended})
	peerOf(t, c, "a").Ended(1, Outcome{Result: routing.Ended})
	peerOf(t, c, "a").Ended(1, Outcome{Result: routing.Ended})
	f.want(t, f.told, "ended")
	if err := c.WaitForCalls(t.Context(), true); err != nil {
		t.Fatal(err)
	}
	if len(f.told)+len(f.sent) > 0 {
		t.Error("more was said than once")
	}
}

// After a reset the call rests before it goes again.
func TestRestAfterReset(t *testing.T) {
	c, f := newCore(t)
	list(c, false, Switch{ID: "a", Addr: "x", Exchange: 1})
	offer(t, c, f, 1, 1)
	f.want(t, f.sent, "a set-up")
	began := time.Now()
	peerOf(t, c, "a").Ended(1, Outcome{Result: routing.Reset})
	f.want(t, f.sent, "a set-up")
	if d := time.Since(began); d < 20*time.Millisecond {
		t.Errorf("sent again after %v", d)
	}
	c.HangUp(1)
	f.want(t, f.sent, "a give-up")
	if err := c.WaitForCalls(t.Context(), true); err != nil || len(f.told) > 0 {
		t.Errorf("%v; a caller that left is owed nothing and heard %d words", err, len(f.told))
	}
}

// The core imports no front and no wire.
func TestImports(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) == 0 {
		t.Fatal(err)
	}
	for _, name := range files {
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		for _, im := range f.Imports {
			path := strings.Trim(im.Path.Value, `"`)
			if strings.HasPrefix(path, "violetspan.example/") && path != "violetspan.example/violetspan/routing" ||
				strings.HasPrefix(path, "net") {
				t.Errorf("%s imports %s", name, path)
			}
		}
	}
}

// Guards against a switch that does not read: a hang-up of a call that is not
// known here goes to it too, and held its caller's reader up for each write.
func TestUnknownHangUpsDoNotWaitForSwitches(t *testing.T) {
	c, f := newCore(t)
	f.stuck = make(chan struct{})
	list(c, false, Switch{ID: "a", Addr: "x", Exchange: 1})
	for id := range uint64(3) {
		c.HangUp(id) // hangs here if it writes itself
	}
	close(f.stuck)
	f.want(t, f.sent, "a release", "a release", "a release")
}

// Guards against a hang-up that is lost at an exit, and against an exit that
// hangs up what stands: its release is passed on by the next proxy.
func TestCloseReleasesOnlyWhatWasHungUp(t *testing.T) {
	for _, hungUp := range []bool{true, false} {
		c, f := newCore(t)
		list(c, false, Switch{ID: "a", Addr: "x", Exchange: 1})
		offer(t, c, f, 1, 1)
		f.want(t, f.sent, "a set-up")
		peerOf(t, c, "a").Answered(1, []byte("d"))
		f.want(t, f.told, "answer d")
		if hungUp {
			c.HangUp(1)
		}
		if err := c.Close(); err != nil {
			t.Error(err)
		}
		if hungUp {
			f.want(t, f.sent, "a release")
		}
		f.want(t, f.sent, "close a")
	}
}

// Guards against attempts that stay out for good in the module's view: a caller
// who has left when the module orders a send. A few of them closed a switch to
// all calls, as hundreds of set-ups that are taken back at once did.
func TestCallsTakenBackAtOnceLeaveNothingOut(t *testing.T) {
	c, f := newCore(t)
	id := uint64(0)
	for n, name := range []string{1: "a", "b", "d"} {
		if n == 0 {
			continue // the own exchange
		}
		list(c, false, Switch{ID: name, Addr: "x", Exchange: n})
		for range 9 { // one less than the credit at the start
			id++
			k := newCall(c, &SetUp{ID: id, Number: "100", Dest: n, Width: 1, Deadline: time.Now().Add(15 * time.Second)}, f)
			c.mu.Lock()
			c.calls[id], c.names[k.name] = k, k
			c.unanswered++
			c.mu.Unlock()
			k.leave()
			c.serve(k)
		}
		offer(t, c, f, 1000+id, n)
		f.want(t, f.sent, name+" set-up")
	}
}

// Guards against callers who are never told: a proxy that stops ends what stands at
// switches that may be gone, and leaves the rest to the next one.
func TestUnprovenCallsEndWithTheProxy(t *testing.T) {
	c, f := newCore(t)
	list(c, false, Switch{ID: "a", Addr: "x", Exchange: 1}, Switch{ID: "b", Addr: "y", Exchange: 2})
	for id, name := range map[uint64]string{1: "a", 2: "b"} {
		offer(t, c, f, id, int(id))
		f.want(t, f.sent, name+" set-up")
		peerOf(t, c, name).Answered(id, nil)
		f.want(t, f.told, "answer ")
	}
	f.unproven = "a"
	c.EndUnverifiedCalls(t.Context())
	f.want(t, f.told, "cut")
	f.want(t, f.sent, "a release")
	if len(f.told) > 0 {
		t.Errorf("told %q: what stands at a switch that lives goes on", <-f.told)
	}
}

// Guards against set-ups that a kill finds: what is unanswered is failed before.
func TestUnansweredCallsFailBeforeTheKill(t *testing.T) {
	c, f := newCore(t)
	list(c, false, Switch{ID: "a", Addr: "x", Exchange: 1})
	offer(t, c, f, 1, 1)
	f.want(t, f.sent, "a set-up")
	c.StopAccepting()
	c.FailUnanswered()
	f.want(t, f.sent, "a give-up")
	f.want(t, f.told, "failed")
	if err := c.WaitForCalls(t.Context(), true); err != nil || len(f.told) > 0 {
		t.Errorf("%v; %d more answers", err, len(f.told))
	}
}

// A list that comes late cuts only what stood before the restart that it tells of; and a
// switch that another one's address is given to has gone, told or not.
func TestLateListsCutWhatStoodBefore(t *testing.T) {
	c, f := newCore(t)
	list(c, false, Switch{ID: "a", Addr: "x", Exchange: 1})
	offer(t, c, f, 1, 1)
	f.want(t, f.sent, "a set-up")
	restarted := time.Now()
	time.Sleep(time.Millisecond)
	peerOf(t, c, "a").Answered(1, nil)
	f.want(t, f.told, "answer ")
	list(c, false, Switch{ID: "a", Addr: "x", Exchange: 1, Started: restarted})
	if _, standing := c.Counts(); standing != 1 || len(f.told) > 0 {
		t.Fatalf("%d calls stand: one that was set up after the restart was cut", standing)
	}
	list(c, false, Switch{ID: "b", Addr: "x", Exchange: 1})
	f.want(t, f.told, "cut")
	f.want(t, f.sent, "a release", "close a")
	offer(t, c, f, 2, 1)
	f.want(t, f.sent, "b set-up")
}
