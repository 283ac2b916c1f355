//go:build review

package rig

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

func init() {
	// All calls, with a silence of 3 s.
	cases["late-release"] = func(r *run) int {
		return silence(r, 10*time.Second, 4*time.Second, 3*time.Second, "")
	}
	// The calls that the switch ended, with a silence of 6 s.
	cases["lost-release"] = func(r *run) int {
		return silence(r, 26*time.Second, 12*time.Second, 6*time.Second, bySwitch)
	}
}

const (
	perSecond   = 10
	wait        = 3 * time.Second
	hold        = 11400 * time.Millisecond // the mean length of the class
	answerAfter = 10 * time.Millisecond
	endLimit    = 8050 * time.Millisecond // 8 s and the 50 ms that sockets add
)

// silence plays callers that set up ten calls a second to five switches, for the time given by
// calling. At silentAt the open connection to one of the switches goes silent for silentFor; new
// ones come up. Each call that stood and was ended at its switch by cause ("": by anything) must be
// released towards its caller.
func silence(r *run, calling, silentAt, silentFor time.Duration, cause string) int {
	var switches []*lotSwitch
	var members []member
	var toFirst *relay
	for cell := 1; cell <= 5; cell++ {
		s := newSwitch(r, "s-0000000"+string(rune('0'+cell)), answerAfter, hold)
		link := newRelay(s.addr)
		if cell == 1 {
			toFirst = link
		}
		switches = append(switches, s)
		members = append(members, newMember(s.id, link.addr, cell))
	}
	ch := newChannel(r, members...)
	addr := freeAddr()
	r.startProxy("n0", addr, ch.addr, ch.all())
	cs := newCallers(r, addr)
	began := time.Now()
	if r.trouble {
		time.AfterFunc(silentAt, func() {
			r.logf("the open connection to %s goes silent for %v", switches[0].id, silentFor)
			toFirst.silence(silentFor)
		})
	}
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for id := uint64(1); time.Since(began) < calling; id++ {
		<-ticker.C
		cs.setUp(0xa000+id, int(id%5)+1, wait)
	}
	// Until all calls are over, and the time in which their callers must hear of it has passed.
	time.Sleep(wait + hold + endLimit)

	calls := cs.snapshot()
	slices.SortFunc(calls, func(a, b callerCall) int { return cmp.Compare(a.id, b.id) })
	stood, judged, wrong := 0, 0, 0
	for _, call := range calls {
		if call.answered.IsZero() {
			continue
		}
		stood++
		over, by := endOf(switches, call.id)
		if over.IsZero() {
			r.logf("call %016x stands at no switch and has no end there", call.id)
			return notRun
		}
		if !strings.Contains(by, cause) {
			continue
		}
		judged++
		switch {
		case call.released.IsZero():
			wrong++
			r.logf("BROKEN: call %016x stood and is over since %.3f, ended by %s; its caller was never told", call.id, over.Sub(r.start).Seconds(), by)
		case call.released.Sub(over) > endLimit:
			wrong++
			r.logf("BROKEN: call %016x ended by %s; its caller was told %v later", call.id, by, call.released.Sub(over))
		}
	}
	r.logf("%d set-ups, %d calls stood, %d are judged, %d of these are over without word to the caller in time", len(calls), stood, judged, wrong)
	switch {
	case stood == 0:
		return notRun
	case wrong > 0:
		return broken
	}
	return held
}

// endOf returns when a call ended at its switch, and by what.
func endOf(switches []*lotSwitch, id uint64) (over time.Time, by string) {
	for _, s := range switches {
		if at, why := s.over(id); at.After(over) {
			over, by = at, why+" ("+s.id+")"
		}
	}
	return over, by
}
