// Package proxy assembles a signalling proxy from the core, the platform server and the
// call API, and controls it from start-up to exit.
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

	"violetspan.example/violetspan/decide/share"
	"violetspan.example/violetspan/internal/admin"
	"violetspan.example/violetspan/internal/callapi"
	"violetspan.example/violetspan/internal/config"
	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/inventory"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/internal/peer"
	"violetspan.example/violetspan/internal/planner"
	"violetspan.example/violetspan/internal/platform"
	"violetspan.example/violetspan/internal/tenant"
	"violetspan.example/violetspan/internal/trunk"
	"violetspan.example/violetspan/routing"
)

// Phase is a stage in the life of a Proxy.
type Phase int32

// The phases, in order.
const (
	Starting  Phase = iota // loads the switch list and connects
	Serving                // accepts calls
	Grace                  // shutdown was requested; new calls are still accepted
	Finishing              // accepts no calls; sends the pending answers and forwards releases
	Stopped
)

func (p Phase) String() string {
	return [...]string{"starting", "serving", "grace", "finishing", "stopped"}[p]
}

// Timing of a shutdown. The platform sends new calls for another 0.6 s after it has
// requested the shutdown. It kills the process no earlier than the longest deadline, capped at
// maxCountedDeadline, plus killDelay after the request; until then callers use their open
// connections. A call is lost if the proxy exits, or is killed, while the final answer is
// pending.
const (
	graceDuration        = 700 * time.Millisecond
	maxCountedDeadline   = 3 * time.Second
	killDelay            = 700 * time.Millisecond
	exitMargin           = 350 * time.Millisecond // time between closing the last connection and the kill
	unverifiedCallsTime  = 250 * time.Millisecond // time before the exit for notifying callers of calls that may have ended
	serviceAnswerTimeout = 65 * time.Second       // without a platform; clients of the call API wait for at most 1 min
)

const (
	maxCalls      = 4096 // without a platform, whose configuration would specify the memory
	maxAdminConns = 16
	// maxHeaderBytes limits the head of an HTTP request. net/http adds 4 KiB to it. Very many short fields
	// take over ten times their length in memory.
	maxHeaderBytes = 512

	maxStoredBytes  = 32 << 20
	maxDestinations = 1 << 12 // if the settings don't specify the number of destinations
	reservedSockets = 64      // file descriptors for switches, listeners, the command channel and the log
)

// Proxy is a signalling proxy. Use New to create one.
type Proxy struct {
	platform *config.Platform // nil: off
	service  *config.Service  // nil: off
	log      *slog.Logger
	metrics  *metrics.Set
	phase    atomic.Int32

	// ReadConfig reads the platform's configuration again for Reload. If it is nil, Reload
	// keeps the current one.
	ReadConfig func() (*config.Platform, error)

	core        *core.Core
	server      *platform.Server
	channel     *platform.CommandChannel
	peers       *peer.Host // nil: off
	api         *callapi.Server
	tenants     *tenant.Registry
	planner     *planner.Loop // nil: off
	reloadMutex sync.Mutex
	cert        atomic.Pointer[tls.Certificate] // of the hosted service; nil: no TLS
	// The listening addresses, for configurations with port 0. They are set before ready is
	// called; see Run.
	CallAddr, APIAddr, AdminAddr net.Addr
}

// New returns a proxy for the platform, the hosted service or both; a nil configuration
// turns the respective part off.
func New(platformConfig *config.Platform, serviceConfig *config.Service, log *slog.Logger) (*Proxy, error) {
	if platformConfig == nil && (serviceConfig == nil || serviceConfig.Settings == nil) {
		return nil, errors.New("key settings: missing, and there is no platform configuration to take them from")
	}
	if platformConfig != nil && serviceConfig != nil && platformConfig.Sockets/2+serviceConfig.MaxConns+maxAdminConns+reservedSockets > platformConfig.Sockets {
		return nil, fmt.Errorf("key callapi.max_connections: %d and the platform's callers together exceed the limit of %d descriptors",
			serviceConfig.MaxConns, platformConfig.Sockets)
	}
	return &Proxy{platform: platformConfig, service: serviceConfig, log: log, metrics: metrics.New()}, nil
}

// Phase returns the current phase.
func (p *Proxy) Phase() Phase { return Phase(p.phase.Load()) }

func (p *Proxy) enterPhase(phase Phase) {
	p.phase.Store(int32(phase))
	p.log.Info("phase", "phase", phase.String())
	if phase > Serving {
		p.log.LogAttrs(context.Background(), slog.LevelInfo, "metrics", p.metrics.Attrs()...)
	}
}

// Run serves until the context ends, then completes the accepted calls and returns. It
// reloads the configuration and the inventory for each value received from hup, and calls
// ready, if not nil, when it starts to serve. It returns the error of the first component
// that failed, if any.
func (p *Proxy) Run(ctx context.Context, hup <-chan os.Signal, ready func()) error {
	p.enterPhase(Starting)
	defer p.enterPhase(Stopped)
	baseCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	g, serveCtx := errgroup.WithContext(baseCtx)
	stop, err := p.start(serveCtx, g)
	if err != nil {
		cancel()
		return errors.Join(err, g.Wait())
	}

	p.enterPhase(Serving)
	if ready != nil {
		ready()
	}
serving:
	for {
		select {
		case <-hup:
			p.reloadOrLog()
		case <-ctx.Done():
			break serving
		case <-serveCtx.Done(): // a component failed; the group returns its error
			break serving
		}
	}

	p.enterPhase(Grace)
	exitTime := time.Now().Add(p.countedDeadline() + killDelay - exitMargin)
	p.core.ProbeEarly() // verify calls at silent switches while this process still knows them
	p.serveFor(serveCtx, hup, graceDuration)

	p.enterPhase(Finishing)
	p.core.StopAccepting()
	if p.server != nil {
		p.server.Drain()
	}
	stopReloads := p.reloadInBackground(serveCtx, hup)
	p.finish(serveCtx, exitTime)
	stopReloads()
	p.core.PrepareExit()
	stop()
	cancel()
	return g.Wait()
}

// countedDeadline returns the longest deadline of a class as the platform counts it: capped
// at maxCountedDeadline.
func (p *Proxy) countedDeadline() time.Duration {
	longest := time.Duration(0)
	settings := p.activeSettings()
	for _, class := range settings.Routing.Classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxCountedDeadline)
}

// activeSettings returns the platform's settings or, without a platform, the service's.
func (p *Proxy) activeSettings() *config.Settings {
	if p.platform != nil {
		return &p.platform.Settings
	}
	return p.service.Settings
}

// reloadOrLog reloads and logs the error if that fails.
func (p *Proxy) reloadOrLog() {
	if err := p.Reload(); err != nil {
		p.log.Error("configuration not reloaded", "error", err)
	}
}

// serveFor continues to serve for the duration d. It handles reloads meanwhile.
func (p *Proxy) serveFor(serveCtx context.Context, hup <-chan os.Signal, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-hup:
			p.reloadOrLog()
		case <-timer.C:
			return
		case <-serveCtx.Done():
			return
		}
	}
}

// reloadInBackground reloads for each value received from hup until stop is called.
func (p *Proxy) reloadInBackground(serveCtx context.Context, hup <-chan os.Signal) (stop func()) {
	ctx, cancel := context.WithCancel(serveCtx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-hup:
				p.reloadOrLog()
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

// finish waits for the final answers and forwards releases until exitTime. Calls that are
// still established then are left to the next process if a peer holds them for it. The others
// are ended, and so are calls at silent switches whose probes fail: if the switch's process exits,
// no release will come for them.
func (p *Proxy) finish(serveCtx context.Context, exitTime time.Time) {
	stopHandover := p.startHandover(serveCtx, exitTime.Add(-unverifiedCallsTime-handoverTime))
	defer stopHandover()
	answerDeadline := exitTime.Add(-unverifiedCallsTime)
	if p.platform == nil { // there is no kill to anticipate
		answerDeadline = time.Now().Add(serviceAnswerTimeout)
	}
	answerCtx, cancel := context.WithDeadline(serveCtx, answerDeadline)
	defer cancel()
	if p.core.WaitForCalls(answerCtx, false) != nil {
		unanswered, _ := p.core.Counts()
		p.log.Warn("unanswered calls failed at exit", "unanswered", unanswered)
		p.core.FailUnanswered()
	}
	releaseCtx, cancel := context.WithDeadline(serveCtx, exitTime.Add(-unverifiedCallsTime))
	defer cancel()
	_ = p.core.WaitForCalls(releaseCtx, true) // the remaining calls are ended or logged below
	exitCtx, cancel := context.WithDeadline(serveCtx, exitTime)
	defer cancel()
	_ = p.core.WaitForCalls(exitCtx, false) // logged below
	p.core.EndUnverifiedCalls(exitCtx)
	stopHandover()
	p.endCallsNotHandedOver(exitCtx)
	if unanswered, established := p.core.Counts(); unanswered+established > 0 {
		p.log.Info("calls left at exit", "unanswered", unanswered, "standing", established)
	}
	if p.server != nil {
		p.server.WaitForReleases(exitCtx)
	}
}

// start starts the components that the configuration turns on. The returned function stops
// them; on an error they have been stopped already.
func (p *Proxy) start(serveCtx context.Context, g *errgroup.Group) (stop func(), err error) {
	var closers []func()
	stop = func() {
		for _, closeComponent := range closers {
			closeComponent()
		}
		if p.core != nil {
			_ = p.core.Close() // after the servers, which still notify it of closed connections
		}
	}
	defer func() {
		if err != nil {
			stop()
		}
	}()
	settings, options := p.coreOptions(serveCtx)
	if p.service != nil && p.service.Plan != nil {
		plannerSettings := *p.service.Plan
		plannerSettings.OwnExchange = settings.Routing.OwnExchange
		p.planner = planner.New(plannerSettings, p.log, func(update routing.PlanUpdated, until time.Time) { p.core.ApplyPlan(update, until) })
		options.OnAccepted = func(s *core.SetUp) { p.planner.CountCall(s.ClassName, s.Dest) }
		g.Go(func() error { return p.planner.Run(serveCtx) })
	}
	if p.core, err = core.New(serveCtx, options); err != nil {
		return stop, err
	}
	p.registerGauges()
	g.Go(func() error { return p.logMetrics(serveCtx) })
	if platformConfig := p.platform; platformConfig != nil {
		p.server.Handler = p.core
		knownEvents, err := platform.ParseEvents(platformConfig.KnownEvents)
		if err != nil {
			return stop, fmt.Errorf("key known: %w", err)
		}
		p.channel = platform.NewCommandChannel(platformConfig.ChannelAddr, p.core.ApplyList, p.log, p.metrics)
		p.channel.OnPollFailure = p.core.DiscoveryFailed
		p.channel.Apply(knownEvents)
		ln, err := platform.Listen(serveCtx, platformConfig.Listen)
		if err != nil {
			return stop, fmt.Errorf("key listen: %w", err)
		}
		p.CallAddr = ln.Addr()
		// The listener is closed first: Server.Close waits for goroutines that end with
		// Serve. The other order blocked every exit.
		closers = append(closers, func() { ln.Close() }, p.server.Close)
		p.startPeers(serveCtx, g)
		g.Go(func() error { return p.channel.Follow(serveCtx) })
		g.Go(func() error { return p.server.Serve(ln) })
	}

	if serviceConfig := p.service; serviceConfig != nil {
		p.tenants = tenant.New(time.Now)
		p.api = &callapi.Server{Handler: p.core, Tenants: p.tenants, Log: p.log, AnswerRetention: serviceConfig.AnswerRetention,
			MaxStoredCalls: serviceConfig.MaxStoredCalls, MaxStoredBytes: maxStoredBytes, Destinations: maxDestinations, Classes: map[string]callapi.Class{}}
		if p.platform != nil {
			limits := p.platform.ResourceLimits()
			p.api.MaxStoredCalls, p.api.MaxStoredBytes = min(serviceConfig.MaxStoredCalls, limits.MaxStoredCalls), min(maxStoredBytes, limits.MaxStoredBytes)
		}
		for name, i := range settings.Classes {
			p.api.Classes[name] = callapi.Class{Index: i, Width: settings.Routing.Classes[i].Width}
		}
		if err := p.loadInventory(); err != nil {
			return stop, err
		}
		mux := http.NewServeMux()
		mux.Handle("GET /v1/calls", p.api)
		addr, closeServer, err := p.listenHTTP(serveCtx, g, "callapi.listen", serviceConfig.CallListen, serviceConfig.MaxConns, mux)
		if err != nil {
			return stop, err
		}
		p.APIAddr = addr
		closers = append(closers, p.api.Close, closeServer)
		if serviceConfig.AdminListen != "" {
			adminServer := &admin.Server{TokenHash: serviceConfig.AdminTokenHash, Tenants: p.tenants, Switches: p.core.Switches,
				Status: p.status, Reload: p.reloadInventory, Removed: p.api.RemoveTenants, Log: p.log, Metrics: p.metrics.Gatherer()}
			addr, closeServer, err := p.listenHTTP(serveCtx, g, "admin.listen", serviceConfig.AdminListen, maxAdminConns, adminServer.Handler())
			if err != nil {
				return stop, err
			}
			p.AdminAddr = addr
			closers = append(closers, closeServer)
		}
	}
	return stop, nil
}

// coreOptions returns the active settings and the options of the core, and creates the
// platform server.
func (p *Proxy) coreOptions(serveCtx context.Context) (*config.Settings, core.Options) {
	options := core.Options{Log: p.log, Observer: observer{p.metrics}, Sharing: share.New(share.Defaults)}
	var settings *config.Settings
	if platformConfig := p.platform; platformConfig != nil {
		settings, options.Seed = &platformConfig.Settings, platformConfig.Seed
		limits := platformConfig.ResourceLimits()
		p.server = platform.NewServer(setUpRules(settings), limits.MaxCallerConns, limits.MaxOpenSetUps, p.log, p.metrics)
		options.OnUnknownRelease, options.MaxCalls = p.server.ForwardUnknownRelease, limits.MaxCalls
	} else {
		settings, options.Seed = p.service.Settings, uint64(time.Now().UnixNano())
		options.MaxCalls = min(settings.MaxCalls, maxCalls)
	}
	options.Settings = settings.Routing
	timeouts := trunk.Timeouts{Dial: settings.DialTimeout, Silence: settings.SilenceTimeout(), ReleaseBackoff: settings.Routing.ReleaseDelay}
	options.OpenLink = func(sw core.Switch, handler *core.SwitchHandler) (core.Link, error) {
		dial := trunk.Dial(platform.Dial)
		if inventory.IsURL(sw.Addr) {
			dial = callapi.Dial
		} else if _, _, err := net.SplitHostPort(sw.Addr); err != nil {
			return nil, err
		}
		return trunk.New(serveCtx, sw, handler, timeouts, p.log, p.metrics, dial), nil
	}
	return settings, options
}

// destinationCount returns the number of destinations in the settings.
func destinationCount(settings *config.Settings) int {
	if settings.Routing.PoolMode {
		return maxDestinations
	}
	return settings.Routing.FleetSize
}

// setUpRules returns the rules for the platform's set-ups from the settings.
func setUpRules(settings *config.Settings) platform.SetUpRules {
	rules := platform.SetUpRules{Classes: map[string]platform.Class{}, Tenants: settings.Tenants, Destinations: destinationCount(settings)}
	for name, i := range settings.Classes {
		class := platform.Class{Index: i, MaxWait: settings.Routing.Classes[i].Deadline}
		if settings.HasWidths {
			class.Width = settings.Routing.Classes[i].Width
		}
		rules.Classes[name] = class
	}
	return rules
}

// listenHTTP serves a handler on an address, with TLS if there is a certificate and with at
// most maxConns connections. It returns the listening address and a function that closes
// the server. key names the address's setting in errors.
func (p *Proxy) listenHTTP(serveCtx context.Context, g *errgroup.Group, key, addr string, maxConns int, h http.Handler) (net.Addr, func(), error) {
	ln, err := platform.Listen(serveCtx, addr)
	if err != nil {
		return nil, nil, fmt.Errorf("key %s: %w", key, err)
	}
	limited := netutil.LimitListener(ln, maxConns)
	if p.cert.Load() != nil {
		// Loaded at each handshake, because a reload may replace it.
		limited = tls.NewListener(limited, &tls.Config{MinVersion: tls.VersionTLS12,
			GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.cert.Load(), nil }})
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 10 * time.Second,
		WriteTimeout: 10 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(p.log.Handler(), slog.LevelWarn)}
	g.Go(func() error {
		if err := srv.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("key %s: %w", key, err)
		}
		return nil
	})
	return ln.Addr(), func() { srv.Close() }, nil
}

// Reload reads the platform's configuration, the inventory and the certificate again. If
// any of them has an error, none is applied.
func (p *Proxy) Reload() error {
	p.reloadMutex.Lock()
	defer p.reloadMutex.Unlock()
	var platformConfig *config.Platform
	var knownEvents *platform.Events
	var err error
	if p.channel != nil && p.ReadConfig != nil {
		if platformConfig, err = p.ReadConfig(); err != nil {
			return err
		}
		if knownEvents, err = platform.ParseEvents(platformConfig.KnownEvents); err != nil {
			return fmt.Errorf("key known: %w", err)
		}
	}
	if p.service != nil {
		if err := p.loadInventory(); err != nil {
			return err
		}
	}
	if platformConfig != nil {
		p.channel.Move(platformConfig.ChannelAddr, knownEvents)
		p.log.Info("configuration reloaded", "channel", platformConfig.ChannelAddr)
		if key := p.platform.RestartRequiredKey(platformConfig); key != "" {
			p.log.Warn("changed key takes effect only after a restart", "key", key)
		}
	}
	return nil
}

// reloadInventory is like Reload for the inventory and the certificate only.
func (p *Proxy) reloadInventory() error {
	p.reloadMutex.Lock()
	defer p.reloadMutex.Unlock()
	return p.loadInventory()
}

// loadInventory reads and applies the inventory and the certificate. If either has an
// error, neither is applied. An error of the plan file is only logged.
func (p *Proxy) loadInventory() error {
	inv, err := inventory.Load(p.service.Inventory)
	if err != nil {
		return err
	}
	cert, err := p.service.Certificate()
	if err != nil {
		return err
	}
	removed, err := p.tenants.Seed(inv.Tenants)
	p.api.RemoveTenants(removed)
	if err != nil {
		return fmt.Errorf("%s: %w", p.service.Inventory, err)
	}
	p.cert.Store(cert)
	p.core.ApplyList(core.SwitchList{Source: "inventory", Complete: true, Switches: inv.Switches, Graceful: true})
	if p.planner != nil {
		switchIDs := map[int]string{}
		for _, sw := range inv.Switches {
			if _, duplicate := switchIDs[sw.Exchange]; !duplicate || sw.State == routing.Ready {
				switchIDs[sw.Exchange] = sw.ID
			}
		}
		if err := p.planner.SetInventory(&inv.Plan, switchIDs); err != nil {
			p.log.Error("plan rejected", "file", p.service.Plan.File, "error", err)
		}
	}
	p.log.Info("inventory loaded", "switches", len(inv.Switches), "tenants", len(inv.Tenants))
	return nil
}

func (p *Proxy) status() admin.Status {
	unanswered, established := p.core.Counts()
	return admin.Status{Phase: p.Phase().String(), Unanswered: unanswered, Established: established}
}
