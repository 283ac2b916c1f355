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

// toldAnyway is when a change counts as told, though no call to discovery brought it,
// from when discovery had it and could be reached.
const toldAnyway = 6 * time.Second

// sinceGone is how long the server takes to find out that a caller has gone.
const sinceGone = 20 * time.Millisecond

// Discovery plays the command channel towards several proxies, with a port for each.
type Discovery struct {
	Ledger *Ledger

	mu      sync.Mutex // guards all below
	members map[string]Member
	streams map[string]*stream
	since   time.Time // when it could be reached last; zero: it can't be now
	slow    time.Duration
}

// Member is what discovery says of one switch.
type Member struct {
	Switch    *Switch
	Phase     string // up, draining or removed
	StartedMs int64  // Unix milliseconds of a late start, or 0
}

// stream is what one incarnation of a proxy is told.
type stream struct {
	proxy  string
	port   *Port
	server *http.Server
	events []event
	news   chan struct{} // closed when an event comes or the stream ends
}

type event struct {
	text      string
	switches  []string // that drain or are gone by it
	delivered bool
	at        time.Time
}

// NewDiscovery returns a discovery without switches.
func NewDiscovery(ledger *Ledger) *Discovery {
	return &Discovery{Ledger: ledger, members: map[string]Member{}, streams: map[string]*stream{}, since: time.Now()}
}

// Listen opens the port of a proxy.
func (d *Discovery) Listen(proxy, addr string) error {
	s := &stream{proxy: proxy, news: make(chan struct{})}
	listener := newPortListener()
	s.port = NewPort(addr, listener.serve)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { d.serve(proxy, w, r) })}
	go func() { _ = s.server.Serve(listener) }()
	d.mu.Lock()
	old := d.streams[proxy]
	if old != nil {
		s.events = old.events
		go func() { // the old address tells nothing more and closes a little later
			time.Sleep(1500 * time.Millisecond)
			old.port.Close()
		}()
	}
	d.streams[proxy] = s
	d.mu.Unlock()
	return s.port.Open()
}

// InitialEvents is the list as a proxy finds it in its configuration when it starts.
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

// AllEvents is what a configuration read later holds: all events so far.
func (d *Discovery) AllEvents(proxy string) (known, addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.streams[proxy]
	return s.after(0), s.port.Addr()
}

// Publish tells of changes.
func (d *Discovery) Publish(changes ...Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ended []string
	for _, c := range changes {
		d.members[c.Switch.ID] = c
		if c.Phase != "up" {
			ended = append(ended, c.Switch.ID)
		}
	}
	for _, s := range d.streams {
		s.events = append(s.events, event{text: eventText(len(s.events)+1, false, s.proxy, changes), switches: ended, at: time.Now()})
		if !d.since.IsZero() {
			s.toldLater(d.Ledger, time.Now())
		}
		s.wake()
	}
}

// toldLater notes until when what was not delivered counts as told anyway.
func (s *stream) toldLater(l *Ledger, reachable time.Time) {
	for _, e := range s.events {
		for _, id := range e.switches {
			if !e.delivered {
				l.DrainNotified(s.proxy, id, reachable.Add(toldAnyway))
			}
		}
	}
}

func (s *stream) wake() {
	close(s.news)
	s.news = make(chan struct{})
}

// after is the reply to one who has the events up to a number.
func (s *stream) after(cursor int) string {
	var texts []string
	for i, e := range s.events {
		if i+1 > cursor {
			texts = append(texts, e.text)
		}
	}
	return fmt.Sprintf(`{"cursor":%d,"cmds":[%s]}`, len(s.events), strings.Join(texts, ","))
}

func eventText(number int, complete bool, proxy string, ms []Member) string {
	var texts []string
	for _, m := range ms {
		texts = append(texts, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"yard","flavor":"std","cell":%d,"phase":%q,"size":1,"up_since_ms":%d}`,
			m.Switch.ID, m.Switch.Addr(proxy), m.Switch.Exchange, m.Phase, m.StartedMs))
	}
	return fmt.Sprintf(`{"cursor":%d,"nodes":{"revision":%d,"complete":%t,"members":[%s]}}`, number, number, complete, strings.Join(texts, ","))
}

// serve answers GET /cmd/next.
func (d *Discovery) serve(proxy string, w http.ResponseWriter, r *http.Request) {
	resume, err1 := strconv.Atoi(r.FormValue("resume"))
	block, err2 := strconv.Atoi(r.FormValue("block"))
	if err := errors.Join(err1, err2); err != nil || r.URL.Path != "/cmd/next" {
		http.Error(w, "a bad request", http.StatusBadRequest)
		return
	}
	wait := time.NewTimer(time.Duration(block) * time.Millisecond)
	defer wait.Stop()
	for waited := false; ; {
		d.mu.Lock()
		s, slow := d.streams[proxy], d.slow
		if len(s.events) > resume || waited {
			if s.port.isSilent() {
				d.mu.Unlock()
				s.port.wait()
				time.Sleep(sinceGone) // a caller that went during the silence is found out
				if r.Context().Err() != nil {
					return
				}
				continue
			}
			reply := s.after(resume)
			for i := resume; i < len(s.events); i++ {
				s.events[i].delivered = true
				for _, id := range s.events[i].switches {
					d.Ledger.DrainNotified(proxy, id, time.Now().Add(slow))
				}
			}
			d.mu.Unlock()
			time.Sleep(slow)
			fmt.Fprint(w, reply)
			return
		}
		news := s.news
		d.mu.Unlock()
		select {
		case <-news:
		case <-wait.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

// SetReplyDelay makes every reply take so much longer.
func (d *Discovery) SetReplyDelay(by time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slow = by
}

// TakeDown refuses connections and ends the open ones.
func (d *Discovery) TakeDown() {
	d.unreachable(func(p *Port) error {
		p.StopListening()
		p.ResetConns()
		return nil
	})
}

// Hang keeps connections open and says nothing; new ones come up.
func (d *Discovery) Hang() {
	d.unreachable(func(p *Port) error {
		p.Hang()
		return nil
	})
}

// Partition keeps connections open and silent, and lets none come up.
func (d *Discovery) Partition() error { return d.unreachable((*Port).Partition) }

// Restore ends any of these.
func (d *Discovery) Restore() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var failed error
	for _, s := range d.streams {
		if err := errors.Join(s.port.Open(), s.port.Restore()); err != nil {
			failed = err
		}
		s.toldLater(d.Ledger, time.Now())
	}
	d.since = time.Now()
	return failed
}

func (d *Discovery) unreachable(do func(p *Port) error) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.since = time.Time{}
	var failed error
	for _, s := range d.streams {
		if err := do(s.port); err != nil {
			failed = err
		}
	}
	return failed
}

// Close ends it.
func (d *Discovery) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.streams {
		s.port.Close()
		s.server.Close()
	}
}
