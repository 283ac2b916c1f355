package trunk

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/routing"
)

// pipe is a connection whose other side the test plays: what it says, and how it ends.
type pipe struct {
	events chan Event
	ended  chan error // has the error that ends it
	writes chan string
	once   sync.Once
	half   chan struct{} // closed once this side writes no more
	shut   sync.Once
}

func newPipe() *pipe {
	return &pipe{events: make(chan Event, 8), ended: make(chan error, 1), writes: make(chan string, 64), half: make(chan struct{})}
}

func (p *pipe) Read() (Event, error) {
	select {
	case ev := <-p.events:
		return ev, nil
	case err := <-p.ended:
		return Event{}, err
	}
}
func (p *pipe) SetUp(u *core.SetUp, _ time.Time) error { return p.note("set up ", u.ID) }
func (p *pipe) Release(id uint64) error                { return p.note("release ", id) }
func (p *pipe) AcknowledgeRelease(id uint64) error     { return p.note("acknowledge ", id) }
func (p *pipe) ReplyToTest(id uint64) error            { return p.note("passed ", id) }
func (p *pipe) Close() error {
	p.end(io.EOF)
	return nil
}
func (p *pipe) CloseWrite() error {
	p.shut.Do(func() { close(p.half) })
	return nil
}
func (p *pipe) end(err error) { p.once.Do(func() { p.ended <- err }) }
func (p *pipe) note(what string, id uint64) error {
	p.writes <- what + callName(id)
	return nil
}

// listener notes what a link tells of its switch.
type listener struct {
	over chan string
}

func (l listener) Answered(uint64, []byte) core.Verdict { return core.Taken }
func (l listener) Ended(id uint64, e core.End)          {}
func (l listener) Group(routing.Report)                 {}
func (l listener) EvidenceMissing()                     {}
func (l listener) CallsOver(why core.EndReason, _ time.Time) {
	l.over <- why.String()
}

var errNotUp = context.DeadlineExceeded // what a dial that does not come up ends with

// A call stands at a switch, and then the switch does what a step says to each dial. What
// the link concludes, and when, counted from the call's answer.
func TestWhatBecomesOfStandingCalls(t *testing.T) {
	for name, tc := range map[string]struct {
		// dial is what the n-th dial after the first connection comes to.
		dial func(n int) error
		// first is what happens to the first connection, a second after the answer.
		first func(p *pipe)
		// afterHalf is how the first connection ends once this side has closed its half.
		afterHalf error
		over      string        // the reason, or "" if the calls still stand after 20 s
		by        time.Duration // ... at this time at the latest
	}{
		"it vanishes: silent, and no dial comes up": {
			dial: func(int) error { return errNotUp },
			over: "switch_unreachable", by: 7600 * time.Millisecond},
		"it is cut off for a while": {
			dial:      func(n int) error { return map[bool]error{true: errNotUp}[n < 3] },
			afterHalf: io.EOF},
		"it vanishes, and another takes its address": {
			dial:      func(n int) error { return map[bool]error{true: errNotUp}[n < 3] },
			afterHalf: syscall.ECONNRESET,
			over:      "switch_process_gone", by: 7600 * time.Millisecond},
		"it is replaced before anybody asks": {
			dial:      func(int) error { return nil },
			afterHalf: syscall.ECONNRESET,
			over:      "switch_process_gone", by: 5 * time.Second},
		"its process ends": {
			dial:  func(int) error { return syscall.ECONNREFUSED },
			first: func(p *pipe) { p.end(syscall.ECONNRESET) },
			over:  "switch_process_gone", by: 1500 * time.Millisecond},
		"its connection is reset, and another comes up": {
			dial:      func(int) error { return nil },
			first:     func(p *pipe) { p.end(syscall.ECONNRESET) },
			afterHalf: io.EOF},
		"it drains: it takes no new connection and keeps the old one": {
			dial: func(int) error { return syscall.ECONNREFUSED }},
		"this machine has no descriptors": {
			dial: func(int) error { return syscall.EMFILE }},
		"it is idle": {
			dial:      func(int) error { return nil },
			afterHalf: io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conns := make(chan *pipe, 64)
				dials := -1
				up := listener{over: make(chan string, 8)}
				l := New(t.Context(), core.Member{ID: "s1", Addr: "addr"}, up, Timeouts{Dial: 500 * time.Millisecond, Silence: time.Second, ReleaseBackoff: 500 * time.Millisecond},
					slog.New(slog.DiscardHandler), metrics.New(), func(ctx context.Context, _ string) (Conn, error) {
						n := dials
						dials++
						if n >= 0 {
							if err := tc.dial(n); errors.Is(err, errNotUp) {
								<-ctx.Done()
								return nil, ctx.Err()
							} else if err != nil {
								return nil, err
							}
						}
						p := newPipe()
						if n >= 0 {
							go func() { // a living process closes what it is told is closed
								<-p.half
								p.end(io.EOF)
							}()
						}
						conns <- p
						return p, nil
					})
				first := <-conns
				if tc.afterHalf != nil {
					go func() {
						<-first.half
						first.end(tc.afterHalf)
					}()
				}
				first.events <- Event{Kind: Answer, Call: 0xa1}
				synctest.Wait()
				start := time.Now()
				if tc.first != nil {
					time.Sleep(time.Second)
					tc.first(first)
				}
				got, after := "", time.Duration(0)
				select {
				case got = <-up.over:
					after = time.Since(start)
				case <-time.After(20 * time.Second):
				}
				if diff := cmp.Diff(tc.over, got); diff != "" || after > tc.by {
					t.Errorf("after %v, by %v (-want +got):\n%s", after, tc.by, diff)
				}
				l.Close()
				first.CloseWrite()
				for len(conns) > 0 {
					(<-conns).CloseWrite()
				}
			})
		})
	}
}
