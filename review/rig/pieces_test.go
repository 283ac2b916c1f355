//go:build review

package rig

import (
	"time"
)

// lostSetUp: on each of five connections a caller sets up a call to a pressed switch, which answers
// after 2.2 s. The next set-up on the connection is written in two pieces, 3 s apart.
func init() {
	cases["lost-setup"] = func(r *run) int {
		const (
			connections = 5
			pressed     = 2200 * time.Millisecond
			pause       = 3 * time.Second
			slack       = 70 * time.Millisecond // rules.answerSlackMs, and the 50 ms that sockets add
		)
		slow := newSwitch(r, "s-00000001", pressed, hold)
		quick := newSwitch(r, "s-00000002", answerAfter, hold)
		// Other calls come and go on the slow switch's group, whose state it reports.
		go slow.reportGroup(400 * time.Millisecond)
		ch := newChannel(newMember(slow.id, slow.addr, 1), newMember(quick.id, quick.addr, 2))
		addr := freeAddr()
		r.startProxy("n0", addr, ch.addr, ch.all())
		time.Sleep(time.Second)

		var conns []*callers
		for i := range uint64(connections) {
			cs := newCallers(r, addr)
			conns = append(conns, cs)
			go func() {
				cs.setUpAs("shuttle-video", 4, 0xa000+2*i, 1, wait)
				time.Sleep(20 * time.Millisecond)
				b := setUpWith("space-check", 1, 0xa001+2*i, 2, wait, "in two pieces")
				if !r.trouble {
					cs.write(b)
					return
				}
				r.logf("caller: first piece of set-up %016x", 0xa001+2*i)
				cs.write(b[:len(b)/2])
				time.Sleep(pause)
				r.logf("caller: second piece of set-up %016x", 0xa001+2*i)
				cs.write(b[len(b)/2:])
			}()
			time.Sleep(time.Second)
		}
		time.Sleep(wait + pause + time.Second)

		lost, answered := 0, 0
		for _, cs := range conns {
			for _, call := range cs.snapshot() {
				end := call.sent.Add(call.wait + slack)
				switch {
				case call.answers == 1:
					answered++
				case call.answers > 1:
					r.logf("BROKEN: set-up %016x got %d final answers", call.id, call.answers)
					lost++
				case !cs.closed.IsZero() && cs.closed.Before(end):
					r.logf("BROKEN: set-up %016x is lost: the proxy closed its connection %v after the set-up, without an answer", call.id, cs.closed.Sub(call.sent))
					lost++
				default:
					r.logf("set-up %016x has no answer when its time is up: failed, not lost", call.id)
				}
			}
		}
		r.logf("%d set-ups written whole in one piece, %d answered, %d lost", answered+lost, answered, lost)
		switch {
		case answered+lost == 0:
			return notRun
		case lost > 0:
			return broken
		}
		return held
	}
}
