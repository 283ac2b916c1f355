// Package proxy puts the core and its fronts together and leads them from
// start to exit.
package proxy

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"violetspan.example/violetspan/internal/admin"
	"violetspan.example/violetspan/internal/callapi"
	"violetspan.example/violetspan/internal/config"
	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/inventory"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/internal/planner"
	"violetspan.example/violetspan/internal/platform"
	"violetspan.example/violetspan/internal/tenant"
	"violetspan.example/violetspan/internal/trunk"
	"violetspan.example/violetspan/routing"
)

// Phase is where a Proxy is between its start and its exit.
type Phase int32

// The phases, in their order.
const (
	Starting  Phase = iota // reads the list and connects
	Serving                // takes calls
	Grace                  // was told to stop; still takes the calls that come
	Finishing              // takes none; gives the last answers and passes on releases
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "grace", "finishing", "stopped"}[p]
}

// How long the phases after the order to stop last. The platform sends new
// calls for 0.6 s after it. It kills at the earliest when the longest deadline, counted as
// killDeadline where it is longer, and killAfter have passed; until then its callers use
// the connections that are open. Exiting with an answer owed loses the call, and so does a
// kill that finds a late one unanswered.
const (
	graceFor     = 700 * time.Millisecond
	killDeadline = 3 * time.Second
	killAfter    = 700 * time.Millisecond
	exitBefore   = 350 * time.Millisecond // the last connection is closed so long before the kill
	unprovenFor  = 250 * time.Millisecond // for telling callers of calls that may be over, before that
	answerFor    = 65 * time.Second       // for answers; clients of the call API wait for a minute at most
)

const (
	maxCalls   = 4096 // without a platform, which says how much memory there is
	adminConns = 16

	maxKeptBytes = 32 << 20
	maxPools     = 1 << 12 // destinations, where the settings don't say how many there are
	otherSockets = 64      // switches, listeners, the command channel, the log
)

// Proxy is one signalling proxy.
type Proxy struct {
	platform *config.Platform // nil: off
	service  *config.Service  // nil: off
	log      *slog.Logger
	count    *metrics.Set
	phase    atomic.Int32

	// ReadConfig reads the platform's configuration anew for Reload; nil: it stays.
	ReadConfig func() (*config.Platform, error)

	core    *core.Core
	front   *platform.Server
	channel *platform.CommandChannel
	api     *callapi.Server
	tenants *tenant.Registry
	planner *planner.Loop // nil: off
	reload  sync.Mutex
	cert    atomic.Pointer[tls.Certificate] // of the hosted service; nil: no TLS
	// Where it listens, for those who let the system choose the ports.
	CallAddr, APIAddr, AdminAddr net.Addr
}

// New makes a proxy with one front or both.
func New(pf *config.Platform, sv *config.Service, log *slog.Logger) (*Proxy, error) {
	if pf == nil && (sv == nil || sv.Settings == nil) {
		return nil, errors.New("key settings: missing, and no platform gives them")
	}
	if pf != nil && sv != nil && pf.Sockets/2+sv.MaxConns+adminConns+otherSockets > pf.Sockets {
		return nil, fmt.Errorf("key callapi.max_connections: %d is too many beside the platform's callers with %d descriptors in all",
			sv.MaxConns, pf.Sockets)
	}
	return &Proxy{platform: pf, service: sv, log: log, count: metrics.New()}, nil
}

// Phase tells where the proxy is.
func (p *Proxy) Phase() Phase { return Phase(p.phase.Load()) }

func (p *Proxy) enter(ph Phase) {
	p.phase.Store(int32(ph))
	p.log.Info("phase", "phase", ph.String())
	if ph > Serving {
		p.log.LogAttrs(context.Background(), slog.LevelInfo, "metrics", p.count.Attrs()...)
	}
}

// Run serves until the context ends, then finishes what was taken. Each value
// on hup reloads the configuration and the inventory. It calls ready, if given, once it serves.
func (p *Proxy) Run(ctx context.Context, hup <-chan os.Signal, ready func()) error {
	p.enter(Starting)
	defer p.enter(Stopped)
	base, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, life := errgroup.WithContext(base)
	stop, err := p.start(life, g)
	if err != nil {
		end()
		return errors.Join(err, g.Wait())
	}

	p.enter(Serving)
	if ready != nil {
		ready()
	}
serving:
	for {
		select {
		case <-hup:
			p.reloadIfAsked()
		case <-ctx.Done():
			break serving
		case <-life.Done(): // a part failed: its error is the group's
			break serving
		}
	}

	p.enter(Grace)
	exit := time.Now().Add(p.longestDeadline() + killAfter - exitBefore)
	p.core.ProbeEarly() // what stands at silent switches is verified before nobody knows of it
	p.serveFor(life, hup, graceFor)

	p.enter(Finishing)
	p.core.StopAccepting()
	if p.front != nil {
		p.front.Drain()
	}
	stopReloads := p.reloadOn(life, hup)
	p.finish(life, exit)
	stopReloads()
	stop()
	end()
	return g.Wait()
}

// longestDeadline is the longest that a call's caller waits, as the platform counts it.
func (p *Proxy) longestDeadline() time.Duration {
	longest := time.Duration(0)
	set := p.settingsInForce()
	for _, class := range set.Routing.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, killDeadline)
}

// settingsInForce are the platform's settings, or without it the service's.
func (p *Proxy) settingsInForce() *config.Settings {
	if p.platform != nil {
		return &p.platform.Settings
	}
	return p.service.Settings
}

// reloadIfAsked reloads, and logs why it could not.
func (p *Proxy) reloadIfAsked() {
	if err := p.Reload(); err != nil {
		p.log.Error("configuration not reloaded", "error", err)
	}
}

// serveFor goes on serving for some time. The configuration may change in it too.
func (p *Proxy) serveFor(life context.Context, hup <-chan os.Signal, d time.Duration) {
	grace := time.NewTimer(d)
	defer grace.Stop()
	for {
		select {
		case <-hup:
			p.reloadIfAsked()
		case <-grace.C:
			return
		case <-life.Done():
			return
		}
	}
}

// reloadOn reloads on each value of hup until the function that it returns is called.
func (p *Proxy) reloadOn(life context.Context, hup <-chan os.Signal) (stop func()) {
	ctx, cancel := context.WithCancel(life)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-hup:
				p.reloadIfAsked()
			case <-ctx.Done():
				return
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// finish gives the final answers, and passes on the releases that come until it is time to
// exit. What stands then is left to the next proxy, which passes on its release; but not
// what stands at a switch that may be gone, of which no release will come.
func (p *Proxy) finish(life context.Context, exit time.Time) {
	answered := exit.Add(-unprovenFor)
	if p.platform == nil { // nobody kills it
		answered = time.Now().Add(answerFor)
	}
	answers, cancel := context.WithDeadline(life, answered)
	defer cancel()
	if p.core.WaitForCalls(answers, false) != nil {
		unanswered, _ := p.core.Counts()
		p.log.Warn("calls failed at the end", "unanswered", unanswered)
		p.core.FailUnanswered()
	}
	releases, cancel := context.WithDeadline(life, exit.Add(-unprovenFor))
	defer cancel()
	_ = p.core.WaitForCalls(releases, true) // what is left is told below
	last, cancel := context.WithDeadline(life, exit)
	defer cancel()
	_ = p.core.WaitForCalls(last, false) // logged below
	p.core.EndUnverifiedCalls(last)
	if unanswered, standing := p.core.Counts(); unanswered+standing > 0 {
		p.log.Info("calls left at the end", "unanswered", unanswered, "standing", standing)
	}
	if p.front != nil {
		p.front.WaitForReleases(last)
	}
}

// start opens what the configuration asks for. The function that it returns
// closes it all.
func (p *Proxy) start(life context.Context, g *errgroup.Group) (stop func(), err error) {
	var closers []func()
	stop = func() {
		for _, f := range closers {
			f()
		}
		if p.core != nil {
			_ = p.core.Close() // after the fronts, which still tell it of callers that left
		}
	}
	defer func() {
		if err != nil {
			stop()
		}
	}()
	set, opt := p.settings(life)
	if p.service != nil && p.service.Plan != nil {
		ps := *p.service.Plan
		ps.OwnExchange = set.Routing.OwnExchange
		p.planner = planner.New(ps, p.log, func(e routing.PlanUpdated, until time.Time) { p.core.ApplyPlan(e, until) })
		opt.OnAccepted = func(s *core.SetUp) { p.planner.CountCall(s.ClassName, s.Dest) }
		g.Go(func() error { return p.planner.Run(life) })
	}
	if p.core, err = core.New(life, opt); err != nil {
		return stop, err
	}
	p.gauges()
	g.Go(func() error { return p.logMetrics(life) })
	if pf := p.platform; pf != nil {
		p.front.Handler = p.core
		known, err := platform.ParseEvents(pf.KnownEvents)
		if err != nil {
			return stop, fmt.Errorf("key known: %w", err)
		}
		p.channel = platform.NewCommandChannel(pf.ChannelAddr, p.core.ApplyList, p.log, p.count)
		p.channel.OnPollFailure = p.core.ProbeEarly
		p.channel.Apply(known)
		ln, err := platform.Listen(life, pf.Listen)
		if err != nil {
			return stop, fmt.Errorf("key listen: %w", err)
		}
		p.CallAddr = ln.Addr()
		// The listener first: Front.Close waits for what ends with Serve. The other
		// order hung every exit.
		closers = append(closers, func() { ln.Close() }, p.front.Close)
		g.Go(func() error { return p.channel.Follow(life) })
		g.Go(func() error { return p.front.Serve(ln) })
	}

	if sv := p.service; sv != nil {
		p.tenants = tenant.New(time.Now)
		p.api = &callapi.Server{Handler: p.core, Tenants: p.tenants, Log: p.log, AnswerRetention: sv.AnswerRetention,
			MaxStoredCalls: sv.MaxStoredCalls, MaxStoredBytes: maxKeptBytes, Destinations: maxPools, Classes: map[string]callapi.Class{}}
		if p.platform != nil {
			b := p.platform.ResourceLimits()
			p.api.MaxStoredCalls, p.api.MaxStoredBytes = min(sv.MaxStoredCalls, b.MaxStoredCalls), min(maxKeptBytes, b.MaxStoredBytes)
		}
		for name, i := range set.Classes {
			p.api.Classes[name] = callapi.Class{Index: i, Width: set.Routing.Classes[i].Width}
		}
		if err := p.loadInventory(); err != nil {
			return stop, err
		}
		mux := http.NewServeMux()
		mux.Handle("GET /v1/calls", p.api)
		addr, shut, err := p.listenHTTP(life, g, "callapi.listen", sv.CallListen, sv.MaxConns, mux)
		if err != nil {
			return stop, err
		}
		p.APIAddr = addr
		closers = append(closers, p.api.Close, shut)
		if sv.AdminListen != "" {
			a := &admin.Server{TokenHash: sv.AdminTokenHash, Tenants: p.tenants, Switches: p.core.Switches,
				Status: p.status, Reload: p.reloadInventory, Disconnect: p.api.Disconnect, Log: p.log, Metrics: p.count.Gatherer()}
			addr, shut, err := p.listenHTTP(life, g, "admin.listen", sv.AdminListen, adminConns, a.Handler())
			if err != nil {
				return stop, err
			}
			p.AdminAddr = addr
			closers = append(closers, shut)
		}
	}
	return stop, nil
}

// settings gathers what the core is made of.
func (p *Proxy) settings(life context.Context) (*config.Settings, core.Options) {
	opt := core.Options{Log: p.log, Observer: observer{p.count}}
	var set *config.Settings
	if pf := p.platform; pf != nil {
		set, opt.Seed = &pf.Settings, pf.Seed
		bounds := pf.ResourceLimits()
		p.front = platform.NewServer(form(set), bounds.MaxCallerConns, bounds.MaxOpenSetUps, p.log, p.count)
		opt.OnUnknownRelease, opt.MaxCalls = p.front.ForwardUnknownRelease, bounds.MaxCalls
	} else {
		set, opt.Seed = p.service.Settings, uint64(time.Now().UnixNano())
		opt.MaxCalls = min(set.MaxCalls, maxCalls)
	}
	opt.Settings = set.Routing
	times := trunk.Timeouts{Dial: set.DialTimeout, Silence: set.SilenceTimeout(), ReleaseBackoff: set.Routing.ReleaseDelay}
	opt.OpenLink = func(m core.Switch, peer *core.SwitchHandler) (core.Link, error) {
		dial := trunk.Dial(platform.Dial)
		if inventory.IsURL(m.Addr) {
			dial = callapi.Dial
		} else if _, _, err := net.SplitHostPort(m.Addr); err != nil {
			return nil, err
		}
		return trunk.New(life, m, peer, times, p.log, p.count, dial), nil
	}
	return set, opt
}

// dests is how many destinations there are by the settings.
func dests(set *config.Settings) int {
	if set.Routing.PoolMode {
		return maxPools
	}
	return set.Routing.FleetSize
}

// form is what set-ups on the platform must look like by the settings.
func form(set *config.Settings) platform.SetUpRules {
	f := platform.SetUpRules{Classes: map[string]platform.Class{}, Tenants: set.Tenants, DestCount: dests(set)}
	for name, i := range set.Classes {
		k := platform.Class{Index: i, MaxWait: set.Routing.Classes[i].Deadline}
		if set.HasWidths {
			k.Width = set.Routing.Classes[i].Width
		}
		f.Classes[name] = k
	}
	return f
}

// listenHTTP serves a handler on an address, with TLS if there is a certificate.
func (p *Proxy) listenHTTP(life context.Context, g *errgroup.Group, key, addr string, conns int, h http.Handler) (net.Addr, func(), error) {
	ln, err := platform.Listen(life, addr)
	if err != nil {
		return nil, nil, fmt.Errorf("key %s: %w", key, err)
	}
	served := netutil.LimitListener(ln, conns)
	if p.cert.Load() != nil {
		// Asked for at each handshake: a reload may have brought a new one.
		served = tls.NewListener(served, &tls.Config{MinVersion: tls.VersionTLS12,
			GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.cert.Load(), nil }})
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 10 * time.Second,
		WriteTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(p.log.Handler(), slog.LevelWarn)}
	g.Go(func() error {
		if err := srv.Serve(served); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("key %s: %w", key, err)
		}
		return nil
	})
	return ln.Addr(), func() { srv.Close() }, nil
}

// Reload reads the platform's configuration, the inventory and the certificate
// anew: all of it counts, or with an error nothing.
func (p *Proxy) Reload() error {
	p.reload.Lock()
	defer p.reload.Unlock()
	var pf *config.Platform
	var known *platform.Events
	var err error
	if p.channel != nil && p.ReadConfig != nil {
		if pf, err = p.ReadConfig(); err != nil {
			return err
		}
		if known, err = platform.ParseEvents(pf.KnownEvents); err != nil {
			return fmt.Errorf("key known: %w", err)
		}
	}
	if p.service != nil {
		if err := p.loadInventory(); err != nil {
			return err
		}
	}
	if pf != nil {
		p.channel.Move(pf.ChannelAddr, known)
		p.log.Info("configuration reloaded", "channel", pf.ChannelAddr)
		if key := p.platform.RestartRequiredKey(pf); key != "" {
			p.log.Warn("a changed key counts from the next start on", "key", key)
		}
	}
	return nil
}

// reloadInventory does so for the inventory and the certificate alone.
func (p *Proxy) reloadInventory() error {
	p.reload.Lock()
	defer p.reload.Unlock()
	return p.loadInventory()
}

// loadInventory takes in the inventory and the certificate, or with an error
// neither.
func (p *Proxy) loadInventory() error {
	inv, err := inventory.Load(p.service.Inventory)
	if err != nil {
		return err
	}
	cert, err := p.service.Certificate()
	if err != nil {
		return err
	}
	if err := p.tenants.Seed(inv.Tenants); err != nil {
		return fmt.Errorf("%s: %w", p.service.Inventory, err)
	}
	p.cert.Store(cert)
	p.core.ApplyList(core.SwitchList{Source: "inventory", Full: true, Switches: inv.Switches, Graceful: true})
	if p.planner != nil {
		ids := map[int]string{}
		for _, m := range inv.Switches {
			if _, twice := ids[m.Exchange]; !twice || m.State == routing.Ready {
				ids[m.Exchange] = m.ID
			}
		}
		if err := p.planner.SetInventory(&inv.Plan, ids); err != nil {
			p.log.Error("plan not taken", "file", p.service.Plan.File, "error", err)
		}
	}
	p.log.Info("inventory loaded", "switches", len(inv.Switches), "tenants", len(inv.Tenants))
	return nil
}

func (p *Proxy) status() admin.Status {
	unanswered, standing := p.core.Counts()
	return admin.Status{Phase: p.Phase().String(), Unanswered: unanswered, Established: standing}
}
