package platform

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"violetspan.example/violetspan/decide/longpoll"
	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
)

// pollSettings are the time limits of polls of the command channel. The platform counts a change
// as delivered 2 s after the end of the requested wait of a poll that gets no reply, when the
// next poll arrives, or 7 s after the change, whichever is first.
var pollSettings = longpoll.Settings{
	Wait:         time.Second,
	ReplyTimeout: 500 * time.Millisecond,
	// Five polls 1.5 s apart, and the oldest one: a reply 6.5 s late is read on any of them.
	MaxOutstanding: 6,
	MaxAge:         30 * time.Second,
	MinInterval:    20 * time.Millisecond,
	MaxInterval:    500 * time.Millisecond,
	// A change published in this time counts as delivered, and set-ups stop 0.5 s later.
	MaxEmptyInterval: 200 * time.Millisecond,
}

const maxPendingMoves = 16 // calls of Move whose events are not applied yet

// CommandChannel polls the platform's command channel for changes to the list of switches.
type CommandChannel struct {
	Addr         string
	OnSwitchList func(core.SwitchList)
	Log          *slog.Logger
	Metrics      *metrics.Set
	// OnPollFailure is called when a poll fails or becomes overdue: the list may be out of date.
	OnPollFailure func()

	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Used only by the goroutine that runs Follow, and by Apply before it starts:
	cursor          int64 // number of the last event that was applied
	schedule        *longpoll.Schedule
	outstanding     map[longpoll.ID]*poll // until their result is received
	results         chan pollResult
	failedPolls     int  // polls that failed or became overdue since the last timely reply
	lateReplyLogged bool // since the last timely reply

	mu           sync.Mutex    // guards Addr, pendingMoves and moved
	pendingMoves []*Events     // passed to Move and not applied yet
	moved        bool          // Addr has changed since the last poll began
	wake         chan struct{} // receives a value after Move
}

// NewCommandChannel returns a channel that passes each list of switches to onSwitchList.
func NewCommandChannel(addr string, onSwitchList func(core.SwitchList), log *slog.Logger, metricSet *metrics.Set) *CommandChannel {
	var dialer net.Dialer
	return &CommandChannel{Addr: addr, OnSwitchList: onSwitchList, Log: log, Metrics: metricSet, OnPollFailure: func() {},
		dial: dialer.DialContext, schedule: longpoll.New(pollSettings), outstanding: map[longpoll.ID]*poll{}, results: make(chan pollResult),
		wake: make(chan struct{}, 1)}
}

// Apply applies the events that are new, in their order.
func (c *CommandChannel) Apply(events *Events) {
	for _, event := range events.lists {
		if event.cursor > 0 && event.cursor <= c.cursor {
			continue
		}
		c.Log.Info("list of switches", "event", event.cursor, "complete", event.list.Complete, "switches", len(event.list.Switches))
		c.OnSwitchList(event.list)
		c.cursor = max(c.cursor, event.cursor)
	}
	c.cursor = max(c.cursor, events.cursor)
}

// Move continues at another address, where the event numbers continue; events are
// those supplied with the address. It cancels the outstanding polls: the old address sends
// nothing more. If addr is the present address, Move only applies the events.
func (c *CommandChannel) Move(addr string, events *Events) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != c.Addr {
		c.Log.Info("command channel moved", "addr", addr)
		c.Addr, c.moved = addr, true
	}
	if len(c.pendingMoves) < maxPendingMoves {
		c.pendingMoves = append(c.pendingMoves, events)
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Follow polls for new events until the context is cancelled. It always returns nil.
func (c *CommandChannel) Follow(ctx context.Context) error {
	client := newChannelClient(c.dial)
	defer client.CloseIdleConnections()
	var polls sync.WaitGroup
	defer polls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var result pollResult
		select {
		case result = <-c.results:
		case <-timer.C:
		case <-c.wake:
		case <-ctx.Done():
			return nil
		}
		addr := c.applyMoves()
		if result.poll != nil {
			c.finishPoll(result, time.Now())
		}
		now := time.Now()
		decision := c.schedule.Check(now)
		c.carryOut(decision)
		if decision.Begin != 0 {
			pollCtx, p := c.beginPoll(ctx, decision.Begin, addr, now)
			polls.Go(func() {
				events, err := p.request(pollCtx, client, pollSettings.Wait)
				c.reportResult(ctx, pollResult{p, events, err})
			})
		}
		timer.Reset(time.Until(decision.NextCheck))
	}
}

// applyMoves applies the events passed to Move and returns the address to poll.
func (c *CommandChannel) applyMoves() string {
	c.mu.Lock()
	addr, pending, moved := c.Addr, c.pendingMoves, c.moved
	c.pendingMoves, c.moved = nil, false
	c.mu.Unlock()
	for _, events := range pending {
		c.Apply(events)
	}
	if moved {
		c.cancelPolls(c.schedule.ServerMoved(), metrics.PollMoved)
	}
	return addr
}

// cancelPolls cancels polls for the given reason, which is a metrics label.
func (c *CommandChannel) cancelPolls(ids []longpoll.ID, reason string) {
	for _, id := range ids {
		p := c.outstanding[id]
		p.cancelReason = reason
		p.cancel()
	}
}

// carryOut records the polls that have become overdue and cancels those that are given up.
func (c *CommandChannel) carryOut(decision longpoll.Decision) {
	for _, id := range decision.Overdue {
		p := c.outstanding[id]
		p.overdue = true
		c.Metrics.OverduePolls.Inc()
		c.pollFailed("command channel poll overdue", p)
	}
	c.cancelPolls(decision.Cancel, metrics.PollTimeout)
}

// beginPoll registers a poll and returns it with its context.
func (c *CommandChannel) beginPoll(ctx context.Context, id longpoll.ID, addr string, now time.Time) (context.Context, *poll) {
	ctx, cancel := context.WithCancel(ctx)
	p := &poll{id: id, addr: addr, resume: c.cursor, begunAt: now, cancel: cancel}
	c.outstanding[id] = p
	return ctx, p
}

// reportResult passes the result of a poll to Follow, which ends with the context.
func (c *CommandChannel) reportResult(ctx context.Context, result pollResult) {
	select {
	case c.results <- result:
	case <-ctx.Done():
	}
}

// finishPoll applies the events of a poll's reply, if any, and records the result.
func (c *CommandChannel) finishPoll(result pollResult, now time.Time) {
	p := result.poll
	p.cancel()
	delete(c.outstanding, p.id)
	c.Metrics.Polls.WithLabelValues(result.label()).Inc()
	if result.err == nil {
		c.Apply(result.events)
		c.schedule.Succeeded(p.id, now, result.hasNews())
		c.pollSucceeded(p, now)
		return
	}
	c.schedule.Failed(p.id)
	if p.cancelReason == "" && !p.overdue { // an overdue poll was reported as such
		c.pollFailed("command channel poll failed", p, slog.Any("error", result.err))
	}
}

// pollSucceeded logs the first late reply, and the first timely one after failures.
func (c *CommandChannel) pollSucceeded(p *poll, now time.Time) {
	switch {
	case c.failedPolls == 0:
	case !p.overdue:
		c.Log.Info("command channel answers again", "failed", c.failedPolls)
		c.failedPolls, c.lateReplyLogged = 0, false
	case !c.lateReplyLogged:
		c.lateReplyLogged = true
		c.Log.Warn("command channel reply late", "addr", p.addr, "after", now.Sub(p.begunAt))
	}
}

// pollFailed records a poll that has failed or become overdue, and logs the first of a series with
// the message and further attributes.
func (c *CommandChannel) pollFailed(message string, p *poll, attrs ...any) {
	c.failedPolls++
	if c.failedPolls == 1 { // the metrics count the others
		c.Log.With("addr", p.addr, "stage", pollStage(p.stage.Load()).String()).Warn(message, attrs...)
	}
	c.OnPollFailure()
}
