package trunk

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/routing"
)

// recorder is a connection that notes what is written on it.
type recorder struct {
	said   chan string
	closed chan struct{}
	once   sync.Once
}

func (r *recorder) Read() (Event, error) {
	<-r.closed
	return Event{}, io.EOF
}
func (r *recorder) SetUp(s *core.SetUp, _ time.Time) error { return r.note("set up ", s.ID) }
func (r *recorder) Release(id uint64) error                { return r.note("release ", id) }
func (r *recorder) AcknowledgeRelease(id uint64) error     { return r.note("heard ", id) }
func (r *recorder) ReplyToTest(id uint64) error            { return r.note("passed ", id) }
func (r *recorder) Close() error {
	r.once.Do(func() { close(r.closed) })
	return nil
}

func (r *recorder) note(what string, id uint64) error {
	r.said <- what + callName(id)
	return nil
}

// deaf hears nothing of what a switch says.
type deaf struct{}

func (deaf) Answered(uint64, []byte) core.Verdict { return core.Unknown }
func (deaf) Ended(uint64, core.End)               {}
func (deaf) Group(routing.Report)                 {}
func (deaf) CallsOver(core.EndReason, time.Time)  {}
func (deaf) EvidenceMissing()                     {}

// Guards against a release that is lost because the switch has no connection
// at that moment, as in the first instant after a start: the switch would hold
// the call for good.
func TestReleaseWaitsForAConnection(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	reachable, tried := make(chan struct{}), make(chan struct{}, 16)
	conn := &recorder{said: make(chan string, 8), closed: make(chan struct{})}
	l := New(ctx, core.Member{ID: "s1", Addr: "addr"}, deaf{}, Timeouts{Dial: time.Minute, Silence: time.Minute}, slog.New(slog.DiscardHandler), metrics.New(),
		func(ctx context.Context, _ string) (Conn, error) {
			tried <- struct{}{}
			select {
			case <-reachable:
				return conn, nil
			case <-ctx.Done():
				return nil, errors.New("not reached")
			}
		})
	defer l.Close()
	<-tried
	l.Release(0xa1)
	l.Release(0xb2)
	close(reachable)
	got := []string{<-conn.said, <-conn.said}
	if err := l.SetUp(ctx, &core.SetUp{ID: 0xc3}, time.Now(), nil); err != nil {
		t.Fatal(err)
	}
	got = append(got, <-conn.said)
	want := []string{"release 00000000000000a1", "release 00000000000000b2", "set up 00000000000000c3"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("written (-want +got):\n%s", diff)
	}
}

// Guards against a connection that goes silent without a sign and stays open: with
// a set-up out it is given up and dialled afresh, and the set-up is released there.
func TestSilentConnectionIsReplaced(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	said := make(chan string, 8) // on whichever connection
	l := New(ctx, core.Member{ID: "s1", Addr: "addr"}, deaf{}, Timeouts{Dial: time.Minute, Silence: 30 * time.Millisecond}, slog.New(slog.DiscardHandler), metrics.New(),
		func(ctx context.Context, _ string) (Conn, error) {
			return &recorder{said: said, closed: make(chan struct{})}, nil
		})
	defer l.Close()
	if err := l.SetUp(ctx, &core.SetUp{ID: 0xc3}, time.Now(), nil); err != nil {
		t.Fatal(err)
	}
	got := []string{<-said, <-said}
	if diff := cmp.Diff([]string{"set up 00000000000000c3", "release 00000000000000c3"}, got); diff != "" {
		t.Errorf("written (-want +got):\n%s", diff)
	}
}

// Guards against closing the one connection on which a draining switch, which takes
// no new one, can still release what stands there.
func TestQuietConnectionIsKept(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	dials := make(chan bool, 64)
	l := New(ctx, core.Member{ID: "s1", Addr: "addr"}, deaf{}, Timeouts{Dial: time.Minute, Silence: time.Millisecond}, slog.New(slog.DiscardHandler), metrics.New(),
		func(ctx context.Context, _ string) (Conn, error) {
			dials <- true
			return &recorder{said: make(chan string, 8), closed: make(chan struct{})}, nil
		})
	defer l.Close()
	<-dials
	select {
	case <-dials:
		t.Error("a connection without a set-up out was replaced")
	case <-time.After(100 * time.Millisecond):
	}
}
