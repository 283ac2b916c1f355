// Package share divides what the switches can take among the sources of calls, so that one source that
// asks for far more than others does not keep them from their answers.
//
// Usually nothing is limited. While far more calls are offered than are answered, each source gets an
// equal part of a little more than what was answered lately; one that asks for less gets all it asks
// for.
//
// A Limiter is a state machine without a clock or locks: its host passes the time to each method. It is
// not safe for concurrent use.
package share

import (
	"math"
	"time"
)

// Settings configures a Limiter.
type Settings struct {
	Window         time.Duration // time constant of the rates
	OverloadFactor float64       // calls offered per call answered, above which sources are limited
	MinOffered     float64       // calls a second, below which none is
	// Headroom is what is shared out, as a multiple of the calls answered: above 1, so that it grows
	// while the switches take more.
	Headroom     float64
	MinPerSource float64 // calls a second that a source always gets
	MaxSources   int     // sources that are counted; further ones are not limited
}

// Defaults leave a mesh that is offered twice what it can take to the controller.
var Defaults = Settings{
	Window:         time.Second,
	OverloadFactor: 3,
	MinOffered:     50,
	Headroom:       1.25,
	MinPerSource:   10,
	MaxSources:     1 << 14,
}

// rate is an exponentially decaying count of events.
type rate struct {
	count float64
	at    time.Time
}

func (r *rate) decay(now time.Time, window time.Duration) {
	if now.After(r.at) {
		r.count *= math.Exp(-now.Sub(r.at).Seconds() / window.Seconds())
		r.at = now
	}
}

// perSecond returns the rate at the given time.
func (r *rate) perSecond(now time.Time, window time.Duration) float64 {
	r.decay(now, window)
	return r.count / window.Seconds()
}

func (r *rate) add(now time.Time, window time.Duration) {
	r.decay(now, window)
	r.count++
}

type source struct{ offered, admitted rate }

// Limiter limits sources, which are named by any comparable value. Use New to create one.
type Limiter struct {
	settings          Settings
	offered, answered rate
	sources           map[any]*source
	lastSweep         time.Time
	share             float64 // as computed at sharedAt
	sharedAt          time.Time
}

// shareInterval is how long a computed share is used.
const shareInterval = 5 * time.Millisecond

// New returns a limiter.
func New(settings Settings) *Limiter {
	return &Limiter{settings: settings, sources: map[any]*source{}}
}

// Admit reports whether a call that a source offers may be tried.
func (l *Limiter) Admit(now time.Time, name any) bool {
	window := l.settings.Window
	l.sweep(now)
	s := l.sources[name]
	if s == nil {
		if len(l.sources) >= l.settings.MaxSources {
			return true
		}
		s = &source{}
		l.sources[name] = s
	}
	l.offered.add(now, window)
	s.offered.add(now, window)
	if l.isOverloaded(now) && s.admitted.perSecond(now, window) >= l.fairShare(now) {
		return false
	}
	s.admitted.add(now, window)
	return true
}

// Answered records that a call was established.
func (l *Limiter) Answered(now time.Time) { l.answered.add(now, l.settings.Window) }

func (l *Limiter) isOverloaded(now time.Time) bool {
	offered := l.offered.perSecond(now, l.settings.Window)
	return offered > l.settings.MinOffered && offered > l.settings.OverloadFactor*l.answered.perSecond(now, l.settings.Window)
}

// fairShare returns the rate that each source may have at most.
func (l *Limiter) fairShare(now time.Time) float64 {
	if now.Sub(l.sharedAt) >= shareInterval {
		l.share, l.sharedAt = l.divide(now), now
	}
	return l.share
}

// divide divides what is shared out equally; what a source leaves of its part goes to the others.
func (l *Limiter) divide(now time.Time) float64 {
	window := l.settings.Window
	left := l.settings.Headroom * l.answered.perSecond(now, window)
	unsatisfied := len(l.sources)
	share := left / float64(max(1, unsatisfied))
	for { // each round satisfies further sources, or is the last
		satisfied := 0
		demand := 0.0
		for _, s := range l.sources {
			if offered := s.offered.perSecond(now, window); offered <= share {
				satisfied++
				demand += offered
			}
		}
		if satisfied == len(l.sources) {
			return max(share, l.settings.MinPerSource)
		}
		next := (left - demand) / float64(len(l.sources)-satisfied)
		if next <= share*(1+1e-9) {
			return max(share, l.settings.MinPerSource)
		}
		share = next
	}
}

// sweep removes sources that have offered nothing lately.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < l.settings.Window {
		return
	}
	l.lastSweep = now
	const negligible = 0.01 // calls a second
	for name, s := range l.sources {
		if s.offered.perSecond(now, l.settings.Window) < negligible {
			delete(l.sources, name)
		}
	}
}
