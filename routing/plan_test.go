package routing

import (
	"fmt"
	"testing"
	"time"
)

// planned is a controller of exchange 0 among six whose group to exchange 1 is full.
func planned(t *testing.T, seed uint64) *Controller {
	t.Helper()
	c, err := New(Settings{OwnExchange: 0, FleetSize: 6, Classes: []Class{{GoalTime: 2 * time.Second, Deadline: 9 * time.Second, Hold: 10 * time.Second, Worth: 1, Width: 1}},
		MaxAttempts: 5, ReleaseDelay: 500 * time.Millisecond}, seed)
	if err != nil {
		t.Fatal(err)
	}
	list := ListUpdated{Complete: true}
	for i := range 6 {
		list.Entries = append(list.Entries, ListEntry{Host: fmt.Sprint("h", i), Exchange: i})
	}
	c.Handle(0, list)
	for i := 1; i < 6; i++ {
		r := NoReport
		r.Free, r.Size = 20, 20
		if i == 1 {
			r.Free = 0
		}
		c.Handle(0, Reported{Host: fmt.Sprint("h", i), Report: r})
	}
	return c
}

// first is the host that a blocked call to exchange 1 goes by; "" if it is refused.
func first(c *Controller, now time.Duration, id string) string {
	for _, a := range c.Handle(now, Offered{Call: id, Dest: 1, Width: 1, Expires: now + 3*time.Second}) {
		if s, ok := a.(Send); ok {
			return s.Host
		}
	}
	return ""
}

func TestPlannedDraw(t *testing.T) {
	sec := time.Second
	weights := []Weight{{1, 2, 3}, {1, 3, 1}, {1, 4, 0}, {2, 5, 1}}
	for _, x := range []struct {
		name   string
		events []Event // at 1 s
		at     time.Duration
		want   map[string][2]float64 // share of draws, from and to
	}{
		{"by weight", []Event{PlanUpdated{Version: 1, ValidUntil: 9 * sec, Weights: weights}}, 2 * sec,
			map[string][2]float64{"h2": {0.7, 0.8}, "h3": {0.2, 0.3}, "h4": {0, 0}, "h5": {0, 0}}},
		{"times room", []Event{PlanUpdated{Version: 1, ValidUntil: 9 * sec, Weights: weights}, Reported{Host: "h2", Report: Report{Free: 10, Size: 20, QueueDelay: -1, QueueLength: -1, Utilization: -1, AcceptRate: -1, Throttle: -1}}}, 2 * sec,
			map[string][2]float64{"h2": {0.55, 0.65}, "h3": {0.35, 0.45}}},
		{"one that left has no part", []Event{PlanUpdated{Version: 1, ValidUntil: 9 * sec, Weights: weights}, ListUpdated{Entries: []ListEntry{{Host: "h2", Exchange: 2, State: Removed}}}}, 2 * sec,
			map[string][2]float64{"h2": {0, 0}, "h3": {0.999, 1.001}}},
		{"none with a weight", []Event{PlanUpdated{Version: 1, ValidUntil: 9 * sec, Weights: weights[2:3]}}, 2 * sec,
			map[string][2]float64{"h2": {0.15, 0.35}, "h3": {0.15, 0.35}, "h4": {0.15, 0.35}, "h5": {0.15, 0.35}}},
		{"past its time", []Event{PlanUpdated{Version: 1, ValidUntil: 2 * sec, Weights: weights}}, 2 * sec,
			map[string][2]float64{"h4": {0.15, 0.35}, "h5": {0.15, 0.35}}},
		{"an older version", []Event{PlanUpdated{Version: 2, ValidUntil: 9 * sec, Weights: weights}, PlanUpdated{Version: 1, ValidUntil: 9 * sec, Weights: weights[3:]},
			PlanUpdated{Version: 2, ValidUntil: 9 * sec, Weights: weights[3:]}}, 2 * sec, map[string][2]float64{"h2": {0.7, 0.8}, "h5": {0, 0}}},
		{"taken back", []Event{PlanUpdated{Version: 1, ValidUntil: 9 * sec, Weights: weights}, PlanUpdated{Version: 2}}, 2 * sec,
			map[string][2]float64{"h4": {0.15, 0.35}, "h5": {0.15, 0.35}}},
	} {
		const runs = 2000
		got := map[string]float64{}
		for seed := range uint64(runs) {
			c := planned(t, seed)
			for _, ev := range x.events {
				c.Handle(sec, ev)
			}
			got[first(c, x.at, "a")] += 1.0 / runs
		}
		for h, span := range x.want {
			if got[h] < span[0] || got[h] > span[1] {
				t.Errorf("%s: %s in %.3f of the draws, want %v (%v)", x.name, h, got[h], span, got)
			}
		}
	}
}

// A plan that is past its time is dropped with a line in the log, once.
func TestPlanLapses(t *testing.T) {
	c := planned(t, 1)
	c.Handle(time.Second, PlanUpdated{Version: 7, ValidUntil: 3 * time.Second, Weights: []Weight{{1, 2, 1}}})
	var logs []string
	for now := time.Second; now < 6*time.Second; now += time.Second {
		for _, a := range c.Handle(now, TimerFired{}) {
			if l, ok := a.(Log); ok {
				logs = append(logs, fmt.Sprint(now, " ", l.Text))
			}
		}
	}
	if fmt.Sprint(logs) != "[3s plan 7 is past its time: dropped]" {
		t.Error(logs)
	}
}

// A guard of 1 keeps more of a group from calls in transit, one of 0 less.
func TestGuards(t *testing.T) {
	for _, x := range []struct {
		guards []Guard
		keep   int
	}{{nil, 3}, {[]Guard{{3, 1}}, 5}, {[]Guard{{3, 0.3}}, 5}, {[]Guard{{3, 0.1}}, 3}, {[]Guard{{2, 1}}, 3}, {[]Guard{{3, 40}}, 5}, {[]Guard{{3, -1}}, 3}} {
		c := planned(t, 1)
		if x.guards != nil {
			c.Handle(0, PlanUpdated{Version: 1, ValidUntil: time.Hour, Guards: x.guards})
		}
		if got := c.trunkReserve(3); got != x.keep {
			t.Errorf("%v: %d kept, want %d", x.guards, got, x.keep)
		}
	}
}
