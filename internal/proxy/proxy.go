// Package proxy puts the core and its fronts together and leads them from
// start to exit.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"violetspan.example/violetspan/internal/config"
	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/platform"
	"violetspan.example/violetspan/internal/trunk"
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

// How long the phases after the order to stop last at most. The platform sends
// new calls for 0.6 s after it, and kills no sooner than 3.7 s after it.
const (
	graceFor  = 700 * time.Millisecond
	finishFor = 2700 * time.Millisecond
)

// Proxy is one signalling proxy.
type Proxy struct {
	cfg   *config.Platform
	log   *slog.Logger
	phase atomic.Int32
}

// Run serves until the context ends, then finishes what was taken.
func Run(ctx context.Context, cfg *config.Platform, log *slog.Logger) error {
	p := &Proxy{cfg: cfg, log: log.With("proxy", cfg.Name)}
	return p.run(ctx)
}

// Phase tells where the proxy is.
func (p *Proxy) Phase() Phase { return Phase(p.phase.Load()) }

func (p *Proxy) enter(ph Phase) {
	p.phase.Store(int32(ph))
	p.log.Info("phase", "phase", ph.String())
}

// run leads the proxy through its phases.
func (p *Proxy) run(ctx context.Context) error {
	p.enter(Starting)
	defer p.enter(Stopped)
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, life := errgroup.WithContext(life)

	front := &platform.Front{Classes: p.cfg.Settings.Classes, MaxConns: p.cfg.Sockets / 2, Log: p.log}
	var c *core.Core
	c, err := core.New(life, core.Options{Settings: p.cfg.Settings.Brain, Seed: p.cfg.Seed, Log: p.log,
		Open: func(m core.Member) (core.Link, error) {
			if _, _, err := net.SplitHostPort(m.Addr); err != nil {
				return nil, err
			}
			return trunk.New(life, m, c, p.cfg.Settings.DialTimeout, p.log, platform.Dial), nil
		},
		Orphan:   front.Orphan,
		MaxCalls: min(p.cfg.Settings.OpenCap, maxCalls)})
	if err != nil {
		return err
	}
	front.Calls = c
	channel := &platform.Channel{Addr: p.cfg.Channel, List: c.List, Log: p.log}
	if err := channel.Take(p.cfg.Known); err != nil {
		return fmt.Errorf("key known: %w", err)
	}
	ln, err := platform.Listen(life, p.cfg.Listen)
	if err != nil {
		return fmt.Errorf("key listen: %w", err)
	}
	g.Go(func() error { return channel.Follow(life) })
	g.Go(func() error { return front.Serve(ln) })

	p.enter(Serving)
	select {
	case <-ctx.Done():
	case <-life.Done(): // a part failed: its error is the group's
	}

	p.enter(Grace)
	grace := time.NewTimer(graceFor)
	select {
	case <-grace.C:
	case <-life.Done():
	}

	p.enter(Finishing)
	ln.Close()
	finish, cancel := context.WithTimeout(life, finishFor)
	defer cancel()
	if err := c.Settle(finish, true); err != nil {
		owed, standing := c.Counts()
		p.log.Info("calls left at the end", "owed", owed, "standing", standing)
	}
	front.Close()
	err = c.Close()
	end()
	return errors.Join(err, g.Wait())
}

const maxCalls = 8192
