package platform

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"testing"
	"time"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/internal/standin"
	"violetspan.example/violetspan/routing"
)

// Limits of the platform from the publication of a change, or from when discovery could be
// reached if that is later, until a proxy counts as notified; and from then until it may send the
// switch no more set-ups.
const (
	notifiedLimit       = 6 * time.Second // after polls that failed
	notifiedAfterReload = 4 * time.Second
	notifiedAfterWait   = 2 * time.Second // after the end of the wait of a poll that gets no reply
	drainGrace          = 500 * time.Millisecond
)

// channelFixture is a CommandChannel that follows a stand-in of discovery.
type channelFixture struct {
	t         *testing.T
	discovery *standin.Discovery
	channel   *CommandChannel
	drained   chan drainReport
	switches  []*standin.Switch
}

// drainReport is a switch that the channel reports as draining.
type drainReport struct {
	id string
	at time.Time
}

const (
	fixtureProxy    = "n0"
	fixtureSwitches = 3
	drainInterval   = 600 * time.Millisecond // less than the wait of a poll, and no divisor of it
)

func newChannelFixture(t *testing.T) *channelFixture {
	f := &channelFixture{t: t, discovery: standin.NewDiscovery(standin.NewLedger()), drained: make(chan drainReport, fixtureSwitches)}
	t.Cleanup(f.discovery.Close)
	for exchange := range fixtureSwitches {
		s := standin.NewSwitch(fmt.Sprintf("s-%d", exchange), exchange, f.discovery.Ledger, standin.FaultRates{}, standin.HoldTimes{}, 1)
		if err := s.Listen(fixtureProxy, "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		f.discovery.Publish(standin.Member{Switch: s, Phase: "up"})
		f.switches = append(f.switches, s)
	}
	f.listen()
	known, addr := f.discovery.InitialEvents(fixtureProxy)
	f.channel = NewCommandChannel(addr, f.onSwitchList, slog.New(slog.DiscardHandler), metrics.New())
	f.channel.Apply(f.parse(known))
	return f
}

// follow starts to poll; the poll ends with the test.
func (f *channelFixture) follow() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.channel.Follow(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			f.t.Error(err)
		}
	})
}

func (f *channelFixture) onSwitchList(list core.SwitchList) {
	for _, sw := range list.Switches {
		if sw.State == routing.Draining {
			f.drained <- drainReport{sw.ID, time.Now()}
		}
	}
}

func (f *channelFixture) parse(known string) *Events {
	events, err := ParseEvents([]byte(known))
	if err != nil {
		f.t.Fatal(err)
	}
	return events
}

// listen opens a port of discovery; another one that is open moves there.
func (f *channelFixture) listen() {
	if err := f.discovery.Listen(fixtureProxy, "127.0.0.1:0"); err != nil {
		f.t.Fatal(err)
	}
}

// move moves discovery to another port, and the channel with it, without the events since the
// start.
func (f *channelFixture) move() {
	f.listen()
	_, addr := f.discovery.AllEvents(fixtureProxy)
	f.channel.Move(addr, &Events{})
}

// drain publishes the drains of all switches, one every drainInterval, and checks that the channel
// reports each within the limit.
func (f *channelFixture) drain(limit time.Duration) {
	published := map[string]time.Time{}
	for _, s := range f.switches {
		time.Sleep(drainInterval)
		published[s.ID] = time.Now()
		f.discovery.Publish(standin.Member{Switch: s, Phase: "draining"})
	}
	for range f.switches {
		select {
		case report := <-f.drained:
			if took := report.at.Sub(published[report.id]); took > limit {
				f.t.Errorf("the drain of %s was reported after %v, want at most %v", report.id, took, limit)
			}
			delete(published, report.id)
		case <-time.After(limit):
			f.t.Errorf("drains not reported within %v: %v", limit, slices.Sorted(maps.Keys(published)))
			return
		}
	}
}

// late returns the timing of a channel whose replies all take the given time.
func late(delay time.Duration) func(int) standin.ReplyTiming {
	return func(int) standin.ReplyTiming { return standin.ReplyTiming{Delay: delay} }
}

// inPieces returns the timing of a channel whose replies arrive in pieces.
func inPieces(delay time.Duration, pieces int, interval time.Duration) func(int) standin.ReplyTiming {
	return func(int) standin.ReplyTiming {
		return standin.ReplyTiming{Delay: delay, Pieces: pieces, Interval: interval}
	}
}

// randomlyLate returns the timing of a channel whose replies take up to the given time.
func randomlyLate(seed uint64, maxDelay time.Duration) func(int) standin.ReplyTiming {
	return func(request int) standin.ReplyTiming {
		rng := rand.New(rand.NewPCG(seed, uint64(request)))
		return standin.ReplyTiming{Delay: time.Duration(rng.Float64() * float64(maxDelay))}
	}
}

// silentOnce returns the timing of a channel that answers every third poll late and every third
// never, as a connection that has fallen silent.
func silentOnce(request int) standin.ReplyTiming {
	return [...]standin.ReplyTiming{{Delay: 3 * time.Second}, {Never: true}, {}}[request%3]
}

// Guards against set-ups to a draining switch while discovery is slow: a poll that was given up
// 0.5 s after its wait, and each later one after 1.9 s, never got the reply of a channel that took
// longer. Each case publishes drains at different times relative to the polls.
func TestSlowRepliesAreReceived(t *testing.T) {
	t.Parallel()
	const limit = notifiedLimit + drainGrace
	for name, tc := range map[string]struct {
		timing func(request int) standin.ReplyTiming
		beside func(f *channelFixture, stop <-chan struct{}) // runs until stop is closed; may be nil
		limit  time.Duration
	}{
		"in time":                  {timing: late(0), limit: drainGrace},
		"a little late":            {timing: late(700 * time.Millisecond), limit: limit},
		"late":                     {timing: late(2500 * time.Millisecond), limit: limit},
		"very late":                {timing: late(5 * time.Second), limit: limit},
		"later than any limit":     {timing: late(8 * time.Second), limit: 8*time.Second + notifiedAfterWait},
		"late now and then, 1":     {timing: randomlyLate(1, 4*time.Second), limit: limit},
		"late now and then, 2":     {timing: randomlyLate(2, 4*time.Second), limit: limit},
		"late or never":            {timing: silentOnce, limit: limit},
		"in pieces":                {timing: inPieces(0, 4, 700*time.Millisecond), limit: limit},
		"late and in pieces":       {timing: inPieces(time.Second, 5, 600*time.Millisecond), limit: limit},
		"late, frequent reloads":   {timing: late(2500 * time.Millisecond), beside: reloadOften, limit: limit},
		"a little late, reloads":   {timing: late(700 * time.Millisecond), beside: reloadOften, limit: limit},
		"late, moves":              {timing: late(2500 * time.Millisecond), beside: moveThrice, limit: 2*time.Second + notifiedAfterReload + drainGrace},
		"in pieces, with moves":    {timing: inPieces(0, 4, 700*time.Millisecond), beside: moveThrice, limit: 2*time.Second + notifiedAfterReload + drainGrace},
		"silent on one connection": {timing: silentTwiceAtStart, limit: limit},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newChannelFixture(t)
			f.discovery.SetReplyTiming(tc.timing)
			f.follow()
			stop := make(chan struct{})
			defer close(stop)
			if tc.beside != nil {
				go tc.beside(f, stop)
			}
			f.drain(tc.limit)
		})
	}
}

// silentTwiceAtStart returns the timing of a channel that never answers the first two polls.
func silentTwiceAtStart(request int) standin.ReplyTiming {
	return standin.ReplyTiming{Never: request <= 2}
}

// reloadOften reloads a configuration that names the present address.
func reloadOften(f *channelFixture, stop <-chan struct{}) {
	_, addr := f.discovery.AllEvents(fixtureProxy)
	ticker := time.NewTicker(400 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f.channel.Move(addr, &Events{})
		case <-stop:
			return
		}
	}
}

// moveThrice moves discovery to other addresses in quick succession, for the last time 2 s after
// its start.
func moveThrice(f *channelFixture, stop <-chan struct{}) {
	for _, pause := range []time.Duration{time.Second, 500 * time.Millisecond, 500 * time.Millisecond} {
		select {
		case <-time.After(pause):
			f.move()
		case <-stop:
			return
		}
	}
}

// Guards against a channel that was left too late: one that falls silent with its connections open,
// to new ones too, must be polled again in time once it answers.
func TestSilentChannelIsPolledInTime(t *testing.T) {
	t.Parallel()
	for name, silence := range map[string]time.Duration{"briefly": 2 * time.Second, "for long": 9 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newChannelFixture(t)
			f.follow()
			f.discovery.Hang()
			time.AfterFunc(silence, func() {
				if err := f.discovery.Restore(); err != nil {
					t.Error(err)
				}
			})
			f.drain(silence + notifiedLimit + drainGrace)
		})
	}
}

// Guards against dials that are given up and repeated although the channel is about to accept
// them: one whose first packets are dropped comes up with a retry of the kernel, after 1 s or 3 s.
func TestSlowDialsToTheChannelAreAwaited(t *testing.T) {
	t.Parallel()
	f := newChannelFixture(t)
	f.channel.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		select {
		case <-time.After(3 * time.Second):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		var dialer net.Dialer
		return dialer.DialContext(ctx, network, addr)
	}
	f.follow()
	f.drain(notifiedLimit + drainGrace)
}
