package share

import (
	"math/rand/v2"
	"testing"
	"time"
)

// play offers calls for 10 s, each source at its rate, to switches that answer up to capacity calls a
// second, first come first served. It returns the part of each source's calls that was answered in the
// last 8 s, and how many calls were admitted a second.
func play(capacity float64, rates ...float64) (answered []float64, admittedPerSecond float64) {
	const step, length, from = time.Millisecond, 10 * time.Second, 2 * time.Second
	l := New(Defaults)
	rng := rand.New(rand.NewPCG(1, 1))
	offers, answers := make([]float64, len(rates)), make([]float64, len(rates))
	now, room := time.Unix(0, 0), 0.0
	for t := time.Duration(0); t < length; t += step {
		now = now.Add(step)
		room = min(room+capacity*step.Seconds(), max(1, capacity/10))
		var arrivals []int
		for i, rate := range rates {
			for due := rate * step.Seconds(); due > 0; due-- {
				if rng.Float64() < due {
					arrivals = append(arrivals, i)
				}
			}
		}
		rng.Shuffle(len(arrivals), func(i, j int) { arrivals[i], arrivals[j] = arrivals[j], arrivals[i] })
		for _, i := range arrivals {
			admitted := l.Admit(now, i)
			if t >= from {
				offers[i]++
			}
			if !admitted {
				continue
			}
			admittedPerSecond += 1 / length.Seconds()
			if room >= 1 {
				room--
				l.Answered(now)
				if t >= from {
					answers[i]++
				}
			}
		}
	}
	for i := range rates {
		answered = append(answered, answers[i]/max(1, offers[i]))
	}
	return answered, admittedPerSecond
}

// Guards against sources that get no answers because one floods, and against a limit where no source
// does.
func TestAFloodLeavesOtherSourcesTheirShare(t *testing.T) {
	for name, c := range map[string]struct {
		capacity float64
		rates    []float64
		least    float64 // part of the calls of each source but the first that is answered
	}{
		"no load to speak of":              {100, []float64{10, 10, 10}, 0.99},
		"one busy source":                  {1000, []float64{500, 5}, 0.99},
		"overload without a flood":         {100, []float64{60, 60, 60}, 0.5},
		"a flood":                          {100, []float64{5000, 10, 20}, 0.55},
		"a flood beside many sources":      {100, []float64{5000, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2, 2}, 0.55},
		"a flood at switches that recover": {20, []float64{5000, 5}, 0.5},
	} {
		answered, admitted := play(c.capacity, c.rates...)
		for i, part := range answered[1:] {
			if part < c.least {
				t.Errorf("%s: source %d has %.0f%% of its calls answered, want %.0f%%", name, i+1, 100*part, 100*c.least)
			}
		}
		t.Logf("%s: answered %.2f, admitted %.0f/s", name, answered, admitted)
	}
}
