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

// Peer is where a member listens.
type Peer struct {
	ID   uint64
	Name string
	Addr string
}

// HostConfig is what a Host is made of.
type HostConfig struct {
	ID          uint64
	Name        string
	Credentials *Credentials
	Listener    net.Listener // plain; the host speaks TLS on it
	Peers       []Peer       // all members, this one included
	Bootstrap   bool         // this one founds the installation with all of Peers
	Storage     Storage
	Duties      []duty.Spec
	// Run carries a claim out at its sink, off the host's own goroutine. Its context
	// ends at the duty's deadline, or when the duty is another's. A panic is an error.
	Run               func(ctx context.Context, c duty.Claim) error
	MaxConcurrentRuns int           // runs at once; 0: 4
	Lease             time.Duration // 0: 1 s; a member's tick is a twentieth of it
	Log               *slog.Logger
}

// Bounds of a host.
const (
	inboxLen  = 4096 // messages that wait for the host; more are lost, as on a bad line
	outboxLen = 1024 // messages that wait for one peer; more are lost
	dialWait  = time.Second
	writeWait = 2 * time.Second
	redialMin = 50 * time.Millisecond
	redialMax = time.Second
	maxInConn = 4 * duty.MaxMembers
	exitWait  = 2 * time.Second // for runs, at the end
)

// Host runs a Member: its goroutine, clock, sockets and runs. Calls never wait for it.
type Host struct {
	cfg    HostConfig
	log    *slog.Logger
	tick   time.Duration
	began  time.Time
	inbox  chan received
	ended  chan result
	out    map[uint64]chan Frame
	status chan chan Status

	// The goroutine of loop alone uses all below.
	m       *Member
	agent   *duty.Agent
	life    uint64
	joined  bool
	heard   map[string]time.Duration
	running map[duty.Claim]*run
	runs    sync.WaitGroup
	counts  Counters
}

type received struct {
	from uint64
	f    Frame
}

// run is one run of a duty.
type run struct{ stop context.CancelFunc }

type result struct {
	c   duty.Claim
	r   *run
	err error
}

// Counters are of what a host did since its start.
type Counters struct {
	Runs, Failed, Fenced, Reproposed int
	Hung                             int // runs that did not end when they were told to
	DroppedFrames                    int // messages for which there was no room
	ElectionsWon                     int // times that it became leader
}

// Status is how a host stands.
type Status struct {
	ID, Leader, Term, Applied uint64
	Joined                    bool
	Counters                  Counters
	Duties                    []duty.Status
	Members                   []duty.MemberStatus
	Now                       time.Duration // of the log
}

// NewHost opens the member from its disk.
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
		return nil, fmt.Errorf("%w: it is member %d's, not %d's", ErrInvalidIdentity, id.Member, cfg.ID)
	}
	h := &Host{cfg: cfg, log: cfg.Log, tick: cfg.Lease / 20, began: time.Now(), inbox: make(chan received, inboxLen), ended: make(chan result, cfg.MaxConcurrentRuns),
		out: map[uint64]chan Frame{}, status: make(chan chan Status), heard: map[string]time.Duration{}, running: map[duty.Claim]*run{},
		life: uint64(time.Now().UnixNano())}
	var founders []uint64
	for _, p := range cfg.Peers {
		if cfg.Bootstrap {
			founders = append(founders, p.ID)
		}
		if p.ID != cfg.ID {
			h.out[p.ID] = make(chan Frame, outboxLen)
		}
	}
	slices.Sort(founders)
	dc := duty.Config{Lease: cfg.Lease}
	h.agent = duty.NewAgent(cfg.Name, dc, cfg.MaxConcurrentRuns)
	h.m, err = OpenMember(Config{ID: cfg.ID, Name: cfg.Name, InitialMembers: founders, Duty: dc, Storage: cfg.Storage, Log: cfg.Log,
		Rand: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), cfg.ID))})
	return h, err
}

// steady is the clock that leases of this instance go by. It counts on while the
// process is stopped.
func (h *Host) steady() time.Duration { return time.Since(h.began) }

// Run serves until the context ends, then stops its runs and waits for them. Its error
// is the disk's, or nil.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return h.cfg.Listener.Close()
	})
	g.Go(func() error { return h.listen(ctx, g) })
	for _, p := range h.cfg.Peers {
		if p.ID != h.cfg.ID {
			g.Go(func() error { h.send(ctx, p); return nil })
		}
	}
	g.Go(func() error { return h.loop(ctx) })
	return g.Wait()
}

// loop is the host's own goroutine: the only one that touches the member.
func (h *Host) loop(ctx context.Context) error {
	defer func() {
		for _, r := range h.running {
			r.stop()
		}
		done := make(chan struct{})
		go func() { h.runs.Wait(); close(done) }()
		select {
		case <-done:
		case <-time.After(exitWait): // a run hangs: the process ends all the same
		}
	}()
	t := time.NewTicker(h.tick)
	defer t.Stop()
	for n := 0; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			n++
			h.beat(n)
		case r := <-h.inbox:
			h.receive(r)
			for k := len(h.inbox); k > 0; k-- { // one save for all that has come
				h.receive(<-h.inbox)
			}
		case r := <-h.ended:
			h.end(r)
		case c := <-h.status:
			c <- h.stand()
			continue
		}
		if err := h.work(ctx); err != nil {
			return err
		}
	}
}

// beat is the passing of a tick.
func (h *Host) beat(n int) {
	h.m.Tick()
	lead, _ := h.m.Leader()
	if h.m.IsLeader() && n%5 == 0 { // the duties' clock, four times a lease
		h.heard[h.cfg.Name] = h.steady()
		t := duty.Tick{Now: time.Duration(time.Now().UnixNano())}
		for _, p := range h.cfg.Peers {
			if at, ok := h.heard[p.Name]; ok {
				t.Heard, t.At = append(t.Heard, p.Name), append(t.At, at)
			}
		}
		clear(h.heard)
		h.propose(t)
	} else if lead != 0 && lead != h.cfg.ID && n%3 == 0 {
		h.post(lead, HeartbeatFrame(h.steady()))
	}
	if lead != 0 && n%10 == 0 {
		if !h.joined {
			h.propose(duty.Join{Member: h.cfg.Name, Incarnation: h.life})
		}
		if h.m.IsLeader() {
			for _, r := range h.m.State().MissingRegistrations(h.cfg.Duties) {
				h.propose(r)
			}
		}
	}
	if n%200 == 0 { // a certificate that was renewed, or revoked
		if err := h.cfg.Credentials.Reload(); err != nil {
			h.log.Error("cluster files not reread", "error", err)
		}
	}
}

// propose asks for an entry; what is refused or lost is asked for again by whoever
// still misses it.
func (h *Host) propose(e duty.Entry) {
	if err := h.m.Propose(e); err != nil && !errors.Is(err, ErrNoLeader) {
		h.log.Debug("proposal refused", "entry", fmt.Sprintf("%T", e), "error", err)
	}
}

func (h *Host) post(to uint64, f Frame) {
	select {
	case h.out[to] <- f:
	default: // also a peer that is not listed
		h.counts.DroppedFrames++
	}
}

func (h *Host) receive(r received) {
	switch r.f.Type {
	case FrameRaft:
		m, err := r.f.Raft()
		if err == nil && m.GetFrom() != r.from && m.GetType() != pb.MsgProp && m.GetType() != pb.MsgReadIndex {
			err = fmt.Errorf("%w: it says it is from member %d", ErrInvalidIdentity, m.GetFrom())
		}
		if err == nil {
			err = h.m.Step(m)
		}
		if err != nil && !errors.Is(err, ErrMemberFailed) {
			h.log.Warn("message refused", "member", r.from, "error", err)
		}
	case FrameHeartbeat:
		at, err := r.f.Heartbeat()
		if err != nil {
			h.log.Warn("message refused", "member", r.from, "error", err)
			return
		}
		for _, p := range h.cfg.Peers {
			if p.ID == r.from {
				h.heard[p.Name] = max(h.heard[p.Name], at)
			}
		}
	}
}

// work saves, sends, applies, and starts and stops what is to run.
func (h *Host) work(ctx context.Context) error {
	led := h.m.IsLeader()
	out, err := h.m.ProcessReady()
	if err != nil {
		return err
	}
	if h.m.IsLeader() && !led {
		h.counts.ElectionsWon++
		_, term := h.m.Leader()
		h.log.Info("leads", "term", term)
	}
	for _, m := range out.Messages {
		f, err := RaftFrame(m)
		if err != nil {
			return fmt.Errorf("cluster: %w", err)
		}
		h.post(m.GetTo(), f)
	}
	for _, e := range out.Applied {
		switch e := e.(type) {
		case duty.Tick:
			if k := slices.Index(e.Heard, h.cfg.Name); k >= 0 && k < len(e.At) {
				h.agent.RenewLease(e.At[k])
			}
		case duty.Join:
			if e.Member == h.cfg.Name && e.Incarnation == h.life {
				h.joined = true
			}
		}
	}
	if !h.joined {
		return nil // what the state says is of an earlier life
	}
	now, state := h.steady(), h.m.State()
	stop, hung := h.agent.Stop(now, state)
	for _, c := range stop {
		h.running[c].stop()
	}
	for _, c := range hung {
		h.counts.Hung++
		delete(h.running, c)
		h.log.Error("duty hangs", "duty", c.Duty, "period", c.Period, "epoch", c.Epoch)
	}
	for _, c := range h.agent.Repropose(now, state) {
		h.counts.Reproposed++
		h.propose(duty.Done{Claim: c})
	}
	for _, c := range h.agent.Start(now, state) {
		rctx, stop := context.WithCancel(ctx)
		r := &run{stop: stop}
		h.running[c] = r
		h.counts.Runs++
		h.runs.Go(func() {
			defer stop()
			end := result{c, r, safely(rctx, c, h.cfg.Run)}
			select {
			case h.ended <- end:
			case <-ctx.Done():
			}
		})
	}
	return nil
}

// safely runs a duty; what it does wrong is an error of that run.
func safely(ctx context.Context, c duty.Claim, run func(context.Context, duty.Claim) error) (err error) {
	defer func() {
		if x := recover(); x != nil {
			err = fmt.Errorf("duty %s panicked: %v", c.Duty, x)
		}
	}()
	return run(ctx, c)
}

func (h *Host) end(r result) {
	if h.running[r.c] != r.r { // it was given up, and has come back
		h.agent.HungRunEnded(r.c)
		if r.err != nil && !errors.Is(r.err, duty.ErrAlreadyDone) {
			return
		}
	} else {
		delete(h.running, r.c)
	}
	switch {
	case errors.Is(r.err, duty.ErrFenced):
		h.counts.Fenced++
		h.log.Info("duty fenced", "duty", r.c.Duty, "period", r.c.Period, "epoch", r.c.Epoch)
	case r.err != nil && !errors.Is(r.err, duty.ErrAlreadyDone):
		h.counts.Failed++
		h.log.Warn("duty failed", "duty", r.c.Duty, "period", r.c.Period, "epoch", r.c.Epoch, "error", r.err)
	}
	if h.agent.RunEnded(h.steady(), r.c, r.err) {
		h.propose(duty.Done{Claim: r.c})
	}
}

func (h *Host) stand() Status {
	lead, term := h.m.Leader()
	s := h.m.State()
	return Status{ID: h.cfg.ID, Leader: lead, Term: term, Applied: h.m.AppliedIndex(), Joined: h.joined, Counters: h.counts,
		Duties: s.Duties(), Members: s.Members(), Now: s.Now()}
}

// Status tells how the host stands.
func (h *Host) Status(ctx context.Context) (Status, error) {
	c := make(chan Status, 1)
	select {
	case h.status <- c:
		return <-c, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

// ---- sockets

// listen takes connections of other members.
func (h *Host) listen(ctx context.Context, g *errgroup.Group) error {
	room := make(chan struct{}, maxInConn)
	for {
		c, err := h.cfg.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			h.log.Warn("no connection taken", "error", err)
			select {
			case <-time.After(redialMin): // out of descriptors, perhaps
				continue
			case <-ctx.Done():
				return nil
			}
		}
		select {
		case room <- struct{}{}:
		default:
			c.Close()
			continue
		}
		g.Go(func() error {
			defer func() { <-room }()
			if err := h.hear(ctx, c); err != nil && ctx.Err() == nil {
				h.log.Info("connection ended", "from", c.RemoteAddr().String(), "error", err)
			}
			return nil
		})
	}
}

// hear reads what one member says until its connection ends.
func (h *Host) hear(ctx context.Context, raw net.Conn) error {
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	c := tls.Server(raw, h.cfg.Credentials.ServerConfig())
	if err := c.SetDeadline(time.Now().Add(dialWait)); err != nil {
		return err
	}
	if err := c.HandshakeContext(ctx); err != nil {
		return err
	}
	who, err := h.cfg.Credentials.PeerIdentity(c.ConnectionState())
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
	if hello.Member != who.Member || hello.Installation != who.Installation {
		return fmt.Errorf("%w: member %d calls itself %d", ErrInvalidIdentity, who.Member, hello.Member)
	}
	for {
		// Beats come several times a lease; one who says nothing for long is gone.
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
		case h.inbox <- received{who.Member, f}:
		default: // the host is slower than the line: the log sends again what matters
		}
	}
}

// send keeps a connection to a member and writes what is posted to it.
func (h *Host) send(ctx context.Context, p Peer) {
	pause := redialMin
	for ctx.Err() == nil {
		err := h.talk(ctx, p, func() { pause = redialMin })
		if ctx.Err() != nil {
			return
		}
		h.log.Debug("no connection to a member", "member", p.ID, "error", err)
		for drained := false; !drained; { // what waited is of the past
			select {
			case <-h.out[p.ID]:
			default:
				drained = true
			}
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, redialMax)
	}
}

func (h *Host) talk(ctx context.Context, p Peer, up func()) error {
	dial, cancel := context.WithTimeout(ctx, dialWait)
	defer cancel()
	d := tls.Dialer{Config: h.cfg.Credentials.ClientConfig(p.ID)}
	c, err := d.DialContext(dial, "tcp", p.Addr)
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
	up()
	var b []byte
	for {
		if b, err = AppendFrame(b[:0], f); err != nil {
			return err
		}
		if err := c.SetWriteDeadline(time.Now().Add(writeWait)); err != nil {
			return err
		}
		if _, err := c.Write(b); err != nil {
			return err
		}
		select {
		case f = <-h.out[p.ID]:
		case <-ctx.Done():
			return nil
		}
	}
}
