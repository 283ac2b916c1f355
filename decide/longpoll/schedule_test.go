package longpoll

import (
	"math/rand/v2"
	"testing"
	"time"
)

var testSettings = Settings{Wait: time.Second, ReplyTimeout: 500 * time.Millisecond, MaxOutstanding: 6, MaxAge: 30 * time.Second,
	MinInterval: 20 * time.Millisecond, MaxInterval: 500 * time.Millisecond, MaxEmptyInterval: 200 * time.Millisecond}

// outage is a time in which the server gets no polls and sends no replies.
type outage struct {
	from, to time.Duration
	refuses  bool // polls fail at once, and those outstanding at its start fail; otherwise it is silent
}

// server is a model of a long-polling server on a virtual clock. It has news once, at newsAt.
type server struct {
	newsAt  time.Duration
	delay   func() time.Duration // draws the time from the forming of a reply to its arrival
	outages []outage
}

// outcome is how a poll ends, if it isn't given up.
type outcome struct {
	id   ID
	at   time.Duration
	err  bool
	news bool
}

// outageAt returns the outage at a time, or nil.
func (s *server) outageAt(at time.Duration) *outage {
	for i := range s.outages {
		if o := &s.outages[i]; at >= o.from && at < o.to {
			return o
		}
	}
	return nil
}

// answer returns the outcome of a poll that is sent at the given time; ok is false if there is none.
func (s *server) answer(id ID, sent time.Duration) (result outcome, ok bool) {
	if o := s.outageAt(sent); o != nil {
		return outcome{id: id, at: sent, err: true}, o.refuses
	}
	formed := sent + testSettings.Wait
	if s.newsAt < formed {
		formed = max(sent, s.newsAt)
	}
	arrives := formed + s.delay()
	for _, o := range s.outages {
		if o.from >= sent && o.from <= arrives { // the reply, or the wait for it, falls into the outage
			return outcome{id: id, at: o.from, err: true}, o.refuses
		}
	}
	return outcome{id: id, at: arrives, news: s.newsAt <= formed}, true
}

// trial is a run of a schedule against a server.
type trial struct {
	t        *testing.T
	schedule *Schedule
	server   server
	pending  []outcome
	unended  map[ID]bool // polls that the host has neither seen end nor cancelled
	begins   []time.Duration
	cancels  int
}

func newTrial(t *testing.T, s server) *trial {
	return &trial{t: t, schedule: New(testSettings), server: s, unended: map[ID]bool{}}
}

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// run runs until the news has arrived, and returns when it did, or until the given time.
func (tr *trial) run(until time.Duration) time.Duration {
	for now := time.Duration(0); now < until; {
		decision := tr.schedule.Check(start.Add(now))
		tr.carryOut(decision, now)
		next := decision.NextCheck.Sub(start)
		if next <= now {
			tr.t.Fatalf("at %v the next check is at %v", now, next)
		}
		i := tr.earliest()
		if i < 0 || tr.pending[i].at > next {
			now = next
			continue
		}
		result := tr.pending[i]
		tr.pending = append(tr.pending[:i], tr.pending[i+1:]...)
		now = max(now, result.at)
		if !tr.unended[result.id] {
			continue // given up before
		}
		delete(tr.unended, result.id)
		if result.err {
			tr.schedule.Failed(result.id)
		} else {
			tr.schedule.Succeeded(result.id, start.Add(now), result.news)
		}
		if result.news {
			return now
		}
	}
	return until
}

// earliest returns the index of the earliest pending outcome, or -1.
func (tr *trial) earliest() int {
	earliest := -1
	for i, result := range tr.pending {
		if earliest < 0 || result.at < tr.pending[earliest].at {
			earliest = i
		}
	}
	return earliest
}

func (tr *trial) carryOut(decision Decision, now time.Duration) {
	for _, id := range decision.Cancel {
		if !tr.unended[id] {
			tr.t.Errorf("at %v poll %d is cancelled, which has ended", now, id)
		}
		delete(tr.unended, id)
		tr.cancels++
	}
	if decision.Begin == 0 {
		return
	}
	tr.unended[decision.Begin] = true
	tr.begins = append(tr.begins, now)
	if len(tr.unended) > testSettings.MaxOutstanding {
		tr.t.Errorf("at %v %d polls are outstanding", now, len(tr.unended))
	}
	if result, ok := tr.server.answer(decision.Begin, now); ok {
		tr.pending = append(tr.pending, result)
	}
}

// checkGaps checks that no poll begins later than the given time after the one before.
func (tr *trial) checkGaps(limit time.Duration) {
	for i := 1; i < len(tr.begins); i++ {
		if gap := tr.begins[i] - tr.begins[i-1]; gap > limit {
			tr.t.Errorf("no poll begins for %v after %v, want at most %v", gap, tr.begins[i-1], limit)
		}
	}
}

// constant returns a server's delay that is always the same.
func constant(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// Guards against news that never arrives because replies take longer than a time limit: whatever
// the delay is, the news arrives within 6.5 s if the delay allows it, and else with one of the next
// two replies. 6.5 s is the time from a change until set-ups must have stopped.
func TestRepliesOfAnyDelayAreReceived(t *testing.T) {
	for delay := time.Duration(0); delay <= 28*time.Second; delay += 100 * time.Millisecond {
		limit := 6500 * time.Millisecond
		if delay > 6*time.Second {
			limit = 2*delay + testSettings.Wait
		}
		for newsAt := time.Duration(0); newsAt < 40*time.Second; newsAt += 330 * time.Millisecond {
			tr := newTrial(t, server{newsAt: newsAt, delay: constant(delay)})
			if took := tr.run(newsAt+limit+time.Second) - newsAt; took > limit {
				t.Fatalf("delay %v, news at %v: received after %v, want at most %v", delay, newsAt, took, limit)
			}
			tr.checkGaps(testSettings.Wait + testSettings.ReplyTimeout)
		}
	}
}

// Guards against a server that is left too late or not asked again: with delays of up to 5 s that
// change from reply to reply, and outages in which the server is silent or refuses polls, the news
// arrives within 6.5 s of the time when the server has it and answers. A poll that gets no reply is
// followed by another within 2 s of the end of its wait.
func TestOutages(t *testing.T) {
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		seconds := func(limit float64) time.Duration { return time.Duration(rng.Float64() * limit * float64(time.Second)) }
		maxDelay := seconds(5)
		s := server{newsAt: seconds(60), delay: func() time.Duration { return time.Duration(rng.Float64() * float64(maxDelay)) }}
		answersFrom := s.newsAt
		for at := seconds(20); at < 60*time.Second; at += seconds(20) + time.Second {
			o := outage{from: at, to: at + seconds(12), refuses: rng.IntN(2) == 0}
			s.outages = append(s.outages, o)
			at = o.to
		}
		// An outage within the 6.5 s may keep back a reply.
		for _, o := range s.outages {
			if o.to > s.newsAt && o.from < answersFrom+6500*time.Millisecond {
				answersFrom = max(answersFrom, o.to)
			}
		}
		tr := newTrial(t, s)
		if got := tr.run(answersFrom + 20*time.Second); got-answersFrom > 6500*time.Millisecond {
			t.Errorf("seed %d: news at %v received at %v, %v after the server answers", seed, s.newsAt, got, got-answersFrom)
		}
		tr.checkGaps(testSettings.Wait + 2*time.Second)
	}
}

// Guards against a flood of polls. A silent server gets one poll every 1.5 s, and no more than
// MaxOutstanding wait there.
func TestSilentServerIsPolledAtAConstantRate(t *testing.T) {
	tr := newTrial(t, server{newsAt: time.Hour, delay: constant(0), outages: []outage{{from: 0, to: time.Hour}}})
	tr.run(15 * time.Minute)
	if want := 15 * 60 * 2 / 3; len(tr.begins) != want {
		t.Errorf("%d polls, want %d", len(tr.begins), want)
	}
	if want := len(tr.begins) - testSettings.MaxOutstanding; tr.cancels < want {
		t.Errorf("%d polls cancelled, want at least %d", tr.cancels, want)
	}
}

// Guards against a busy loop of polls that fail or have empty replies at once.
func TestUselessPollsAreDelayed(t *testing.T) {
	for name, tc := range map[string]struct {
		end     func(s *Schedule, id ID, now time.Time)
		maxRate float64 // polls per second
	}{
		"failed":        {func(s *Schedule, id ID, _ time.Time) { s.Failed(id) }, 2},
		"empty at once": {func(s *Schedule, id ID, now time.Time) { s.Succeeded(id, now, false) }, 5},
	} {
		const span = time.Minute
		limit := int(tc.maxRate*span.Seconds()) + 10
		s, polls := New(testSettings), 0
		for now := start; now.Before(start.Add(span)) && polls <= limit; {
			decision := s.Check(now)
			if decision.Begin == 0 {
				now = decision.NextCheck
				continue
			}
			polls++
			tc.end(s, decision.Begin, now)
		}
		if polls > limit {
			t.Errorf("%s: over %d polls in %v", name, limit, span)
		}
	}
}

// Guards against waiting for the replies of a former address.
func TestMoveStartsAnew(t *testing.T) {
	s := New(testSettings)
	first := s.Check(start).Begin
	overdue := s.Check(start.Add(1500 * time.Millisecond))
	cancelled := s.ServerMoved()
	if len(cancelled) != 2 || cancelled[0] != first || cancelled[1] != overdue.Begin {
		t.Errorf("cancelled %v, want %d and %d", cancelled, first, overdue.Begin)
	}
	s.Failed(overdue.Begin) // as cancelled, by the host
	if next := s.Check(start.Add(1600 * time.Millisecond)); next.Begin == 0 {
		t.Error("the next poll isn't due at once")
	}
}
