package mesh

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// window is the stretch whose worst is reported.
const window = 10 * time.Second

// Result is what a run came to. Counts are of all of it, services of the first
// tries from Config.Warm on.
type Result struct {
	TraceHash      uint64 // of the trace: every event's time, kind and place
	Events         uint64
	Service        float64   // worth that stood in time and was not cut, over worth offered
	WorstService   float64   // the same in the worst 10 s
	ServiceByClass []float64 // the same by class
	TandemShare    float64   // share of the calls that stood over a tandem

	Offered, Tries, Sends, TandemSends           int
	Established, EstablishedViaTandem, Late, Cut int
	Refused, TurnedBack, TimedOut                int
	GivenUp, Repeats, Wasted                     int
	ProcessorFull, ColdOverloads                 int
	Utilization                                  []float64 // by exchange: share of the time that its processor served
	// SetUpTime is of the calls that stood, from the first try, in microseconds.
	SetUpTime *hdrhistogram.Histogram

	asked, got   []float64 // worth by class
	wasked, wgot []float64 // worth by window of arrival
	warm         time.Duration
}

func (r *Result) begin(c *Config) {
	n := int((c.Length-c.CountFrom)/window) + 1
	r.warm = c.CountFrom
	r.asked, r.got = make([]float64, len(c.Classes)), make([]float64, len(c.Classes))
	r.wasked, r.wgot = make([]float64, max(1, n)), make([]float64, max(1, n))
	r.SetUpTime = hdrhistogram.New(1, int64(10*time.Minute/time.Microsecond), 3)
}

func (r *Result) window(c *caller) int {
	return min(int((c.first-r.warm)/window), len(r.wasked)-1)
}

func (r *Result) offer(c *caller, k Class) {
	r.Offered++
	if c.counted {
		r.asked[c.class] += k.Worth
		r.wasked[r.window(c)] += k.Worth
	}
}

func earned(c *caller, k Class, took time.Duration) float64 {
	switch {
	case took <= k.GoalTime:
		return k.Worth
	case took <= k.Deadline:
		return k.Worth * k.LateShare
	}
	return 0
}

func (r *Result) stood(c *caller, k Class, now time.Duration, round bool) {
	r.Established++
	if round {
		r.EstablishedViaTandem++
	}
	took := now - c.first
	c.took = took
	if took > k.GoalTime {
		r.Late++
	}
	_ = r.SetUpTime.RecordValue(max(1, took.Microseconds())) // a run is shorter than its range
	if c.counted {
		w := earned(c, k, took)
		r.got[c.class] += w
		r.wgot[r.window(c)] += w
	}
}

func (r *Result) cut(c *caller, k Class) {
	r.Cut++
	if c.counted {
		w := earned(c, k, c.took)
		r.got[c.class] -= w
		r.wgot[r.window(c)] -= w
	}
}

func (r *Result) finish(m *Mesh) {
	r.TraceHash, r.Events = m.trace.Sum64(), m.steps
	asked, got := 0.0, 0.0
	for k := range r.asked {
		asked += r.asked[k]
		got += r.got[k]
		r.ServiceByClass = append(r.ServiceByClass, ratio(r.got[k], r.asked[k]))
	}
	r.Service = ratio(got, asked)
	r.WorstService = 1
	for i, a := range r.wasked {
		// A last stretch much shorter than the others says little.
		if a > 0 && (i == 0 || i < len(r.wasked)-1 || (m.cfg.Length-m.cfg.CountFrom)%window > window/2) {
			r.WorstService = min(r.WorstService, ratio(r.wgot[i], a))
		}
	}
	r.TandemShare = ratio(float64(r.EstablishedViaTandem), float64(r.Established))
	for _, x := range m.xs {
		r.Utilization = append(r.Utilization, x.proc.used.Seconds()/m.now.Seconds())
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
