package platform

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
)

// CallHandler is the core, as a front of callers sees it.
type CallHandler interface {
	Offer(s *core.SetUp, from core.Caller) error
	HangUp(id uint64)
}

const (
	callerWrite  = time.Second
	callerSilent = 2 * time.Second  // a connection that asked for nothing by then is closed
	callerRest   = 2 * time.Second  // a message of a caller ends within this once it has begun
	callerIdle   = 10 * time.Minute // a connection without an open set-up that is silent for so long is closed

	// A connection that has set up no call yet, as a bad caller's never has, may
	// have so many set-ups open, and so many messages that ask for nothing usable.
	untrustedOpen = 32
	untrustedBad  = 16
	untrustedPart = 4 // of MaxOpen: all such connections together
)

// Server takes calls from callers' connections.
type Server struct {
	Handler       CallHandler
	Rules         SetUpRules
	MaxConns      int
	MaxOpenSetUps int // set-ups open at once
	Log           *slog.Logger
	Metrics       *metrics.Set

	silent, idle, rest time.Duration

	mu           sync.Mutex
	conns        map[*conn]bool
	owner        map[uint64]*conn // of every open set-up
	doubtful     int              // open set-ups of connections that are not trusted
	stands       map[uint64]*conn // of every call that was answered and is not over
	releases     map[uint64]*pendingRelease
	acknowledges bool // some caller acknowledges releases
	draining     bool
	closed       bool
	wg           sync.WaitGroup // readers and releases; grows under mu while not closed
}

// NewServer makes a front. Its Calls may be set later, but before Serve.
func NewServer(form SetUpRules, maxConns, maxOpen int, log *slog.Logger, count *metrics.Set) *Server {
	return &Server{Rules: form, MaxConns: maxConns, MaxOpenSetUps: maxOpen, Log: log, Metrics: count,
		silent: callerSilent, idle: callerIdle, rest: callerRest,
		conns: map[*conn]bool{}, owner: map[uint64]*conn{}, stands: map[uint64]*conn{}, releases: map[uint64]*pendingRelease{}}
}

// Serve accepts connections until the listener closes.
func (f *Server) Serve(ln net.Listener) error {
	for {
		nc, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Most likely out of descriptors: the ones in use come back.
			f.Log.Warn("accept failed", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if !f.add(newConn(f, nc, time.Now())) {
			nc.Close()
		}
	}
}

// add takes a connection in and starts its reader. Where there is no room, the
// one that is missed least makes some.
func (f *Server) add(c *conn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	if len(f.conns) >= f.MaxConns {
		out := f.leastMissed()
		if out == nil {
			f.Log.Warn("too many connections from callers, all with calls", "limit", f.MaxConns)
			f.Metrics.CallerConnsClosed.WithLabelValues(metrics.CallerNoRoom).Inc()
			return false
		}
		delete(f.conns, out)
		out.evicted = true
		out.beginClose()
	}
	f.conns[c] = true
	f.wg.Go(c.read)
	f.flush()
	return true
}

// leastMissed picks a connection to close for another: one without an open
// set-up, first the oldest that never asked for anything, else the one that was
// silent for longest. A connection may be kept for good by a client that asked
// once; the protocol allows closing it, and a set-up that crosses the close comes
// again. A new one that never asked may be about to: it has a moment for that.
func (f *Server) leastMissed() *conn {
	var mute, idle *conn
	young := time.Now().Add(-f.silent / 10)
	for c := range f.conns {
		switch {
		case c.closing || len(c.open)+c.answering > 0:
		case !c.asked && (c.last.Before(young)) && (mute == nil || c.last.Before(mute.last)):
			mute = c
		case idle == nil || c.last.Before(idle.last):
			idle = c
		}
	}
	if mute != nil {
		return mute
	}
	return idle
}

// ConnCount returns how many connections from callers are open.
func (f *Server) ConnCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Close closes every connection, once what was written to it is read and answered, and
// waits for their readers.
func (f *Server) Close() {
	f.mu.Lock()
	f.closed, f.draining = true, true
	var all []*conn
	for c := range f.conns {
		c.beginClose()
		all = append(all, c)
	}
	for _, r := range f.releases {
		r.timer.Reset(0) // it finds the front closed
	}
	f.mu.Unlock()
	force := time.AfterFunc(closingLimit, func() {
		for _, c := range all {
			c.Close()
		}
	})
	defer force.Stop()
	f.wg.Wait()
}

// Listen opens the callers' listener.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(ctx, "tcp", addr)
}
