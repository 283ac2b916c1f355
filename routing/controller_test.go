package routing

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
	"unicode/utf8"
)

const ms = time.Millisecond

func testSettings() Settings {
	return Settings{
		OwnExchange: 0, FleetSize: 4,
		Classes: []Class{
			{GoalTime: 1200 * ms, Deadline: 9 * time.Second, Hold: 10 * time.Second, Worth: 1, Width: 1},
			{GoalTime: 1600 * ms, Deadline: 9 * time.Second, Hold: 10 * time.Second, Worth: 3, Width: 2},
		},
		MaxAttempts: 5, ReleaseDelay: 200 * ms, WarmUpTime: 15 * time.Second, ColdCapacity: 0.3,
		OverloadFactor: 2, OverloadWindow: 2 * time.Second, AnswerSlack: 20 * ms, CancelAllowed: true,
	}
}

// rig drives one controller and keeps what it did.
type rig struct {
	t    *testing.T
	c    *Controller
	now  time.Duration
	acts []Action
}

func newRig(t *testing.T, s Settings) *rig {
	t.Helper()
	c, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, c: c, now: time.Hour}
	var l []ListEntry
	for i := range 4 {
		l = append(l, ListEntry{Host: host(i), Exchange: i})
	}
	r.do(ListUpdated{Complete: true, Entries: l})
	for i := 1; i < 4; i++ {
		r.circuits(i, 40, 40)
	}
	return r
}

func host(i int) string { return fmt.Sprintf("h%d", i) }

// do hands one event over and returns the actions but for wakes.
func (r *rig) do(ev Event) []Action {
	var got []Action
	for _, a := range r.c.Handle(r.now, ev) {
		if _, ok := a.(SetTimer); !ok {
			got = append(got, a)
		}
	}
	r.acts = append(r.acts, got...)
	return got
}

// pass lets time go by in short steps and returns what was done.
func (r *rig) pass(d time.Duration) []Action {
	var got []Action
	for end := r.now + d; r.now < end; {
		r.now += min(5*ms, end-r.now)
		got = append(got, r.do(TimerFired{})...)
	}
	return got
}

func (r *rig) circuits(n, free, size int) {
	rep := NoReport
	rep.Free, rep.Size = free, size
	r.do(Reported{Host: host(n), Report: rep})
}

func (r *rig) offer(id string, dest int) []Action {
	return r.do(Offered{Call: id, Dest: dest, Width: 1, Number: "n-" + id, Expires: r.now + 3*time.Second})
}

func (r *rig) settle(id string, n, attempt int, res Result, cause Cause) []Action {
	return r.do(AttemptEnded{Call: id, Attempt: attempt, Host: host(n), Result: res, Cause: cause, Report: NoReport,
		Delay: time.Second})
}

// serve offers n calls to dest and lets each stand at once.
func (r *rig) serve(dest, n int) {
	for i := range n {
		id := fmt.Sprintf("s%d-%d-%d", dest, i, r.now)
		for _, a := range r.offer(id, dest) {
			if _, ok := a.(Send); ok {
				r.do(Established{Call: id, Delay: 50 * ms})
			}
		}
		r.pass(50 * ms)
	}
}

func sends(as []Action) (hosts []string) {
	for _, a := range as {
		if s, ok := a.(Send); ok {
			hosts = append(hosts, s.Host)
		}
	}
	return hosts
}

func finals(as []Action) (ids []string) {
	for _, a := range as {
		switch a := a.(type) {
		case Refuse:
			ids = append(ids, a.Call)
		case Fail:
			ids = append(ids, a.Call)
		}
	}
	return ids
}

func wantSends(t *testing.T, what string, as []Action, want ...string) {
	t.Helper()
	if got := sends(as); !reflect.DeepEqual(got, want) {
		t.Errorf("%s: sent to %v, want %v", what, got, want)
	}
}

func wantFinals(t *testing.T, what string, as []Action, want ...string) {
	t.Helper()
	if got := finals(as); !reflect.DeepEqual(got, want) {
		t.Errorf("%s: final answers for %v, want %v", what, got, want)
	}
}

func TestNewRefusesWhatItCannotServe(t *testing.T) {
	for _, tc := range []struct {
		name  string
		spoil func(*Settings)
		want  string
	}{
		{"no class", func(s *Settings) { s.Classes = nil }, "no class"},
		{"no goal", func(s *Settings) { s.Classes[1].GoalTime = 0 }, "class 1"},
		{"no attempt", func(s *Settings) { s.MaxAttempts = 0 }, "no attempt"},
	} {
		s := testSettings()
		tc.spoil(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: error %v, want one with %q", tc.name, err, tc.want)
		}
	}
}

func TestDirectFirstThenRememberedTandem(t *testing.T) {
	r := newRig(t, testSettings())
	wantSends(t, "with room", r.offer("a", 1), "h1")
	r.circuits(1, 0, 40)
	first := sends(r.offer("b", 1))
	if len(first) != 1 || first[0] == "h1" {
		t.Fatalf("with the direct group full: sent to %v, want one tandem", first)
	}
	r.do(Established{Call: "b", Delay: 50 * ms})
	for i := range 5 {
		id := fmt.Sprint("c", i)
		wantSends(t, "the tandem that worked", r.offer(id, 1), first[0])
		r.do(Established{Call: id, Delay: 50 * ms})
	}
	r.offer("d", 1)
	n := int(first[0][1] - '0')
	next := sends(r.settle("d", n, 0, Refused, CauseTurnedBack))
	if len(next) > 0 && next[0] == first[0] {
		t.Errorf("after a block the call went to %v again", next)
	}
}

func TestCreditIsSpentAndRefilledByPassedTicks(t *testing.T) {
	r := newRig(t, testSettings())
	f := r.c.byHost["h1"]
	if f.credit != minCreditCap {
		t.Fatalf("credit starts at %v, want the cap %v", f.credit, minCreditCap)
	}
	var out []Action
	for i := range minCreditCap + 3 {
		id := fmt.Sprint("a", i)
		as := r.offer(id, 1)
		out = append(out, as...)
		if len(sends(as)) > 0 {
			r.do(Established{Call: id, Delay: 50 * ms})
		}
	}
	if n := len(sends(out)); n != minCreditCap {
		t.Fatalf("%d first set-ups went on a full count, want %d", n, minCreditCap)
	}
	if n := len(f.inputBuffer); n != 3 {
		t.Fatalf("%d calls wait in the Input Buffer, want 3", n)
	}
	out = r.pass(f.nextTick - r.now)
	var got []string
	for _, a := range out {
		if s, ok := a.(Send); ok {
			got = append(got, s.Call)
		}
	}
	if want := []string{"a10", "a11", "a12"}; !reflect.DeepEqual(got, want) {
		t.Errorf("a passed tick let %v go, want %v first come first served", got, want)
	}
	r.pass(10 * time.Second)
	if f.credit > f.creditCap {
		t.Errorf("credit %v is over the cap %v", f.credit, f.creditCap)
	}
}

func TestEvidenceFailsTheTick(t *testing.T) {
	slow := NoReport
	slow.QueueDelay = time.Second
	busy, asks, calm := NoReport, NoReport, NoReport
	busy.Utilization, asks.Throttle = 1, 0.2
	calm.Utilization, calm.Throttle, calm.QueueDelay = 0.7, 0, 50*ms
	for _, tc := range []struct {
		name string
		ev   Event
		fail bool
	}{
		{"a quick answer", Established{Call: "a", Delay: 50 * ms}, false},
		{"a slow answer", Established{Call: "a", Delay: time.Second}, true},
		{"processor full", AttemptEnded{Call: "a", Host: "h1", Result: Refused, Cause: CauseProcessorFull, Report: NoReport}, true},
		{"a time-out", AttemptEnded{Call: "a", Host: "h1", Result: TimedOut, Report: NoReport, Delay: time.Second}, true},
		{"a report of a long wait", Reported{Host: "h1", Report: slow}, true},
		{"a report of a busy processor", Reported{Host: "h1", Report: busy}, true},
		{"a report that asks for less", Reported{Host: "h1", Report: asks}, true},
		{"a report of a calm processor", Reported{Host: "h1", Report: calm}, false},
		{"no circuit", AttemptEnded{Call: "a", Host: "h1", Result: NotSent, Cause: CauseNoCircuit, Report: NoReport}, false},
		{"a busy number", AttemptEnded{Call: "a", Host: "h1", Result: Failed, Cause: CauseNumberBusy, Report: NoReport}, false},
	} {
		r := newRig(t, testSettings())
		r.offer("a", 1)
		f := r.c.byHost["h1"]
		f.credit = 3
		r.do(tc.ev)
		before := f.credit
		r.pass(f.nextTick - r.now)
		if f.lastTickFailed != tc.fail {
			t.Errorf("%s: tick failed = %v, want %v", tc.name, f.lastTickFailed, tc.fail)
		}
		if grew := f.credit > before; grew == tc.fail {
			t.Errorf("%s: credit went from %v to %v", tc.name, before, f.credit)
		}
	}
}

// Rule 1: every call is answered once and in its time, in whatever state.
func TestEveryCallIsAnsweredOnceInItsTime(t *testing.T) {
	for _, left := range []time.Duration{10 * ms, 60 * ms, 200 * ms, 381 * ms, 3 * time.Second} {
		r := newRig(t, testSettings())
		f := r.c.byHost["h1"]
		f.credit, f.tickFailed = 0, true
		f.tickLength = 3 * r.c.initialTick // a stretched tick must not keep a call past its time
		f.nextTick = r.now + f.tickLength
		end := r.now + left
		r.do(Offered{Call: "a", Dest: 1, Width: 1, Expires: end})
		for r.now < end && len(finals(r.acts)) == 0 {
			f.tickFailed = true
			r.pass(5 * ms)
		}
		wantFinals(t, fmt.Sprint("held with ", left, " left"), r.acts, "a")
	}
	r := newRig(t, testSettings())
	r.offer("b", 1)
	r.pass(3 * time.Second)
	wantFinals(t, "timed out at its end", r.settle("b", 1, 0, TimedOut, CauseNone), "b")
	wantFinals(t, "a late outcome", r.settle("b", 1, 0, Ended, CauseNone))
	wantFinals(t, "in transit with no room", r.transitFull("t"), "t")
	r.offer("w", 2)
	r.do(Withdrawn{Call: "w"})
	wantFinals(t, "withdrawn", r.settle("w", 2, 0, TimedOut, CauseNone))
}

func (r *rig) transitFull(id string) []Action {
	r.circuits(3, 1, 40)
	return r.do(Offered{Call: id, Dest: 3, Width: 1, Transit: true, Expires: r.now + time.Second})
}

// Rules 2 and 5: one attempt at a time, and none before the release.
func TestReleaseIsAwaited(t *testing.T) {
	for _, res := range []Result{TimedOut, Reset, Cancelled} {
		r := newRig(t, testSettings())
		wantSends(t, "first", r.offer("a", 1), "h1")
		r.pass(300 * ms)
		wantSends(t, "at once", r.settle("a", 1, 0, res, CauseNone))
		wantSends(t, "before the release", r.pass(199*ms))
		want := 1
		if res == TimedOut {
			want = 0 // its processor is shut: no second call there within the pause
		}
		if got := sends(r.pass(2 * time.Second)); len(got) != want {
			t.Errorf("%v, after the release: sent to %v, want %d", res, got, want)
		}
	}
}

// Rule 3: from the batch that tells of a drain nothing new goes there.
func TestDrainIsKept(t *testing.T) {
	for _, st := range []State{Draining, Removed} {
		r := newRig(t, testSettings())
		f := r.c.byHost["h1"]
		f.credit = 0
		r.offer("held", 1)
		as := r.do(ListUpdated{Entries: []ListEntry{{Host: "h1", Exchange: 1, State: st}}})
		wantFinals(t, "held for it", as, "held")
		as = append(r.offer("new", 1), r.pass(time.Second)...)
		wantSends(t, "later", as)
		wantFinals(t, "later", as, "new")
	}
	r := newRig(t, testSettings())
	r.do(ListUpdated{Complete: true, Entries: []ListEntry{{Host: "h0", Exchange: 0}, {Host: "h2", Exchange: 2}}})
	wantSends(t, "missing from a full list", r.offer("a", 1))
	r.do(ListUpdated{Entries: []ListEntry{{Host: "new", Exchange: 1}}})
	wantSends(t, "its successor", r.offer("b", 1), "new")
}

// Rule 4: all kinds of sends to a cold processor stay within this controller's
// share of what it stands.
func TestColdProcessorGetsItsShare(t *testing.T) {
	r := newRig(t, testSettings())
	r.serve(2, 40)
	perSec := r.c.sendRate.at(r.now)
	r.do(ListUpdated{Entries: []ListEntry{{Host: "h1", Exchange: 1, Started: r.now}}})
	n, window := 0, 2*time.Second
	for i := range 100 {
		id := fmt.Sprint("c", i)
		as := r.do(Offered{Call: id, Dest: 1, Width: 1, Transit: i%2 == 0, Expires: r.now + time.Second})
		for range sends(as) {
			n++
			r.do(Established{Call: id, Delay: 50 * ms})
		}
		n += len(sends(r.pass(window / 100)))
	}
	budget := 2 * 0.43 * 2 * perSec * window.Seconds() / 4
	if n == 0 || float64(n) > budget {
		t.Errorf("%d set-ups in a cold processor's first window, want 1 to %.1f", n, budget)
	}
	r.pass(20 * time.Second)
	r.circuits(1, 40, 40)
	wantSends(t, "warm", r.offer("warm", 1), "h1")
}

func TestTransitGoesOnlyToItsDestinationAndKeepsAReserve(t *testing.T) {
	r := newRig(t, testSettings())
	tr := func(id string) []Action {
		return r.do(Offered{Call: id, Dest: 3, Width: 1, Transit: true, Expires: r.now + time.Second})
	}
	wantSends(t, "with room", tr("a"), "h3")
	r.circuits(3, 3, 40)
	wantFinals(t, "few circuits free", tr("b"), "b")
	wantSends(t, "a direct call takes them", r.offer("c", 3), "h3")
}

// A processor that nothing comes back from gets one trial call at a time, and
// returns to ordinary service by itself.
func TestSilentProcessorIsTriedOneCallAtATime(t *testing.T) {
	r := newRig(t, testSettings())
	for i := range 2 {
		id := fmt.Sprint("a", i)
		r.offer(id, 1)
		r.pass(1200 * ms)
		r.settle(id, 1, 0, TimedOut, CauseNone)
	}
	r.pass(5 * time.Second)
	as := append(r.offer("t1", 1), r.offer("t2", 1)...)
	wantSends(t, "two calls", as, "h1")
	wantFinals(t, "two calls", as, "t2")
	r.do(Established{Call: "t1", Delay: 50 * ms})
	r.pass(5 * time.Second)
	as = append(r.offer("u1", 1), r.offer("u2", 1)...)
	wantSends(t, "after an answer", as, "h1", "h1")
}

// A crowd on one number with few lines must not spend its exchange's credit.
func TestBusyNumberDoesNotDrainCredit(t *testing.T) {
	r := newRig(t, testSettings())
	f := r.c.byHost["h1"]
	r.do(Offered{Call: "x0", Dest: 1, Width: 1, Number: "hot", Expires: r.now + 3*time.Second})
	r.settle("x0", 1, 0, Failed, CauseNumberBusy)
	for i := range 30 {
		r.do(Offered{Call: fmt.Sprint("x", i+1), Dest: 1, Width: 1, Number: "hot", Expires: r.now + 3*time.Second})
	}
	if f.credit < minCreditCap-1 {
		t.Errorf("credit is %v after a crowd on a busy number, want about %v", f.credit, minCreditCap)
	}
	wantSends(t, "an ordinary call", r.offer("a", 1), "h1")
	r.do(Established{Call: "a", Delay: 50 * ms})
	r.pass(10 * time.Second)
	as := r.do(Offered{Call: "later", Dest: 1, Width: 1, Number: "hot", Expires: r.now + 3*time.Second})
	wantSends(t, "the number after its gap", as, "h1")
}

// At full groups nearly every tandem turns calls back: ways round must rest.
func TestWaysRoundRestAfterBlocks(t *testing.T) {
	r := newRig(t, testSettings())
	r.circuits(1, 0, 40)
	n := 0
	for i := range 40 {
		id := fmt.Sprint("a", i)
		as := r.offer(id, 1)
		for shot := 0; len(sends(as)) > 0; shot++ {
			n++
			as = r.settle(id, int(sends(as)[0][1]-'0'), shot, Refused, CauseTurnedBack)
		}
		r.pass(20 * ms)
	}
	if n > 10 {
		t.Errorf("%d sends over tandems that all turn back, in 40 calls", n)
	}
	r.pass(10 * time.Second)
	if got := sends(r.offer("later", 1)); len(got) != 1 {
		t.Errorf("ways round did not come back: %v", got)
	}
}

// After any trouble credit and tick length go back to where they were.
func TestRecovery(t *testing.T) {
	r := newRig(t, testSettings())
	f := r.c.byHost["h1"]
	for i := range 60 {
		r.offer(fmt.Sprint("a", i), 1)
		for len(f.outstanding) > 0 {
			r.do(Established{Call: f.outstanding[0].id, Delay: 2 * time.Second})
		}
		r.pass(50 * ms)
	}
	if f.credit > 3 || f.tickLength <= r.c.initialTick {
		t.Fatalf("under slow answers: credit %v, tick %v; want few and a longer one than %v", f.credit, f.tickLength, r.c.initialTick)
	}
	for len(f.outstanding)+len(f.inputBuffer) > 0 {
		for len(f.outstanding) > 0 {
			r.do(Established{Call: f.outstanding[0].id, Delay: 2 * time.Second})
		}
		r.pass(50 * ms)
	}
	r.pass(30 * time.Second)
	if f.credit < f.creditCap || f.lastTickFailed || f.tickLength > r.c.initialTick {
		t.Errorf("30 s after: credit %v of %v, pressed %v, tick %v", f.credit, f.creditCap, f.lastTickFailed, f.tickLength)
	}
}

// randomRun plays a random but legal life and checks the rules at each step.
func randomRun(t *testing.T, s Settings, seed uint64) []Action {
	rng := rand.New(rand.NewPCG(seed, 1))
	r := newRig(t, s)
	type state struct {
		out       bool
		shot      int
		host      string
		ends      time.Duration
		expires   time.Duration
		noSend    time.Duration
		done      bool
		transit   bool
		dest, num int
	}
	calls := map[string]*state{}
	var order []string
	told := map[string]bool{}
	check := func(as []Action) {
		for _, a := range as {
			switch a := a.(type) {
			case Send:
				k := calls[a.Call]
				switch {
				case k.out:
					t.Fatalf("%s: a second attempt", a.Call)
				case k.done:
					t.Fatalf("%s: sent after its end", a.Call)
				case told[a.Host]:
					t.Fatalf("%s: sent to %s, which drains", a.Call, a.Host)
				case r.now < k.noSend:
					t.Fatalf("%s: sent before the release", a.Call)
				case k.shot+1 >= s.MaxAttempts+1:
					t.Fatalf("%s: attempt %d", a.Call, k.shot+1)
				case k.transit && a.Host != host(k.dest), a.Host == host(s.OwnExchange):
					t.Fatalf("%s: sent to %s", a.Call, a.Host)
				}
				k.out, k.host = true, a.Host
				k.ends = r.now + time.Duration(rng.Int64N(int64(a.Timeout)+1))
				if rng.IntN(4) == 0 {
					k.ends = r.now + a.Timeout
				}
			case Refuse, Fail:
				for _, id := range finals([]Action{a}) {
					if calls[id].done {
						t.Fatalf("%s: answered twice", id)
					}
					calls[id].done = true
				}
			}
		}
	}
	for step := range 6000 {
		r.now += time.Duration(rng.IntN(20)) * ms
		check(r.do(TimerFired{}))
		if rng.IntN(2) == 0 {
			id := fmt.Sprint("c", step)
			k := &state{dest: 1 + rng.IntN(3), expires: r.now + time.Duration(rng.IntN(3000))*ms, shot: -1, transit: rng.IntN(5) == 0}
			calls[id] = k
			order = append(order, id)
			check(r.do(Offered{Call: id, Class: rng.IntN(2), Dest: k.dest, Width: 1 + rng.IntN(2), Transit: k.transit,
				Number: fmt.Sprint(rng.IntN(40)), Expires: k.expires}))
		}
		if rng.IntN(300) == 0 {
			n := 1 + rng.IntN(3)
			st := State(rng.IntN(3))
			told[host(n)] = st != Ready
			check(r.do(ListUpdated{Entries: []ListEntry{{Host: host(n), Exchange: n, State: st, Started: r.now}}}))
		}
		if rng.IntN(5) == 0 {
			rep := NoReport
			rep.Free, rep.Size = rng.IntN(12), 30
			check(r.do(Reported{Host: host(1 + rng.IntN(3)), Report: rep}))
		}
		live := order[:0]
		for _, id := range order {
			k := calls[id]
			if !k.done && r.now > k.expires+s.AnswerSlack {
				t.Fatalf("%s: no answer in its time (out %v)", id, k.out)
			}
			if k.out && r.now >= k.ends {
				k.out = false
				k.shot++
				results := []Result{Refused, TimedOut, NotReached, Reset, Cancelled, Failed, NotSent, Ended}
				e := AttemptEnded{Call: id, Attempt: k.shot, Host: k.host, Report: NoReport, Delay: 100 * ms,
					Result: results[rng.IntN(len(results))], Cause: Cause(rng.IntN(6))}
				if e.Result == TimedOut || e.Result == Reset || e.Result == Cancelled {
					k.noSend = r.now + s.ReleaseDelay
				}
				if e.Result == Ended {
					if !k.done {
						check(r.do(Established{Call: id, Attempt: k.shot, Delay: 100 * ms}))
					}
					e.CallEnded, k.done = true, true
				}
				check(r.do(e))
			}
			if !k.done || k.out {
				live = append(live, id)
			}
		}
		order = live
	}
	return r.acts
}

func TestRulesHoldThroughRandomLives(t *testing.T) {
	for seed := range uint64(8) {
		randomRun(t, testSettings(), seed)
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	a, b := randomRun(t, testSettings(), 3), randomRun(t, testSettings(), 3)
	if !reflect.DeepEqual(a, b) {
		t.Error("two controllers with the same events and seed acted differently")
	}
}

func TestOddInputIsHarmless(t *testing.T) {
	r := newRig(t, testSettings())
	for _, ev := range []Event{
		AttemptEnded{Call: "none", Host: "none"}, Established{Call: "none"}, Withdrawn{Call: "none"}, Reported{Host: "none"},
		ListUpdated{Failed: true}, ListUpdated{}, TimerFired{}, nil, AttemptEnded{Host: "h1", Report: NoReport},
		ListUpdated{Entries: []ListEntry{{Host: "h9", Exchange: -5, State: 77}}},
	} {
		r.do(ev)
	}
	as := r.do(Offered{Call: "a", Class: 99, Dest: -3, Width: -1, Expires: r.now})
	wantFinals(t, "an odd call", as, "a")
	wantFinals(t, "an unknown exchange", r.offer("b", 55), "b")
	wantFinals(t, "the own exchange", r.offer("c", 0), "c")
}

func TestPoolsAreServedByTheSameThrottle(t *testing.T) {
	s := testSettings()
	s.PoolMode, s.OwnExchange = true, -1
	s.Classes[0].Pools = []int{1, 2}
	r := newRig(t, s)
	wantSends(t, "first choice", r.offer("a", 1), "h1")
	r.circuits(1, 0, 40)
	wantSends(t, "second choice", r.offer("b", 1), "h2")
	r.circuits(2, 0, 40)
	wantFinals(t, "no agent anywhere that serves it", r.offer("c", 1), "c")
}

func TestModuleLimits(t *testing.T) {
	f, err := os.Open("controller.go")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	sc, n, full := bufio.NewScanner(f), 0, 0
	for sc.Scan() {
		n++
		if utf8.RuneCountInString(strings.ReplaceAll(sc.Text(), "\t", "    ")) > 110 {
			t.Errorf("line %d runs past 110 characters", n)
		}
		if strings.TrimSpace(sc.Text()) != "" {
			full++
		}
	}
	if full > 950 {
		t.Errorf("the module has %d lines that are not blank, 950 at most", full)
	}
}

// Counts rest at their cap: a sudden crowd must not put them all on one
// processor before the first answer or test.
func TestSurgeIsKeptToAWindow(t *testing.T) {
	r := newRig(t, testSettings())
	var out []Action
	for i := range minCreditCap {
		out = append(out, r.offer(fmt.Sprint("a", i), 1)...)
	}
	n := len(sends(out))
	if n < 1 || n > 4 {
		t.Fatalf("%d set-ups out at once to a processor never called before, want a few", n)
	}
	for i := range n {
		r.do(Established{Call: fmt.Sprint("a", i), Delay: 50 * ms})
	}
	if got := sends(r.pass(r.c.initialTick)); len(got) == 0 {
		t.Error("answered attempts made no room for those that wait")
	}
	r.circuits(2, 400, 400)
	r.serve(2, 100) // twenty calls a second
	out = nil
	for i := range minCreditCap {
		out = append(out, r.offer(fmt.Sprint("b", i), 2)...)
	}
	if m := len(sends(out)); m <= n {
		t.Errorf("%d out at a processor called often, want more than %d", m, n)
	}
}

// An exchange that answers a share of its set-ups with faults must not cost
// the calls: each is tried again, within its attempts.
func TestFaultIsTriedAgain(t *testing.T) {
	s := testSettings()
	r := newRig(t, s)
	as := r.offer("a", 1)
	for shot := range s.MaxAttempts {
		wantSends(t, fmt.Sprint("attempt ", shot), as, "h1")
		as = r.settle("a", 1, shot, Failed, CauseNone)
	}
	wantSends(t, "when the attempts are used up", as)
	wantFinals(t, "when the attempts are used up", as, "a")
	r.offer("b", 2)
	wantFinals(t, "a busy number", r.settle("b", 2, 0, Failed, CauseNumberBusy), "b")
}

// While a processor is pressed, ordinary calls must not fill its window before
// a dear one.
func TestPressedWindowKeepsAPlaceForDearCalls(t *testing.T) {
	s := testSettings()
	s.Classes[1].Width = 1
	r := newRig(t, s)
	f := r.c.byHost["h1"]
	f.lastTickFailed = true
	as := append(r.offer("a", 1), r.offer("b", 1)...)
	wantSends(t, "ordinary calls", as, "h1")
	dear := r.do(Offered{Call: "d", Class: 1, Dest: 1, Width: 1, Expires: r.now + 3*time.Second})
	wantSends(t, "a dear call", dear, "h1")
	r.do(Established{Call: "a", Delay: 50 * ms})
	r.do(Established{Call: "d", Delay: 50 * ms})
	f.lastTickFailed = false
	wantSends(t, "those that waited, first come first served", r.pass(r.c.initialTick), "h1")
}

// A further try of a caller whose goal time is over takes only what calls
// still in time leave.
func TestLateRedialsGoOnSpareOnly(t *testing.T) {
	for _, marked := range []bool{true, false} {
		s := testSettings()
		s.RedialsMarked = marked
		call := func(r *rig, id, number string, redial bool) []Action {
			return r.do(Offered{Call: id, Dest: 1, Width: 1, Number: number, Redial: redial && marked, Expires: r.now + 3*time.Second})
		}
		r := newRig(t, s)
		r.circuits(2, 0, 40)
		r.circuits(3, 0, 40)
		r.circuits(1, 0, 40)
		wantFinals(t, "no circuit", call(r, "a", "x", false), "a")
		r.pass(400 * ms)
		r.circuits(1, 2, 40)
		wantSends(t, "a redial in time, few circuits", call(r, "b", "x", true), "h1")
		r.do(Withdrawn{Call: "b"})
		r.settle("b", 1, 0, Reset, CauseNone)
		r.pass(2 * time.Second)
		wantFinals(t, "a late redial, few circuits", call(r, "c", "x", true), "c")
		wantSends(t, "a first try, few circuits", call(r, "d", "y", false), "h1")
		r.circuits(1, 30, 40)
		wantSends(t, "a late redial, many circuits", call(r, "e", "x", true), "h1")
		r.do(Established{Call: "e", Delay: 50 * ms})
		r.circuits(1, 2, 40)
		wantSends(t, "a new call to the number, after one stood", call(r, "f", "x", false), "h1")
	}
}

// A hung processor fills up and then says so at once: each such answer spends
// a call. It is left alone but for a trial, and taken back when one stands.
func TestFullProcessorIsLeftAlone(t *testing.T) {
	r := newRig(t, testSettings())
	n := 0
	for i := range 100 {
		id := fmt.Sprint("a", i)
		for range sends(r.offer(id, 1)) {
			n++
			r.settle(id, 1, 0, Refused, CauseProcessorFull)
		}
		r.pass(20 * ms)
	}
	if n < 1 || n > 6 {
		t.Errorf("%d of 100 calls in two seconds went to a full processor, want a few trials", n)
	}
	r.pass(5 * time.Second)
	wantSends(t, "a trial", r.offer("b", 1), "h1")
	r.do(Established{Call: "b", Delay: 50 * ms})
	r.pass(time.Second)
	wantSends(t, "after it stood", append(r.offer("c", 1), r.offer("d", 1)...), "h1", "h1")
}

// A wide call that was blocked must find its circuits when it comes again,
// though narrow calls would take each one as it comes free.
func TestBlockedWideCallClaimsCircuits(t *testing.T) {
	r := newRig(t, testSettings())
	wide := func(id string) []Action {
		return r.do(Offered{Call: id, Class: 1, Dest: 1, Width: 2, Number: "w", Expires: r.now + 3*time.Second})
	}
	for n := 1; n < 4; n++ {
		r.circuits(n, 1, 40)
	}
	wantSends(t, "a narrow call", r.offer("a", 1), "h1")
	r.do(Established{Call: "a", Delay: 50 * ms})
	r.circuits(1, 1, 40)
	wantFinals(t, "a wide call at one circuit", wide("b"), "b")
	wantFinals(t, "a narrow call after it", r.offer("c", 1), "c")
	r.pass(500 * ms)
	r.circuits(1, 2, 40)
	wantFinals(t, "a narrow call at two circuits", r.offer("d", 1), "d")
	wantSends(t, "the wide call again", wide("e"), "h1")
	r.do(Established{Call: "e", Delay: 50 * ms})
	r.circuits(1, 1, 40)
	wantSends(t, "a narrow call, the claim being met", r.offer("f", 1), "h1")
	r.do(Established{Call: "f", Delay: 50 * ms})
	r.circuits(1, 1, 40)
	wantFinals(t, "a wide call that does not come again", wide("g"), "g")
	r.pass(1700 * ms)
	wantSends(t, "a narrow call, the claim being old", r.offer("h", 1), "h1")
}

// A link that loses set-ups: one that a later set-up has passed is called off
// and tried again after the release, while the goal can still be met.
func TestOvertakenAttemptIsCalledOffAndTriedAgain(t *testing.T) {
	r := newRig(t, testSettings())
	wantSends(t, "first", r.offer("lost", 1), "h1")
	r.pass(200 * ms)
	wantSends(t, "second", r.offer("b", 1), "h1")
	r.pass(100 * ms)
	as := r.do(Established{Call: "b", Delay: 100 * ms})
	if want := []Action{Cancel{Call: "lost", Attempt: 0}}; !reflect.DeepEqual(as, want) {
		t.Fatalf("after it was passed: %v, want %v", as, want)
	}
	wantSends(t, "before the release", append(r.settle("lost", 1, 0, Cancelled, CauseNone), r.pass(195*ms)...))
	wantSends(t, "after the release", r.pass(10*ms), "h1")
	s := testSettings()
	s.CancelAllowed = false
	r = newRig(t, s)
	r.offer("lost", 1)
	r.pass(200 * ms)
	r.offer("b", 1)
	if as := r.do(Established{Call: "b", Delay: 50 * ms}); len(as) > 0 {
		t.Errorf("cancel is not allowed: %v", as)
	}
}

// bigRig is a controller among so many exchanges, all known and with circuits.
func bigRig(t *testing.T, n int, seed ...uint64) *rig {
	t.Helper()
	s := testSettings()
	s.FleetSize = n
	r := newRig(t, s)
	for _, x := range seed {
		r.c.rng = rand.New(rand.NewPCG(x, 1))
	}
	var l []ListEntry
	for i := range n {
		l = append(l, ListEntry{Host: host(i), Exchange: i})
	}
	r.do(ListUpdated{Complete: true, Entries: l})
	for i := 1; i < n; i++ {
		r.circuits(i, 4, 4)
	}
	return r
}

// In a large fleet a pair sees a call every few seconds: a pause of a second or
// two lets every one of them through to a silent processor. The pause must go by
// the usual time between calls there.
func TestPauseGoesByTheUsualTimeBetweenCalls(t *testing.T) {
	small, big := newRig(t, testSettings()), bigRig(t, 60)
	for _, r := range []*rig{small, big} {
		r.serve(2, 40)
		r.offer("a", 1)
		r.pass(1200 * ms)
		r.settle("a", 1, 0, TimedOut, CauseNone)
		r.pass(2500 * ms)
	}
	wantSends(t, "a small fleet, after the pause", small.offer("b", 1), "h1")
	wantFinals(t, "a large fleet, within the pause", big.offer("b", 1), "b")
	big.pass(20 * time.Second)
	wantSends(t, "a large fleet, after the pause", big.offer("c", 1), "h1")
	big.do(Established{Call: "c", Delay: big.c.delayLimit + ms})
	if !big.c.byHost["h1"].onTrial() {
		t.Error("a late answer ended the trials")
	}
	big.offer("d", 1)
	big.do(Established{Call: "d", Delay: 50 * ms})
	if big.c.byHost["h1"].onTrial() {
		t.Error("an answer within the mark did not end the trials")
	}
}

// With groups of a few circuits one block says little of the next tandem: the
// call must not end with it, and the tandem that blocked rests for that
// destination alone.
func TestBlockedCallTriesOtherTandems(t *testing.T) {
	r := bigRig(t, 20)
	r.circuits(1, 0, 4)
	as := r.offer("a", 1)
	used := sends(as)
	for shot := range 3 {
		var n int
		fmt.Sscanf(used[shot], "h%d", &n)
		r.circuits(n, 4, 4)
		used = append(used, sends(r.settle("a", n, shot, Refused, CauseTurnedBack))...)
		if len(used) != shot+2 || slices.Contains(used[:shot+1], used[shot+1]) {
			t.Fatalf("after %d blocks: sent to %v, want another tandem each time", shot+1, used)
		}
	}
	r.do(Withdrawn{Call: "a"})
	for i := range 5 { // tandems drawn anew: none that has just blocked
		id := fmt.Sprint("b", i)
		for _, h := range sends(r.offer(id, 1)) {
			if slices.Contains(used[:3], h) {
				t.Errorf("%s goes over %s, which has just blocked a call there", id, h)
			}
		}
		r.do(Withdrawn{Call: id})
	}
}

// A tandem to which the own group has most free circuits is drawn most often.
func TestDrawGoesByFreeCircuits(t *testing.T) {
	r := bigRig(t, 20)
	r.circuits(1, 0, 4)
	r.circuits(7, 30, 30)
	n := 0
	for i := range 50 {
		id := fmt.Sprint("a", i)
		r.c.groupOf(1).tandem = -1
		if got := sends(r.offer(id, 1)); len(got) == 1 && got[0] == "h7" {
			n++
		}
		r.do(Established{Call: id, Delay: 50 * ms})
		r.pass(100 * ms)
		r.circuits(7, 30, 30)
	}
	if n < 40 {
		t.Errorf("%d of 50 calls over the exchange with most free circuits, want most", n)
	}
}

// A call two wide must find a way round over groups of two to four circuits.
func TestSmallGroupsKeepNoReserve(t *testing.T) {
	r := newRig(t, testSettings())
	for size, want := range map[int]int{-1: 0, 0: 0, 2: 0, 3: 0, 4: 1, 8: 2, 16: 2, 40: 4} {
		r.circuits(2, 0, max(size, 0))
		if size < 0 {
			r.c.groupOf(2).size = -1
		}
		if got := r.c.trunkReserve(2); got != want {
			t.Errorf("reserve of a group of %d: %d, want %d", size, got, want)
		}
	}
}

// Rule 4 at size: many controllers, each with less than one set-up as its share
// of a window, send to one cold processor, as many at once as they have calls.
// What all send in any window must stay within the budget.
func TestFleetKeepsAColdProcessorWithinItsBudget(t *testing.T) {
	const fleet = 60
	var rigs []*rig
	for i := range fleet {
		rigs = append(rigs, bigRig(t, fleet, uint64(i)))
	}
	step := func(d time.Duration, dest func(i, n int) int, n int) (sent int) {
		for i, r := range rigs {
			id := fmt.Sprint("c", n)
			as := r.offer(id, dest(i, n))
			for _, h := range sends(as) {
				if h == "h1" {
					sent++
				}
				r.do(Established{Call: id, Delay: 50 * ms})
				r.do(AttemptEnded{Call: id, Host: h, CallEnded: true, Result: Ended, Report: NoReport})
			}
			r.circuits(1, 4, 4)
			r.pass(d)
		}
		return sent
	}
	// Ten calls a second each, evenly spread; then the exchange starts anew.
	for n := range 200 {
		step(100*ms, func(i, n int) int { return 2 + (7*i+n)%(fleet-2) }, n)
	}
	for _, r := range rigs {
		r.do(ListUpdated{Entries: []ListEntry{{Host: "h1", Exchange: 1, Started: r.now}}})
	}
	s := testSettings()
	perSec := rigs[0].c.sendRate.at(rigs[0].now)
	budget := s.OverloadFactor * s.ColdCapacity * 2 * perSec * s.OverloadWindow.Seconds()
	sent := 0
	for n := range int(s.OverloadWindow / (100 * ms)) {
		// Twice what callers usually want there.
		sent += step(100*ms, func(i, n int) int {
			if (i+n)%(fleet/2) == 0 {
				return 1
			}
			return 2 + (7*i+n)%(fleet-2)
		}, 1000+n)
	}
	if sent == 0 || float64(sent) > budget {
		t.Errorf("%d set-ups from %d controllers in the first window, want 1 to %.0f", sent, fleet, budget)
	}
}

func benchmarkHandle(b *testing.B, n int) {
	s := testSettings()
	s.FleetSize = n
	c, err := New(s, 7)
	if err != nil {
		b.Fatal(err)
	}
	var l []ListEntry
	for i := range n {
		l = append(l, ListEntry{Host: host(i), Exchange: i})
	}
	c.Handle(time.Hour, ListUpdated{Complete: true, Entries: l})
	now := time.Hour
	for i := 0; b.Loop(); i++ {
		now += 50 * ms
		id, h := fmt.Sprint("c", i), host(1+i%(n-1))
		c.Handle(now, Offered{Call: id, Dest: 1 + i%(n-1), Width: 1, Number: id, Expires: now + 3*time.Second})
		c.Handle(now+20*ms, Established{Call: id, Delay: 20 * ms})
		c.Handle(now+40*ms, AttemptEnded{Call: id, Host: h, CallEnded: true, Result: Ended, Report: NoReport})
	}
}

func BenchmarkHandle8(b *testing.B)  { benchmarkHandle(b, 8) }
func BenchmarkHandle96(b *testing.B) { benchmarkHandle(b, 96) }

// A group that was never heard of may have no circuit: an attempt that found none
// was not sent, costs nobody work, and must not spend the count of ways round.
func TestUnsentAttemptSpendsNoWayRound(t *testing.T) {
	r := bigRig(t, 20)
	r.circuits(1, 0, 4)
	used := sends(r.offer("a", 1))
	var n int
	fmt.Sscanf(used[0], "h%d", &n)
	before := r.c.alternateBudget
	if got := sends(r.settle("a", n, 0, NotSent, CauseNoCircuit)); len(got) != 1 || got[0] == used[0] {
		t.Errorf("after an unsent attempt over %v: sent to %v, want another", used, got)
	}
	if r.c.alternateBudget != before {
		t.Errorf("an unsent attempt took the count of ways round from %v to %v", before, r.c.alternateBudget)
	}
}

// A refused caller hears when to come back, so that it need not try at once.
func TestRefusalsSayWhenToComeBack(t *testing.T) {
	s := testSettings()
	r := newRig(t, s)
	for _, a := range r.offer("a", 99) {
		if f, ok := a.(Refuse); ok {
			if f.RetryAfter != s.Classes[0].GoalTime/2 {
				t.Errorf("come back after %v, want half the goal time", f.RetryAfter)
			}
			return
		}
	}
	t.Error("a call to no exchange was not refused")
}
