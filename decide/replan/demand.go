// Package replan decides when to solve for a new plan and when it replaces the plan in
// force, and measures the demand to solve for. It does no I/O, reads no clock and starts
// no goroutine: times and call counts go in, actions come out. Nothing in this package is
// safe for concurrent use.
package replan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Flow identifies the calls of one class to one exchange.
type Flow struct {
	Class string
	To    string
}

// DemandMeter measures the call rate of each flow, in calls per second, as an exponentially
// weighted moving average with a time constant, the memory. 63% of a step in the offered
// rate shows after one memory, and the standard error of a rate of r calls per second is
// about r/sqrt(2 r memory). A sliding window would have to store all arrival times, or
// discard old calls in steps.
type DemandMeter struct {
	memory     time.Duration
	maxFlows   int
	firstCount time.Duration
	started    bool
	flows      map[Flow]*agedRate
	// Dropped counts the calls of flows that were not measured because of the limit.
	Dropped int
}

// agedRate is a rate that decays exponentially.
type agedRate struct {
	rate    float64 // calls per second, as of updated
	updated time.Duration
}

func (a *agedRate) rateAt(now, memory time.Duration) float64 {
	return a.rate * math.Exp(-float64(max(0, now-a.updated))/float64(memory))
}

// NewDemandMeter returns a meter with the given memory that measures at most maxFlows
// flows. At the limit, a new flow replaces the flow of lowest rate if the new flow's rate
// is above it.
func NewDemandMeter(memory time.Duration, maxFlows int) *DemandMeter {
	return &DemandMeter{memory: memory, maxFlows: maxFlows, flows: map[Flow]*agedRate{}}
}

// Count records n calls of a flow.
func (d *DemandMeter) Count(now time.Duration, f Flow, n int) {
	if !d.started {
		d.firstCount, d.started = now, true
	}
	increment := float64(n) / d.memory.Seconds()
	a := d.flows[f]
	if a == nil {
		if len(d.flows) >= d.maxFlows && !d.evictBelow(now, increment) {
			d.Dropped += n
			return
		}
		a = &agedRate{updated: now}
		d.flows[f] = a
	}
	a.rate = a.rateAt(now, d.memory) + increment
	a.updated = max(now, a.updated)
}

// evictBelow removes the flow of lowest rate if its rate is below the given one.
func (d *DemandMeter) evictBelow(now time.Duration, rate float64) bool {
	var lowest Flow
	lowestRate := math.Inf(1)
	for f, a := range d.flows {
		decayed := a.rateAt(now, d.memory)
		if decayed < lowestRate || decayed == lowestRate && cmp.Or(cmp.Compare(f.Class, lowest.Class), cmp.Compare(f.To, lowest.To)) < 0 {
			lowest, lowestRate = f, decayed
		}
	}
	if lowestRate >= rate {
		return false
	}
	delete(d.flows, lowest)
	return true
}

// Coverage returns the share, from 0 to 1, of the exponential weights that lies after the
// first call. While it is low, a flow without calls may only have had none by chance.
func (d *DemandMeter) Coverage(now time.Duration) float64 {
	if !d.started || now <= d.firstCount {
		return 0
	}
	return 1 - math.Exp(-float64(now-d.firstCount)/float64(d.memory))
}

// FlowRate is the call rate of a flow, in calls per second.
type FlowRate struct {
	Flow
	Rate float64
}

// Rates returns the rates of all flows, sorted by class and destination. They are corrected
// for the time since the first call being shorter than the memory.
func (d *DemandMeter) Rates(now time.Duration) []FlowRate {
	coverage := d.Coverage(now)
	if coverage == 0 {
		return nil
	}
	var rates []FlowRate
	for f, a := range d.flows {
		rates = append(rates, FlowRate{f, a.rateAt(now, d.memory) / coverage})
	}
	slices.SortFunc(rates, func(a, b FlowRate) int { return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.To, b.To)) })
	return rates
}
