//go:build review

package rig

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is a switch in the command channel's list.
type member struct {
	ID       string `json:"id"`
	HostPort string `json:"host_port"`
	Locality string `json:"locality"`
	Flavor   string `json:"flavor"`
	Cell     int    `json:"cell"`
	Phase    string `json:"phase"`
	Size     int    `json:"size"`
	UpSince  int64  `json:"up_since_ms"`
}

func newMember(id, addr string, cell int) member {
	return member{ID: id, HostPort: addr, Locality: "yard-south", Flavor: "single-core", Cell: cell, Phase: "up", Size: 1}
}

type nodes struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

type command struct {
	Cursor int   `json:"cursor"`
	Nodes  nodes `json:"nodes"`
}

type events struct {
	Cursor int       `json:"cursor"`
	Cmds   []command `json:"cmds"`
}

// channel is the command channel of one proxy.
type channel struct {
	r    *run
	addr string

	mu      sync.Mutex
	cmds    []command
	changed chan struct{}
	delay   time.Duration // of each reply
	asked   int           // requests so far
}

func newChannel(r *run, members ...member) *channel {
	ln := listen()
	c := &channel{r: r, addr: ln.Addr().String(), changed: make(chan struct{}),
		cmds: []command{{1, nodes{1, true, members}}}}
	go func() { _ = http.Serve(ln, http.HandlerFunc(c.serve)) }()
	return c
}

// all returns the events so far, as the configuration holds them under known.
func (c *channel) all() events {
	c.mu.Lock()
	defer c.mu.Unlock()
	return events{len(c.cmds), append([]command(nil), c.cmds...)}
}

// publish adds an event.
func (c *channel) publish(changed ...member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.cmds) + 1
	c.cmds = append(c.cmds, command{n, nodes{n, false, changed}})
	close(c.changed)
	c.changed = make(chan struct{})
}

// setDelay makes each reply come later by d.
func (c *channel) setDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = d
}

// serve answers when later events than resume exist, or after block milliseconds.
func (c *channel) serve(w http.ResponseWriter, req *http.Request) {
	resume, _ := strconv.Atoi(req.URL.Query().Get("resume"))
	block, _ := strconv.Atoi(req.URL.Query().Get("block"))
	c.mu.Lock()
	c.asked++
	n := c.asked
	c.mu.Unlock()
	c.r.logf("channel: request %d, resume=%d block=%d", n, resume, block)
	timeout := time.After(time.Duration(min(block, 5000)) * time.Millisecond)
	for {
		c.mu.Lock()
		reply, changed, delay := events{Cursor: len(c.cmds), Cmds: []command{}}, c.changed, c.delay
		if resume < len(c.cmds) {
			reply.Cmds = append(reply.Cmds, c.cmds[max(resume, 0):]...)
		}
		c.mu.Unlock()
		waiting := len(reply.Cmds) == 0
		if waiting {
			select {
			case <-changed:
				continue
			case <-timeout:
			case <-req.Context().Done():
				return
			}
		}
		select {
		case <-time.After(delay):
		case <-req.Context().Done():
			c.r.logf("channel: request %d is closed by the proxy before its reply", n)
			return
		}
		b, err := json.Marshal(reply)
		must(err)
		_, _ = w.Write(b)
		c.r.logf("channel: reply to request %d, %d events, cursor %d", n, len(reply.Cmds), reply.Cursor)
		return
	}
}
