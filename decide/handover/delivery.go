package handover

import "time"

// delivery is a message that is repeated until enough peers have acknowledged it.
type delivery struct {
	message    Message
	candidates []int // the peers that may receive it; one that does not acknowledge is followed by the next
	copies     int   // acknowledgements wanted
	next       int   // index into candidates
	sentTo     map[int]bool
	ackedBy    map[int]bool
	interval   time.Duration
	nextSend   time.Time
	expires    time.Time // zero: never
}

func newDelivery(message Message, candidates []int, copies int, interval time.Duration, now time.Time) *delivery {
	return &delivery{message: message, candidates: candidates, copies: min(copies, len(candidates)),
		sentTo: map[int]bool{}, ackedBy: map[int]bool{}, interval: interval, nextSend: now}
}

// isComplete reports whether enough peers have acknowledged the message.
func (d *delivery) isComplete() bool { return len(d.ackedBy) >= d.copies }

// isOver reports whether the message is not sent any more.
func (d *delivery) isOver(now time.Time) bool {
	return d.isComplete() || !d.expires.IsZero() && !now.Before(d.expires)
}

// packets returns what is due: a copy for each acknowledgement that is still missing. Every candidate
// gets one before any gets a second.
func (d *delivery) packets(now time.Time, maxInterval time.Duration) (packets []Packet) {
	if d.isOver(now) || now.Before(d.nextSend) {
		return nil
	}
	d.nextSend = now.Add(d.interval)
	d.interval = min(2*d.interval, max(d.interval, maxInterval))
	missing := d.copies - len(d.ackedBy)
	for range d.candidates {
		if missing == 0 {
			break
		}
		peer := d.candidates[d.next]
		d.next = (d.next + 1) % len(d.candidates)
		if d.ackedBy[peer] {
			continue
		}
		d.sentTo[peer] = true
		packets = append(packets, Packet{peer, d.message})
		missing--
	}
	return packets
}
