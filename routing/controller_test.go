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

// testbed drives one controller and records its actions.
type testbed struct {
	t       *testing.T
	c       *Controller
	now     time.Duration
	actions []Action
}

func newTestbed(t *testing.T, settings Settings) *testbed {
	t.Helper()
	c, err := New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	bed := &testbed{t: t, c: c, now: time.Hour}
	var list []ListEntry
	for i := range 4 {
		list = append(list, ListEntry{Host: host(i), Exchange: i})
	}
	bed.handle(ListUpdated{Complete: true, Entries: list})
	for i := 1; i < 4; i++ {
		bed.reportCircuits(i, 40, 40)
	}
	return bed
}

func host(i int) string { return fmt.Sprintf("h%d", i) }

// handle passes one event to the controller and returns its actions other than SetTimer.
func (bed *testbed) handle(ev Event) []Action {
	var got []Action
	for _, a := range bed.c.Handle(bed.now, ev) {
		if _, ok := a.(SetTimer); !ok {
			got = append(got, a)
		}
	}
	bed.actions = append(bed.actions, got...)
	return got
}

// advance moves the clock in steps of 5 ms and returns the actions.
func (bed *testbed) advance(d time.Duration) []Action {
	var got []Action
	for end := bed.now + d; bed.now < end; {
		bed.now += min(5*ms, end-bed.now)
		got = append(got, bed.handle(TimerFired{})...)
	}
	return got
}

func (bed *testbed) reportCircuits(n, free, size int) {
	report := NoReport
	report.Free, report.Size = free, size
	bed.handle(Reported{Host: host(n), Report: report})
}

func (bed *testbed) offer(id string, dest int) []Action {
	return bed.handle(Offered{Call: id, Dest: dest, Width: 1, Number: "n-" + id, Expires: bed.now + 3*time.Second})
}

func (bed *testbed) endAttempt(id string, n, attempt int, result Result, cause Cause) []Action {
	return bed.handle(AttemptEnded{Call: id, Attempt: attempt, Host: host(n), Result: result, Cause: cause, Report: NoReport,
		Delay: time.Second})
}

// serveCalls offers n calls to dest, 50 ms apart, and answers each at once.
func (bed *testbed) serveCalls(dest, n int) {
	for i := range n {
		id := fmt.Sprintf("s%d-%d-%d", dest, i, bed.now)
		for _, a := range bed.offer(id, dest) {
			if _, ok := a.(Send); ok {
				bed.handle(Established{Call: id, Delay: 50 * ms})
			}
		}
		bed.advance(50 * ms)
	}
}

func sentHosts(actions []Action) (hosts []string) {
	for _, a := range actions {
		if send, ok := a.(Send); ok {
			hosts = append(hosts, send.Host)
		}
	}
	return hosts
}

func finalAnswers(actions []Action) (ids []string) {
	for _, a := range actions {
		switch a := a.(type) {
		case Refuse:
			ids = append(ids, a.Call)
		case Fail:
			ids = append(ids, a.Call)
		}
	}
	return ids
}

func wantSends(t *testing.T, what string, actions []Action, want ...string) {
	t.Helper()
	if got := sentHosts(actions); !reflect.DeepEqual(got, want) {
		t.Errorf("%s: sent to %v, want %v", what, got, want)
	}
}

func wantFinalAnswers(t *testing.T, what string, actions []Action, want ...string) {
	t.Helper()
	if got := finalAnswers(actions); !reflect.DeepEqual(got, want) {
		t.Errorf("%s: final answers for %v, want %v", what, got, want)
	}
}

func TestNewRefusesWhatItCannotServe(t *testing.T) {
	for _, tc := range []struct {
		name   string
		modify func(*Settings)
		want   string
	}{
		{"no class", func(settings *Settings) { settings.Classes = nil }, "no class"},
		{"no goal", func(settings *Settings) { settings.Classes[1].GoalTime = 0 }, "class 1"},
		{"no attempt", func(settings *Settings) { settings.MaxAttempts = 0 }, "no attempt"},
	} {
		settings := testSettings()
		tc.modify(&settings)
		if _, err := New(settings, 1); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: error %v, want one with %q", tc.name, err, tc.want)
		}
	}
}

func TestDirectFirstThenRememberedTandem(t *testing.T) {
	bed := newTestbed(t, testSettings())
	wantSends(t, "with free circuits", bed.offer("a", 1), "h1")
	bed.reportCircuits(1, 0, 40)
	first := sentHosts(bed.offer("b", 1))
	if len(first) != 1 || first[0] == "h1" {
		t.Fatalf("with the direct group full: sent to %v, want one tandem", first)
	}
	bed.handle(Established{Call: "b", Delay: 50 * ms})
	for i := range 5 {
		id := fmt.Sprint("c", i)
		wantSends(t, "the remembered tandem", bed.offer(id, 1), first[0])
		bed.handle(Established{Call: id, Delay: 50 * ms})
	}
	bed.offer("d", 1)
	n := int(first[0][1] - '0')
	next := sentHosts(bed.endAttempt("d", n, 0, Refused, CauseTurnedBack))
	if len(next) > 0 && next[0] == first[0] {
		t.Errorf("after a block: sent to %v again", next)
	}
}

func TestCreditIsSpentAndRefilledByPassedTicks(t *testing.T) {
	bed := newTestbed(t, testSettings())
	proc := bed.c.byHost["h1"]
	if proc.credit != minCreditCap {
		t.Fatalf("credit starts at %v, want the cap %v", proc.credit, minCreditCap)
	}
	var actions []Action
	for i := range minCreditCap + 3 {
		id := fmt.Sprint("a", i)
		batch := bed.offer(id, 1)
		actions = append(actions, batch...)
		if len(sentHosts(batch)) > 0 {
			bed.handle(Established{Call: id, Delay: 50 * ms})
		}
	}
	if n := len(sentHosts(actions)); n != minCreditCap {
		t.Fatalf("%d set-ups were sent with full credit, want %d", n, minCreditCap)
	}
	if n := len(proc.inputBuffer); n != 3 {
		t.Fatalf("%d calls wait in the Input Buffer, want 3", n)
	}
	actions = bed.advance(proc.nextTick - bed.now)
	var got []string
	for _, a := range actions {
		if send, ok := a.(Send); ok {
			got = append(got, send.Call)
		}
	}
	if want := []string{"a10", "a11", "a12"}; !reflect.DeepEqual(got, want) {
		t.Errorf("after a passed tick the calls %v were sent, want %v, first come first served", got, want)
	}
	bed.advance(10 * time.Second)
	if proc.credit > proc.creditCap {
		t.Errorf("credit %v exceeds the cap %v", proc.credit, proc.creditCap)
	}
}

func TestOverloadEvidenceFailsTheTick(t *testing.T) {
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
		{"a report that asks senders to hold back", Reported{Host: "h1", Report: asks}, true},
		{"a report of a lightly loaded processor", Reported{Host: "h1", Report: calm}, false},
		{"no circuit", AttemptEnded{Call: "a", Host: "h1", Result: NotSent, Cause: CauseNoCircuit, Report: NoReport}, false},
		{"a busy number", AttemptEnded{Call: "a", Host: "h1", Result: Failed, Cause: CauseNumberBusy, Report: NoReport}, false},
	} {
		bed := newTestbed(t, testSettings())
		bed.offer("a", 1)
		proc := bed.c.byHost["h1"]
		proc.credit = 3
		bed.handle(tc.ev)
		before := proc.credit
		bed.advance(proc.nextTick - bed.now)
		if proc.lastTickFailed != tc.fail {
			t.Errorf("%s: tick failed = %v, want %v", tc.name, proc.lastTickFailed, tc.fail)
		}
		if grew := proc.credit > before; grew == tc.fail {
			t.Errorf("%s: credit went from %v to %v", tc.name, before, proc.credit)
		}
	}
}

// Rule 1: every call gets exactly one final answer before it expires, in any state.
func TestEveryCallIsAnsweredOnceInItsTime(t *testing.T) {
	for _, timeLeft := range []time.Duration{10 * ms, 60 * ms, 200 * ms, 381 * ms, 3 * time.Second} {
		bed := newTestbed(t, testSettings())
		proc := bed.c.byHost["h1"]
		proc.credit, proc.tickFailed = 0, true
		proc.tickLength = 3 * bed.c.initialTick // a long tick must not keep a call past its expiry
		proc.nextTick = bed.now + proc.tickLength
		end := bed.now + timeLeft
		bed.handle(Offered{Call: "a", Dest: 1, Width: 1, Expires: end})
		for bed.now < end && len(finalAnswers(bed.actions)) == 0 {
			proc.tickFailed = true
			bed.advance(5 * ms)
		}
		wantFinalAnswers(t, fmt.Sprint("buffered with ", timeLeft, " left"), bed.actions, "a")
	}
	bed := newTestbed(t, testSettings())
	bed.offer("b", 1)
	bed.advance(3 * time.Second)
	wantFinalAnswers(t, "timed out at its expiry", bed.endAttempt("b", 1, 0, TimedOut, CauseNone), "b")
	wantFinalAnswers(t, "a late outcome", bed.endAttempt("b", 1, 0, Ended, CauseNone))
	wantFinalAnswers(t, "in transit to a full group", bed.offerTransitToFullGroup("t"), "t")
	bed.offer("w", 2)
	bed.handle(Withdrawn{Call: "w"})
	wantFinalAnswers(t, "withdrawn", bed.endAttempt("w", 2, 0, TimedOut, CauseNone))
}

func (bed *testbed) offerTransitToFullGroup(id string) []Action {
	bed.reportCircuits(3, 1, 40)
	return bed.handle(Offered{Call: id, Dest: 3, Width: 1, Transit: true, Expires: bed.now + time.Second})
}

// Rules 2 and 5: one attempt at a time, and none before the end of the release delay.
func TestRetryWaitsForTheReleaseDelay(t *testing.T) {
	for _, result := range []Result{TimedOut, Reset, Cancelled} {
		bed := newTestbed(t, testSettings())
		wantSends(t, "first", bed.offer("a", 1), "h1")
		bed.advance(300 * ms)
		wantSends(t, "at once", bed.endAttempt("a", 1, 0, result, CauseNone))
		wantSends(t, "before the release delay ends", bed.advance(199*ms))
		want := 1
		if result == TimedOut {
			want = 0 // its processor is on trial: no second call within the backoff
		}
		if got := sentHosts(bed.advance(2 * time.Second)); len(got) != want {
			t.Errorf("%v, after the release delay: sent to %v, want %d", result, got, want)
		}
	}
}

// Rule 3: from the list update that marks a processor as draining or removed, no new call is
// sent to it.
func TestDrainingProcessorGetsNoCalls(t *testing.T) {
	for _, st := range []State{Draining, Removed} {
		bed := newTestbed(t, testSettings())
		proc := bed.c.byHost["h1"]
		proc.credit = 0
		bed.offer("held", 1)
		actions := bed.handle(ListUpdated{Entries: []ListEntry{{Host: "h1", Exchange: 1, State: st}}})
		wantFinalAnswers(t, "waiting in its buffer", actions, "held")
		actions = append(bed.offer("new", 1), bed.advance(time.Second)...)
		wantSends(t, "later", actions)
		wantFinalAnswers(t, "later", actions, "new")
	}
	bed := newTestbed(t, testSettings())
	bed.handle(ListUpdated{Complete: true, Entries: []ListEntry{{Host: "h0", Exchange: 0}, {Host: "h2", Exchange: 2}}})
	wantSends(t, "missing from a full list", bed.offer("a", 1))
	bed.handle(ListUpdated{Entries: []ListEntry{{Host: "new", Exchange: 1}}})
	wantSends(t, "its replacement", bed.offer("b", 1), "new")
}

// Rule 4: all sends to a cold processor, transit calls included, stay within this
// controller's share of what it can take.
func TestColdProcessorGetsItsShare(t *testing.T) {
	bed := newTestbed(t, testSettings())
	bed.serveCalls(2, 40)
	perSec := bed.c.sendRate.at(bed.now)
	bed.handle(ListUpdated{Entries: []ListEntry{{Host: "h1", Exchange: 1, Started: bed.now}}})
	n, window := 0, 2*time.Second
	for i := range 100 {
		id := fmt.Sprint("c", i)
		actions := bed.handle(Offered{Call: id, Dest: 1, Width: 1, Transit: i%2 == 0, Expires: bed.now + time.Second})
		for range sentHosts(actions) {
			n++
			bed.handle(Established{Call: id, Delay: 50 * ms})
		}
		n += len(sentHosts(bed.advance(window / 100)))
	}
	budget := 2 * 0.43 * 2 * perSec * window.Seconds() / 4
	if n == 0 || float64(n) > budget {
		t.Errorf("%d set-ups in a cold processor's first window, want 1 to %.1f", n, budget)
	}
	bed.advance(20 * time.Second)
	bed.reportCircuits(1, 40, 40)
	wantSends(t, "warm", bed.offer("warm", 1), "h1")
}

func TestTransitGoesOnlyToItsDestinationAndKeepsAReserve(t *testing.T) {
	bed := newTestbed(t, testSettings())
	offerTransit := func(id string) []Action {
		return bed.handle(Offered{Call: id, Dest: 3, Width: 1, Transit: true, Expires: bed.now + time.Second})
	}
	wantSends(t, "with free circuits", offerTransit("a"), "h3")
	bed.reportCircuits(3, 3, 40)
	wantFinalAnswers(t, "few circuits free", offerTransit("b"), "b")
	wantSends(t, "a direct call takes them", bed.offer("c", 3), "h3")
}

// A processor that doesn't answer gets one trial call at a time, and returns to ordinary
// service once it answers one.
func TestSilentProcessorIsTriedOneCallAtATime(t *testing.T) {
	bed := newTestbed(t, testSettings())
	for i := range 2 {
		id := fmt.Sprint("a", i)
		bed.offer(id, 1)
		bed.advance(1200 * ms)
		bed.endAttempt(id, 1, 0, TimedOut, CauseNone)
	}
	bed.advance(5 * time.Second)
	actions := append(bed.offer("t1", 1), bed.offer("t2", 1)...)
	wantSends(t, "two calls", actions, "h1")
	wantFinalAnswers(t, "two calls", actions, "t2")
	bed.handle(Established{Call: "t1", Delay: 50 * ms})
	bed.advance(5 * time.Second)
	actions = append(bed.offer("u1", 1), bed.offer("u2", 1)...)
	wantSends(t, "after an answer", actions, "h1", "h1")
}

// A crowd of calls to one number with few lines must not use up the credit of its exchange.
func TestBusyNumberDoesNotDrainCredit(t *testing.T) {
	bed := newTestbed(t, testSettings())
	proc := bed.c.byHost["h1"]
	bed.handle(Offered{Call: "x0", Dest: 1, Width: 1, Number: "hot", Expires: bed.now + 3*time.Second})
	bed.endAttempt("x0", 1, 0, Failed, CauseNumberBusy)
	for i := range 30 {
		bed.handle(Offered{Call: fmt.Sprint("x", i+1), Dest: 1, Width: 1, Number: "hot", Expires: bed.now + 3*time.Second})
	}
	if proc.credit < minCreditCap-1 {
		t.Errorf("credit is %v after a crowd on a busy number, want about %v", proc.credit, minCreditCap)
	}
	wantSends(t, "an ordinary call", bed.offer("a", 1), "h1")
	bed.handle(Established{Call: "a", Delay: 50 * ms})
	bed.advance(10 * time.Second)
	actions := bed.handle(Offered{Call: "later", Dest: 1, Width: 1, Number: "hot", Expires: bed.now + 3*time.Second})
	wantSends(t, "the number after its backoff", actions, "h1")
}

// When trunk groups are full nearly every tandem turns calls back: alternate routes must
// back off.
func TestAlternateRoutesBackOffAfterBlocks(t *testing.T) {
	bed := newTestbed(t, testSettings())
	bed.reportCircuits(1, 0, 40)
	n := 0
	for i := range 40 {
		id := fmt.Sprint("a", i)
		actions := bed.offer(id, 1)
		for attempt := 0; len(sentHosts(actions)) > 0; attempt++ {
			n++
			actions = bed.endAttempt(id, int(sentHosts(actions)[0][1]-'0'), attempt, Refused, CauseTurnedBack)
		}
		bed.advance(20 * ms)
	}
	if n > 10 {
		t.Errorf("%d sends for 40 calls over tandems that all turn back, want at most 10", n)
	}
	bed.advance(10 * time.Second)
	if got := sentHosts(bed.offer("later", 1)); len(got) != 1 {
		t.Errorf("after the backoff: sent to %v, want one alternate route", got)
	}
}

// After an overload, credit and tick length return to their initial values.
func TestRecovery(t *testing.T) {
	bed := newTestbed(t, testSettings())
	proc := bed.c.byHost["h1"]
	for i := range 60 {
		bed.offer(fmt.Sprint("a", i), 1)
		for len(proc.outstanding) > 0 {
			bed.handle(Established{Call: proc.outstanding[0].id, Delay: 2 * time.Second})
		}
		bed.advance(50 * ms)
	}
	if proc.credit > 3 || proc.tickLength <= bed.c.initialTick {
		t.Fatalf("with slow answers: credit %v, tick %v; want at most 3 and more than %v", proc.credit, proc.tickLength, bed.c.initialTick)
	}
	for len(proc.outstanding)+len(proc.inputBuffer) > 0 {
		for len(proc.outstanding) > 0 {
			bed.handle(Established{Call: proc.outstanding[0].id, Delay: 2 * time.Second})
		}
		bed.advance(50 * ms)
	}
	bed.advance(30 * time.Second)
	if proc.credit < proc.creditCap || proc.lastTickFailed || proc.tickLength > bed.c.initialTick {
		t.Errorf("30 s later: credit %v of %v, last tick failed %v, tick %v", proc.credit, proc.creditCap, proc.lastTickFailed, proc.tickLength)
	}
}

// randomRun feeds random but valid events to a controller and checks the rules at each step.
func randomRun(t *testing.T, settings Settings, seed uint64) []Action {
	rng := rand.New(rand.NewPCG(seed, 1))
	bed := newTestbed(t, settings)
	type expectedCall struct {
		outstanding bool
		attempt     int // index of the latest attempt; -1: none yet
		host        string
		endsAt      time.Duration
		expires     time.Duration
		notBefore   time.Duration
		answered    bool
		transit     bool
		dest        int
	}
	calls := map[string]*expectedCall{}
	var order []string
	notReady := map[string]bool{} // hosts that are not ready
	check := func(actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case Send:
				call := calls[a.Call]
				switch {
				case call.outstanding:
					t.Fatalf("%s: sent while an attempt is outstanding", a.Call)
				case call.answered:
					t.Fatalf("%s: sent after its final answer", a.Call)
				case notReady[a.Host]:
					t.Fatalf("%s: sent to %s, which is draining or removed", a.Call, a.Host)
				case bed.now < call.notBefore:
					t.Fatalf("%s: sent before the release delay ended", a.Call)
				case call.attempt+1 >= settings.MaxAttempts+1:
					t.Fatalf("%s: attempt %d", a.Call, call.attempt+1)
				case call.transit && a.Host != host(call.dest), a.Host == host(settings.OwnExchange):
					t.Fatalf("%s: sent to %s, which is not its destination or is the own exchange", a.Call, a.Host)
				}
				call.outstanding, call.host = true, a.Host
				call.endsAt = bed.now + time.Duration(rng.Int64N(int64(a.Timeout)+1))
				if rng.IntN(4) == 0 {
					call.endsAt = bed.now + a.Timeout
				}
			case Refuse, Fail:
				for _, id := range finalAnswers([]Action{a}) {
					if calls[id].answered {
						t.Fatalf("%s: answered twice", id)
					}
					calls[id].answered = true
				}
			}
		}
	}
	for step := range 6000 {
		bed.now += time.Duration(rng.IntN(20)) * ms
		check(bed.handle(TimerFired{}))
		if rng.IntN(2) == 0 {
			id := fmt.Sprint("c", step)
			call := &expectedCall{dest: 1 + rng.IntN(3), expires: bed.now + time.Duration(rng.IntN(3000))*ms, attempt: -1, transit: rng.IntN(5) == 0}
			calls[id] = call
			order = append(order, id)
			check(bed.handle(Offered{Call: id, Class: rng.IntN(2), Dest: call.dest, Width: 1 + rng.IntN(2), Transit: call.transit,
				Number: fmt.Sprint(rng.IntN(40)), Expires: call.expires}))
		}
		if rng.IntN(300) == 0 {
			exchange := 1 + rng.IntN(3)
			state := State(rng.IntN(3))
			notReady[host(exchange)] = state != Ready
			check(bed.handle(ListUpdated{Entries: []ListEntry{{Host: host(exchange), Exchange: exchange, State: state, Started: bed.now}}}))
		}
		if rng.IntN(5) == 0 {
			report := NoReport
			report.Free, report.Size = rng.IntN(12), 30
			check(bed.handle(Reported{Host: host(1 + rng.IntN(3)), Report: report}))
		}
		unfinished := order[:0]
		for _, id := range order {
			call := calls[id]
			if !call.answered && bed.now > call.expires+settings.AnswerSlack {
				t.Fatalf("%s: no answer before its expiry (attempt outstanding: %v)", id, call.outstanding)
			}
			if call.outstanding && bed.now >= call.endsAt {
				call.outstanding = false
				call.attempt++
				results := []Result{Refused, TimedOut, NotReached, Reset, Cancelled, Failed, NotSent, Ended}
				e := AttemptEnded{Call: id, Attempt: call.attempt, Host: call.host, Report: NoReport, Delay: 100 * ms,
					Result: results[rng.IntN(len(results))], Cause: Cause(rng.IntN(6))}
				if e.Result == TimedOut || e.Result == Reset || e.Result == Cancelled {
					call.notBefore = bed.now + settings.ReleaseDelay
				}
				if e.Result == Ended {
					if !call.answered {
						check(bed.handle(Established{Call: id, Attempt: call.attempt, Delay: 100 * ms}))
					}
					e.CallEnded, call.answered = true, true
				}
				check(bed.handle(e))
			}
			if !call.answered || call.outstanding {
				unfinished = append(unfinished, id)
			}
		}
		order = unfinished
	}
	return bed.actions
}

func TestRulesHoldInRandomRuns(t *testing.T) {
	for seed := range uint64(8) {
		randomRun(t, testSettings(), seed)
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	a, b := randomRun(t, testSettings(), 3), randomRun(t, testSettings(), 3)
	if !reflect.DeepEqual(a, b) {
		t.Error("two controllers with the same events and seed returned different actions")
	}
}

func TestOddInputIsHarmless(t *testing.T) {
	bed := newTestbed(t, testSettings())
	for _, ev := range []Event{
		AttemptEnded{Call: "none", Host: "none"}, Established{Call: "none"}, Withdrawn{Call: "none"}, Reported{Host: "none"},
		ListUpdated{Failed: true}, ListUpdated{}, TimerFired{}, nil, AttemptEnded{Host: "h1", Report: NoReport},
		ListUpdated{Entries: []ListEntry{{Host: "h9", Exchange: -5, State: 77}}},
	} {
		bed.handle(ev)
	}
	actions := bed.handle(Offered{Call: "a", Class: 99, Dest: -3, Width: -1, Expires: bed.now})
	wantFinalAnswers(t, "an invalid call", actions, "a")
	wantFinalAnswers(t, "an unknown exchange", bed.offer("b", 55), "b")
	wantFinalAnswers(t, "the own exchange", bed.offer("c", 0), "c")
}

func TestPoolsAreServedByTheSameThrottle(t *testing.T) {
	settings := testSettings()
	settings.PoolMode, settings.OwnExchange = true, -1
	settings.Classes[0].Pools = []int{1, 2}
	bed := newTestbed(t, settings)
	wantSends(t, "first choice", bed.offer("a", 1), "h1")
	bed.reportCircuits(1, 0, 40)
	wantSends(t, "second choice", bed.offer("b", 1), "h2")
	bed.reportCircuits(2, 0, 40)
	wantFinalAnswers(t, "no free agent in any pool of its class", bed.offer("c", 1), "c")
}

func TestControllerFileLimits(t *testing.T) {
	f, err := os.Open("controller.go")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	sc, n, full := bufio.NewScanner(f), 0, 0
	for sc.Scan() {
		n++
		if utf8.RuneCountInString(strings.ReplaceAll(sc.Text(), "\t", "    ")) > 110 {
			t.Errorf("line %d has more than 110 characters", n)
		}
		if strings.TrimSpace(sc.Text()) != "" {
			full++
		}
	}
	if full > 950 {
		t.Errorf("controller.go has %d lines that are not blank, want at most 950", full)
	}
}

// Idle credit counters are at their cap: a sudden crowd must not spend all of it on one
// processor before the first answer or the first test.
func TestSurgeIsKeptToAWindow(t *testing.T) {
	bed := newTestbed(t, testSettings())
	var actions []Action
	for i := range minCreditCap {
		actions = append(actions, bed.offer(fmt.Sprint("a", i), 1)...)
	}
	n := len(sentHosts(actions))
	if n < 1 || n > 4 {
		t.Fatalf("%d set-ups outstanding at a processor that was never called before, want 1 to 4", n)
	}
	for i := range n {
		bed.handle(Established{Call: fmt.Sprint("a", i), Delay: 50 * ms})
	}
	if got := sentHosts(bed.advance(bed.c.initialTick)); len(got) == 0 {
		t.Error("no waiting call was sent after attempts were answered")
	}
	bed.reportCircuits(2, 400, 400)
	bed.serveCalls(2, 100) // 20 calls per second
	actions = nil
	for i := range minCreditCap {
		actions = append(actions, bed.offer(fmt.Sprint("b", i), 2)...)
	}
	if m := len(sentHosts(actions)); m <= n {
		t.Errorf("%d set-ups outstanding at a processor that is called often, want more than %d", m, n)
	}
}

// Calls to an exchange that answers a share of its set-ups with faults must not be lost:
// each is retried within its allowed attempts.
func TestFaultIsTriedAgain(t *testing.T) {
	settings := testSettings()
	bed := newTestbed(t, settings)
	actions := bed.offer("a", 1)
	for attempt := range settings.MaxAttempts {
		wantSends(t, fmt.Sprint("attempt ", attempt), actions, "h1")
		actions = bed.endAttempt("a", 1, attempt, Failed, CauseNone)
	}
	wantSends(t, "when the attempts are used up", actions)
	wantFinalAnswers(t, "when the attempts are used up", actions, "a")
	bed.offer("b", 2)
	wantFinalAnswers(t, "a busy number", bed.endAttempt("b", 2, 0, Failed, CauseNumberBusy), "b")
}

// While a processor is under pressure, ordinary calls must not fill its window before a
// call of a class with priority.
func TestWindowUnderPressureKeepsASlotForPriorityCalls(t *testing.T) {
	settings := testSettings()
	settings.Classes[1].Width = 1
	bed := newTestbed(t, settings)
	proc := bed.c.byHost["h1"]
	proc.lastTickFailed = true
	actions := append(bed.offer("a", 1), bed.offer("b", 1)...)
	wantSends(t, "ordinary calls", actions, "h1")
	priority := bed.handle(Offered{Call: "d", Class: 1, Dest: 1, Width: 1, Expires: bed.now + 3*time.Second})
	wantSends(t, "a call with priority", priority, "h1")
	bed.handle(Established{Call: "a", Delay: 50 * ms})
	bed.handle(Established{Call: "d", Delay: 50 * ms})
	proc.lastTickFailed = false
	wantSends(t, "the waiting calls, first come first served", bed.advance(bed.c.initialTick), "h1")
}

// A redial after the call's goal time takes only the capacity that calls still in time leave.
func TestLateRedialsUseSpareCapacityOnly(t *testing.T) {
	for _, marked := range []bool{true, false} {
		settings := testSettings()
		settings.RedialsMarked = marked
		call := func(bed *testbed, id, number string, redial bool) []Action {
			return bed.handle(Offered{Call: id, Dest: 1, Width: 1, Number: number, Redial: redial && marked, Expires: bed.now + 3*time.Second})
		}
		bed := newTestbed(t, settings)
		bed.reportCircuits(2, 0, 40)
		bed.reportCircuits(3, 0, 40)
		bed.reportCircuits(1, 0, 40)
		wantFinalAnswers(t, "no circuit", call(bed, "a", "x", false), "a")
		bed.advance(400 * ms)
		bed.reportCircuits(1, 2, 40)
		wantSends(t, "a redial within the goal time, few circuits", call(bed, "b", "x", true), "h1")
		bed.handle(Withdrawn{Call: "b"})
		bed.endAttempt("b", 1, 0, Reset, CauseNone)
		bed.advance(2 * time.Second)
		wantFinalAnswers(t, "a late redial, few circuits", call(bed, "c", "x", true), "c")
		wantSends(t, "a first try, few circuits", call(bed, "d", "y", false), "h1")
		bed.reportCircuits(1, 30, 40)
		wantSends(t, "a late redial, many circuits", call(bed, "e", "x", true), "h1")
		bed.handle(Established{Call: "e", Delay: 50 * ms})
		bed.reportCircuits(1, 2, 40)
		wantSends(t, "a new call to the number, after one was established", call(bed, "f", "x", false), "h1")
	}
}

// A hung processor fills up and then refuses at once, so each set-up loses a call. It must
// get trial calls only, and return to ordinary service when one is established.
func TestFullProcessorIsLeftAlone(t *testing.T) {
	bed := newTestbed(t, testSettings())
	n := 0
	for i := range 100 {
		id := fmt.Sprint("a", i)
		for range sentHosts(bed.offer(id, 1)) {
			n++
			bed.endAttempt(id, 1, 0, Refused, CauseProcessorFull)
		}
		bed.advance(20 * ms)
	}
	if n < 1 || n > 6 {
		t.Errorf("%d of 100 calls in two seconds were sent to a full processor, want 1 to 6 trials", n)
	}
	bed.advance(5 * time.Second)
	wantSends(t, "a trial", bed.offer("b", 1), "h1")
	bed.handle(Established{Call: "b", Delay: 50 * ms})
	bed.advance(time.Second)
	wantSends(t, "after it was established", append(bed.offer("c", 1), bed.offer("d", 1)...), "h1", "h1")
}

// A wide call that was blocked must find its circuits when it is redialled, although narrow
// calls would take each circuit as it becomes free.
func TestBlockedWideCallClaimsCircuits(t *testing.T) {
	bed := newTestbed(t, testSettings())
	wide := func(id string) []Action {
		return bed.handle(Offered{Call: id, Class: 1, Dest: 1, Width: 2, Number: "w", Expires: bed.now + 3*time.Second})
	}
	for n := 1; n < 4; n++ {
		bed.reportCircuits(n, 1, 40)
	}
	wantSends(t, "a narrow call", bed.offer("a", 1), "h1")
	bed.handle(Established{Call: "a", Delay: 50 * ms})
	bed.reportCircuits(1, 1, 40)
	wantFinalAnswers(t, "a wide call at one circuit", wide("b"), "b")
	wantFinalAnswers(t, "a narrow call after it", bed.offer("c", 1), "c")
	bed.advance(500 * ms)
	bed.reportCircuits(1, 2, 40)
	wantFinalAnswers(t, "a narrow call at two circuits", bed.offer("d", 1), "d")
	wantSends(t, "the wide call, redialled", wide("e"), "h1")
	bed.handle(Established{Call: "e", Delay: 50 * ms})
	bed.reportCircuits(1, 1, 40)
	wantSends(t, "a narrow call, after the claim was used", bed.offer("f", 1), "h1")
	bed.handle(Established{Call: "f", Delay: 50 * ms})
	bed.reportCircuits(1, 1, 40)
	wantFinalAnswers(t, "a wide call that is not redialled", wide("g"), "g")
	bed.advance(1700 * ms)
	wantSends(t, "a narrow call, after the claim has expired", bed.offer("h", 1), "h1")
}

// A set-up that is lost on a link must not wait for its time-out: once a later one is answered
// it is cancelled and retried after the release delay, while the goal time can still be met.
func TestOvertakenAttemptIsCancelledAndRetried(t *testing.T) {
	bed := newTestbed(t, testSettings())
	wantSends(t, "first", bed.offer("lost", 1), "h1")
	bed.advance(200 * ms)
	wantSends(t, "second", bed.offer("b", 1), "h1")
	bed.advance(100 * ms)
	actions := bed.handle(Established{Call: "b", Delay: 100 * ms})
	if want := []Action{Cancel{Call: "lost", Attempt: 0}}; !reflect.DeepEqual(actions, want) {
		t.Fatalf("after a later set-up was answered: %v, want %v", actions, want)
	}
	wantSends(t, "before the release delay ends", append(bed.endAttempt("lost", 1, 0, Cancelled, CauseNone), bed.advance(195*ms)...))
	wantSends(t, "after the release delay", bed.advance(10*ms), "h1")
	settings := testSettings()
	settings.CancelAllowed = false
	bed = newTestbed(t, settings)
	bed.offer("lost", 1)
	bed.advance(200 * ms)
	bed.offer("b", 1)
	if actions := bed.handle(Established{Call: "b", Delay: 50 * ms}); len(actions) > 0 {
		t.Errorf("with cancelling not allowed: actions %v, want none", actions)
	}
}

// newLargeTestbed returns a controller in a network of n exchanges, all listed, with trunk
// groups of four free circuits.
func newLargeTestbed(t *testing.T, n int, seed ...uint64) *testbed {
	t.Helper()
	settings := testSettings()
	settings.FleetSize = n
	bed := newTestbed(t, settings)
	for _, x := range seed {
		bed.c.rng = rand.New(rand.NewPCG(x, 1))
	}
	var list []ListEntry
	for i := range n {
		list = append(list, ListEntry{Host: host(i), Exchange: i})
	}
	bed.handle(ListUpdated{Complete: true, Entries: list})
	for i := 1; i < n; i++ {
		bed.reportCircuits(i, 4, 4)
	}
	return bed
}

// In a large network an exchange calls another every few seconds only, so a backoff of a
// second or two would let every call through to a silent processor. The backoff must follow
// the mean time between calls to it.
func TestBackoffFollowsTheMeanTimeBetweenCalls(t *testing.T) {
	small, big := newTestbed(t, testSettings()), newLargeTestbed(t, 60)
	for _, bed := range []*testbed{small, big} {
		bed.serveCalls(2, 40)
		bed.offer("a", 1)
		bed.advance(1200 * ms)
		bed.endAttempt("a", 1, 0, TimedOut, CauseNone)
		bed.advance(2500 * ms)
	}
	wantSends(t, "a small network, after the backoff", small.offer("b", 1), "h1")
	wantFinalAnswers(t, "a large network, within the backoff", big.offer("b", 1), "b")
	big.advance(20 * time.Second)
	wantSends(t, "a large network, after the backoff", big.offer("c", 1), "h1")
	big.handle(Established{Call: "c", Delay: big.c.delayLimit + ms})
	if !big.c.byHost["h1"].onTrial() {
		t.Error("a late answer ended the trials")
	}
	big.offer("d", 1)
	big.handle(Established{Call: "d", Delay: 50 * ms})
	if big.c.byHost["h1"].onTrial() {
		t.Error("an answer within the delay limit did not end the trials")
	}
}

// With groups of a few circuits a block at one tandem says little about the next one: the
// call must not end with it, and the tandem backs off for that destination only.
func TestBlockedCallTriesOtherTandems(t *testing.T) {
	bed := newLargeTestbed(t, 20)
	bed.reportCircuits(1, 0, 4)
	actions := bed.offer("a", 1)
	used := sentHosts(actions)
	for attempt := range 3 {
		var n int
		fmt.Sscanf(used[attempt], "h%d", &n)
		bed.reportCircuits(n, 4, 4)
		used = append(used, sentHosts(bed.endAttempt("a", n, attempt, Refused, CauseTurnedBack))...)
		if len(used) != attempt+2 || slices.Contains(used[:attempt+1], used[attempt+1]) {
			t.Fatalf("after %d blocks: sent to %v, want another tandem each time", attempt+1, used)
		}
	}
	bed.handle(Withdrawn{Call: "a"})
	for i := range 5 { // new draws must not return a tandem that has just blocked
		id := fmt.Sprint("b", i)
		for _, h := range sentHosts(bed.offer(id, 1)) {
			if slices.Contains(used[:3], h) {
				t.Errorf("%s was sent over %s, which has just blocked a call to that exchange", id, h)
			}
		}
		bed.handle(Withdrawn{Call: id})
	}
}

// The tandem toward which the own group has the most free circuits is drawn most often.
func TestTandemDrawFollowsFreeCircuits(t *testing.T) {
	bed := newLargeTestbed(t, 20)
	bed.reportCircuits(1, 0, 4)
	bed.reportCircuits(7, 30, 30)
	n := 0
	for i := range 50 {
		id := fmt.Sprint("a", i)
		bed.c.groupOf(1).tandem = -1
		if got := sentHosts(bed.offer(id, 1)); len(got) == 1 && got[0] == "h7" {
			n++
		}
		bed.handle(Established{Call: id, Delay: 50 * ms})
		bed.advance(100 * ms)
		bed.reportCircuits(7, 30, 30)
	}
	if n < 40 {
		t.Errorf("%d of 50 calls over the exchange with the most free circuits, want at least 40", n)
	}
}

// A call of width two must find an alternate route over groups of two to four circuits.
func TestSmallGroupsKeepNoReserve(t *testing.T) {
	bed := newTestbed(t, testSettings())
	for size, want := range map[int]int{-1: 0, 0: 0, 2: 0, 3: 0, 4: 1, 8: 2, 16: 2, 40: 4} {
		bed.reportCircuits(2, 0, max(size, 0))
		if size < 0 {
			bed.c.groupOf(2).size = -1
		}
		if got := bed.c.trunkReserve(2); got != want {
			t.Errorf("reserve of a group of %d: %d, want %d", size, got, want)
		}
	}
}

// Rule 4 in a large network: many controllers, each with less than one set-up as its share
// of a window, call one cold processor at the same time. The set-ups of all together in one
// window must stay within the budget.
func TestFleetKeepsAColdProcessorWithinItsBudget(t *testing.T) {
	const fleet = 60
	var beds []*testbed
	for i := range fleet {
		beds = append(beds, newLargeTestbed(t, fleet, uint64(i)))
	}
	step := func(d time.Duration, dest func(i, n int) int, n int) (sent int) {
		for i, bed := range beds {
			id := fmt.Sprint("c", n)
			actions := bed.offer(id, dest(i, n))
			for _, h := range sentHosts(actions) {
				if h == "h1" {
					sent++
				}
				bed.handle(Established{Call: id, Delay: 50 * ms})
				bed.handle(AttemptEnded{Call: id, Host: h, CallEnded: true, Result: Ended, Report: NoReport})
			}
			bed.reportCircuits(1, 4, 4)
			bed.advance(d)
		}
		return sent
	}
	// Ten calls per second each, evenly spread; then the exchange restarts.
	for n := range 200 {
		step(100*ms, func(i, n int) int { return 2 + (7*i+n)%(fleet-2) }, n)
	}
	for _, bed := range beds {
		bed.handle(ListUpdated{Entries: []ListEntry{{Host: "h1", Exchange: 1, Started: bed.now}}})
	}
	settings := testSettings()
	perSec := beds[0].c.sendRate.at(beds[0].now)
	budget := settings.OverloadFactor * settings.ColdCapacity * 2 * perSec * settings.OverloadWindow.Seconds()
	sent := 0
	for n := range int(settings.OverloadWindow / (100 * ms)) {
		// Twice the usual calls to it.
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
	settings := testSettings()
	settings.FleetSize = n
	c, err := New(settings, 7)
	if err != nil {
		b.Fatal(err)
	}
	var list []ListEntry
	for i := range n {
		list = append(list, ListEntry{Host: host(i), Exchange: i})
	}
	c.Handle(time.Hour, ListUpdated{Complete: true, Entries: list})
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

// A group without a report yet may have no circuit: an attempt that found none was not sent
// and loaded no processor, so it must not spend the budget of alternate routes.
func TestUnsentAttemptSpendsNoAlternateBudget(t *testing.T) {
	bed := newLargeTestbed(t, 20)
	bed.reportCircuits(1, 0, 4)
	used := sentHosts(bed.offer("a", 1))
	var n int
	fmt.Sscanf(used[0], "h%d", &n)
	before := bed.c.alternateBudget
	if got := sentHosts(bed.endAttempt("a", n, 0, NotSent, CauseNoCircuit)); len(got) != 1 || got[0] == used[0] {
		t.Errorf("after an unsent attempt over %v: sent to %v, want another", used, got)
	}
	if bed.c.alternateBudget != before {
		t.Errorf("an unsent attempt changed the budget of alternate routes from %v to %v", before, bed.c.alternateBudget)
	}
}

// A refusal carries the time of the next redial, so that the caller need not redial at once.
func TestRefusalCarriesRetryAfter(t *testing.T) {
	settings := testSettings()
	bed := newTestbed(t, settings)
	for _, a := range bed.offer("a", 99) {
		if f, ok := a.(Refuse); ok {
			if f.RetryAfter != settings.Classes[0].GoalTime/2 {
				t.Errorf("retry after %v, want half the goal time", f.RetryAfter)
			}
			return
		}
	}
	t.Error("a call to no exchange was not refused")
}
