package proxy

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"
	jsoniter "github.com/json-iterator/go"

	"violetspan.example/violetspan/internal/sig"
)

// callChecker checks the rules for every call of the mixed test. It identifies a call by its
// called number, which both the platform server and the call API pass on unchanged.
type callChecker struct {
	t  *testing.T
	mu sync.Mutex
	// By called number, except attempts and drainTime:
	outstanding  map[string]string // switch with an outstanding attempt
	notBefore    map[string]time.Time
	descriptions map[string]map[string]bool // descriptions in the switches' answers
	answers      map[string]int
	deadline     map[string]time.Time
	established  map[string]bool
	attempts     int
	drainTime    time.Time // when s1 began to drain
}

var json = jsoniter.ConfigCompatibleWithStandardLibrary

const (
	mixedCalls   = 300
	mixedBackoff = 30 * time.Millisecond // releaseMs in the tests' settings
	drainGrace   = 500 * time.Millisecond
)

// attemptStarted records a set-up that arrived at a switch, and returns what the switch does
// with it: "answer" with a description, "full", "fault", "break" or "silent".
func (checker *callChecker) attemptStarted(at, number string) (action, description string) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	now := time.Now()
	if other := checker.outstanding[number]; other != "" {
		checker.t.Errorf("call to %s: an attempt at %s while one is outstanding at %s", number, at, other)
	}
	if now.Before(checker.notBefore[number]) {
		checker.t.Errorf("call to %s: sent %v before the end of its retry backoff", number, checker.notBefore[number].Sub(now))
	}
	if at == "s1" && !checker.drainTime.IsZero() && now.After(checker.drainTime.Add(drainGrace)) {
		checker.t.Errorf("call to %s: sent to a draining switch", number)
	}
	checker.attempts++
	checker.outstanding[number] = at
	switch n := rand.IntN(100); {
	case n < 65:
		description = fmt.Sprintf("made for %s by %s, %d", number, at, checker.attempts)
		if checker.descriptions[number] == nil {
			checker.descriptions[number] = map[string]bool{}
		}
		checker.descriptions[number][description] = true
		return "answer", description
	case n < 85:
		return "full", ""
	case n < 96:
		return "fault", ""
	case n < 98:
		return "break", ""
	}
	return "silent", ""
}

// attemptEnded records the end of an attempt when its switch sends or receives it. backoff
// reports whether the call's next attempt must wait for the retry backoff, starting now.
func (checker *callChecker) attemptEnded(at, number string, backoff bool) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if checker.outstanding[number] == at {
		delete(checker.outstanding, number)
		if backoff {
			checker.notBefore[number] = time.Now().Add(mixedBackoff)
		}
	}
}

// finalAnswer records the final answer received by a caller.
func (checker *callChecker) finalAnswer(number string, established bool, description string) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if checker.answers[number]++; checker.answers[number] > 1 {
		checker.t.Errorf("call to %s: answered %d times", number, checker.answers[number])
	}
	if delay := time.Since(checker.deadline[number]); delay > 0 {
		checker.t.Errorf("call to %s: answered %v late", number, delay)
	}
	if established && !checker.descriptions[number][description] {
		checker.t.Errorf("call to %s: answered with %q, which no switch sent for it", number, description)
	}
	checker.established[number] = established
}

func (checker *callChecker) released(number string) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if !checker.established[number] {
		checker.t.Errorf("call to %s: released though not established", number)
	}
	checker.established[number] = false
}

// offered records a call that a caller is about to send.
func (checker *callChecker) offered(number string, wait time.Duration) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.deadline[number] = time.Now().Add(wait)
}

// releaseSender sends the releases of a switch. As the protocol requires, it sends them on
// the newest connection and repeats all of them on the next connection that opens.
type releaseSender struct {
	mu     sync.Mutex
	latest net.Conn
	ids    []uint64
}

func (r *releaseSender) connOpened(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latest = c
	for _, id := range r.ids {
		r.write(id)
	}
	r.ids = nil
}

func (r *releaseSender) send(id uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids = append(r.ids, id)
	r.write(id)
}

func (r *releaseSender) write(id uint64) {
	m := sig.WithCause(sig.Release, id, sig.CauseNormal)
	b, _ := m.Append(nil)
	r.latest.Write(b)
}

// runBinarySwitch emulates a switch with the binary protocol until the test ends.
func (checker *callChecker) runBinarySwitch(sw *standIn) {
	var sender releaseSender
	for c := range sw.conns {
		sender.connOpened(c)
		go func() {
			defer c.Close()
			numbers, in := map[uint64]string{}, bufio.NewReader(c)
			send := func(m sig.Message) { b, _ := m.Append(nil); c.Write(b) }
			for {
				m, err := sig.Read(in)
				if err != nil {
					for _, n := range numbers {
						checker.attemptEnded(sw.name, n, false) // closed by the proxy: the backoff began earlier
					}
					return
				}
				number := numbers[m.Call]
				switch m.Type {
				case sig.SetUp:
					number = string(m.Get(sig.ParamNumber))
					numbers[m.Call] = number
					action, description := checker.attemptStarted(sw.name, number)
					switch action {
					case "answer":
						checker.attemptEnded(sw.name, number, false)
						send(sig.Message{Type: sig.Answer, Call: m.Call, Params: []sig.Param{{Code: sig.ParamDescription, Value: []byte(description)}}})
						time.AfterFunc(20*time.Millisecond, func() { sender.send(m.Call) })
					case "full", "fault":
						cause := map[string]byte{"full": sig.CauseNoCircuit, "fault": sig.CauseResourceUnavailable}[action]
						checker.attemptEnded(sw.name, number, false)
						send(sig.Message{Type: sig.Release, Call: m.Call, Params: []sig.Param{
							{Code: sig.ParamCauseDetail, Value: []byte("no_path")}, {Code: sig.ParamCause, Value: []byte{cause}}}})
					case "break":
						for _, n := range numbers {
							checker.attemptEnded(sw.name, n, true)
						}
						return
					}
				case sig.Release:
					checker.attemptEnded(sw.name, number, false) // the backoff began before the release was read
				}
			}
		}()
	}
}

// runAPISwitch emulates a switch that speaks the call API until the test ends.
func (checker *callChecker) runAPISwitch(sw *standIn) {
	for c := range sw.sockets {
		go func() {
			defer c.CloseNow()
			ctx, numbers := context.Background(), map[string]string{}
			for {
				_, b, err := c.Read(ctx)
				var m struct{ Type, Call, Number string }
				if err != nil || json.Unmarshal(b, &m) != nil {
					for _, n := range numbers {
						checker.attemptEnded(sw.name, n, false)
					}
					return
				}
				send := func(form string, args ...any) {
					c.Write(ctx, websocket.MessageText, fmt.Appendf(nil, form, args...))
				}
				if m.Type == "release" {
					checker.attemptEnded(sw.name, numbers[m.Call], false)
					continue
				}
				numbers[m.Call] = m.Number
				switch action, description := checker.attemptStarted(sw.name, m.Number); action {
				case "answer":
					checker.attemptEnded(sw.name, m.Number, false)
					send(`{"type":"answer","call":%q,"description":%q}`, m.Call, description)
					time.AfterFunc(20*time.Millisecond, func() { send(`{"type":"released","call":%q,"reason":"ended"}`, m.Call) })
				case "full":
					checker.attemptEnded(sw.name, m.Number, false)
					send(`{"type":"refused","call":%q,"reason":"no_circuit"}`, m.Call)
				case "fault", "break":
					checker.attemptEnded(sw.name, m.Number, false)
					send(`{"type":"failed","call":%q}`, m.Call)
				}
			}
		}()
	}
}

// runBinaryCaller offers calls on one connection, with random waits, and checks their answers.
func (checker *callChecker) runBinaryCaller(s *script, first uint64, calls int) error {
	c, err := net.Dial("tcp", s.proxy.CallAddr.String())
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3 * testTimeout))
	go func() {
		for id := first; id < first+uint64(calls); id++ {
			number := strconv.FormatUint(id, 10)
			wait := time.Duration(700+rand.IntN(900)) * time.Millisecond
			checker.offered(number, wait+testTimeout) // only detects lost calls; the scripts check the exact time
			m := sig.Message{Type: sig.SetUp, Call: id, Params: []sig.Param{
				{Code: sig.ParamClass, Value: []byte("space-check")}, {Code: sig.ParamNumber, Value: []byte(number)},
				{Code: sig.ParamWait, Value: strconv.AppendInt(nil, wait.Milliseconds(), 10)},
				{Code: sig.ParamAttributes, Value: fmt.Appendf(nil, "dest:%d;width:1;via:-1", 1+id%3)}, {Code: sig.ParamTenant, Value: []byte("main-lot")},
				{Code: sig.ParamDescription, Value: []byte("d")}}}
			b, _ := m.Append(nil)
			c.Write(b)
			time.Sleep(5 * time.Millisecond)
		}
	}()
	in, ended := bufio.NewReader(c), 0
	established := map[uint64]bool{}
	for ended < calls {
		m, err := sig.Read(in)
		if err != nil {
			return err
		}
		number := strconv.FormatUint(m.Call, 10)
		switch {
		case m.Type == sig.Answer:
			checker.finalAnswer(number, true, string(m.Get(sig.ParamDescription)))
			established[m.Call] = true
		case m.Type == sig.Release && established[m.Call]:
			checker.released(number)
			ended++
		case m.Type == sig.Release:
			checker.finalAnswer(number, false, "")
			ended++
		}
	}
	return nil
}

// runAPICaller offers calls over WebSockets. It sends every third set-up twice, and closes
// each socket while set-ups are pending to repeat them on a new one.
func (checker *callChecker) runAPICaller(s *script, first uint64, calls int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*testTimeout)
	defer cancel()
	firstAnswers, ended := map[string]string{}, 0 // first answer to each call, by its id
	for from := first; from < first+uint64(calls); from += 50 {
		c, _, err := dialAPI(ctx, s.proxy, testToken)
		if err != nil {
			return err
		}
		sendSetUp := func(c *websocket.Conn, id uint64) error {
			return c.Write(ctx, websocket.MessageText, fmt.Appendf(nil,
				`{"type":"setup","call":"%d","class":"space-check","number":"%d","dest":%d,"wait_ms":1500}`, id, id, 1+id%3))
		}
		for id := from; id < from+50; id++ {
			checker.offered(strconv.FormatUint(id, 10), testTimeout)
			if err := sendSetUp(c, id); err != nil {
				return err
			}
			if id%3 == 0 {
				if err := sendSetUp(c, id); err != nil {
					return err
				}
			}
			time.Sleep(4 * time.Millisecond)
		}
		c.CloseNow() // gives up the calls that have no answer yet
		if c, _, err = dialAPI(ctx, s.proxy, testToken); err != nil {
			return err
		}
		for id := from; id < from+50; id++ {
			if err := sendSetUp(c, id); err != nil {
				return err
			}
		}
		for n := 0; n < 50; {
			_, b, err := c.Read(ctx)
			var m struct{ Type, Call, Description string }
			if err != nil || json.Unmarshal(b, &m) != nil {
				return fmt.Errorf("%s: %w", b, err)
			}
			answer := m.Type + " " + m.Description
			switch previous, known := firstAnswers[m.Call]; {
			case m.Type == "error":
				return fmt.Errorf("call %s: %s", m.Call, b)
			case m.Type == "released":
				// Arrives twice if another socket of the tenant received it before.
			case known && previous != answer:
				checker.t.Errorf("call %s: answered with %q and later with %q", m.Call, previous, answer)
			case !known:
				firstAnswers[m.Call] = answer
				checker.finalAnswer(m.Call, m.Type == "answer", m.Description)
				n++
				ended++
			}
		}
		c.CloseNow()
	}
	if ended != calls {
		checker.t.Errorf("%d of %d calls answered", ended, calls)
	}
	return nil
}

// Runs callers and switches of both protocols concurrently, with broken connections, silent
// switches, connections closed during set-up, duplicates and a drain, and checks every rule
// for every call.
func TestMixedCallersKeepTheRules(t *testing.T) {
	t.Parallel()
	// A short goal time gives short ticks, so that credit accumulates fast enough.
	s := start(t, "\ns1\ns2\nx3", strings.ReplaceAll(settingsJSON, `"goalTimeMs":8000`, `"goalTimeMs":200`))
	checker := &callChecker{t: t, outstanding: map[string]string{}, notBefore: map[string]time.Time{}, descriptions: map[string]map[string]bool{},
		answers: map[string]int{}, deadline: map[string]time.Time{}, established: map[string]bool{}}
	go checker.runBinarySwitch(s.switches["s1"])
	go checker.runBinarySwitch(s.switches["s2"])
	go checker.runAPISwitch(s.switches["x3"])
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Go(func() {
			if err := checker.runBinaryCaller(s, uint64(1000*(i+1)), mixedCalls); err != nil {
				t.Errorf("binary caller: %v", err)
			}
		})
		wg.Go(func() {
			if err := checker.runAPICaller(s, uint64(100000*(i+1)), mixedCalls); err != nil {
				t.Errorf("client of the call API: %v", err)
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s.runLine(ctx, `list {"complete":false,"members":[{s1 1 draining}]}`)
	s.runLine(ctx, "sync draining id-s1")
	checker.mu.Lock()
	checker.drainTime = time.Now()
	checker.mu.Unlock()
	wg.Wait()
	s.runLine(ctx, "sync calls 0 0")
	if len(checker.answers) != 4*mixedCalls {
		t.Errorf("%d calls answered, want %d", len(checker.answers), 4*mixedCalls)
	}
	answers := 0
	for _, m := range checker.descriptions {
		answers += len(m)
	}
	if checker.attempts == 0 || answers == 0 { // their number depends on the machine's speed
		t.Errorf("%d attempts and %d answers, want at least one of each", checker.attempts, answers)
	}
	t.Logf("%d attempts, %d answered by switches", checker.attempts, answers)
}
