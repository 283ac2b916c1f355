package duty

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// saved is the complete content of a State, in a deterministic order.
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

// Save encodes the state for a snapshot. Equal states give equal bytes.
func (s *State) Save() ([]byte, error) {
	snapshot := saved{Now: s.now, Ticked: s.ticked, Epochs: s.lastEpoch, Moves: s.moves}
	for _, id := range s.memberIDs() {
		m := s.members[id]
		snapshot.Members = append(snapshot.Members, savedMember{id, m.incarnation, m.leaseEnd, m.live})
	}
	for _, n := range s.dutyNames() {
		d := s.duties[n]
		entry := savedDuty{d.spec, d.owner, d.series, d.epoch, d.doneThrough, nil}
		for period := range d.doneAhead {
			entry.Ahead = append(entry.Ahead, period)
		}
		slices.Sort(entry.Ahead)
		snapshot.Duties = append(snapshot.Duties, entry)
	}
	return json.Marshal(snapshot)
}

// Load decodes a state encoded by Save. cfg must be the one that the state was created with.
func Load(cfg Config, b []byte) (*State, error) {
	var snapshot saved
	if err := json.Unmarshal(b, &snapshot); err != nil {
		return nil, fmt.Errorf("duty: snapshot: %w", err)
	}
	if len(snapshot.Members) > MaxMembers || len(snapshot.Duties) > MaxDuties {
		return nil, fmt.Errorf("duty: snapshot: %w", ErrLimit)
	}
	s := New(cfg)
	s.now, s.ticked, s.lastEpoch, s.moves = snapshot.Now, snapshot.Ticked, snapshot.Epochs, snapshot.Moves
	for _, m := range snapshot.Members {
		s.members[m.ID] = &member{incarnation: m.Incarnation, leaseEnd: m.Until, live: m.Live}
	}
	for _, entry := range snapshot.Duties {
		d := &dutyState{spec: entry.Spec, owner: entry.Owner, series: entry.Series, epoch: entry.Epoch, doneThrough: entry.Done, doneAhead: map[int64]bool{}}
		for _, period := range entry.Ahead {
			d.doneAhead[period] = true
		}
		if d.owner != "" {
			m := s.members[d.owner]
			if m == nil || !m.live || d.spec.Period <= 0 {
				return nil, fmt.Errorf("duty: snapshot: %w: duty %q of %q", ErrInvalid, entry.Spec.Name, d.owner)
			}
			m.load += d.spec.Load
		}
		s.duties[entry.Spec.Name] = d
	}
	return s, nil
}
