package mesh

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// event is a function to run at a virtual time. Events at the same time run in the order
// in which they were scheduled.
type event struct {
	at    time.Duration
	seq   uint64
	run   func()
	kind  byte   // of the event, for the trace
	place uint32 // number of the exchange, flow or caller, for the trace
}

// eventQueue is a min-heap with four children per node: it has few levels, and events are
// stored by value, without an allocation for each.
type eventQueue []event

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

func (q *eventQueue) push(ev event) {
	*q = append(*q, ev)
	h := *q
	i := len(h) - 1
	for i > 0 {
		parent := (i - 1) / 4
		if !ev.before(&h[parent]) {
			break
		}
		h[i] = h[parent]
		i = parent
	}
	h[i] = ev
}

func (q *eventQueue) pop() event {
	h := *q
	top, last := h[0], h[len(h)-1]
	h[len(h)-1] = event{}
	h = h[:len(h)-1]
	*q = h
	if len(h) == 0 {
		return top
	}
	i := 0
	for {
		smallest := 4*i + 1
		if smallest >= len(h) {
			break
		}
		for c := smallest + 1; c < min(4*i+5, len(h)); c++ {
			if h[c].before(&h[smallest]) {
				smallest = c
			}
		}
		if !h[smallest].before(&last) {
			break
		}
		h[i] = h[smallest]
		i = smallest
	}
	h[i] = last
	return top
}

// engine runs events in order of virtual time and hashes their trace.
type engine struct {
	now    time.Duration
	seq    uint64
	events eventQueue
	trace  *xxhash.Digest
	steps  uint64
}

func newEngine() *engine { return &engine{trace: xxhash.New()} }

// scheduleAt schedules run at virtual time t, or now if t has passed. kind and place
// identify the event in the trace.
func (e *engine) scheduleAt(t time.Duration, kind byte, place uint32, run func()) {
	e.seq++
	e.events.push(event{at: max(t, e.now), seq: e.seq, run: run, kind: kind, place: place})
}

// scheduleAfter schedules run after the delay d.
func (e *engine) scheduleAfter(d time.Duration, kind byte, place uint32, run func()) {
	e.scheduleAt(e.now+d, kind, place, run)
}

// step runs the next event. It returns false if there is none up to the virtual time end.
func (e *engine) step(end time.Duration) bool {
	if len(e.events) == 0 || e.events[0].at > end {
		return false
	}
	ev := e.events.pop()
	e.now = ev.at
	e.steps++
	var record [13]byte
	binary.LittleEndian.PutUint64(record[:], uint64(ev.at))
	record[8] = ev.kind
	binary.LittleEndian.PutUint32(record[9:], ev.place)
	_, _ = e.trace.Write(record[:]) // a hash never returns an error
	ev.run()
	return true
}

// job is a unit of work for a processor.
type job struct {
	work     time.Duration // time needed at full speed
	queuedAt time.Duration
	done     func() // called after completion; nil: nothing to do
}

// maxQueueLength bounds each queue of a processor. Set-ups are refused long before that.
const maxQueueLength = 1 << 16

// processor serves one job at a time. Waiting set-ups take priority over follow-ups
// (answers and releases); each queue is first in, first out.
type processor struct {
	engine     *engine
	id         uint32
	speed      func(now time.Duration) float64 // 1: full speed
	busy       bool
	busyUntil  time.Duration
	setUps     []job
	followUps  []job
	setUpWork  time.Duration // total work of the waiting set-ups
	generation uint32        // incremented by discardAll, to ignore completions of discarded jobs
	busyTime   time.Duration // time spent serving
	// onServe, if set, is called with the time that each job waited in its queue.
	onServe func(followUp bool, wait time.Duration)
}

// expectedWait returns how long a set-up that arrives now would wait at the current speed.
func (p *processor) expectedWait() time.Duration {
	w := time.Duration(float64(p.setUpWork) / p.speed(p.engine.now))
	if p.busy {
		w += max(0, p.busyUntil-p.engine.now)
	}
	return w
}

// enqueue adds a job to its queue. The job is dropped if the queue is full.
func (p *processor) enqueue(work time.Duration, followUp bool, done func()) {
	j := job{work, p.engine.now, done}
	queue := &p.setUps
	if followUp {
		queue = &p.followUps
	}
	if len(*queue) >= maxQueueLength {
		return
	}
	*queue = append(*queue, j)
	if !followUp {
		p.setUpWork += work
	}
	if !p.busy {
		p.serveNext()
	}
}

// serveNext starts the next waiting job, if any.
func (p *processor) serveNext() {
	var current job
	followUp := len(p.setUps) == 0
	switch {
	case !followUp:
		current, p.setUps = p.setUps[0], p.setUps[1:]
		p.setUpWork -= current.work
	case len(p.followUps) > 0:
		current, p.followUps = p.followUps[0], p.followUps[1:]
	default:
		return
	}
	if p.onServe != nil {
		p.onServe(followUp, p.engine.now-current.queuedAt)
	}
	serviceTime := time.Duration(float64(current.work) / p.speed(p.engine.now))
	p.busy, p.busyUntil = true, p.engine.now+serviceTime
	p.busyTime += serviceTime
	generation := p.generation
	p.engine.scheduleAt(p.busyUntil, 'P', p.id, func() {
		if generation != p.generation {
			return
		}
		p.busy = false
		if current.done != nil {
			current.done()
		}
		if !p.busy { // done may have started another job
			p.serveNext()
		}
	})
}

// discardAll drops all work, as when the processor goes down.
func (p *processor) discardAll() {
	p.generation++
	p.busy, p.setUps, p.followUps, p.setUpWork = false, nil, nil, 0
}
