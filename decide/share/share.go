// Package share keeps a source of calls that floods from taking all that the switches can take.
//
// Calls that the switches can't take at once wait for their final answer, first come first served. A
// source that floods fills that queue, and the calls of others expire behind its own. Nothing is limited
// until that is seen: a source with few calls waiting has had no final answer for MaxQueueDelay, beside
// one that has many. From then until the flood is over, or all others have gone, a source that offers more
// than an equal part of all calls may have only so many waiting as are answered in MaxQueueDelay; calls
// beyond that are refused, also those that wait already. If that does not help, as where the switches take
// calls in batches and the source takes all of each, its rate is halved, and grows again while nobody is
// delayed. A source that is alone is never limited.
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
	Window         time.Duration // time constant of the rates; a source that offered nothing for as long is not counted
	OverloadFactor float64       // calls offered per call answered, above which there is a flood
	MinOffered     float64       // calls a second, below which there is none
	MaxQueueDelay  time.Duration // how long the calls of one source may delay those of others
	MinWaiting     int           // calls that a source may always have waiting
	MaxSources     int           // sources that are counted; further ones are not limited
	CheckInterval  time.Duration // between two looks at all sources
}

// Defaults leave a mesh that is offered twice what it can take to the controller.
var Defaults = Settings{
	Window:         time.Second,
	OverloadFactor: 3,
	MinOffered:     50,
	MaxQueueDelay:  250 * time.Millisecond,
	MinWaiting:     4,
	MaxSources:     1 << 14,
	CheckInterval:  20 * time.Millisecond,
}

// manyTimes is how many times the waiting calls of a source another one must have to be the one that
// delays it.
const manyTimes = 4

const (
	minBusyPart     = 0.05 // of Window, for a rate of answers
	paceDelayFactor = 2    // of MaxQueueDelay, after which a limited source is also paced
	paceGrowth      = 0.25 // a second, as a part of the pace
)

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

// source is a source of calls, such as a connection or a tenant.
type source struct {
	offered      rate
	admitted     rate
	waiting      int // admitted calls without a final answer
	lastOffered  time.Time
	lastProgress time.Time // when a call last had its final answer, or the first of those that wait was offered
}

// Limiter limits sources, which are named by any comparable value. Use New to create one.
type Limiter struct {
	settings          Settings
	offered, answered rate
	sources           map[any]*source
	waiting           int       // calls of all sources
	busySince         time.Time // when waiting was last 0
	heavy             int       // sources with at least MinWaiting calls waiting
	limited           bool      // a flood delays others
	pace              float64   // calls a second that a limited source may have
	pacedAt           time.Time // when pace was last lowered
	lastSweep         time.Time
	lastCheck         time.Time
}

// NoLimit is the limit of waiting calls of a source that is not limited.
const NoLimit = math.MaxInt

// New returns a limiter.
func New(settings Settings) *Limiter {
	return &Limiter{settings: settings, sources: map[any]*source{}}
}

// Offer decides on a call that a source offers. The host reports the final answer of an admitted call with
// Finished, and before that Answered if the call is established. If shed is set, the host refuses waiting
// calls of each source that has more than WaitingLimit, the latest ones first.
func (l *Limiter) Offer(now time.Time, name any) (admitted, shed bool) {
	l.sweep(now)
	l.offered.add(now, l.settings.Window)
	s := l.sources[name]
	if s == nil {
		if len(l.sources) >= l.settings.MaxSources {
			return true, false
		}
		s = &source{}
		l.sources[name] = s
	}
	s.offered.add(now, l.settings.Window)
	s.lastOffered = now
	if s.waiting == 0 {
		s.lastProgress = now
	}
	shed = l.check(now) && l.limited
	if s.waiting >= l.WaitingLimit(now, name) || l.isPaced(now, s) {
		return false, shed
	}
	s.admitted.add(now, l.settings.Window)
	l.addWaiting(now, s, 1)
	return true, shed
}

// isPaced reports whether a source has had all calls that its rate allows.
func (l *Limiter) isPaced(now time.Time, s *source) bool {
	return l.limited && l.isAboveEqualPart(now, s) && s.admitted.perSecond(now, l.settings.Window) >= l.pace
}

// WaitingLimit returns how many calls of a source may wait, or NoLimit. While there is a limit, it is an
// equal part, for each source that has many waiting, of what is answered in MaxQueueDelay.
func (l *Limiter) WaitingLimit(now time.Time, name any) int {
	s := l.sources[name]
	if s == nil || !l.limited || !l.isAboveEqualPart(now, s) {
		return NoLimit
	}
	answered := l.answeredPerSecond(now) * l.settings.MaxQueueDelay.Seconds()
	return max(l.settings.MinWaiting, int(answered)/max(1, l.heavy))
}

// isAboveEqualPart reports whether a source offers more than an equal part of all calls.
func (l *Limiter) isAboveEqualPart(now time.Time, s *source) bool {
	return s.offered.perSecond(now, l.settings.Window)*float64(len(l.sources)) > l.offered.perSecond(now, l.settings.Window)
}

// check looks at all sources, if CheckInterval has passed since it last did, and sets the limits. It
// reports whether it did.
func (l *Limiter) check(now time.Time) bool {
	interval := now.Sub(l.lastCheck)
	if interval < l.settings.CheckInterval {
		return false
	}
	l.lastCheck = now
	delay := l.delay(now)
	switch {
	case !l.isFlooded(now) || !l.isContended(now):
		l.limited = false
	case !l.limited && delay >= l.settings.MaxQueueDelay:
		l.limited, l.pace = true, math.Inf(1)
	case l.limited && delay >= paceDelayFactor*l.settings.MaxQueueDelay && now.Sub(l.pacedAt) >= l.settings.Window:
		answered := l.answeredPerSecond(now)
		l.pace, l.pacedAt = max(min(l.pace, answered)/2, float64(l.settings.MinWaiting)), now
	default:
		l.pace *= 1 + paceGrowth*interval.Seconds()
	}
	return true
}

// delay returns for how long a source with few waiting calls has had no final answer, beside one that has
// many times as many waiting; the longest of all sources.
func (l *Limiter) delay(now time.Time) (longest time.Duration) {
	if l.heavy == 0 {
		return 0
	}
	most := 0
	for _, s := range l.sources {
		most = max(most, s.waiting)
	}
	for _, s := range l.sources {
		if s.waiting > 0 && s.waiting*manyTimes <= most {
			longest = max(longest, now.Sub(s.lastProgress))
		}
	}
	return longest
}

// Answered records that a call was established.
func (l *Limiter) Answered(now time.Time) { l.answered.add(now, l.settings.Window) }

// answeredPerSecond returns how many calls are answered a second, by the answers since calls have been waiting
// without a break: after a start or a pause, those of the whole Window would be too few.
func (l *Limiter) answeredPerSecond(now time.Time) float64 {
	busy := now.Sub(l.busySince).Seconds() / l.settings.Window.Seconds()
	return l.answered.perSecond(now, l.settings.Window) / max(minBusyPart, 1-math.Exp(-busy))
}

// Finished records that an admitted call of a source has its final answer.
func (l *Limiter) Finished(now time.Time, name any) {
	if s := l.sources[name]; s != nil && s.waiting > 0 {
		l.addWaiting(now, s, -1)
		s.lastProgress = now
	}
}

// addWaiting changes the number of a source's waiting calls.
func (l *Limiter) addWaiting(now time.Time, s *source, change int) {
	if l.waiting == 0 {
		l.busySince, l.answered = now, rate{}
	}
	l.waiting += change
	wasHeavy := s.waiting >= l.settings.MinWaiting
	s.waiting += change
	switch isHeavy := s.waiting >= l.settings.MinWaiting; {
	case isHeavy && !wasHeavy:
		l.heavy++
	case wasHeavy && !isHeavy:
		l.heavy--
	}
}

func (l *Limiter) isFlooded(now time.Time) bool {
	offered := l.offered.perSecond(now, l.settings.Window)
	return offered > l.settings.MinOffered && offered > l.settings.OverloadFactor*l.answeredPerSecond(now)
}

// isContended reports whether more than one source has offered calls lately.
func (l *Limiter) isContended(now time.Time) bool {
	active := 0
	for _, s := range l.sources {
		if now.Sub(s.lastOffered) < l.settings.Window {
			active++
			if active > 1 {
				return true
			}
		}
	}
	return false
}

// sweep removes sources without waiting calls that have offered nothing lately.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.lastSweep) < l.settings.Window {
		return
	}
	l.lastSweep = now
	for name, s := range l.sources {
		if s.waiting == 0 && now.Sub(s.lastOffered) >= l.settings.Window {
			delete(l.sources, name)
		}
	}
}
