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

// CallHandler processes the calls that a server accepts; *core.Core implements it.
type CallHandler interface {
	// Offer accepts a set-up and later gives caller its final answer. If it returns an error,
	// such as core.ErrBusy, the server refuses the set-up.
	Offer(setUp *core.SetUp, caller core.Caller) error
	// HangUp cancels a set-up or hangs up an established call. Unknown ids are allowed.
	HangUp(id uint64)
	// Knows reports whether a call has not ended, or has ended lately. A HangUp of another one is
	// costly.
	Knows(id uint64) bool
}

const (
	callerWriteTimeout        = time.Second
	callerFirstRequestTimeout = 2 * time.Second  // from the opening of a connection to its first usable message
	callerMessageTimeout      = 2 * time.Second  // from the first byte of a message to its last
	callerIdleTimeout         = 10 * time.Minute // until a silent connection without an open set-up is closed

	// These limits apply to an untrusted connection, which is one on which no call has been
	// set up yet. A faulty caller's connection stays untrusted.
	maxUntrustedSetUps  = 32 // open set-ups
	maxUnusableMessages = 16 // consecutive unusable messages after which the connection is closed
	// Releases of unknown calls that a connection may send a second, and at once.
	maxUnknownReleaseRate = 20
	unknownReleaseBurst   = 50

	reservedDivisor  = 4 // MaxOpenSetUps/reservedDivisor open set-ups are out of reach for any one connection
	untrustedDivisor = 4 // all untrusted connections together may have MaxOpenSetUps/untrustedDivisor open set-ups
)

// Server accepts connections from callers and passes their set-ups to a CallHandler.
type Server struct {
	Handler       CallHandler
	Rules         SetUpRules
	MaxConns      int // connections from callers
	MaxOpenSetUps int // set-ups without a final answer, on all connections
	Log           *slog.Logger
	Metrics       *metrics.Set

	firstRequestTimeout, idleTimeout, messageTimeout time.Duration

	mu                 sync.Mutex
	conns              map[*callerConn]bool
	openSetUps         map[uint64]*callerConn // connection of each set-up without a final answer
	untrustedSetUps    int                    // open set-ups on untrusted connections
	established        map[uint64]*callerConn // connection of each established call
	pendingReleases    map[uint64]*pendingRelease
	callersAcknowledge bool // a caller has acknowledged a release
	draining           bool
	closed             bool
	wg                 sync.WaitGroup // readers and senders of releases; Add only under mu and while not closed
}

// NewServer returns a server. Its Handler may be set later, but before Serve.
func NewServer(rules SetUpRules, maxConns, maxOpenSetUps int, log *slog.Logger, metricSet *metrics.Set) *Server {
	return &Server{Rules: rules, MaxConns: maxConns, MaxOpenSetUps: maxOpenSetUps, Log: log, Metrics: metricSet,
		firstRequestTimeout: callerFirstRequestTimeout, idleTimeout: callerIdleTimeout, messageTimeout: callerMessageTimeout,
		conns: map[*callerConn]bool{}, openSetUps: map[uint64]*callerConn{}, established: map[uint64]*callerConn{}, pendingReleases: map[uint64]*pendingRelease{}}
}

// Serve accepts connections until the listener is closed. It always returns nil.
func (s *Server) Serve(ln net.Listener) error {
	for {
		netConn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Most likely the process has no free file descriptors; some will be released.
			s.Log.Warn("accept failed", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if !s.addConn(newCallerConn(s, netConn, time.Now())) {
			netConn.Close()
		}
	}
}

// addConn registers a connection and starts its reader. At MaxConns it closes another
// connection first, or returns false if all others have open set-ups.
func (s *Server) addConn(c *callerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if len(s.conns) >= s.MaxConns {
		candidate := s.evictionCandidate()
		if candidate == nil {
			s.Log.Warn("connection from a caller rejected: limit reached and all connections have calls", "limit", s.MaxConns)
			s.Metrics.CallerConnsClosed.WithLabelValues(metrics.CallerNoRoom).Inc()
			return false
		}
		delete(s.conns, candidate)
		candidate.evicted = true
		candidate.beginClose()
	}
	s.conns[c] = true
	s.wg.Go(c.serve)
	s.sendUnsent()
	return true
}

// evictionCandidate returns a connection to close in favour of a new one, or nil. Only
// connections without an open set-up qualify: first the oldest one that has sent nothing
// usable, else the one that has been idle longest. A client that sent one request may keep
// its connection open forever; the protocol allows closing it, and the client repeats a
// set-up that crosses the close. A new connection that has sent nothing yet may be about to,
// so it ranks with the idle ones for the first tenth of firstRequestTimeout.
func (s *Server) evictionCandidate() *callerConn {
	var unused, idle *callerConn
	createdBefore := time.Now().Add(-s.firstRequestTimeout / 10)
	for c := range s.conns {
		switch {
		case c.closing || len(c.openSetUps)+c.answersInFlight > 0:
		case !c.usableSeen && (c.lastUsable.Before(createdBefore)) && (unused == nil || c.lastUsable.Before(unused.lastUsable)):
			unused = c
		case idle == nil || c.lastUsable.Before(idle.lastUsable):
			idle = c
		}
	}
	if unused != nil {
		return unused
	}
	return idle
}

// ConnCount returns the number of open connections from callers.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Close closes every connection after the messages already sent on it are read and answered,
// and waits for the readers. After maxClosingTime it closes the remaining connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed, s.draining = true, true
	var all []*callerConn
	for c := range s.conns {
		c.beginClose()
		all = append(all, c)
	}
	for _, r := range s.pendingReleases {
		r.timer.Reset(0) // the timer removes the release, as the server is closed
	}
	s.mu.Unlock()
	force := time.AfterFunc(maxClosingTime, func() {
		for _, c := range all {
			c.Close()
		}
	})
	defer force.Stop()
	s.wg.Wait()
}

// Listen opens a TCP listener on addr.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(ctx, "tcp", addr)
}
