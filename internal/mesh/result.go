package mesh

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// windowLength is the length of the windows of which the worst is reported.
const windowLength = 10 * time.Second

// Result holds the results of a run. Counts cover the whole run; the shares of worth cover
// callers whose first try is at Config.CountFrom or later.
type Result struct {
	TraceHash      uint64 // hash of every event's time, kind and place
	Events         uint64
	Service        float64   // worth earned by calls that were not cut, over the worth offered
	WorstService   float64   // Service in the worst window of 10 s
	ServiceByClass []float64 // Service by class
	TandemShare    float64   // share of the established calls that use a tandem

	Offered, Tries, Sends, TandemSends           int
	Established, EstablishedViaTandem, Late, Cut int
	Refused, TurnedBack, TimedOut                int
	GivenUp, Repeats, Wasted                     int // Wasted: set-ups processed after their sender had given up
	ProcessorFull, ColdOverloads                 int // ColdOverloads: of processors that were still warming up
	// Utilization is, by exchange, the share of time in which its processor was busy.
	Utilization []float64
	// SetUpTime holds the times from first try to answer of established calls, in microseconds.
	SetUpTime *hdrhistogram.Histogram

	offeredWorth, earnedWorth   []float64 // by class
	windowOffered, windowEarned []float64 // worth by window of the first try
	countFrom                   time.Duration
}

func (r *Result) initialize(cfg *Config) {
	windows := int((cfg.Length-cfg.CountFrom)/windowLength) + 1
	r.countFrom = cfg.CountFrom
	r.offeredWorth, r.earnedWorth = make([]float64, len(cfg.Classes)), make([]float64, len(cfg.Classes))
	r.windowOffered, r.windowEarned = make([]float64, max(1, windows)), make([]float64, max(1, windows))
	r.SetUpTime = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
}

// windowOf returns the index of the window in which the caller first tried.
func (r *Result) windowOf(caller *callerState) int {
	return min(int((caller.firstTryAt-r.countFrom)/windowLength), len(r.windowOffered)-1)
}

func (r *Result) recordOffered(caller *callerState, class Class) {
	r.Offered++
	if caller.counted {
		r.offeredWorth[caller.class] += class.Worth
		r.windowOffered[r.windowOf(caller)] += class.Worth
	}
}

// worthEarned returns the worth of a call established after setUpTime.
func worthEarned(caller *callerState, class Class, setUpTime time.Duration) float64 {
	switch {
	case setUpTime <= class.GoalTime:
		return class.Worth
	case setUpTime <= class.Deadline:
		return class.Worth * class.LateShare
	}
	return 0
}

func (r *Result) recordEstablished(caller *callerState, class Class, now time.Duration, viaTandem bool) {
	r.Established++
	if viaTandem {
		r.EstablishedViaTandem++
	}
	setUpTime := now - caller.firstTryAt
	caller.setUpTime = setUpTime
	if setUpTime > class.GoalTime {
		r.Late++
	}
	_ = r.SetUpTime.RecordValue(max(1, setUpTime.Microseconds())) // never above the histogram's range: a run is shorter
	if caller.counted {
		w := worthEarned(caller, class, setUpTime)
		r.earnedWorth[caller.class] += w
		r.windowEarned[r.windowOf(caller)] += w
	}
}

func (r *Result) recordCut(caller *callerState, class Class) {
	r.Cut++
	if caller.counted {
		w := worthEarned(caller, class, caller.setUpTime)
		r.earnedWorth[caller.class] -= w
		r.windowEarned[r.windowOf(caller)] -= w
	}
}

func (r *Result) finish(m *Mesh) {
	r.TraceHash, r.Events = m.trace.Sum64(), m.steps
	offered, earned := 0.0, 0.0
	for k := range r.offeredWorth {
		offered += r.offeredWorth[k]
		earned += r.earnedWorth[k]
		r.ServiceByClass = append(r.ServiceByClass, ratio(r.earnedWorth[k], r.offeredWorth[k]))
	}
	r.Service = ratio(earned, offered)
	r.WorstService = 1
	for i, worth := range r.windowOffered {
		// A last window of at most half the length is not representative: it counts only if it is
		// the only one.
		if worth > 0 && (i == 0 || i < len(r.windowOffered)-1 || (m.cfg.Length-m.cfg.CountFrom)%windowLength > windowLength/2) {
			r.WorstService = min(r.WorstService, ratio(r.windowEarned[i], worth))
		}
	}
	r.TandemShare = ratio(float64(r.EstablishedViaTandem), float64(r.Established))
	for _, exchange := range m.exchanges {
		r.Utilization = append(r.Utilization, exchange.proc.busyTime.Seconds()/m.now.Seconds())
	}
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
