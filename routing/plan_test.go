package routing

import (
	"fmt"
	"testing"
	"time"
)

// newPlannedController returns the controller of exchange 0 in a network of six whose group to
// exchange 1 is full.
func newPlannedController(t *testing.T, seed uint64) *Controller {
	t.Helper()
	c, err := New(Settings{OwnExchange: 0, FleetSize: 6, Classes: []Class{{GoalTime: 2 * time.Second, Deadline: 9 * time.Second, Hold: 10 * time.Second, Worth: 1, Width: 1}},
		MaxAttempts: 5, ReleaseDelay: 500 * time.Millisecond}, seed)
	if err != nil {
		t.Fatal(err)
	}
	update := ListUpdated{Complete: true}
	for i := range 6 {
		update.Entries = append(update.Entries, ListEntry{Host: fmt.Sprint("h", i), Exchange: i})
	}
	c.Handle(0, update)
	for i := 1; i < 6; i++ {
		report := NoReport
		report.Free, report.Size = 20, 20
		if i == 1 {
			report.Free = 0
		}
		c.Handle(0, Reported{Host: fmt.Sprint("h", i), Report: report})
	}
	return c
}

// firstHost returns the host to which a call to exchange 1 is sent; "" if it is refused.
func firstHost(c *Controller, now time.Duration, id string) string {
	for _, a := range c.Handle(now, Offered{Call: id, Dest: 1, Width: 1, Expires: now + 3*time.Second}) {
		if s, ok := a.(Send); ok {
			return s.Host
		}
	}
	return ""
}

func TestPlannedDraw(t *testing.T) {
	second := time.Second
	weights := []Weight{{1, 2, 3}, {1, 3, 1}, {1, 4, 0}, {2, 5, 1}}
	for _, tc := range []struct {
		name   string
		events []Event // at 1 s
		at     time.Duration
		want   map[string][2]float64 // bounds of the share of draws, by host
	}{
		{"by weight", []Event{PlanUpdated{Version: 1, ValidUntil: 9 * second, Weights: weights}}, 2 * second,
			map[string][2]float64{"h2": {0.7, 0.8}, "h3": {0.2, 0.3}, "h4": {0, 0}, "h5": {0, 0}}},
		{"by weight times free circuits", []Event{PlanUpdated{Version: 1, ValidUntil: 9 * second, Weights: weights}, Reported{Host: "h2", Report: Report{Free: 10, Size: 20, QueueDelay: -1, QueueLength: -1, Utilization: -1, AcceptRate: -1, Throttle: -1}}}, 2 * second,
			map[string][2]float64{"h2": {0.55, 0.65}, "h3": {0.35, 0.45}}},
		{"a removed tandem is not drawn", []Event{PlanUpdated{Version: 1, ValidUntil: 9 * second, Weights: weights}, ListUpdated{Entries: []ListEntry{{Host: "h2", Exchange: 2, State: Removed}}}}, 2 * second,
			map[string][2]float64{"h2": {0, 0}, "h3": {0.999, 1.001}}},
		{"no tandem with a weight", []Event{PlanUpdated{Version: 1, ValidUntil: 9 * second, Weights: weights[2:3]}}, 2 * second,
			map[string][2]float64{"h2": {0.15, 0.35}, "h3": {0.15, 0.35}, "h4": {0.15, 0.35}, "h5": {0.15, 0.35}}},
		{"past its validity", []Event{PlanUpdated{Version: 1, ValidUntil: 2 * second, Weights: weights}}, 2 * second,
			map[string][2]float64{"h4": {0.15, 0.35}, "h5": {0.15, 0.35}}},
		{"an older version", []Event{PlanUpdated{Version: 2, ValidUntil: 9 * second, Weights: weights}, PlanUpdated{Version: 1, ValidUntil: 9 * second, Weights: weights[3:]},
			PlanUpdated{Version: 2, ValidUntil: 9 * second, Weights: weights[3:]}}, 2 * second, map[string][2]float64{"h2": {0.7, 0.8}, "h5": {0, 0}}},
		{"withdrawn", []Event{PlanUpdated{Version: 1, ValidUntil: 9 * second, Weights: weights}, PlanUpdated{Version: 2}}, 2 * second,
			map[string][2]float64{"h4": {0.15, 0.35}, "h5": {0.15, 0.35}}},
	} {
		const runs = 2000
		got := map[string]float64{}
		for seed := range uint64(runs) {
			c := newPlannedController(t, seed)
			for _, ev := range tc.events {
				c.Handle(second, ev)
			}
			got[firstHost(c, tc.at, "a")] += 1.0 / runs
		}
		for h, span := range tc.want {
			if got[h] < span[0] || got[h] > span[1] {
				t.Errorf("%s: %s in %.3f of the draws, want %v (all draws: %v)", tc.name, h, got[h], span, got)
			}
		}
	}
}

// A plan is dropped at the end of its validity, with one log line.
func TestPlanExpires(t *testing.T) {
	c := newPlannedController(t, 1)
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

// A guard of 1 reserves more of a group's circuits for direct calls than one of 0.
func TestGuards(t *testing.T) {
	for _, tc := range []struct {
		guards []Guard
		want   int
	}{{nil, 3}, {[]Guard{{3, 1}}, 5}, {[]Guard{{3, 0.3}}, 5}, {[]Guard{{3, 0.1}}, 3}, {[]Guard{{2, 1}}, 3}, {[]Guard{{3, 40}}, 5}, {[]Guard{{3, -1}}, 3}} {
		c := newPlannedController(t, 1)
		if tc.guards != nil {
			c.Handle(0, PlanUpdated{Version: 1, ValidUntil: time.Hour, Guards: tc.guards})
		}
		if got := c.trunkReserve(3); got != tc.want {
			t.Errorf("%v: reserve of %d circuits, want %d", tc.guards, got, tc.want)
		}
	}
}
