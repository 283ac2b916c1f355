package planner

import (
	"bytes"
	"context"
	"errors"
	"log/slog"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"violetspan.example/violetspan/decide/plan"
	"violetspan.example/violetspan/decide/replan"
	"violetspan.example/violetspan/routing"
)

var switchIDs = map[int]string{0: "a", 1: "b", 2: "c"}

// recorder records the events for the controller and the log.
type recorder struct {
	mu     sync.Mutex
	events []routing.PlanUpdated
	log    bytes.Buffer
}

func (r *recorder) notify(e routing.PlanUpdated, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

func (r *recorder) last() (routing.PlanUpdated, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) == 0 {
		return routing.PlanUpdated{}, 0
	}
	return r.events[len(r.events)-1], len(r.events)
}

func (r *recorder) Write(b []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.log.Write(b)
}

func (r *recorder) logged(text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Contains(r.log.String(), text)
}

func newTestLoop(settings Settings) (*Loop, *recorder) {
	r := &recorder{}
	return New(settings, slog.New(slog.NewTextHandler(r, nil)), r.notify), r
}

// The own exchange's part of the plan in the plan file is passed to the controller. Another
// inventory withdraws the plan, and a file with an expired plan or a plan for another
// inventory has no effect.
func TestFileInForce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.json")
	p := testProblem()
	write := func(p *plan.Problem, validSeconds float64) {
		t.Helper()
		if err := (&File{CreatedAt: time.Now().UTC(), ValidSeconds: validSeconds, Gap: 1e-6, Problem: p, Answer: solve(t, p)}).Write(path); err != nil {
			t.Fatal(err)
		}
	}
	write(p, 600)
	l, r := newTestLoop(Settings{File: path})
	if err := l.SetInventory(testProblem(), switchIDs); err != nil {
		t.Fatal(err)
	}
	first, n := r.last()
	if n != 1 || len(first.Weights) == 0 || len(first.Guards) != 2 {
		t.Fatalf("%d events, %+v", n, first)
	}
	for _, w := range first.Weights { // from a: to c via b, and to b via c if there is capacity
		if w.Dest+w.Tandem != 3 || w.Weight < 0.99 {
			t.Error(w)
		}
	}
	for _, g := range first.Guards {
		if g.Value < 0.1 { // both groups of a are full
			t.Error(g)
		}
	}
	other := testProblem()
	other.Groups[0].Circuits = 50
	if err := l.SetInventory(other, switchIDs); !errors.Is(err, replan.ErrOtherInventory) {
		t.Error(err)
	}
	withdrawal, n := r.last()
	if n != 2 || len(withdrawal.Weights) != 0 || withdrawal.Version <= first.Version {
		t.Errorf("%d events, %+v", n, withdrawal)
	}
	write(other, 0.001)
	time.Sleep(5 * time.Millisecond)
	if err := l.SetInventory(other, switchIDs); err == nil || !strings.Contains(err.Error(), "expired") {
		t.Error(err)
	}
	write(other, 600)
	if err := l.SetInventory(other, switchIDs); err != nil {
		t.Error(err)
	}
	// The own exchange's number now belongs to another switch: the plan in force is for the old one.
	if err := l.SetInventory(other, map[int]string{0: "b", 1: "a", 2: "c"}); err != nil {
		t.Error(err)
	}
	renumbered, _ := r.last()
	if renumbered.Version <= withdrawal.Version || len(renumbered.Guards) != 2 || renumbered.Guards[0].Toward+renumbered.Guards[1].Toward != 3 {
		t.Errorf("%+v", renumbered)
	}
}

// Measured demand puts a plan into force while calls arrive; a solve that exceeds its
// deadline has no effect.
func TestMeasured(t *testing.T) {
	quick := replan.Settings{Interval: time.Second, Memory: time.Second, MinCoverage: 0.5}
	for _, c := range []struct {
		deadline time.Duration
		want     string
	}{{0, "plan adopted: none was in force"}, {time.Nanosecond, "no new plan"}} {
		l, r := newTestLoop(Settings{Measure: true, Replan: quick, Deadline: c.deadline})
		if err := l.SetInventory(testProblem(), switchIDs); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		done := make(chan error, 1)
		go func() { done <- l.Run(ctx) }()
		for !r.logged(c.want) && ctx.Err() == nil {
			l.CountCall("narrow", 2)
			time.Sleep(5 * time.Millisecond)
		}
		if ctx.Err() != nil {
			t.Errorf("%q was never logged", c.want)
		}
		_, n := r.last()
		if (n > 0) != (c.deadline == 0) {
			t.Errorf("%s: %d events", c.want, n)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}
