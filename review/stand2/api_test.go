//go:build review2

package stand2

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/coder/websocket"
)

const protocol = "violetspan.calls.v1"

// message is a message of the call API.
type message struct {
	Type        string `json:"type"`
	Call        string `json:"call,omitempty"`
	Class       string `json:"class,omitempty"`
	Number      string `json:"number,omitempty"`
	Dest        *int   `json:"dest,omitempty"`
	WaitMs      int    `json:"wait_ms,omitempty"`
	Description string `json:"description,omitempty"`
	Reason      string `json:"reason,omitempty"`
	Code        string `json:"code,omitempty"`
	Detail      string `json:"detail,omitempty"`
	Free        *int   `json:"free,omitempty"`
	Size        *int   `json:"size,omitempty"`

	at time.Time
}

// isFinal reports whether the message is a final answer.
func (m message) isFinal() bool {
	return m.Type == "answer" || m.Type == "refused" || m.Type == "failed"
}

// String is the message as it is written to the record.
func (m message) String() string {
	b, _ := json.Marshal(m)
	if len(b) > 400 {
		return fmt.Sprintf("%s... (%d bytes)", b[:200], len(b))
	}
	return string(b)
}

// client is a client of the call API on one connection.
type client struct {
	r    *rig
	name string
	conn *websocket.Conn

	mu       sync.Mutex
	received []message
	ended    error
}

// connect opens a client's connection.
func (s *service) connect(name, token string) *client {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, _, err := websocket.Dial(ctx, "ws://"+s.api+"/v1/calls", &websocket.DialOptions{Subprotocols: []string{protocol},
		HTTPHeader: http.Header{"Authorization": {"Bearer " + token}}})
	if err != nil {
		s.r.cannot("%s can't connect: %v", name, err)
	}
	conn.SetReadLimit(16 << 10)
	c := &client{r: s.r, name: name, conn: conn}
	s.r.note("%s connected", name)
	go c.read()
	return c
}

func (c *client) read() {
	for {
		_, b, err := c.conn.Read(context.Background())
		if err != nil {
			c.r.note("%s: connection ended: %v", c.name, err)
			c.mu.Lock()
			c.ended = err
			c.mu.Unlock()
			return
		}
		m := message{at: time.Now()}
		if err := json.Unmarshal(b, &m); err != nil {
			c.r.note("%s received what it can't read: %.200s", c.name, b)
			continue
		}
		c.r.note("%s < %v", c.name, m)
		c.mu.Lock()
		c.received = append(c.received, m)
		c.mu.Unlock()
	}
}

func (c *client) send(m message) {
	b := encode(m)
	c.r.note("%s > %v", c.name, m)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := c.conn.Write(ctx, websocket.MessageText, b); err != nil {
		c.r.note("%s: not written: %v", c.name, err)
	}
}

// setUp asks for a call to an exchange.
func (c *client) setUp(call string, dest, waitMs int, description string) {
	c.send(message{Type: "setup", Call: call, Class: "space-check", Number: "4711", Dest: &dest, WaitMs: waitMs, Description: description})
}

// about returns the messages received about a call.
func (c *client) about(call string) (about []message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.received {
		if m.Call == call {
			about = append(about, m)
		}
	}
	return about
}

// await waits for a message about a call and returns it; nil: none came in the time.
func (c *client) await(d time.Duration, call string, wanted func(message) bool) (found *message) {
	until(d, func() bool {
		for _, m := range c.about(call) {
			if wanted(m) {
				found = &m
				return true
			}
		}
		return false
	})
	return found
}

// mustStand waits for the answer of a call; another final answer or none ends the run.
func (c *client) mustStand(call string) {
	if m := c.await(5*time.Second, call, message.isFinal); m == nil || m.Type != "answer" {
		c.r.cannot("call %s does not stand", call)
	}
}

func (c *client) close() {
	c.r.note("%s closes its connection", c.name)
	_ = c.conn.Close(websocket.StatusNormalClosure, "")
}

func isReleased(m message) bool { return m.Type == "released" }

// apiSwitch is a switch that speaks the call API. It answers each set-up at once, and ends a call
// when the case says so: on the connection of the call, or if that is closed on the latest one.
type apiSwitch struct {
	r          *rig
	name, addr string // addr is the server's host and port
	describe   func(message) string
	free, size int
	ln         net.Listener

	mu      sync.Mutex
	conns   []*websocket.Conn
	calls   map[string]*websocket.Conn // the calls that stand here, by the proxy's id
	byLabel map[string]string          // the proxy's id of a call, by the description in its set-up
	setUps  int
}

// startSwitch starts a switch on a free address; path is its path there.
func (r *rig) startSwitch(name string) *apiSwitch {
	s := &apiSwitch{r: r, name: name, free: 30, size: 30, calls: map[string]*websocket.Conn{}, byLabel: map[string]string{},
		describe: func(m message) string { return name + " took " + m.Description }}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannot("%v", err)
	}
	s.addr, s.ln = ln.Addr().String(), ln
	go func() { _ = http.Serve(ln, http.HandlerFunc(s.serve)) }()
	return s
}

func (s *apiSwitch) serve(w http.ResponseWriter, req *http.Request) {
	conn, err := websocket.Accept(w, req, &websocket.AcceptOptions{Subprotocols: []string{protocol}})
	if err != nil {
		return
	}
	defer conn.CloseNow()
	conn.SetReadLimit(16 << 10)
	s.mu.Lock()
	s.conns = append(s.conns, conn)
	number := len(s.conns)
	s.mu.Unlock()
	s.r.note("%s: connection %d opened", s.name, number)
	s.send(conn, message{Type: "group", Free: &s.free, Size: &s.size})
	for {
		_, b, err := conn.Read(context.Background())
		if err != nil {
			s.r.note("%s: connection %d ended: %v", s.name, number, err)
			s.mu.Lock()
			for call, c := range s.calls {
				if c == conn {
					s.calls[call] = nil // it goes on
				}
			}
			s.mu.Unlock()
			return
		}
		var m message
		if json.Unmarshal(b, &m) != nil {
			continue
		}
		s.r.note("%s < %v (connection %d)", s.name, m, number)
		switch m.Type {
		case "setup":
			s.mu.Lock()
			s.setUps++
			s.calls[m.Call], s.byLabel[m.Description] = conn, m.Call
			s.mu.Unlock()
			s.send(conn, message{Type: "answer", Call: m.Call, Description: s.describe(m)})
		case "release":
			s.mu.Lock()
			delete(s.calls, m.Call)
			s.mu.Unlock()
		}
	}
}

func (s *apiSwitch) send(conn *websocket.Conn, m message) {
	b := encode(m)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err := conn.Write(ctx, websocket.MessageText, b)
	s.r.note("%s > %v%s", s.name, m, map[bool]string{true: " NOT WRITTEN"}[err != nil])
}

// end ends the call whose set-up had the description.
func (s *apiSwitch) end(label string) {
	s.mu.Lock()
	call := s.byLabel[label]
	conn, stands := s.calls[call]
	if conn == nil && len(s.conns) > 0 {
		conn = s.conns[len(s.conns)-1]
	}
	delete(s.calls, call)
	s.mu.Unlock()
	if !stands {
		s.r.note("%s: no call %q stands", s.name, label)
		return
	}
	s.send(conn, message{Type: "released", Call: call, Reason: "ended"})
}

// setUpCount returns the number of set-ups received.
func (s *apiSwitch) setUpCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.setUps
}

// stands reports whether the call whose set-up had the description stands here.
func (s *apiSwitch) stands(label string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, stands := s.calls[s.byLabel[label]]
	return stands
}

// awaitConns waits until the switch has had so many connections.
func (s *apiSwitch) awaitConns(n int) {
	if !until(5*time.Second, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) >= n
	}) {
		s.r.cannot("%s has no connection", s.name)
	}
	time.Sleep(100 * time.Millisecond) // for the state of the group
}

// url returns the address for the inventory.
func (s *apiSwitch) url(path string) string {
	return "ws://" + s.addr + "/" + strings.TrimPrefix(path, "/")
}

// encode returns a message in JSON. Characters of markup stay as they are.
func encode(m message) []byte {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	_ = e.Encode(m)
	return bytes.TrimSpace(b.Bytes())
}
