// Package longpoll decides when a client sends its next poll to a long-polling server, and
// which polls it gives up.
//
// The server answers a poll when it has news, or after the wait that the poll requests. It
// may be slow, so that replies arrive late, or silent, so that none arrives, and a client
// can't distinguish the two while it waits. A poll without a timely reply is therefore not
// cancelled. It becomes overdue, and the next poll is sent beside it: a server that is silent
// on one connection is asked again on another, and the late reply of a slow one is still
// read. A client that cancelled the poll instead would never receive the replies of a server
// that is always slower than the timeout.
//
// The number of outstanding polls is limited. At the limit the second-oldest is cancelled
// and the oldest kept, so that a reply of any lateness below Settings.MaxAge is read.
//
// A Schedule is a state machine without a clock, goroutines or I/O: the host passes the time
// to each method and carries out the returned Decision. It is not safe for concurrent use.
package longpoll

import (
	"slices"
	"time"
)

// Settings are the time limits of a Schedule.
type Settings struct {
	// Wait is how long the server may wait for news before it answers.
	Wait time.Duration
	// ReplyTimeout is how long after the wait a poll becomes overdue.
	ReplyTimeout time.Duration
	// MaxOutstanding limits the polls that have no reply yet. Those but the oldest are given
	// up after (MaxOutstanding-1) * (Wait+ReplyTimeout).
	MaxOutstanding int
	// MaxAge is how long the oldest poll is kept.
	MaxAge time.Duration
	// MinInterval and MaxInterval limit the time from the start of a failed poll to the start
	// of the next one. It doubles with each failure in a row.
	MinInterval, MaxInterval time.Duration
	// MaxEmptyInterval replaces MaxInterval after replies without news that come well before
	// the end of the wait.
	MaxEmptyInterval time.Duration
}

// ID identifies a poll. IDs start at 1 and are not reused.
type ID uint64

// poll is an outstanding poll.
type poll struct {
	id      ID
	begunAt time.Time
	overdue bool
}

// Schedule tracks the outstanding polls of one client. Create one with New.
type Schedule struct {
	settings    Settings
	lastID      ID
	outstanding []poll // in the order of their start; at most Settings.MaxOutstanding
	notBefore   time.Time
	interval    time.Duration
}

// New returns a schedule whose first poll is due at once.
func New(settings Settings) *Schedule {
	return &Schedule{settings: settings, interval: settings.MinInterval}
}

// Decision is what the host must do.
type Decision struct {
	Overdue   []ID      // polls that have become overdue; they stay outstanding
	Cancel    []ID      // polls to cancel, without a reply
	Begin     ID        // the poll to send now; 0: none
	NextCheck time.Time // when to call Check if nothing else happens
}

// Check returns the decision at the given time.
func (s *Schedule) Check(now time.Time) Decision {
	decision := Decision{Overdue: s.markOverdue(now), Cancel: s.cancelOld(now)}
	if s.current() == nil && !now.Before(s.notBefore) {
		if len(s.outstanding) >= s.settings.MaxOutstanding {
			decision.Cancel = append(decision.Cancel, s.cancelSecondOldest())
		}
		decision.Begin = s.begin(now)
	}
	decision.NextCheck = s.nextCheck()
	return decision
}

// Succeeded records the reply to a poll; news says whether it contained any. An unknown ID is
// ignored.
func (s *Schedule) Succeeded(id ID, now time.Time, news bool) {
	p, ok := s.remove(id)
	switch {
	case !ok:
	case news || now.Sub(p.begunAt) >= s.settings.Wait/2:
		s.interval, s.notBefore = s.settings.MinInterval, time.Time{}
	default:
		s.delayNext(p, s.settings.MaxEmptyInterval) // the next poll at once would be a busy loop
	}
}

// Failed records that a poll has failed. An unknown ID is ignored.
func (s *Schedule) Failed(id ID) {
	p, ok := s.remove(id)
	if ok && !p.overdue { // another poll was sent beside an overdue one
		s.delayNext(p, s.settings.MaxInterval)
	}
}

// ServerMoved records that the server has another address, and the former one sends no replies
// any more. It returns the outstanding polls, which the host must cancel. The next poll is due
// at once.
func (s *Schedule) ServerMoved() (cancel []ID) {
	for _, p := range s.outstanding {
		cancel = append(cancel, p.id)
	}
	s.outstanding = s.outstanding[:0]
	s.interval, s.notBefore = s.settings.MinInterval, time.Time{}
	return cancel
}

// delayNext sets the start of the next poll after a poll that was of no use. The interval
// starts with that poll: one that took long is repeated at once.
func (s *Schedule) delayNext(p poll, maxInterval time.Duration) {
	s.notBefore = p.begunAt.Add(s.interval)
	s.interval = min(2*s.interval, maxInterval)
}

// remove removes an outstanding poll and returns it.
func (s *Schedule) remove(id ID) (poll, bool) {
	i := slices.IndexFunc(s.outstanding, func(p poll) bool { return p.id == id })
	if i < 0 {
		return poll{}, false
	}
	p := s.outstanding[i]
	s.outstanding = slices.Delete(s.outstanding, i, i+1)
	return p, true
}

// current returns the poll whose reply is awaited before the next one is sent, or nil.
func (s *Schedule) current() *poll {
	for i := range s.outstanding {
		if p := &s.outstanding[i]; !p.overdue {
			return p
		}
	}
	return nil
}

// overdueAt returns when a poll becomes overdue.
func (s *Schedule) overdueAt(p poll) time.Time {
	return p.begunAt.Add(s.settings.Wait + s.settings.ReplyTimeout)
}

// markOverdue marks the polls that have become overdue and returns their IDs.
func (s *Schedule) markOverdue(now time.Time) (overdue []ID) {
	for i := range s.outstanding {
		p := &s.outstanding[i]
		if !p.overdue && !now.Before(s.overdueAt(*p)) {
			p.overdue = true
			overdue = append(overdue, p.id)
		}
	}
	return overdue
}

// cancelOld removes the polls that have reached MaxAge and returns their IDs.
func (s *Schedule) cancelOld(now time.Time) (cancelled []ID) {
	for len(s.outstanding) > 0 && now.Sub(s.outstanding[0].begunAt) >= s.settings.MaxAge {
		cancelled = append(cancelled, s.outstanding[0].id)
		s.outstanding = slices.Delete(s.outstanding, 0, 1)
	}
	return cancelled
}

// cancelSecondOldest removes the second-oldest poll in favour of another and returns its ID.
func (s *Schedule) cancelSecondOldest() ID {
	i := min(1, len(s.outstanding)-1)
	id := s.outstanding[i].id
	s.outstanding = slices.Delete(s.outstanding, i, i+1)
	return id
}

// begin adds a poll that starts now.
func (s *Schedule) begin(now time.Time) ID {
	s.lastID++
	s.outstanding = append(s.outstanding, poll{id: s.lastID, begunAt: now})
	return s.lastID
}

// nextCheck returns when the next poll is due or an outstanding one has reached a time limit.
func (s *Schedule) nextCheck() time.Time {
	next := s.notBefore
	if p := s.current(); p != nil {
		next = s.overdueAt(*p)
	}
	if len(s.outstanding) > 0 {
		if expiry := s.outstanding[0].begunAt.Add(s.settings.MaxAge); expiry.Before(next) {
			next = expiry
		}
	}
	return next
}
