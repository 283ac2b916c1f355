package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"violetspan.example/violetspan/internal/config"
	"violetspan.example/violetspan/internal/lab"
	"violetspan.example/violetspan/internal/mesh"
	"violetspan.example/violetspan/internal/standin"
	"violetspan.example/violetspan/routing"
)

// playDay plays a day of the lab against real proxies, one per exchange, and stand-ins, all
// on loopback. It returns the share of the worth that was established in time.
func playDay(t *testing.T, cfg mesh.Config, events []routing.PlanUpdated) float64 {
	t.Helper()
	exchanges := cfg.Exchanges
	testbed := standin.NewMesh(cfg)
	defer testbed.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error, exchanges)
	for exchange := range exchanges {
		addrs, err := testbed.OpenSwitches(exchange)
		if err != nil {
			t.Fatal(err)
		}
		var members []string
		for to, addr := range addrs {
			members = append(members, fmt.Sprintf(`{"id":"x%d","host_port":%q,"cell":%d,"phase":"up","size":1,"up_since_ms":0}`, to, addr, to))
		}
		settings := fmt.Sprintf(`{"fleetSize":%d,"classes":[{"name":"space-check","goalTimeMs":2000,"deadlineMs":9000,"worth":1},
			{"name":"shuttle-video","goalTimeMs":2500,"deadlineMs":9000,"worth":2}],
			"extra":{"here":%d,"topology":"meshed","releaseMs":500,"resendMs":800,"widths":[1,4],"classHoldMs":[%d,%d]},
			"limits":{"mostTries":5,"cancel":true,"dialTimeoutMs":500},"rules":{"answerSlackMs":20,"coldShare":0.29,"rampTimeMs":15000,"fallMultiple":4,"overloadForMs":2000},
			"realms":[{"name":"main-lot"}]}`, exchanges, exchange, cfg.Classes[0].Hold.Milliseconds(), cfg.Classes[1].Hold.Milliseconds())
		platformConfig, err := config.Parse(fmt.Appendf(nil, `{"name":"n%d","listen":"127.0.0.1:0","seed":"%x","channel":"127.0.0.1:9","limits":{"sockets":1024},
			"known":{"cursor":1,"cmds":[{"cursor":1,"nodes":{"complete":true,"members":[%s]}}]},"settings":%s}`, exchange, cfg.Seed*100+uint64(exchange), strings.Join(members, ","), settings))
		if err != nil {
			t.Fatal(err)
		}
		p, err := New(platformConfig, nil, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		ready := make(chan struct{})
		go func() { done <- p.Run(ctx, nil, func() { close(ready) }) }()
		select {
		case <-ready:
		case <-time.After(testTimeout):
			t.Fatal("proxy not ready before the timeout")
		}
		if events != nil {
			p.core.ApplyPlan(events[exchange], time.Now().Add(time.Hour))
		}
		if err := testbed.ConnectCallers(exchange, p.CallAddr.String()); err != nil {
			t.Fatal(err)
		}
	}
	testbed.Run()
	// Pending calls are answered by their deadline; established ones end after their hold time.
	for deadline := time.Now().Add(testTimeout + 10*cfg.Classes[1].Hold); ; time.Sleep(20 * time.Millisecond) {
		calls, legs := testbed.Unfinished()
		if calls+legs == 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Errorf("%d calls and %d legs have not ended", calls, legs)
			break
		}
	}
	cancel()
	for range exchanges {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	offered, inTime, counts, faults := testbed.Result()
	for _, f := range faults {
		t.Error(f)
	}
	t.Logf("seed %d: %v of %v worth in time; %v", cfg.Seed, inTime, offered, counts)
	return inTime / offered
}

// accelerate shortens a day to the given length and multiplies the call rates and divides
// the hold times by factor, which leaves the number of busy circuits unchanged.
func accelerate(c mesh.Config, factor float64, length time.Duration) mesh.Config {
	c.Length = length
	for i := range c.Classes {
		c.Classes[i].Hold = time.Duration(float64(c.Classes[i].Hold) / factor)
	}
	for i := range c.Flows {
		c.Flows[i].Rate *= factor
	}
	return c
}

// Plays one day at 110% of the planned load with weights, shortened to 6 s with calls eight
// times as fast. If VIOLETSPAN_REPLAY is a number of seeds, it plays a full day of 50 s for
// each seed instead, with weights and without.
func TestReplay(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("VIOLETSPAN_REPLAY"))
	if seeds == 0 {
		cfg := accelerate(lab.DrawConfig(4, 1.1, time.Second, 7), 8, 6*time.Second)
		events, _, err := lab.PlanEvents(&cfg, 0.2, true)
		if err != nil {
			t.Fatal(err)
		}
		if got := playDay(t, cfg, events); got < 0.5 || got > 1 {
			t.Errorf("share of the worth established in time: got %v, want 0.5 to 1", got)
		}
		return
	}
	var diffs []float64
	for s := range seeds {
		cfg := lab.DrawConfig(5, 1.1, 50*time.Second, uint64(6001+s))
		events, _, err := lab.PlanEvents(&cfg, 0.2, true)
		if err != nil {
			t.Fatal(err)
		}
		with := playDay(t, cfg, events)
		without := playDay(t, cfg, nil)
		diffs = append(diffs, with-without)
		t.Logf("seed %d: %.4f with weights, %.4f without", cfg.Seed, with, without)
	}
	mean, low, high := lab.Bootstrap(diffs, 10_000, 1)
	t.Logf("difference %+.4f (95%% %+.4f to %+.4f), %d pairs", mean, low, high, len(diffs))
}
