package proxy

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"violetspan.example/violetspan/decide/handover"
	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/internal/peer"
)

const (
	// handoverTime is how long before the exit the established calls are offered to peers: several
	// round trips, as datagrams may be late or lost.
	handoverTime = time.Second
	// handoverInterval is the time between two looks at which calls are established.
	handoverInterval = 50 * time.Millisecond
)

// startPeers opens the socket to the peers, if the configuration names any. If that fails, the proxy
// works without them: its calls are then ended at a planned restart.
func (p *Proxy) startPeers(serveCtx context.Context, g *errgroup.Group) {
	if p.platform.Peers == nil {
		return
	}
	config := p.platform.Peers
	host, err := peer.Listen(peer.Config{Listen: config.Listen, Peers: config.Addresses, Own: config.Own, Instance: rand.Uint64(),
		TakeOver: p.takeOver, Log: p.log, Metrics: p.metrics})
	if err != nil {
		p.log.Error("no socket to the peers", "error", err)
		return
	}
	p.peers = host
	g.Go(func() error { return host.Run(serveCtx) })
}

// takeOver takes over calls of a former process of this proxy.
func (p *Proxy) takeOver(group handover.Group) {
	taken, ended := 0, 0
	for _, call := range group.Calls {
		switch p.core.TakeOver(core.EstablishedCall{ID: call.ID, SwitchID: group.Switch, EstablishedAt: call.EstablishedAt,
			Evidence: group.Evidence}, p.server.FormerCaller()) {
		case core.TakeOverDone:
			taken++
		case core.TakeOverEnded:
			ended++
		}
	}
	if taken+ended == 0 {
		return
	}
	p.metrics.Handovers.WithLabelValues(metrics.HandoverTaken).Add(float64(taken))
	p.metrics.Handovers.WithLabelValues(metrics.HandoverEnded).Add(float64(ended))
	p.log.Info("calls of the former process taken over", "switch", group.Switch, "calls", taken, "ended", ended)
}

// startHandover offers the established calls to the peers from the given time on. The returned
// function ends that; it may be called again.
func (p *Proxy) startHandover(serveCtx context.Context, from time.Time) (stop func()) {
	if p.peers == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(serveCtx)
	var offering sync.WaitGroup
	offering.Go(func() {
		timer := time.NewTimer(time.Until(from))
		defer timer.Stop()
		for {
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
			p.peers.Leave(p.transferableGroups())
			timer.Reset(handoverInterval)
		}
	})
	return func() {
		cancel()
		offering.Wait()
	}
}

// transferableGroups returns the calls to be handed over, by their switches.
func (p *Proxy) transferableGroups() (groups []handover.Group) {
	indexes := map[string]int{}
	for _, call := range p.core.TransferableCalls() {
		i, known := indexes[call.SwitchID]
		if !known {
			i = len(groups)
			indexes[call.SwitchID] = i
			groups = append(groups, handover.Group{Switch: call.SwitchID, Evidence: call.Evidence})
		}
		groups[i].Calls = append(groups[i].Calls, handover.Call{ID: call.ID, EstablishedAt: call.EstablishedAt})
	}
	return groups
}

// endCallsNotHandedOver ends the established calls that no peer holds, and withdraws what was offered
// of them. The others are left to the next process.
func (p *Proxy) endCallsNotHandedOver(ctx context.Context) {
	if p.server == nil {
		return
	}
	isHandedOver := func(uint64) bool { return false }
	if p.peers != nil {
		isHandedOver = p.peers.IsHandedOver
	}
	released := p.core.EndTransferableCalls(ctx, isHandedOver)
	groups := p.transferableGroups()
	acknowledged := 0
	for _, group := range groups {
		acknowledged += len(group.Calls)
	}
	p.metrics.Handovers.WithLabelValues(metrics.HandoverReleased).Add(float64(released))
	p.metrics.Handovers.WithLabelValues(metrics.HandoverAcknowledged).Add(float64(acknowledged))
	if p.peers != nil {
		p.peers.LeaveNow(groups)
	}
	if released+acknowledged > 0 {
		p.log.Info("established calls at exit", "handed_over", acknowledged, "released", released)
	}
}
