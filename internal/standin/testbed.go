package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// TestbedConfig is what a World is made of.
type TestbedConfig struct {
	Binary     string // the proxy's program
	Dir        string // for configurations and logs
	Proxies    int
	Exchanges  int           // exchanges: each has a switch, the first ones a proxy
	Deadline   time.Duration // longest deadline of a class
	FaultRates FaultRates
	HoldTimes  HoldTimes
	Clients    ClientConfig // Dests, Class and Tenant are filled in
	Seed       uint64
}

// Testbed is a handful of proxies as processes, with the switches, the discovery and the
// callers around them, each at loopback addresses of its own.
type Testbed struct {
	Config    TestbedConfig
	Ledger    *Ledger
	Proxies   []*Process
	Clients   []*Client
	Discovery *Discovery
	network   int // second byte of its addresses

	mu       sync.Mutex // guards all below
	rng      *rand.Rand
	switches []*Switch // by number: the one in service
	old      []*Switch
	moves    int
	quit     chan struct{}
	wg       sync.WaitGroup
}

const (
	className  = "space-check"
	tenantName = "main-lot"
	checkEvery = 20 * time.Millisecond
)

// sideBySide is how many worlds of one process may run at a time.
const sideBySide = 8

// networks has the numbers of those that may start.
var networks = func() chan int {
	free := make(chan int, sideBySide)
	for i := range sideBySide {
		free <- 64 + os.Getpid()%16*sideBySide + i
	}
	return free
}()

// address is a loopback address of this world's own: kind and place say whose.
func (w *Testbed) address(kind, place int) string {
	return fmt.Sprintf("127.%d.%d.%d:5070", w.network, kind, place+1)
}

// Kinds of addresses.
const (
	proxyAddresses     = 1
	discoveryAddresses = 2 // and those after it, one for each move
	switchAddresses    = 100
)

// NewTestbed starts everything but the callers.
func NewTestbed(plan TestbedConfig) (*Testbed, error) {
	w := &Testbed{Config: plan, Ledger: NewLedger(), rng: rand.New(rand.NewPCG(plan.Seed, 5)), quit: make(chan struct{}),
		network: <-networks}
	w.Discovery = NewDiscovery(w.Ledger)
	for i := range plan.Proxies {
		w.Proxies = append(w.Proxies, &Process{Name: fmt.Sprintf("n%d", i), Listen: w.address(proxyAddresses, i), Binary: plan.Binary, Dir: plan.Dir})
	}
	for n := range plan.Exchanges {
		s, err := w.NewSwitch(n)
		if err != nil {
			return w, err
		}
		w.switches = append(w.switches, s)
		w.Discovery.members[s.ID] = Member{Switch: s, Phase: "up"}
	}
	for i, p := range w.Proxies {
		if err := w.Discovery.Listen(p.Name, w.address(discoveryAddresses, i)); err != nil {
			return w, err
		}
		if err := w.StartProxy(i); err != nil {
			return w, err
		}
		h := plan.Clients
		h.Class, h.Tenant = className, tenantName
		for n := range plan.Exchanges {
			if n != i {
				h.Dests = append(h.Dests, n)
			}
		}
		w.Clients = append(w.Clients, NewClient(p, w.Ledger, h, plan.Seed*100+uint64(i)))
	}
	w.wg.Go(w.check)
	return w, nil
}

// check holds the times of the rules.
func (w *Testbed) check() {
	look := time.NewTicker(checkEvery)
	defer look.Stop()
	for {
		select {
		case <-look.C:
			w.Ledger.Check(w.incarnation)
		case <-w.quit:
			return
		}
	}
}

func (w *Testbed) incarnation(proxy string) int {
	for _, p := range w.Proxies {
		if p.Name == proxy {
			return p.ReadyIncarnation()
		}
	}
	return 0
}

// NewSwitch makes a switch with a new id for a number, at the addresses of that number.
func (w *Testbed) NewSwitch(number int) (*Switch, error) {
	w.mu.Lock()
	id := fmt.Sprintf("s-%08x", w.rng.Uint32())
	seed := w.rng.Uint64()
	w.mu.Unlock()
	s := NewSwitch(id, number, w.Ledger, w.Config.FaultRates, w.Config.HoldTimes, seed)
	for i, p := range w.Proxies {
		if err := s.Listen(p.Name, w.address(switchAddresses+number, i)); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Switch is the one in service for a number.
func (w *Testbed) Switch(number int) *Switch {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.switches[number]
}

// ReplaceSwitch puts a new switch in the place of one that has vanished or was killed, at the
// same addresses. Discovery is not told.
func (w *Testbed) ReplaceSwitch(number int) (was, is *Switch, err error) {
	was = w.Switch(number)
	was.ReassignAddresses()
	if is, err = w.NewSwitch(number); err != nil {
		return was, nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.switches[number] = is
	w.old = append(w.old, was)
	return was, is, nil
}

// settings are the settings of a proxy.
func (w *Testbed) settings(place int) string {
	ms := w.Config.Deadline.Milliseconds()
	return fmt.Sprintf(`{"fleetSize":%d,"classes":[{"name":%q,"goalTimeMs":%d,"deadlineMs":%d,"worth":1}],
"extra":{"here":%d,"topology":"meshed","releaseMs":500,"resendMs":0,"widths":[1],"classHoldMs":[%d]},
"limits":{"mostTries":5,"cancel":true,"dialTimeoutMs":500,"openCap":20000},
"rules":{"answerSlackMs":20,"coldShare":0.29,"rampTimeMs":1000,"fallMultiple":4,"overloadForMs":2000,"drainGraceMs":500},
"realms":[{"name":%q}]}`, w.Config.Exchanges, className, ms/2, ms, place, (w.Config.HoldTimes.Min+w.Config.HoldTimes.Max).Milliseconds()/2, tenantName)
}

func (w *Testbed) config(place int, known, channel string) string {
	p := w.Proxies[place]
	w.mu.Lock()
	seed := w.rng.Uint64()
	w.mu.Unlock()
	return fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"%x","channel":%q,"limits":{"cores":1,"memory_mb":192,"sockets":512},"known":%s,"settings":%s}`,
		p.Name, p.Listen, seed, channel, known, w.settings(place))
}

// StartProxy starts a proxy, with the list as discovery has it.
func (w *Testbed) StartProxy(place int) error {
	p := w.Proxies[place]
	w.Ledger.Restarted(p.Name)
	known, channel := w.Discovery.InitialEvents(p.Name)
	if err := p.WriteConfig(w.config(place, known, channel)); err != nil {
		return err
	}
	return p.Start()
}

// MoveDiscovery moves a proxy's discovery to another address and tells the proxy.
func (w *Testbed) MoveDiscovery(place int) error {
	p := w.Proxies[place]
	w.mu.Lock()
	w.moves++
	kind := discoveryAddresses + w.moves%(switchAddresses-discoveryAddresses)
	w.mu.Unlock()
	if err := w.Discovery.Listen(p.Name, w.address(kind, place)); err != nil {
		return err
	}
	known, channel := w.Discovery.AllEvents(p.Name)
	if err := p.WriteConfig(w.config(place, known, channel)); err != nil {
		return err
	}
	return p.Signal(syscall.SIGHUP)
}

// earliestKill is how soon after SIGTERM the platform may send SIGKILL.
func (w *Testbed) earliestKill() time.Duration {
	return min(w.Config.Deadline, 3*time.Second) + 700*time.Millisecond
}

// RestartProxy stops a proxy as the platform does, SIGKILL at the earliest time, and starts
// it again.
func (w *Testbed) RestartProxy(place int) error {
	p := w.Proxies[place]
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	kill := time.NewTimer(w.earliestKill())
	defer kill.Stop()
	select {
	case <-kill.C:
	case <-p.Exited():
		w.Ledger.Count("proxies that ended before SIGKILL")
	}
	p.Kill()
	return w.StartProxy(place)
}

// Close ends everything and returns what went wrong with the processes.
func (w *Testbed) Close() error {
	var failed error
	for _, p := range w.Proxies {
		failed = errors.Join(failed, p.CrashError())
		p.Kill()
	}
	close(w.quit)
	w.wg.Wait()
	for _, c := range w.Clients {
		c.Close()
	}
	w.Discovery.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range append(w.old, w.switches...) {
		s.Close()
	}
	networks <- w.network
	return failed
}

// LogPaths are the paths of the proxies' logs.
func (w *Testbed) LogPaths() (paths []string) {
	for _, p := range w.Proxies {
		paths = append(paths, filepath.Clean(p.LogPath()))
	}
	return paths
}
