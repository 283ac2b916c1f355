package liveness

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func TestVerdicts(t *testing.T) {
	type step struct {
		at   float64
		do   func(d *Detector, now time.Time)
		want Verdict
	}
	alive := func(d *Detector, now time.Time) { d.Received(now) }
	connected := func(d *Detector, now time.Time) { d.Connected(now) }
	ignored := func(d *Detector, _ time.Time) { d.Ignored() }
	unanswered := func(d *Detector, _ time.Time) { d.Unanswered() }
	nothing := func(*Detector, time.Time) {}
	one := func(d *Detector, _ time.Time) { d.Standing(1) }
	none := func(d *Detector, _ time.Time) { d.Standing(0) }
	cautious := func(d *Detector, now time.Time) { d.Caution(now.Add(10 * time.Second)) }
	for name, steps := range map[string][]step{
		"nothing stands there": {
			{100, unanswered, Verdict{State: Alive}},
		},
		"silent and never verified: not over": {
			{0, one, Verdict{State: Alive, Next: at(4.5)}},
			{8, nothing, Verdict{State: Suspected, Verify: true}},
		},
		"one connection that does not come up decides nothing": {
			{0, one, Verdict{State: Alive, Next: at(4.5)}},
			{4.5, nothing, Verdict{State: Suspected, Verify: true, Next: at(7)}},
			{7, unanswered, Verdict{State: Suspected, Verify: true}},
			{7.5, unanswered, Verdict{State: Unreachable, CallsOver: true}},
			{7.6, nothing, Verdict{State: Unreachable}},
		},
		"a cut that ends": {
			{0, one, Verdict{State: Alive, Next: at(4.5)}},
			{5, unanswered, Verdict{State: Suspected, Verify: true, Next: at(7)}},
			{5.5, unanswered, Verdict{State: Suspected, Verify: true, Next: at(7)}},
			{6, alive, Verdict{State: Alive, Next: at(10.5)}},
			{7, nothing, Verdict{State: Alive, Next: at(10.5)}},
		},
		"with caution it is verified sooner": {
			{0, one, Verdict{State: Alive, Next: at(4.5)}},
			{1, cautious, Verdict{State: Alive, Next: at(2)}},
			{2, nothing, Verdict{State: Suspected, Verify: true, Next: at(7)}},
		},
		"caution that has ended": {
			{0, cautious, Verdict{State: Alive}},
			{9, alive, Verdict{State: Alive}},
			{9, one, Verdict{State: Alive, Next: at(13.5)}},
		},
		"a process that hangs: connections come up and nothing is said": {
			{0, one, Verdict{State: Alive, Next: at(4.5)}},
			{2, ignored, Verdict{State: Alive, Next: at(4.5)}},
			{3, connected, Verdict{State: Alive, Next: at(7)}},
			{4, ignored, Verdict{State: Alive, Next: at(7)}},
			{5, connected, Verdict{State: Alive, Next: at(7)}},
			{7, nothing, Verdict{State: Unreachable, CallsOver: true}},
		},
		"a process that is asked nothing may be idle": {
			{0, one, Verdict{State: Alive, Next: at(4.5)}},
			{4.5, connected, Verdict{State: Alive, Next: at(7)}},
			{7, nothing, Verdict{State: Alive, Next: at(9)}},
			{9, connected, Verdict{State: Alive, Next: at(13.5)}},
		},
		"the calls end by themselves": {
			{0, one, Verdict{State: Alive, Next: at(4.5)}},
			{5, unanswered, Verdict{State: Suspected, Verify: true, Next: at(7)}},
			{6, none, Verdict{State: Alive}},
			{9, unanswered, Verdict{State: Alive}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := New(Defaults, start)
			for i, s := range steps {
				s.do(d, at(s.at))
				if got := d.Check(at(s.at)); got != s.want {
					t.Fatalf("step %d, at %v: %+v, want %+v", i, s.at, got, s.want)
				}
			}
		})
	}
}

func TestPatienceWithWhatIsIgnored(t *testing.T) {
	d := New(Defaults, start)
	var got []int
	for range 4 {
		got = append(got, d.Patience())
		d.Ignored()
	}
	if want := []int{1, 2, 4, 4}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	if !d.Received(at(1)) || d.Received(at(2)) || d.Patience() != 1 {
		t.Error("what is received ends the doubt, and says so once")
	}
}

func TestRefused(t *testing.T) {
	d := New(Defaults, start)
	d.Standing(3)
	if v := d.Refused(at(6), true); v.CallsOver || v.State != Alive {
		t.Errorf("%+v: one that drains refuses connections and keeps its calls", v)
	}
	if v := d.Refused(at(7), false); !v.CallsOver || v.State != ProcessGone {
		t.Errorf("%+v: a process that is gone has no calls", v)
	}
	if v := d.Refused(at(8), false); v.CallsOver {
		t.Errorf("%+v: its calls are over once", v)
	}
	d.Received(at(9))
	if v := d.Check(at(9)); v.State != Alive {
		t.Errorf("%+v after a connection came up", v)
	}
}

func TestAnotherMachineAtTheAddress(t *testing.T) {
	for name, tc := range map[string]struct {
		reset, silent, draining, unanswered, received bool
		want                                          bool
	}{
		"a reset alone is a fault of the connection": {reset: true},
		"a cut that ends":                               {unanswered: true},
		"a reset and then nothing comes up":             {reset: true, unanswered: true, want: true},
		"... but something was received after all that": {reset: true, unanswered: true, received: true},
		"a reset of what had fallen silent":             {reset: true, silent: true, want: true},
		"a reset of one that takes no new connections":  {reset: true, draining: true, want: true},
		"one that drains, and takes one after all":      {draining: true},
	} {
		t.Run(name, func(t *testing.T) {
			d := New(Defaults, start)
			d.Standing(2)
			d.Draining(tc.draining)
			if tc.reset {
				d.Reset(start, tc.silent)
			}
			if tc.unanswered {
				d.Unanswered()
				d.Unanswered()
			}
			if tc.received {
				d.Received(at(1))
			}
			if v := d.Connected(at(2)); v.CallsOver != tc.want || v.State != Alive {
				t.Errorf("%+v, want calls over: %t", v, tc.want)
			}
		})
	}
	for _, cautious := range []bool{false, true} {
		d := New(Defaults, start)
		d.Standing(1)
		d.Reset(at(3), false) // by a fault, or by another process
		d.Connected(at(3))
		d.Received(at(4))
		if cautious {
			d.Caution(at(60))
		}
		if v := d.Check(at(6.9)); v.CallsOver {
			t.Errorf("%+v before its time", v)
		}
		if v := d.Check(at(7)); v.CallsOver != cautious || cautious && !v.Before.Equal(at(3)) {
			t.Errorf("cautious %t: %+v", cautious, v)
		}
		if v := d.Check(at(7.1)); v.CallsOver {
			t.Errorf("%+v twice", v)
		}
	}
	d := New(Defaults, start)
	if v := d.ReplacedReset(at(1)); v.CallsOver {
		t.Error("nothing stood there")
	}
	d.Standing(1)
	if v := d.ReplacedReset(at(1)); !v.CallsOver {
		t.Error("who does not know the old connection does not know its calls")
	}
}

// With a host that verifies as it is asked, and a peer that vanishes at any time, the
// calls are over no later than 7.6 s after the end and never while the peer lives.
func TestEveryEndIsFoundInTime(t *testing.T) {
	const limit = 7600 * time.Millisecond
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		seconds := func(most float64) time.Duration { return time.Duration(rng.Float64() * most * float64(time.Second)) }
		d := New(Defaults, start)
		d.Standing(1 + rng.IntN(5))
		vanishes := start.Add(seconds(30))
		lossy := rng.Float64() < 0.5 // one dial in ten does not come up though it lives
		now := start
		for over := false; !over; {
			v := d.Check(now)
			switch {
			case v.CallsOver:
				over = true
			case v.Verify:
				if now.Before(vanishes) && !(lossy && rng.IntN(10) == 0) {
					d.Received(now)
				} else {
					d.Unanswered()
					now = now.Add(500 * time.Millisecond)
				}
			default:
				next := v.Next
				if said := now.Add(seconds(6)); said.Before(vanishes) && said.Before(next) {
					next = said
					d.Received(said)
				}
				now = next
			}
		}
		if now.Before(vanishes) {
			t.Fatalf("seed %d: over %v before the end", seed, vanishes.Sub(now))
		}
		if late := now.Sub(vanishes); late > limit {
			t.Fatalf("seed %d: found %v after the end", seed, late)
		}
	}
}
