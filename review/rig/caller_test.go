//go:build review

package rig

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"

	"violetspan.example/violetspan/internal/sig"
)

// callers is one connection from callers, on which they set up calls.
type callers struct {
	r *run
	net.Conn
	writeMu sync.Mutex

	mu    sync.Mutex
	calls map[uint64]*callerCall
	ended time.Time // when the connection ended; zero: it is open
}

// callerCall is a call as its caller sees it.
type callerCall struct {
	id       uint64
	sent     time.Time
	answers  int       // final answers
	answered time.Time // the call stands since then
	released time.Time // told that the call is over
}

func newCallers(r *run, addr string) *callers {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	must(err)
	cs := &callers{r: r, Conn: c, calls: map[uint64]*callerCall{}}
	go cs.read()
	return cs
}

// setUp sends a set-up of the class space-check.
func (cs *callers) setUp(id uint64, dest int, wait time.Duration) {
	cs.setUpAs("space-check", 1, id, dest, wait)
}

func (cs *callers) setUpAs(class string, width int, id uint64, dest int, wait time.Duration) {
	cs.mu.Lock()
	cs.calls[id] = &callerCall{id: id, sent: time.Now()}
	cs.mu.Unlock()
	cs.r.logf("caller: set-up %016x of class %s to exchange %d, waits %v", id, class, dest, wait)
	cs.write(encode(sig.Message{Type: sig.SetUp, Call: id, Params: []sig.Param{
		{Code: sig.ParamClass, Value: []byte(class)},
		{Code: sig.ParamWait, Value: strconv.AppendInt(nil, wait.Milliseconds(), 10)},
		{Code: sig.ParamTenant, Value: []byte("main-lot")},
		{Code: sig.ParamNumber, Value: fmt.Appendf(nil, "%016x", id*0x9e3779b97f4a7c15)},
		{Code: sig.ParamAttributes, Value: fmt.Appendf(nil, "dest:%d;width:%d;via:-1", dest, width)},
		{Code: sig.ParamDescription, Value: fmt.Appendf(nil, "call %d", id)}}}))
}

func (cs *callers) write(b []byte) {
	cs.writeMu.Lock()
	defer cs.writeMu.Unlock()
	if _, err := cs.Write(b); err != nil {
		cs.r.logf("caller: write failed: %v", err)
	}
}

func (cs *callers) read() {
	for {
		m, err := sig.Read(cs.Conn)
		now := time.Now()
		if err != nil {
			cs.mu.Lock()
			cs.ended = now
			cs.mu.Unlock()
			cs.r.logf("caller: the connection ended: %v", err)
			cs.Close()
			return
		}
		cs.mu.Lock()
		call := cs.calls[m.Call]
		if call == nil {
			cs.mu.Unlock()
			cs.r.logf("caller: message %d for unknown call %016x", m.Type, m.Call)
			continue
		}
		switch {
		case m.Type == sig.Answer:
			call.answered = now
			call.answers++
			cs.r.logf("caller: answer %016x: the call stands", m.Call)
		case m.Type == sig.Release && call.answers == 0:
			call.answers++
			cs.r.logf("caller: release %016x with cause %d: refused or failed", m.Call, m.Cause())
		case m.Type == sig.Release:
			call.released = now
			cs.r.logf("caller: release %016x with cause %d: the call is over", m.Call, m.Cause())
		}
		cs.mu.Unlock()
		if m.Type == sig.Release {
			cs.write(encode(sig.Message{Type: sig.ReleaseAck, Call: m.Call}))
		}
	}
}

// snapshot returns copies of all calls.
func (cs *callers) snapshot() (calls []callerCall) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, call := range cs.calls {
		calls = append(calls, *call)
	}
	return calls
}
