package soak

import (
	"os"
	"strings"
	"testing"
	"time"

	"violetspan.example/violetspan/internal/standin"
)

// newWorld starts a world that ends with the test. A failing test shows the ends of the
// proxies' logs.
func newWorld(t *testing.T, plan standin.TestbedConfig) *standin.Testbed {
	t.Helper()
	plan.Binary, plan.Dir = binary, t.TempDir()
	w, err := standin.NewTestbed(plan)
	t.Cleanup(func() {
		if err := w.Close(); err != nil {
			t.Error(err)
		}
		if t.Failed() {
			showLogs(t, w)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return w
}

const (
	logLines    = 150
	logLineSize = 300
)

func showLogs(t *testing.T, w *standin.Testbed) {
	for _, path := range w.LogPaths() {
		b, err := os.ReadFile(path)
		if err != nil {
			t.Error(err)
			continue
		}
		lines := strings.Split(strings.TrimSpace(string(b)), "\n")
		for _, line := range lines[max(0, len(lines)-logLines):] {
			t.Logf("%.*s", logLineSize, line)
		}
	}
}

// verdict fails the test for each rule that was broken.
func verdict(t *testing.T, w *standin.Testbed) map[string]int {
	t.Helper()
	faults, counts := w.Ledger.Result()
	for _, f := range faults {
		t.Error(f)
	}
	t.Logf("%v", counts)
	return counts
}

// steady are callers without bad habits, and switches that answer.
func steady(rate float64) standin.TestbedConfig {
	return standin.TestbedConfig{Proxies: 3, Exchanges: 4, Deadline: 3 * time.Second, Seed: 1,
		HoldTimes: standin.HoldTimes{Min: 30 * time.Second, Max: 40 * time.Second},
		Clients:   standin.ClientConfig{Rate: rate, Conns: 4, MinWait: time.Second, MaxWait: 1200 * time.Millisecond}}
}

// endsToldBy is when the caller of a call has to know of its end where no release could
// be sent, and some time for the check.
const endsToldBy = 8*time.Second + 500*time.Millisecond

// The incident of 2026-12-02: switches vanish with calls standing there while discovery
// is down. No release comes and no list, and each caller has to be told within 8 s.
func TestEndsAreToldWhenSwitchesVanishUnlisted(t *testing.T) {
	for name, quiet := range map[string]bool{"calls go on": false, "no calls any more": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, steady(25))
			for _, c := range w.Clients {
				c.Start()
			}
			time.Sleep(time.Second)
			if quiet {
				for _, c := range w.Clients {
					c.Stop()
				}
			}
			w.Discovery.TakeDown()
			for _, n := range []int{2, 3} {
				if err := w.Switch(n).PowerOff(); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(endsToldBy)
			if !quiet {
				for _, c := range w.Clients {
					c.Stop()
				}
			}
			if counts := verdict(t, w); counts["told over"] < 10 {
				t.Errorf("%d callers were told: too few to say anything", counts["told over"])
			}
			if n := w.Ledger.UnnotifiedEnds(); n > 0 {
				t.Errorf("%d calls are over and their callers were not told", n)
			}
		})
	}
}

// cutOff is how long discovery is cut off: several calls to it are given up.
const cutOff = 4 * time.Second

// Related: discovery is cut off, so that no dial to it comes up, and returns with a
// drain. The drain counts as told 6 s after discovery could be reached.
func TestDrainIsHeardAfterDiscoveryWasCutOff(t *testing.T) {
	t.Parallel()
	plan := steady(25)
	plan.HoldTimes = standin.HoldTimes{Min: 100 * time.Millisecond, Max: 200 * time.Millisecond}
	w := newWorld(t, plan)
	if err := w.Discovery.Partition(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(cutOff)
	drained := w.Switch(3)
	w.Discovery.Publish(standin.Member{Switch: drained, Phase: "draining"})
	if err := w.Discovery.Restore(); err != nil {
		t.Fatal(err)
	}
	for _, c := range w.Clients {
		c.Start()
	}
	time.Sleep(7500 * time.Millisecond)
	for _, c := range w.Clients {
		c.Stop()
	}
	if counts := verdict(t, w); counts["attempts"] < 100 {
		t.Errorf("%d attempts: too few to say anything", counts["attempts"])
	}
}
