// Command toyswitch is a minimal switch for trying out violetspan. It speaks the call API,
// answers every set-up for which it has circuits, and ends each call after a fixed time.
package main

import (
	"context"
	"flag"
	"fmt"
	"log"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"
	jsoniter "github.com/json-iterator/go"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

const protocol = "violetspan.calls.v1"

// message contains the fields of the API's messages that toySwitch uses.
type message struct {
	Type        string `json:"type"`
	Call        string `json:"call,omitempty"`
	Number      string `json:"number,omitempty"`
	Width       int    `json:"width,omitempty"`
	Description string `json:"description,omitempty"`
	Reason      string `json:"reason,omitempty"`
	Free        *int   `json:"free,omitempty"`
	Size        *int   `json:"size,omitempty"`
}

// toySwitch is a switch with its circuits and its established calls.
type toySwitch struct {
	name   string
	size   int
	hold   time.Duration
	mu     sync.Mutex
	free   int
	widths map[string]int // circuits per established call
}

func main() {
	listen := flag.String("listen", "127.0.0.1:9101", "address to listen on")
	name := flag.String("name", "toy", "name given in answers")
	hold := flag.Duration("hold", 3*time.Second, "duration of a call")
	size := flag.Int("circuits", 10, "number of circuits towards this switch")
	full := flag.Bool("full", false, "start with no free circuit")
	flag.Parse()
	s := &toySwitch{name: *name, size: *size, free: *size, hold: *hold, widths: map[string]int{}}
	if *full {
		s.free = 0
	}
	log.Printf("%s listens on %s", *name, *listen)
	log.Fatal(http.ListenAndServe(*listen, http.HandlerFunc(s.serve)))
}

// serve handles one connection from the proxy.
func (s *toySwitch) serve(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{protocol}})
	if err != nil {
		return
	}
	defer conn.CloseNow()
	ctx := r.Context()
	s.sendGroup(ctx, conn)
	for {
		var m message
		_, b, err := conn.Read(ctx)
		if err != nil || json.Unmarshal(b, &m) != nil {
			log.Printf("connection ended: %v", err)
			return
		}
		log.Printf("> %s", b)
		switch m.Type {
		case "setup":
			s.setUp(ctx, conn, m)
		case "release":
			s.release(m.Call)
			s.sendGroup(ctx, conn)
		}
	}
}

func (s *toySwitch) setUp(ctx context.Context, conn *websocket.Conn, m message) {
	s.mu.Lock()
	accepted := s.free >= m.Width
	if accepted {
		s.free -= m.Width
		s.widths[m.Call] = m.Width
	}
	s.mu.Unlock()
	if !accepted {
		s.send(ctx, conn, message{Type: "refused", Call: m.Call, Reason: "no_circuit"})
		return
	}
	s.send(ctx, conn, message{Type: "answer", Call: m.Call, Description: fmt.Sprintf("%s took %s", s.name, m.Number)})
	s.sendGroup(ctx, conn)
	time.AfterFunc(s.hold, func() {
		if s.release(m.Call) {
			s.send(ctx, conn, message{Type: "released", Call: m.Call, Reason: "ended"})
			s.sendGroup(ctx, conn)
		}
	})
}

// release frees the circuits of a call. It returns false if the call has none.
func (s *toySwitch) release(call string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	width, established := s.widths[call]
	delete(s.widths, call)
	s.free += width
	return established
}

// sendGroup reports the number of free circuits to the proxy.
func (s *toySwitch) sendGroup(ctx context.Context, conn *websocket.Conn) {
	s.mu.Lock()
	free := s.free
	s.mu.Unlock()
	s.send(ctx, conn, message{Type: "group", Free: &free, Size: &s.size})
}

func (s *toySwitch) send(ctx context.Context, conn *websocket.Conn, m message) {
	b, err := json.Marshal(m)
	if err != nil {
		log.Print(err)
		return
	}
	log.Printf("< %s", b)
	if err := conn.Write(ctx, websocket.MessageText, b); err != nil {
		log.Print(err)
	}
}
