package mesh

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// event is something that happens at a virtual time. Events of one time happen
// in the order in which they were planned.
type event struct {
	at   time.Duration
	seq  uint64
	do   func()
	what byte // for the trace
	id   uint32
}

// queue is a heap with four children a node: few levels, and no box an event.
type queue []event

func (e *event) before(o *event) bool { return e.at < o.at || e.at == o.at && e.seq < o.seq }

func (q *queue) push(ev event) {
	*q = append(*q, ev)
	h := *q
	i := len(h) - 1
	for i > 0 {
		up := (i - 1) / 4
		if !ev.before(&h[up]) {
			break
		}
		h[i] = h[up]
		i = up
	}
	h[i] = ev
}

func (q *queue) pop() event {
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
		least := 4*i + 1
		if least >= len(h) {
			break
		}
		for c := least + 1; c < min(4*i+5, len(h)); c++ {
			if h[c].before(&h[least]) {
				least = c
			}
		}
		if !h[least].before(&last) {
			break
		}
		h[i] = h[least]
		i = least
	}
	h[i] = last
	return top
}

// engine is the virtual clock.
type engine struct {
	now    time.Duration
	seq    uint64
	events queue
	trace  *xxhash.Digest
	steps  uint64
}

func newEngine() *engine { return &engine{trace: xxhash.New()} }

// at plans an event; what and id stand for it in the trace.
func (e *engine) at(t time.Duration, what byte, id uint32, do func()) {
	e.seq++
	e.events.push(event{at: max(t, e.now), seq: e.seq, do: do, what: what, id: id})
}

func (e *engine) after(d time.Duration, what byte, id uint32, do func()) { e.at(e.now+d, what, id, do) }

// step runs the next event. It returns false if there is none before the end.
func (e *engine) step(end time.Duration) bool {
	if len(e.events) == 0 || e.events[0].at > end {
		return false
	}
	ev := e.events.pop()
	e.now = ev.at
	e.steps++
	var b [13]byte
	binary.LittleEndian.PutUint64(b[:], uint64(ev.at))
	b[8] = ev.what
	binary.LittleEndian.PutUint32(b[9:], ev.id)
	_, _ = e.trace.Write(b[:]) // a hash takes every write
	ev.do()
	return true
}

// job is work for a processor.
type job struct {
	work  time.Duration // at full speed
	since time.Duration
	done  func()
}

// maxJobs bounds a processor's lines; set-ups are turned away long before.
const maxJobs = 1 << 16

// processor serves one job at a time: all waiting set-ups before any follower (an
// answer or a release), each line first come first served.
type processor struct {
	e      *engine
	id     uint32
	speed  func(now time.Duration) float64 // 1: full
	busy   bool
	ends   time.Duration
	setUps []job
	follow []job
	ahead  time.Duration // work of the waiting set-ups
	gen    uint32        // raised when it is cleared
	used   time.Duration // time spent serving
	// waits is told how long each job waited, if set.
	waits func(follower bool, w time.Duration)
}

// wait is how long a set-up that came now would wait at the present speed.
func (p *processor) wait() time.Duration {
	w := time.Duration(float64(p.ahead) / p.speed(p.e.now))
	if p.busy {
		w += max(0, p.ends-p.e.now)
	}
	return w
}

// add puts a job in line; work that finds the line full is lost.
func (p *processor) add(work time.Duration, follower bool, done func()) {
	j := job{work, p.e.now, done}
	line := &p.setUps
	if follower {
		line = &p.follow
	}
	if len(*line) >= maxJobs {
		return
	}
	*line = append(*line, j)
	if !follower {
		p.ahead += work
	}
	if !p.busy {
		p.next()
	}
}

func (p *processor) next() {
	var j job
	follower := len(p.setUps) == 0
	switch {
	case !follower:
		j, p.setUps = p.setUps[0], p.setUps[1:]
		p.ahead -= j.work
	case len(p.follow) > 0:
		j, p.follow = p.follow[0], p.follow[1:]
	default:
		return
	}
	if p.waits != nil {
		p.waits(follower, p.e.now-j.since)
	}
	took := time.Duration(float64(j.work) / p.speed(p.e.now))
	p.busy, p.ends = true, p.e.now+took
	p.used += took
	gen := p.gen
	p.e.at(p.ends, 'P', p.id, func() {
		if gen != p.gen {
			return
		}
		p.busy = false
		if j.done != nil {
			j.done()
		}
		if !p.busy { // done may have begun another
			p.next()
		}
	})
}

// clear forgets all work: the processor went down.
func (p *processor) clear() {
	p.gen++
	p.busy, p.setUps, p.follow, p.ahead = false, nil, nil, 0
}
