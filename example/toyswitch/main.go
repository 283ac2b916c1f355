// Command toyswitch is a switch that speaks the call API, to try violetspan
// with. It answers every set-up and ends the call after a while.
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

// message holds the fields of the API that the toy needs.
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

// toy is the switch: its circuits and the calls that hold them.
type toy struct {
	name   string
	size   int
	hold   time.Duration
	mu     sync.Mutex
	free   int
	widths map[string]int // of the calls that stand
}

func main() {
	listen := flag.String("listen", "127.0.0.1:9101", "address to listen on")
	name := flag.String("name", "toy", "name that answers are given under")
	hold := flag.Duration("hold", 3*time.Second, "how long a call stands")
	size := flag.Int("circuits", 10, "circuits towards this switch")
	full := flag.Bool("full", false, "have no free circuit")
	flag.Parse()
	t := &toy{name: *name, size: *size, free: *size, hold: *hold, widths: map[string]int{}}
	if *full {
		t.free = 0
	}
	log.Printf("%s listens on %s", *name, *listen)
	log.Fatal(http.ListenAndServe(*listen, http.HandlerFunc(t.serve)))
}

// serve takes the proxy's connection.
func (t *toy) serve(w http.ResponseWriter, r *http.Request) {
	c, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{protocol}})
	if err != nil {
		return
	}
	defer c.CloseNow()
	ctx := r.Context()
	t.group(ctx, c)
	for {
		var m message
		_, b, err := c.Read(ctx)
		if err != nil || json.Unmarshal(b, &m) != nil {
			log.Printf("connection ended: %v", err)
			return
		}
		log.Printf("> %s", b)
		switch m.Type {
		case "setup":
			t.setUp(ctx, c, m)
		case "release":
			t.release(m.Call)
			t.group(ctx, c)
		}
	}
}

func (t *toy) setUp(ctx context.Context, c *websocket.Conn, m message) {
	t.mu.Lock()
	room := t.free >= m.Width
	if room {
		t.free -= m.Width
		t.widths[m.Call] = m.Width
	}
	t.mu.Unlock()
	if !room {
		t.send(ctx, c, message{Type: "refused", Call: m.Call, Reason: "no_circuit"})
		return
	}
	t.send(ctx, c, message{Type: "answer", Call: m.Call, Description: fmt.Sprintf("%s took %s", t.name, m.Number)})
	t.group(ctx, c)
	time.AfterFunc(t.hold, func() {
		if t.release(m.Call) {
			t.send(ctx, c, message{Type: "released", Call: m.Call, Reason: "ended"})
			t.group(ctx, c)
		}
	})
}

// release frees a call's circuits; false if it has none any more.
func (t *toy) release(call string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	width, stands := t.widths[call]
	delete(t.widths, call)
	t.free += width
	return stands
}

// group tells the proxy how many circuits are free.
func (t *toy) group(ctx context.Context, c *websocket.Conn) {
	t.mu.Lock()
	free := t.free
	t.mu.Unlock()
	t.send(ctx, c, message{Type: "group", Free: &free, Size: &t.size})
}

func (t *toy) send(ctx context.Context, c *websocket.Conn, m message) {
	b, err := json.Marshal(m)
	if err != nil {
		log.Print(err)
		return
	}
	log.Printf("< %s", b)
	if err := c.Write(ctx, websocket.MessageText, b); err != nil {
		log.Print(err)
	}
}
