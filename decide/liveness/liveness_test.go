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
		want Decision
	}
	alive := func(d *Detector, now time.Time) { d.Received(now) }
	connected := func(d *Detector, now time.Time) { d.Connected(now) }
	ignored := func(d *Detector, _ time.Time) { d.ConnectionSilent() }
	unanswered := func(d *Detector, _ time.Time) { d.ProbeFailed() }
	nothing := func(*Detector, time.Time) {}
	one := func(d *Detector, _ time.Time) { d.SetEstablished(1) }
	none := func(d *Detector, _ time.Time) { d.SetEstablished(0) }
	cautious := func(d *Detector, now time.Time) { d.ProbeEarlyUntil(now.Add(10 * time.Second)) }
	for name, steps := range map[string][]step{
		"nothing stands there": {
			{100, unanswered, Decision{State: Alive}},
		},
		"silent and never verified: not over": {
			{0, one, Decision{State: Alive, NextCheck: at(4.5)}},
			{8, nothing, Decision{State: Suspected, Probe: true}},
		},
		"one connection that does not come up decides nothing": {
			{0, one, Decision{State: Alive, NextCheck: at(4.5)}},
			{4.5, nothing, Decision{State: Suspected, Probe: true, NextCheck: at(7)}},
			{7, unanswered, Decision{State: Suspected, Probe: true}},
			{7.5, unanswered, Decision{State: Unreachable, CallsEnded: true}},
			{7.6, nothing, Decision{State: Unreachable}},
		},
		"a cut that ends": {
			{0, one, Decision{State: Alive, NextCheck: at(4.5)}},
			{5, unanswered, Decision{State: Suspected, Probe: true, NextCheck: at(7)}},
			{5.5, unanswered, Decision{State: Suspected, Probe: true, NextCheck: at(7)}},
			{6, alive, Decision{State: Alive, NextCheck: at(10.5)}},
			{7, nothing, Decision{State: Alive, NextCheck: at(10.5)}},
		},
		"with caution it is verified sooner": {
			{0, one, Decision{State: Alive, NextCheck: at(4.5)}},
			{1, cautious, Decision{State: Alive, NextCheck: at(2)}},
			{2, nothing, Decision{State: Suspected, Probe: true, NextCheck: at(7)}},
		},
		"caution that has ended": {
			{0, cautious, Decision{State: Alive}},
			{9, alive, Decision{State: Alive}},
			{9, one, Decision{State: Alive, NextCheck: at(13.5)}},
		},
		"a process that hangs: connections come up and nothing is said": {
			{0, one, Decision{State: Alive, NextCheck: at(4.5)}},
			{2, ignored, Decision{State: Alive, NextCheck: at(4.5)}},
			{3, connected, Decision{State: Alive, NextCheck: at(7)}},
			{4, ignored, Decision{State: Alive, NextCheck: at(7)}},
			{5, connected, Decision{State: Alive, NextCheck: at(7)}},
			{7, nothing, Decision{State: Unreachable, CallsEnded: true}},
		},
		"a process that is asked nothing may be idle": {
			{0, one, Decision{State: Alive, NextCheck: at(4.5)}},
			{4.5, connected, Decision{State: Alive, NextCheck: at(7)}},
			{7, nothing, Decision{State: Alive, NextCheck: at(9)}},
			{9, connected, Decision{State: Alive, NextCheck: at(13.5)}},
		},
		"the calls end by themselves": {
			{0, one, Decision{State: Alive, NextCheck: at(4.5)}},
			{5, unanswered, Decision{State: Suspected, Probe: true, NextCheck: at(7)}},
			{6, none, Decision{State: Alive}},
			{9, unanswered, Decision{State: Alive}},
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
		got = append(got, d.SilenceTimeoutFactor())
		d.ConnectionSilent()
	}
	if want := []int{1, 2, 4, 4}; !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
	if !d.Received(at(1)) || d.Received(at(2)) || d.SilenceTimeoutFactor() != 1 {
		t.Error("what is received ends the doubt, and says so once")
	}
}

func TestRefused(t *testing.T) {
	d := New(Defaults, start)
	d.SetEstablished(3)
	if v := d.ConnectionRefused(at(6), true); v.CallsEnded || v.State != Alive {
		t.Errorf("%+v: one that drains refuses connections and keeps its calls", v)
	}
	if v := d.ConnectionRefused(at(7), false); !v.CallsEnded || v.State != ProcessGone {
		t.Errorf("%+v: a process that is gone has no calls", v)
	}
	if v := d.ConnectionRefused(at(8), false); v.CallsEnded {
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
			d.SetEstablished(2)
			d.SetDraining(tc.draining)
			if tc.reset {
				d.ConnectionReset(start, tc.silent)
			}
			if tc.unanswered {
				d.ProbeFailed()
				d.ProbeFailed()
			}
			if tc.received {
				d.Received(at(1))
			}
			if v := d.Connected(at(2)); v.CallsEnded != tc.want || v.State != Alive {
				t.Errorf("%+v, want calls over: %t", v, tc.want)
			}
		})
	}
	for _, cautious := range []bool{false, true} {
		d := New(Defaults, start)
		d.SetEstablished(1)
		d.ConnectionReset(at(3), false) // by a fault, or by another process
		d.Connected(at(3))
		d.Received(at(4))
		if cautious {
			d.ProbeEarlyUntil(at(60))
		}
		if v := d.Check(at(6.9)); v.CallsEnded {
			t.Errorf("%+v before its time", v)
		}
		if v := d.Check(at(7)); v.CallsEnded != cautious || cautious && !v.EstablishedBefore.Equal(at(3)) {
			t.Errorf("cautious %t: %+v", cautious, v)
		}
		if v := d.Check(at(7.1)); v.CallsEnded {
			t.Errorf("%+v twice", v)
		}
	}
	d := New(Defaults, start)
	if v := d.ReplacedConnectionReset(at(1)); v.CallsEnded {
		t.Error("nothing stood there")
	}
	d.SetEstablished(1)
	if v := d.ReplacedConnectionReset(at(1)); !v.CallsEnded {
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
		d.SetEstablished(1 + rng.IntN(5))
		vanishes := start.Add(seconds(30))
		lossy := rng.Float64() < 0.5 // one dial in ten does not come up though it lives
		now := start
		for over := false; !over; {
			v := d.Check(now)
			switch {
			case v.CallsEnded:
				over = true
			case v.Probe:
				if now.Before(vanishes) && !(lossy && rng.IntN(10) == 0) {
					d.Received(now)
				} else {
					d.ProbeFailed()
					now = now.Add(500 * time.Millisecond)
				}
			default:
				next := v.NextCheck
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
