package duty

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// saved is a state's whole content, in an order that is always the same.
type saved struct {
	Now     time.Duration
	Ticked  bool
	Epochs  uint64
	Moves   int
	Members []savedMember
	Duties  []savedDuty
}

type savedMember struct {
	ID          string
	Incarnation uint64
	Until       time.Duration
	Live        bool
}

type savedDuty struct {
	Spec          Spec
	Owner         string
	Series, Epoch uint64
	Done          int64
	Ahead         []int64
}

// Save returns the state for a snapshot. Equal states give equal bytes.
func (s *State) Save() ([]byte, error) {
	out := saved{Now: s.now, Ticked: s.ticked, Epochs: s.epochs, Moves: s.moves}
	for _, id := range s.ids() {
		m := s.members[id]
		out.Members = append(out.Members, savedMember{id, m.incarnation, m.until, m.live})
	}
	for _, n := range s.names() {
		t := s.duties[n]
		d := savedDuty{t.spec, t.owner, t.series, t.epoch, t.done, nil}
		for p := range t.ahead {
			d.Ahead = append(d.Ahead, p)
		}
		slices.Sort(d.Ahead)
		out.Duties = append(out.Duties, d)
	}
	return json.Marshal(out)
}

// Load returns the state that Save gave, under the same Config.
func Load(cfg Config, b []byte) (*State, error) {
	var in saved
	if err := json.Unmarshal(b, &in); err != nil {
		return nil, fmt.Errorf("duty: snapshot: %w", err)
	}
	if len(in.Members) > MaxMembers || len(in.Duties) > MaxDuties {
		return nil, fmt.Errorf("duty: snapshot: %w", ErrLimit)
	}
	s := New(cfg)
	s.now, s.ticked, s.epochs, s.moves = in.Now, in.Ticked, in.Epochs, in.Moves
	for _, m := range in.Members {
		s.members[m.ID] = &member{incarnation: m.Incarnation, until: m.Until, live: m.Live}
	}
	for _, d := range in.Duties {
		t := &task{spec: d.Spec, owner: d.Owner, series: d.Series, epoch: d.Epoch, done: d.Done, ahead: map[int64]bool{}}
		for _, p := range d.Ahead {
			t.ahead[p] = true
		}
		if t.owner != "" {
			m := s.members[t.owner]
			if m == nil || !m.live || t.spec.Period <= 0 {
				return nil, fmt.Errorf("duty: snapshot: %w: duty %q of %q", ErrInvalid, d.Spec.Name, t.owner)
			}
			m.load += t.spec.Load
		}
		s.duties[d.Spec.Name] = t
	}
	return s, nil
}
