// Package replan decides when a plan is worked out again and when a new one takes
// the place of the one in force, and measures the demand that it is worked out for.
// It does no I/O, has no clock and starts no goroutine: times and figures go in,
// actions come out. Nothing here may be called by two goroutines at once.
package replan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Flow is a class of call to an exchange.
type Flow struct {
	Class string
	To    string
}

// DemandMeter measures calls a second by flow, each by an exponentially aged count: a
// step in the offered rate shows by 63% after Memory, and a rate of r calls a second
// is known within about r/sqrt(2 r Memory). A window would need all arrival times,
// or forget in steps.
type DemandMeter struct {
	memory  time.Duration
	most    int
	began   time.Duration
	started bool
	flows   map[Flow]*aged
	// Dropped counts calls of flows for which there was no room.
	Dropped int
}

type aged struct {
	v    float64 // calls a second, as of last
	last time.Duration
}

func (a *aged) at(now, memory time.Duration) float64 {
	return a.v * math.Exp(-float64(max(0, now-a.last))/float64(memory))
}

// NewDemandMeter returns a measure with the given memory that keeps at most so many
// flows. Where there are more, the least one makes room if the new flow's calls
// lift it above that one.
func NewDemandMeter(memory time.Duration, most int) *DemandMeter {
	return &DemandMeter{memory: memory, most: most, flows: map[Flow]*aged{}}
}

// Count takes in n calls.
func (d *DemandMeter) Count(now time.Duration, f Flow, n int) {
	if !d.started {
		d.began, d.started = now, true
	}
	some := float64(n) / d.memory.Seconds()
	a := d.flows[f]
	if a == nil {
		if len(d.flows) >= d.most && !d.makeRoom(now, some) {
			d.Dropped += n
			return
		}
		a = &aged{last: now}
		d.flows[f] = a
	}
	a.v = a.at(now, d.memory) + some
	a.last = max(now, a.last)
}

// makeRoom drops the least flow if it is below a rate.
func (d *DemandMeter) makeRoom(now time.Duration, rate float64) bool {
	var least Flow
	low := math.Inf(1)
	for f, a := range d.flows {
		v := a.at(now, d.memory)
		if v < low || v == low && cmp.Or(cmp.Compare(f.Class, least.Class), cmp.Compare(f.To, least.To)) < 0 {
			least, low = f, v
		}
	}
	if low >= rate {
		return false
	}
	delete(d.flows, least)
	return true
}

// Coverage is the share of a full memory that has passed: until then the measure says
// little of flows that have not come by chance.
func (d *DemandMeter) Coverage(now time.Duration) float64 {
	if !d.started || now <= d.began {
		return 0
	}
	return 1 - math.Exp(-float64(now-d.began)/float64(d.memory))
}

// FlowRate is one flow's calls a second.
type FlowRate struct {
	Flow
	Rate float64
}

// Rates returns all flows with their rates, corrected for a memory that is not full
// yet, in the order of their names.
func (d *DemandMeter) Rates(now time.Duration) []FlowRate {
	known := d.Coverage(now)
	if known == 0 {
		return nil
	}
	var out []FlowRate
	for f, a := range d.flows {
		out = append(out, FlowRate{f, a.at(now, d.memory) / known})
	}
	slices.SortFunc(out, func(a, b FlowRate) int { return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.To, b.To)) })
	return out
}
