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

// TestbedConfig configures a Testbed.
type TestbedConfig struct {
	Binary     string // path of the proxy's program
	Dir        string // holds configuration files and logs
	Proxies    int
	Exchanges  int           // each has a switch; the first Proxies ones also have a proxy
	Deadline   time.Duration // deadline of the call class
	FaultRates FaultRates
	HoldTimes  HoldTimes
	Clients    ClientConfig // NewTestbed sets Dests, Class and Tenant
	Peers      *PeerNetwork // nil: the proxies send each other nothing
	Seed       uint64
}

// Testbed runs a few proxies as processes, with simulated switches, callers and discovery, each at
// its own loopback addresses.
type Testbed struct {
	Config    TestbedConfig
	Ledger    *Ledger
	Proxies   []*Process
	Clients   []*Client
	Discovery *Discovery
	network   int // second byte of the addresses
	peers     *peerNetwork

	mu             sync.Mutex // guards all below
	rng            *rand.Rand
	switches       []*Switch // by exchange: the switch in service
	replaced       []*Switch
	discoveryMoves int
	closing        chan struct{}
	checker        sync.WaitGroup
}

const (
	className     = "space-check"
	tenantName    = "main-lot"
	checkInterval = 20 * time.Millisecond
)

// maxTestbeds is how many testbeds of one process may run at a time.
const maxTestbeds = 8

// freeNetworks holds the unused network numbers. They depend on the process id, so that test
// processes running at the same time rarely share addresses.
var freeNetworks = func() chan int {
	free := make(chan int, maxTestbeds)
	for i := range maxTestbeds {
		free <- 64 + os.Getpid()%16*maxTestbeds + i
	}
	return free
}()

// address returns a loopback address of this testbed, by the kind and index of its owner.
func (tb *Testbed) address(kind, index int) string {
	return fmt.Sprintf("127.%d.%d.%d:5070", tb.network, kind, index+1)
}

// Kinds of addresses: the third byte.
const (
	proxyAddresses     = 1
	discoveryAddresses = 2 // and the following numbers, one for each move
	switchAddresses    = 100
	peerAddresses      = 200 // and the number of the proxy that sends there
)

// NewTestbed starts everything but the callers. It waits if maxTestbeds testbeds are running. The
// returned Testbed must be closed even after an error.
func NewTestbed(config TestbedConfig) (*Testbed, error) {
	tb := &Testbed{Config: config, Ledger: NewLedger(), rng: rand.New(rand.NewPCG(config.Seed, 5)), closing: make(chan struct{}),
		network: <-freeNetworks}
	tb.Discovery = NewDiscovery(tb.Ledger)
	for i := range config.Proxies {
		tb.Proxies = append(tb.Proxies, &Process{Name: fmt.Sprintf("n%d", i), Listen: tb.address(proxyAddresses, i), Binary: config.Binary, Dir: config.Dir})
	}
	if config.Peers != nil {
		var err error
		address := func(i, j int) string { return tb.address(peerAddresses+i, j) }
		if tb.peers, err = newPeerNetwork(*config.Peers, config.Proxies, address, tb.Ledger, config.Seed); err != nil {
			return tb, err
		}
	}
	for exchange := range config.Exchanges {
		s, err := tb.NewSwitch(exchange)
		if err != nil {
			return tb, err
		}
		tb.switches = append(tb.switches, s)
		tb.Discovery.members[s.ID] = Member{Switch: s, Phase: "up"}
	}
	for i, p := range tb.Proxies {
		if err := tb.Discovery.Listen(p.Name, tb.address(discoveryAddresses, i)); err != nil {
			return tb, err
		}
		if err := tb.StartProxy(i); err != nil {
			return tb, err
		}
		clientConfig := config.Clients
		clientConfig.Class, clientConfig.Tenant = className, tenantName
		for exchange := range config.Exchanges {
			if exchange != i {
				clientConfig.Dests = append(clientConfig.Dests, exchange)
			}
		}
		tb.Clients = append(tb.Clients, NewClient(p, tb.Ledger, clientConfig, config.Seed*100+uint64(i)))
	}
	tb.checker.Go(tb.checkLoop)
	return tb, nil
}

// checkLoop checks the ledger for overdue answers and notifications every checkInterval.
func (tb *Testbed) checkLoop() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			tb.Ledger.Check(tb.readyIncarnation)
		case <-tb.closing:
			return
		}
	}
}

func (tb *Testbed) readyIncarnation(proxy string) int {
	for _, p := range tb.Proxies {
		if p.Name == proxy {
			return p.ReadyIncarnation()
		}
	}
	return 0
}

// NewSwitch opens a switch with a new id for an exchange, at the addresses of that exchange.
func (tb *Testbed) NewSwitch(exchange int) (*Switch, error) {
	tb.mu.Lock()
	id := fmt.Sprintf("s-%08x", tb.rng.Uint32())
	seed := tb.rng.Uint64()
	tb.mu.Unlock()
	s := NewSwitch(id, exchange, tb.Ledger, tb.Config.FaultRates, tb.Config.HoldTimes, seed)
	for i, p := range tb.Proxies {
		if err := s.Listen(p.Name, tb.address(switchAddresses+exchange, i)); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// Switch returns the switch in service at an exchange.
func (tb *Testbed) Switch(exchange int) *Switch {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.switches[exchange]
}

// ReplaceSwitch replaces a switch that was powered off or killed by a new one at the same
// addresses. It does not notify discovery.
func (tb *Testbed) ReplaceSwitch(exchange int) (old, replacement *Switch, err error) {
	old = tb.Switch(exchange)
	old.ReassignAddresses()
	if replacement, err = tb.NewSwitch(exchange); err != nil {
		return old, nil, err
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.switches[exchange] = replacement
	tb.replaced = append(tb.replaced, old)
	return old, replacement, nil
}

// settings returns the settings of a proxy, in JSON.
func (tb *Testbed) settings(index int) string {
	ms := tb.Config.Deadline.Milliseconds()
	return fmt.Sprintf(`{"ordinal":%d,"fleetSize":%d,"classes":[{"name":%q,"goalTimeMs":%d,"deadlineMs":%d,"worth":1}],
"extra":{"here":%d,"topology":"meshed","releaseMs":500,"resendMs":0,"widths":[1],"classHoldMs":[%d]},
"limits":{"mostTries":5,"cancel":true,"dialTimeoutMs":500,"openCap":20000,"peers":true},
"rules":{"answerSlackMs":20,"coldShare":0.29,"rampTimeMs":1000,"fallMultiple":4,"overloadForMs":2000,"drainGraceMs":500},
"realms":[{"name":%q}]}`, index, tb.Config.Exchanges, className, ms/2, ms, index, (tb.Config.HoldTimes.Min+tb.Config.HoldTimes.Max).Milliseconds()/2, tenantName)
}

func (tb *Testbed) config(index int, known, channel string) string {
	p := tb.Proxies[index]
	tb.mu.Lock()
	seed := tb.rng.Uint64()
	tb.mu.Unlock()
	peers := ""
	if tb.peers != nil {
		peers = tb.peers.settings(index)
	}
	return fmt.Sprintf(`{"name":%q,"listen":%q,"seed":"%x","channel":%q,%s"limits":{"cores":1,"memory_mb":192,"sockets":512},"known":%s,"settings":%s}`,
		p.Name, p.Listen, seed, channel, peers, known, tb.settings(index))
}

// StartProxy starts a proxy with discovery's current list of switches.
func (tb *Testbed) StartProxy(index int) error {
	p := tb.Proxies[index]
	tb.Ledger.Restarted(p.Name)
	known, channel := tb.Discovery.InitialEvents(p.Name)
	if err := p.WriteConfig(tb.config(index, known, channel)); err != nil {
		return err
	}
	return p.Start()
}

// MoveDiscovery moves a proxy's discovery to another address, which the proxy gets by a new
// configuration and SIGHUP.
func (tb *Testbed) MoveDiscovery(index int) error {
	p := tb.Proxies[index]
	tb.mu.Lock()
	tb.discoveryMoves++
	kind := discoveryAddresses + tb.discoveryMoves%(switchAddresses-discoveryAddresses)
	tb.mu.Unlock()
	if err := tb.Discovery.Listen(p.Name, tb.address(kind, index)); err != nil {
		return err
	}
	known, channel := tb.Discovery.AllEvents(p.Name)
	if err := p.WriteConfig(tb.config(index, known, channel)); err != nil {
		return err
	}
	return p.Signal(syscall.SIGHUP)
}

// minKillDelay returns how soon after SIGTERM the platform may send SIGKILL.
func (tb *Testbed) minKillDelay() time.Duration {
	return min(tb.Config.Deadline, 3*time.Second) + 700*time.Millisecond
}

// RestartProxy stops a proxy and starts it again.
func (tb *Testbed) RestartProxy(index int) error {
	if err := tb.StopProxy(index); err != nil {
		return err
	}
	return tb.StartProxy(index)
}

// StopProxy stops a proxy as the platform does, with SIGKILL at the earliest time.
func (tb *Testbed) StopProxy(index int) error {
	p := tb.Proxies[index]
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	kill := time.NewTimer(tb.minKillDelay())
	defer kill.Stop()
	select {
	case <-kill.C:
		tb.KillProxy(index)
	case <-p.Exited():
		tb.Ledger.Count("proxies that exited before SIGKILL")
	}
	return nil
}

// KillProxy kills a proxy with SIGKILL.
func (tb *Testbed) KillProxy(index int) {
	tb.Proxies[index].Kill()
	tb.Ledger.Killed(tb.Proxies[index].Name)
}

// Close stops all processes and parties and returns the errors of processes that crashed.
func (tb *Testbed) Close() error {
	var failed error
	for _, p := range tb.Proxies {
		failed = errors.Join(failed, p.CrashError())
		p.Kill()
	}
	close(tb.closing)
	tb.checker.Wait()
	for _, c := range tb.Clients {
		c.Close()
	}
	tb.Discovery.Close()
	if tb.peers != nil {
		tb.peers.Close()
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, s := range append(tb.replaced, tb.switches...) {
		s.Close()
	}
	freeNetworks <- tb.network
	return failed
}

// LogPaths returns the paths of the proxies' logs.
func (tb *Testbed) LogPaths() (paths []string) {
	for _, p := range tb.Proxies {
		paths = append(paths, filepath.Clean(p.LogPath()))
	}
	return paths
}
