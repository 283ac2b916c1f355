//go:build review

package rig

import "time"

// drain: callers set up ten calls a second to five switches. The command channel is slow for 20 s:
// each of its replies comes 2.5 s later. 1 s into this time it has to tell that one of the switches
// drains. That one ends 14 s later, when the calls that it had before are over.
func init() {
	cases["drain"] = func(r *run) int {
		const (
			slowAt    = 2 * time.Second
			slowFor   = 20 * time.Second
			replyTime = 2500 * time.Millisecond
			drainAt   = slowAt + time.Second
			endAt     = drainAt + 14*time.Second
			calling   = 26 * time.Second
			told      = 7 * time.Second        // counts as told after this, whether it arrived or not
			grace     = 550 * time.Millisecond // rules.drainGraceMs, and the 50 ms that sockets add
		)
		var switches []*lotSwitch
		var members []member
		for cell := 1; cell <= 5; cell++ {
			s := newSwitch(r, "s-0000000"+string(rune('0'+cell)), answerAfter, hold)
			switches = append(switches, s)
			members = append(members, newMember(s.id, s.addr, cell))
		}
		ch := newChannel(r, members...)
		addr := freeAddr()
		r.startProxy("n0", addr, ch.addr, ch.all())
		cs := newCallers(r, addr)
		began := time.Now()
		drained := make(chan time.Time, 1)
		go func() {
			time.Sleep(slowAt)
			if r.trouble {
				r.logf("the command channel is slow for %v: each reply comes %v later", slowFor, replyTime)
				ch.setDelay(replyTime)
			}
			time.Sleep(drainAt - slowAt)
			m := members[0]
			m.Phase = "draining"
			r.logf("the command channel has the event that %s drains", m.ID)
			ch.publish(m)
			drained <- time.Now()
			time.Sleep(endAt - drainAt)
			cut := switches[0].stop()
			m.Phase = "removed"
			ch.publish(m)
			r.logf("%s ends; %d calls that stood there are cut", m.ID, len(cut))
			time.Sleep(slowAt + slowFor - endAt)
			ch.setDelay(0)
			r.logf("the command channel is quick")
		}()
		ticker := time.NewTicker(time.Second / perSecond)
		defer ticker.Stop()
		for id := uint64(1); time.Since(began) < calling; id++ {
			<-ticker.C
			cs.setUp(0xa000+id, int(id%5)+1, wait)
		}
		time.Sleep(wait)

		limit := (<-drained).Add(told + grace)
		sent, wrong := 0, 0
		for _, at := range switches[0].setUpTimes() {
			if sent++; at.After(limit) {
				wrong++
				r.logf("BROKEN: a set-up came to the draining switch at %.3f, %.3f s after the event", at.Sub(r.start).Seconds(), at.Sub(limit.Add(-told-grace)).Seconds())
			}
		}
		r.logf("%d set-ups came to %s, %d of them more than %v after the event of its drain", sent, switches[0].id, wrong, told+grace)
		switch {
		case sent == 0:
			return notRun
		case wrong > 0:
			return broken
		}
		return held
	}
}
