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

var ids = map[int]string{0: "a", 1: "b", 2: "c"}

// heard keeps what a module would have been told.
type heard struct {
	mu     sync.Mutex
	events []routing.PlanUpdated
	log    bytes.Buffer
}

func (h *heard) tell(e routing.PlanUpdated, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

func (h *heard) last() (routing.PlanUpdated, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.events) == 0 {
		return routing.PlanUpdated{}, 0
	}
	return h.events[len(h.events)-1], len(h.events)
}

func (h *heard) Write(b []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.log.Write(b)
}

func (h *heard) said(text string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return strings.Contains(h.log.String(), text)
}

func loop(set Settings) (*Loop, *heard) {
	h := &heard{}
	return New(set, slog.New(slog.NewTextHandler(h, nil)), h.tell), h
}

// A file's plan reaches the module as the own exchange's part of it. Another
// inventory ends it, and a file that does not fit or hold changes nothing.
func TestFileInForce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.json")
	p := three()
	write := func(p *plan.Problem, valid float64) {
		t.Helper()
		if err := (&File{Made: time.Now().UTC(), ValidS: valid, Gap: 1e-6, Problem: p, Answer: solved(t, p)}).Write(path); err != nil {
			t.Fatal(err)
		}
	}
	write(p, 600)
	l, h := loop(Settings{File: path})
	if err := l.Inventory(three(), ids); err != nil {
		t.Fatal(err)
	}
	e, n := h.last()
	if n != 1 || len(e.Weights) == 0 || len(e.Guards) != 2 {
		t.Fatalf("%d events, %+v", n, e)
	}
	for _, w := range e.Weights { // from a: to c by b, and to b by c if there is room
		if w.Dest+w.Tandem != 3 || w.Weight < 0.99 {
			t.Error(w)
		}
	}
	for _, g := range e.Guards {
		if g.Value < 0.1 { // both groups of a are full
			t.Error(g)
		}
	}
	other := three()
	other.Groups[0].Circuits = 50
	if err := l.Inventory(other, ids); !errors.Is(err, replan.ErrOtherInventory) {
		t.Error(err)
	}
	e2, n := h.last()
	if n != 2 || len(e2.Weights) != 0 || e2.Version <= e.Version {
		t.Errorf("%d events, %+v", n, e2)
	}
	write(other, 0.001)
	time.Sleep(5 * time.Millisecond)
	if err := l.Inventory(other, ids); err == nil || !strings.Contains(err.Error(), "time is over") {
		t.Error(err)
	}
	write(other, 600)
	if err := l.Inventory(other, ids); err != nil {
		t.Error(err)
	}
	// Its own exchange under another number: what was in force is another's.
	if err := l.Inventory(other, map[int]string{0: "b", 1: "a", 2: "c"}); err != nil {
		t.Error(err)
	}
	e3, _ := h.last()
	if e3.Version <= e2.Version || len(e3.Guards) != 2 || e3.Guards[0].Toward+e3.Guards[1].Toward != 3 {
		t.Errorf("%+v", e3)
	}
}

// Measured demand brings a plan into force while calls go on; a solve that takes too
// long leaves things as they are.
func TestMeasured(t *testing.T) {
	quick := replan.Settings{Interval: time.Second, Memory: time.Second, MinCoverage: 0.5}
	for _, c := range []struct {
		deadline time.Duration
		want     string
	}{{0, "plan taken: none was in force"}, {time.Nanosecond, "no new plan"}} {
		l, h := loop(Settings{Measure: true, Replan: quick, Deadline: c.deadline})
		if err := l.Inventory(three(), ids); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		done := make(chan error, 1)
		go func() { done <- l.Run(ctx) }()
		for !h.said(c.want) && ctx.Err() == nil {
			l.Count("narrow", 2)
			time.Sleep(5 * time.Millisecond)
		}
		if ctx.Err() != nil {
			t.Errorf("%q was never logged", c.want)
		}
		_, n := h.last()
		if (n > 0) != (c.deadline == 0) {
			t.Errorf("%s: %d events", c.want, n)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
}
