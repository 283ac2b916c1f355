package standin

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// assumedDelivery is the time after which a change counts as delivered even if no request has
// fetched it, counted from when discovery both had the change and was reachable.
const assumedDelivery = 6 * time.Second

// disconnectDelay is how long the HTTP server takes to notice that its client has disconnected.
const disconnectDelay = 20 * time.Millisecond

// Discovery simulates the command channel of several proxies, with a port for each.
type Discovery struct {
	Ledger *Ledger

	mu             sync.Mutex // guards all below
	members        map[string]Member
	streams        map[string]*stream
	reachableSince time.Time // since when discovery has been reachable; zero: it is unreachable
	requests       int       // polls so far
	replyTiming    func(request int) ReplyTiming
}

// ReplyTiming is how a reply is delayed once it is formed.
type ReplyTiming struct {
	Never    bool          // the reply isn't sent, and the connection stays open
	Delay    time.Duration // until the first piece is sent
	Pieces   int           // in how many pieces the body is sent; 0: in one
	Interval time.Duration // between two pieces
}

// duration returns the time from the forming of the reply until all of it is sent.
func (t ReplyTiming) duration() time.Duration {
	return t.Delay + time.Duration(max(0, t.Pieces-1))*t.Interval
}

// Member is an entry in discovery's list of switches.
type Member struct {
	Switch    *Switch
	Phase     string // up, draining or removed
	StartedMs int64  // Unix milliseconds of the start, if the switch started during the run; else 0
}

// stream holds the events for one incarnation of a proxy.
type stream struct {
	proxy   string
	port    *Port
	server  *http.Server
	events  []event
	updated chan struct{} // closed and replaced when an event is added
}

// event is one command of the channel, in JSON.
type event struct {
	text        string
	switches    []string // switches that the event marks as draining or removed
	delivered   bool
	publishedAt time.Time
}

// NewDiscovery returns a Discovery with an empty list of switches.
func NewDiscovery(ledger *Ledger) *Discovery {
	return &Discovery{Ledger: ledger, members: map[string]Member{}, streams: map[string]*stream{}, reachableSince: time.Now(),
		replyTiming: func(int) ReplyTiming { return ReplyTiming{} }}
}

// Listen opens the port for a proxy. If the proxy had one, its events move to the new address
// and the old port closes 1.5 s later.
func (d *Discovery) Listen(proxy, addr string) error {
	s := &stream{proxy: proxy, updated: make(chan struct{})}
	listener := newPortListener()
	s.port = NewPort(addr, listener.serve)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(s, w, r) })}
	go func() { _ = s.server.Serve(listener) }()
	d.mu.Lock()
	old := d.streams[proxy]
	if old != nil {
		s.events = old.events
		go func() { // the old port stays open a little longer; requests pending on it get no new events
			time.Sleep(1500 * time.Millisecond)
			old.port.Close()
		}()
	}
	d.streams[proxy] = s
	d.mu.Unlock()
	return s.port.Open()
}

// InitialEvents restarts a proxy's events with a single one that holds the complete list. It
// returns this event, as the value of the configuration key known, and discovery's address.
func (d *Discovery) InitialEvents(proxy string) (known, addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.streams[proxy]
	var all []Member
	for _, m := range d.members {
		if m.Phase != "removed" {
			all = append(all, m)
		}
	}
	s.events = []event{{text: eventText(1, true, proxy, all), delivered: true}}
	return `{"cursor":1,"cmds":[` + s.events[0].text + `]}`, s.port.Addr()
}

// AllEvents returns all events so far, as the value of the configuration key known for a proxy
// that reads its configuration again, and discovery's address.
func (d *Discovery) AllEvents(proxy string) (known, addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.streams[proxy]
	return s.eventsAfter(0), s.port.Addr()
}

// Publish changes entries of the list and sends every proxy an event with them.
func (d *Discovery) Publish(changes ...Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var drainedOrRemoved []string
	for _, c := range changes {
		d.members[c.Switch.ID] = c
		if c.Phase != "up" {
			drainedOrRemoved = append(drainedOrRemoved, c.Switch.ID)
		}
	}
	for _, s := range d.streams {
		s.events = append(s.events, event{text: eventText(len(s.events)+1, false, s.proxy, changes), switches: drainedOrRemoved, publishedAt: time.Now()})
		if !d.reachableSince.IsZero() {
			s.assumeDelivered(d.Ledger, time.Now())
		}
		s.notify()
	}
}

// assumeDelivered records when the events that are not delivered yet count as delivered, given
// the time from which discovery is reachable.
func (s *stream) assumeDelivered(ledger *Ledger, reachable time.Time) {
	for _, e := range s.events {
		for _, id := range e.switches {
			if !e.delivered {
				ledger.DrainNotified(s.proxy, id, reachable.Add(assumedDelivery))
			}
		}
	}
}

// notify wakes the requests that wait for events.
func (s *stream) notify() {
	close(s.updated)
	s.updated = make(chan struct{})
}

// eventsAfter returns the reply to a proxy that has the events up to the cursor.
func (s *stream) eventsAfter(cursor int) string {
	var texts []string
	for i, e := range s.events {
		if i+1 > cursor {
			texts = append(texts, e.text)
		}
	}
	return fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, len(s.events), strings.Join(texts, ","))
}

// eventText returns the JSON text of an event with entries of the list, as sent to a proxy.
func eventText(number int, complete bool, proxy string, members []Member) string {
	var texts []string
	for _, m := range members {
		texts = append(texts, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"yard","flavor":"std","cell":%d,"phase":%q,"size":1,"up_since_ms":%d}`,
			m.Switch.ID, m.Switch.Addr(proxy), m.Switch.Exchange, m.Phase, m.StartedMs))
	}
	return fmt.Sprintf(`{"cursor":%d,"nodes":{"revision":%d,"complete":%t,"members":[%s]}}`, number, number, complete, strings.Join(texts, ","))
}

// serve answers GET /cmd/next: with the events after resume, as soon as there are any, or with
// none after block milliseconds. It sends nothing once the stream has moved to another port.
func (d *Discovery) serve(s *stream, w http.ResponseWriter, r *http.Request) {
	resume, resumeErr := strconv.Atoi(r.FormValue("resume"))
	block, blockErr := strconv.Atoi(r.FormValue("block"))
	if err := errors.Join(resumeErr, blockErr); err != nil || r.URL.Path != "/cmd/next" {
		http.Error(w, "bad request", http.StatusBadRequest)
		return
	}
	d.mu.Lock()
	d.requests++
	request := d.requests
	d.mu.Unlock()
	wait := time.NewTimer(time.Duration(block) * time.Millisecond)
	defer wait.Stop()
	for timedOut := false; ; {
		d.mu.Lock()
		timing := d.replyTiming(request)
		if !timing.Never && (len(s.events) > resume || timedOut) && d.streams[s.proxy] == s {
			if s.port.isSilent() {
				d.mu.Unlock()
				s.port.waitWhileSilent()
				time.Sleep(disconnectDelay) // lets the server notice a client that disconnected meanwhile
				if r.Context().Err() != nil {
					return
				}
				continue
			}
			reply := d.formReply(s, resume, timing)
			d.mu.Unlock()
			d.send(s, w, r, reply, timing)
			return
		}
		updated := s.updated
		d.mu.Unlock()
		select {
		case <-updated:
		case <-wait.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// formReply returns the reply with the events after resume, and records when they count as
// delivered. The lock is held.
func (d *Discovery) formReply(s *stream, resume int, timing ReplyTiming) string {
	for i := resume; i < len(s.events); i++ {
		s.events[i].delivered = true
		for _, id := range s.events[i].switches {
			d.Ledger.DrainNotified(s.proxy, id, time.Now().Add(timing.duration()))
		}
	}
	return s.eventsAfter(resume)
}

// send sends a formed reply. The connection ends without it if the stream moves to another port
// meanwhile.
func (d *Discovery) send(s *stream, w http.ResponseWriter, r *http.Request, reply string, timing ReplyTiming) {
	time.Sleep(timing.Delay)
	pieces := max(1, timing.Pieces)
	for i := range pieces {
		if i > 0 {
			time.Sleep(timing.Interval)
		}
		if d.hasMoved(s) {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, reply[len(reply)*i/pieces:len(reply)*(i+1)/pieces])
		if flusher, ok := w.(http.Flusher); ok && pieces > 1 {
			flusher.Flush()
		}
	}
}

// hasMoved reports whether a stream has moved to another port.
func (d *Discovery) hasMoved(s *stream) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.streams[s.proxy] != s
}

// SetReplyDelay delays every reply that is formed from now on by the given time.
func (d *Discovery) SetReplyDelay(delay time.Duration) {
	d.SetReplyTiming(func(int) ReplyTiming { return ReplyTiming{Delay: delay} })
}

// SetReplyTiming sets how the replies that are formed from now on are delayed, by the number of
// their request, which starts at 1. The function must not block or call d.
func (d *Discovery) SetReplyTiming(timing func(request int) ReplyTiming) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replyTiming = timing
}

// TakeDown stops listening and resets the open connections.
func (d *Discovery) TakeDown() {
	d.interrupt(func(p *Port) error {
		p.StopListening()
		p.ResetConns()
		return nil
	})
}

// Hang keeps connections open but sends nothing; new connections are established.
func (d *Discovery) Hang() {
	d.interrupt(func(p *Port) error {
		p.Hang()
		return nil
	})
}

// Partition keeps connections open but sends nothing; no new connection is established.
func (d *Discovery) Partition() error { return d.interrupt((*Port).Partition) }

// Restore ends the effect of TakeDown, Hang or Partition.
func (d *Discovery) Restore() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var failed error
	for _, s := range d.streams {
		if err := errors.Join(s.port.Open(), s.port.Restore()); err != nil {
			failed = err
		}
		s.assumeDelivered(d.Ledger, time.Now())
	}
	d.reachableSince = time.Now()
	return failed
}

// interrupt applies a fault to all ports and marks discovery as unreachable.
func (d *Discovery) interrupt(do func(p *Port) error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reachableSince = time.Time{}
	var failed error
	for _, s := range d.streams {
		if err := do(s.port); err != nil {
			failed = err
		}
	}
	return failed
}

// Close closes all ports and servers.
func (d *Discovery) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.streams {
		s.port.Close()
		s.server.Close()
	}
}
