package cluster

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sync/errgroup"

	"violetspan.example/violetspan/decide/duty"
)

// Peer is a member and its address.
type Peer struct {
	ID   uint64
	Name string
	Addr string
}

// HostConfig is the configuration of a Host.
type HostConfig struct {
	ID          uint64
	Name        string
	Credentials *Credentials
	Listener    net.Listener // without TLS, which the host adds
	Peers       []Peer       // all members, including this one
	Bootstrap   bool         // start a new installation with all of Peers as its members
	Storage     Storage
	Duties      []duty.Spec
	// Run executes a claim at its sink, in a separate goroutine. Its context is
	// cancelled at the duty's deadline or when another member takes the duty over. A
	// panic counts as an error.
	Run               func(ctx context.Context, c duty.Claim) error
	MaxConcurrentRuns int           // 0 means 4
	Lease             time.Duration // 0 means 1 s; a Raft tick is a twentieth of it
	Log               *slog.Logger
}

// Limits and timeouts of a host.
const (
	inboxSize           = 4096 // queued inbound frames; more are dropped, as on a lossy network
	outboxSize          = 1024 // queued frames per peer; more are dropped
	dialTimeout         = time.Second
	writeTimeout        = 2 * time.Second
	reconnectBackoffMin = 50 * time.Millisecond
	reconnectBackoffMax = time.Second
	maxInboundConns     = 4 * duty.MaxMembers
	shutdownTimeout     = 2 * time.Second // for running duties to return
)

// Host runs a Member. It owns the member's goroutine, clock, sockets and duty runs.
// Call processing never waits for it.
type Host struct {
	cfg            HostConfig
	log            *slog.Logger
	tickInterval   time.Duration
	startedAt      time.Time
	inbox          chan inboundFrame
	runResults     chan runResult
	outboxes       map[uint64]chan Frame
	statusRequests chan chan Status

	// The fields below are used only by the goroutine of mainLoop.
	member      *Member
	agent       *duty.Agent
	incarnation uint64
	joined      bool
	heartbeats  map[string]time.Duration // by member name: latest since the last duty tick, by that member's clock
	running     map[duty.Claim]*run
	runGroup    sync.WaitGroup
	counters    Counters
}

type inboundFrame struct {
	member uint64
	frame  Frame
}

// run is a duty run in progress.
type run struct{ cancel context.CancelFunc }

type runResult struct {
	claim duty.Claim
	run   *run
	err   error
}

// Counters counts events since the host started.
type Counters struct {
	Runs, Failed, Fenced, Reproposed int
	Hung                             int // runs that did not return after they were cancelled
	DroppedFrames                    int // outbound frames to a full outbox or an unknown peer
	ElectionsWon                     int // times that the member became leader
}

// Status is the state of a host.
type Status struct {
	ID, Leader, Term, Applied uint64
	Joined                    bool
	Counters                  Counters
	Duties                    []duty.Status
	Members                   []duty.MemberStatus
	Now                       time.Duration // time of the replicated duty clock
}

// NewHost opens the member from its storage. It returns ErrInvalidIdentity if the
// certificate is another member's.
func NewHost(cfg HostConfig) (*Host, error) {
	if cfg.Lease <= 0 {
		cfg.Lease = time.Second
	}
	if cfg.MaxConcurrentRuns <= 0 {
		cfg.MaxConcurrentRuns = 4
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	id, err := cfg.Credentials.Identity()
	if err != nil {
		return nil, err
	}
	if id.Member != cfg.ID {
		return nil, fmt.Errorf("%w: certificate of member %d, not %d", ErrInvalidIdentity, id.Member, cfg.ID)
	}
	h := &Host{cfg: cfg, log: cfg.Log, tickInterval: cfg.Lease / 20, startedAt: time.Now(),
		inbox: make(chan inboundFrame, inboxSize), runResults: make(chan runResult, cfg.MaxConcurrentRuns),
		outboxes: map[uint64]chan Frame{}, statusRequests: make(chan chan Status), heartbeats: map[string]time.Duration{}, running: map[duty.Claim]*run{},
		incarnation: uint64(time.Now().UnixNano())}
	var initialMembers []uint64
	for _, p := range cfg.Peers {
		if cfg.Bootstrap {
			initialMembers = append(initialMembers, p.ID)
		}
		if p.ID != cfg.ID {
			h.outboxes[p.ID] = make(chan Frame, outboxSize)
		}
	}
	slices.Sort(initialMembers)
	dutyConfig := duty.Config{Lease: cfg.Lease}
	h.agent = duty.NewAgent(cfg.Name, dutyConfig, cfg.MaxConcurrentRuns)
	h.member, err = OpenMember(Config{ID: cfg.ID, Name: cfg.Name, InitialMembers: initialMembers, Duty: dutyConfig, Storage: cfg.Storage, Log: cfg.Log,
		Rand: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), cfg.ID))})
	return h, err
}

// steadyTime returns the monotonic time since the host was created, which times the leases of
// this instance. It advances while the process is stopped.
func (h *Host) steadyTime() time.Duration { return time.Since(h.startedAt) }

// Run serves until the context is cancelled, then cancels the running duties and waits for
// them, up to shutdownTimeout. It returns the error that stopped the member, if any.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return h.cfg.Listener.Close()
	})
	g.Go(func() error { return h.acceptConns(ctx, g) })
	for _, p := range h.cfg.Peers {
		if p.ID != h.cfg.ID {
			g.Go(func() error { h.sendToPeer(ctx, p); return nil })
		}
	}
	g.Go(func() error { return h.mainLoop(ctx) })
	return g.Wait()
}

// mainLoop runs in the only goroutine that uses the member.
func (h *Host) mainLoop(ctx context.Context) error {
	defer func() {
		for _, r := range h.running {
			r.cancel()
		}
		done := make(chan struct{})
		go func() { h.runGroup.Wait(); close(done) }()
		select {
		case <-done:
		case <-time.After(shutdownTimeout): // don't let a hung run block the shutdown
		}
	}()
	t := time.NewTicker(h.tickInterval)
	defer t.Stop()
	for ticks := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			ticks++
			h.handleTick(ticks)
		case r := <-h.inbox:
			h.handleFrame(r)
			for k := len(h.inbox); k > 0; k-- { // save once for all queued frames
				h.handleFrame(<-h.inbox)
			}
		case r := <-h.runResults:
			h.finishRun(r)
		case c := <-h.statusRequests:
			c <- h.currentStatus()
			continue
		}
		if err := h.processReady(ctx); err != nil {
			return err
		}
	}
}

// handleTick advances the member and sends what is due at this tick.
func (h *Host) handleTick(ticks int) {
	h.member.Tick()
	leader, _ := h.member.Leader()
	if h.member.IsLeader() && ticks%5 == 0 { // advance the duty clock four times per lease
		h.heartbeats[h.cfg.Name] = h.steadyTime()
		t := duty.Tick{Now: time.Duration(time.Now().UnixNano())}
		for _, p := range h.cfg.Peers {
			if at, ok := h.heartbeats[p.Name]; ok {
				t.Heard, t.At = append(t.Heard, p.Name), append(t.At, at)
			}
		}
		clear(h.heartbeats)
		h.propose(t)
	} else if leader != 0 && leader != h.cfg.ID && ticks%3 == 0 {
		h.enqueue(leader, HeartbeatFrame(h.steadyTime()))
	}
	if leader != 0 && ticks%10 == 0 {
		if !h.joined {
			h.propose(duty.Join{Member: h.cfg.Name, Incarnation: h.incarnation})
		}
		if h.member.IsLeader() {
			for _, r := range h.member.State().MissingRegistrations(h.cfg.Duties) {
				h.propose(r)
			}
		}
	}
	if ticks%200 == 0 { // picks up renewed and revoked certificates
		if err := h.cfg.Credentials.Reload(); err != nil {
			h.log.Error("cannot reload the cluster credentials", "error", err)
		}
	}
}

// propose proposes an entry. A rejected or lost proposal is repeated by the caller that
// still needs it.
func (h *Host) propose(e duty.Entry) {
	if err := h.member.Propose(e); err != nil && !errors.Is(err, ErrNoLeader) {
		h.log.Debug("proposal rejected", "entry", fmt.Sprintf("%T", e), "error", err)
	}
}

func (h *Host) enqueue(to uint64, f Frame) {
	select {
	case h.outboxes[to] <- f:
	default: // the outbox is full, or the peer is not configured
		h.counters.DroppedFrames++
	}
}

func (h *Host) handleFrame(r inboundFrame) {
	switch r.frame.Type {
	case FrameRaft:
		m, err := r.frame.Raft()
		if err == nil && m.GetFrom() != r.member && m.GetType() != pb.MsgProp && m.GetType() != pb.MsgReadIndex {
			err = fmt.Errorf("%w: message claims to be from member %d", ErrInvalidIdentity, m.GetFrom())
		}
		if err == nil {
			err = h.member.Step(m)
		}
		if err != nil && !errors.Is(err, ErrMemberFailed) {
			h.log.Warn("message rejected", "member", r.member, "error", err)
		}
	case FrameHeartbeat:
		at, err := r.frame.Heartbeat()
		if err != nil {
			h.log.Warn("message rejected", "member", r.member, "error", err)
			return
		}
		for _, p := range h.cfg.Peers {
			if p.ID == r.member {
				h.heartbeats[p.Name] = max(h.heartbeats[p.Name], at)
			}
		}
	}
}

// processReady saves and applies pending updates, sends messages, and starts and cancels
// duty runs.
func (h *Host) processReady(ctx context.Context) error {
	wasLeader := h.member.IsLeader()
	out, err := h.member.ProcessReady()
	if err != nil {
		return err
	}
	if h.member.IsLeader() && !wasLeader {
		h.counters.ElectionsWon++
		_, term := h.member.Leader()
		h.log.Info("became leader", "term", term)
	}
	for _, m := range out.Messages {
		f, err := RaftFrame(m)
		if err != nil {
			return fmt.Errorf("cluster: %w", err)
		}
		h.enqueue(m.GetTo(), f)
	}
	for _, e := range out.Applied {
		switch e := e.(type) {
		case duty.Tick:
			if k := slices.Index(e.Heard, h.cfg.Name); k >= 0 && k < len(e.At) {
				h.agent.RenewLease(e.At[k])
			}
		case duty.Join:
			if e.Member == h.cfg.Name && e.Incarnation == h.incarnation {
				h.joined = true
			}
		}
	}
	if !h.joined {
		return nil // the state is that of an earlier incarnation
	}
	now, state := h.steadyTime(), h.member.State()
	stop, hung := h.agent.Stop(now, state)
	for _, c := range stop {
		h.running[c].cancel()
	}
	for _, c := range hung {
		h.counters.Hung++
		delete(h.running, c)
		h.log.Error("duty run hangs", "duty", c.Duty, "period", c.Period, "epoch", c.Epoch)
	}
	for _, c := range h.agent.Repropose(now, state) {
		h.counters.Reproposed++
		h.propose(duty.Done{Claim: c})
	}
	for _, c := range h.agent.Start(now, state) {
		runCtx, cancel := context.WithCancel(ctx)
		r := &run{cancel: cancel}
		h.running[c] = r
		h.counters.Runs++
		h.runGroup.Go(func() {
			defer cancel()
			end := runResult{c, r, runRecovering(runCtx, c, h.cfg.Run)}
			select {
			case h.runResults <- end:
			case <-ctx.Done():
			}
		})
	}
	return nil
}

// runRecovering runs a duty and returns a panic as an error.
func runRecovering(ctx context.Context, c duty.Claim, run func(context.Context, duty.Claim) error) (err error) {
	defer func() {
		if x := recover(); x != nil {
			err = fmt.Errorf("duty %s panicked: %v", c.Duty, x)
		}
	}()
	return run(ctx, c)
}

func (h *Host) finishRun(r runResult) {
	if h.running[r.claim] != r.run { // a run that was given up as hung has returned
		h.agent.HungRunEnded(r.claim)
		if r.err != nil && !errors.Is(r.err, duty.ErrAlreadyDone) {
			return
		}
	} else {
		delete(h.running, r.claim)
	}
	switch {
	case errors.Is(r.err, duty.ErrFenced):
		h.counters.Fenced++
		h.log.Info("duty run fenced", "duty", r.claim.Duty, "period", r.claim.Period, "epoch", r.claim.Epoch)
	case r.err != nil && !errors.Is(r.err, duty.ErrAlreadyDone):
		h.counters.Failed++
		h.log.Warn("duty run failed", "duty", r.claim.Duty, "period", r.claim.Period, "epoch", r.claim.Epoch, "error", r.err)
	}
	if h.agent.RunEnded(h.steadyTime(), r.claim, r.err) {
		h.propose(duty.Done{Claim: r.claim})
	}
}

func (h *Host) currentStatus() Status {
	leader, term := h.member.Leader()
	s := h.member.State()
	return Status{ID: h.cfg.ID, Leader: leader, Term: term, Applied: h.member.AppliedIndex(), Joined: h.joined, Counters: h.counters,
		Duties: s.Duties(), Members: s.Members(), Now: s.Now()}
}

// Status returns the state of the host, or the context's error.
func (h *Host) Status(ctx context.Context) (Status, error) {
	c := make(chan Status, 1)
	select {
	case h.statusRequests <- c:
		return <-c, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

// acceptConns accepts connections from other members.
func (h *Host) acceptConns(ctx context.Context, g *errgroup.Group) error {
	slots := make(chan struct{}, maxInboundConns)
	for {
		c, err := h.cfg.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			h.log.Warn("accept failed", "error", err)
			select {
			case <-time.After(reconnectBackoffMin): // file descriptors may be exhausted
				continue
			case <-ctx.Done():
				return nil
			}
		}
		select {
		case slots <- struct{}{}:
		default:
			c.Close()
			continue
		}
		g.Go(func() error {
			defer func() { <-slots }()
			if err := h.serveConn(ctx, c); err != nil && ctx.Err() == nil {
				h.log.Info("connection ended", "from", c.RemoteAddr().String(), "error", err)
			}
			return nil
		})
	}
}

// serveConn reads the frames of one member until its connection ends.
func (h *Host) serveConn(ctx context.Context, raw net.Conn) error {
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	c := tls.Server(raw, h.cfg.Credentials.ServerConfig())
	if err := c.SetDeadline(time.Now().Add(dialTimeout)); err != nil {
		return err
	}
	if err := c.HandshakeContext(ctx); err != nil {
		return err
	}
	identity, err := h.cfg.Credentials.PeerIdentity(c.ConnectionState())
	if err != nil {
		return err
	}
	f, err := ReadFrame(c)
	if err != nil {
		return err
	}
	hello, err := f.Hello()
	if err != nil {
		return err
	}
	if hello.Member != identity.Member || hello.Installation != identity.Installation {
		return fmt.Errorf("%w: hello from member %d claims member %d", ErrInvalidIdentity, identity.Member, hello.Member)
	}
	for {
		// Frames arrive several times per lease; a connection without any is closed.
		if err := c.SetReadDeadline(time.Now().Add(max(10*h.cfg.Lease, 10*time.Second))); err != nil {
			return err
		}
		f, err := ReadFrame(c)
		if errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		select {
		case h.inbox <- inboundFrame{identity.Member, f}:
		default: // the host can't keep up; Raft resends what matters
		}
	}
}

// sendToPeer keeps a connection to a member open and sends the frames of its outbox.
func (h *Host) sendToPeer(ctx context.Context, p Peer) {
	backoff := reconnectBackoffMin
	for ctx.Err() == nil {
		err := h.connectAndSend(ctx, p, func() { backoff = reconnectBackoffMin })
		if ctx.Err() != nil {
			return
		}
		h.log.Debug("no connection to member", "member", p.ID, "error", err)
		for drained := false; !drained; { // queued frames are outdated
			select {
			case <-h.outboxes[p.ID]:
			default:
				drained = true
			}
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, reconnectBackoffMax)
	}
}

func (h *Host) connectAndSend(ctx context.Context, p Peer, onConnected func()) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := tls.Dialer{Config: h.cfg.Credentials.ClientConfig(p.ID)}
	c, err := d.DialContext(dialCtx, "tcp", p.Addr)
	if err != nil {
		return err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	id, err := h.cfg.Credentials.Identity()
	if err != nil {
		return err
	}
	f, err := HelloFrame(Hello{Installation: id.Installation, Member: id.Member, Name: h.cfg.Name, Minor: FrameMinor})
	if err != nil {
		return err
	}
	onConnected()
	var b []byte
	for {
		if b, err = AppendFrame(b[:0], f); err != nil {
			return err
		}
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := c.Write(b); err != nil {
			return err
		}
		select {
		case f = <-h.outboxes[p.ID]:
		case <-ctx.Done():
			return nil
		}
	}
}
