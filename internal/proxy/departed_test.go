package proxy

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"

	"violetspan.example/violetspan/internal/sig"
)

// setUpLog records the set-ups that a switch received.
type setUpLog struct {
	mu    sync.Mutex
	at    []time.Time
	count map[uint64]int
}

func (l *setUpLog) add(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = append(l.at, time.Now())
	l.count[id]++
}

// runSilentSwitch runs a switch that answers nothing and records the set-ups it receives.
func runSilentSwitch(sw *standIn) *setUpLog {
	log := &setUpLog{count: map[uint64]int{}}
	go serveSwitch(sw, func(_ net.Conn, m sig.Message) {
		if m.Type == sig.SetUp {
			log.add(m.Call)
		}
	})
	return log
}

// departure is how long after a client's close its set-ups may still arrive at a switch: those that were
// read before are on their way.
const departure = 100 * time.Millisecond

// Guards against set-ups that are sent on after their client has closed its connection, and against an
// id that runs twice because it comes again then.
func TestSetUpsOfADepartedClientAreNotSentOn(t *testing.T) {
	const setUps = 400
	for name, api := range map[string]bool{"platform": false, "call API": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, "\ns1", settingsJSON)
			log := runSilentSwitch(s.switches["s1"])
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			send := func(name string) {
				for id := uint64(1); id <= setUps; id++ {
					var err error
					if api {
						err = s.socket(ctx, name).Write(ctx, websocket.MessageText, apiSetUp(id))
					} else {
						err = writeMessage(s.caller(name), platformSetUp(id))
					}
					if err != nil {
						t.Log(err) // the proxy may close the connection first
						return
					}
				}
			}
			first, second := "c1", "c2"
			if api {
				first, second = "w1", "w2"
			}
			send(first)
			closedAt := time.Now()
			if api {
				s.clients[first].CloseNow()
			} else {
				s.callers[first].(*net.TCPConn).Close()
			}
			time.Sleep(departure)
			send(second) // the same ids
			time.Sleep(time.Second)
			log.mu.Lock()
			defer log.mu.Unlock()
			late, twice := 0, 0
			for _, at := range log.at {
				if at.After(closedAt.Add(departure)) {
					late++
				}
			}
			for _, n := range log.count {
				if n > 1 {
					twice++
				}
			}
			t.Logf("%d set-ups at the switch, %d of them later than %v after the close; %d ids twice", len(log.at), late, departure, twice)
			if twice > 0 {
				t.Errorf("%d ids ran twice", twice)
			}
		})
	}
}
