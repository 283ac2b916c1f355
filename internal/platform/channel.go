package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	jsoniter "github.com/json-iterator/go"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/routing"
)

// The command channel may hang with its connection open. The platform counts a change as
// delivered some time after the end of the wait that the poll requested, or at once when the
// next poll arrives. The requested wait is therefore short, and a poll that exceeds it is
// cancelled and repeated.
const (
	pollBlock = time.Second // wait for events that a poll requests
	// minReplyTimeout is how long a reply may take beyond the requested wait.
	minReplyTimeout = 500 * time.Millisecond
	// maxReplyTimeout replaces minReplyTimeout after a poll that timed out: a slow or
	// overloaded channel answers later. The first poll after the timeout requests no wait.
	// The platform counts a change as delivered 2 s after the end of the requested wait.
	maxReplyTimeout      = 1900 * time.Millisecond
	channelDialTimeout   = time.Second
	maxReplySize         = 4 << 20 // bytes
	minPollRetryInterval = 20 * time.Millisecond
	maxPollRetryInterval = 500 * time.Millisecond
	// maxEmptyRetryInterval bounds the interval after an immediate reply without events: a
	// change published in that time counts as delivered, and set-ups stop 0.5 s later.
	maxEmptyRetryInterval = 200 * time.Millisecond
	maxPendingMoves       = 16 // calls of Move whose events are not applied yet
)

// CommandChannel polls the platform's command channel for changes to the list of switches.
type CommandChannel struct {
	Addr         string
	OnSwitchList func(core.SwitchList)
	Log          *slog.Logger
	Metrics      *metrics.Set
	// OnPollFailure is called after each failed poll: the list may be out of date.
	OnPollFailure func()

	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Used only by the goroutine that runs Follow, and by Apply before it starts:
	cursor       int64         // number of the last event that was applied
	replyTimeout time.Duration // of the next poll, beyond the requested wait
	failedPolls  int           // consecutive polls that failed
	stage        atomic.Int32  // the pollStage of the current or last poll

	mu           sync.Mutex         // guards Addr, pendingMoves and cancelPoll
	pendingMoves []*Events          // passed to Move and not applied yet
	cancelPoll   context.CancelFunc // cancels the current poll
	wake         chan struct{}      // receives a value after Move
}

// NewCommandChannel returns a channel that passes each list of switches to onSwitchList.
func NewCommandChannel(addr string, onSwitchList func(core.SwitchList), log *slog.Logger, metricSet *metrics.Set) *CommandChannel {
	var dialer net.Dialer
	return &CommandChannel{dial: dialer.DialContext, Addr: addr, OnSwitchList: onSwitchList, Log: log, Metrics: metricSet, OnPollFailure: func() {}, replyTimeout: minReplyTimeout,
		cancelPoll: func() {}, wake: make(chan struct{}, 1)}
}

// Events holds decoded and validated events of the command channel.
type Events struct {
	cursor int64 // number of the last event, including commands of other types
	lists  []numberedList
}

// numberedList is a list of switches with the number of its event.
type numberedList struct {
	cursor int64
	list   core.SwitchList
}

// eventsJSON is the body of a reply.
type eventsJSON struct {
	Cursor int64         `json:"cursor"`
	Cmds   []commandJSON `json:"cmds"`
}

type commandJSON struct {
	Cursor int64 `json:"cursor"`
	Nodes  *struct {
		Complete bool         `json:"complete"`
		Members  []memberJSON `json:"members"`
	} `json:"nodes"`
}

type memberJSON struct {
	ID      string  `json:"id"`
	Addr    string  `json:"host_port"`
	Cell    int     `json:"cell"`
	Phase   string  `json:"phase"`
	UpSince float64 `json:"up_since_ms"`
}

var statesByPhase = map[string]routing.State{"up": routing.Ready, "draining": routing.Draining, "removed": routing.Removed}

// ParseEvents decodes events in the command channel's format. It returns an error and no
// events if any of them is invalid.
func ParseEvents(b []byte) (*Events, error) {
	var reply eventsJSON
	if err := jsoniter.Unmarshal(b, &reply); err != nil {
		return nil, fmt.Errorf("events: %w", err)
	}
	events := &Events{cursor: reply.Cursor}
	for _, cmd := range reply.Cmds {
		if cmd.Nodes == nil {
			continue // a command of another type
		}
		list := core.SwitchList{Source: "channel", Complete: cmd.Nodes.Complete}
		for _, entry := range cmd.Nodes.Members {
			state, ok := statesByPhase[entry.Phase]
			if !ok || entry.ID == "" {
				return nil, fmt.Errorf("events: switch %q: missing id or unknown phase %q", entry.ID, entry.Phase)
			}
			sw := core.Switch{ID: entry.ID, Addr: entry.Addr, Exchange: entry.Cell, State: state}
			if entry.UpSince > 0 {
				sw.Started = time.UnixMicro(int64(entry.UpSince * 1000))
			}
			list.Switches = append(list.Switches, sw)
		}
		events.lists = append(events.lists, numberedList{cmd.Cursor, list})
	}
	return events, nil
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
// those supplied with the address. It cancels the current poll: the old address sends no
// further events, and the poll would only end later.
func (c *CommandChannel) Move(addr string, events *Events) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != c.Addr {
		c.Log.Info("command channel moved", "addr", addr)
	}
	c.Addr = addr
	if len(c.pendingMoves) < maxPendingMoves {
		c.pendingMoves = append(c.pendingMoves, events)
	}
	c.cancelPoll()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// beginPoll applies the events passed to Move. It returns the address to poll, the wait to
// request and the context of the poll with its cancel function.
func (c *CommandChannel) beginPoll(ctx context.Context) (string, time.Duration, context.Context, context.CancelFunc) {
	c.mu.Lock()
	addr, pending := c.Addr, c.pendingMoves
	c.pendingMoves = nil
	select {
	case <-c.wake:
	default:
	}
	block := pollBlock
	if c.failedPolls > 0 {
		block = 0
	}
	ctx, c.cancelPoll = context.WithTimeout(ctx, block+c.replyTimeout)
	cancel := c.cancelPoll
	c.mu.Unlock()
	for _, events := range pending {
		c.Apply(events)
	}
	return addr, block, ctx, cancel
}

// hasPendingMove reports whether Move was called since the poll began.
func (c *CommandChannel) hasPendingMove() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pendingMoves) > 0
}

var errEmptyReply = errors.New("reply without events well before the end of the requested wait")

// Follow polls for new events until the context is cancelled. It always returns nil.
func (c *CommandChannel) Follow(ctx context.Context) error {
	// A dial to an unreachable channel outlives its poll. A separate timeout, and no limit
	// on connections, keep it from delaying the next polls.
	transport := &http.Transport{MaxIdleConns: 1, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, channelDialTimeout)
			defer cancel()
			return c.dial(ctx, network, addr)
		}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	interval := minPollRetryInterval
	for ctx.Err() == nil {
		began, cursor, retried := time.Now(), c.cursor, c.failedPolls > 0
		err := c.poll(ctx, client)
		took := time.Since(began)
		if err == nil && c.cursor == cursor && took < pollBlock/2 && !retried {
			err = errEmptyReply // repeating the poll at once would be a busy loop
		}
		if ctx.Err() != nil {
			break
		}
		moved := c.hasPendingMove()
		c.Metrics.Polls.WithLabelValues(pollResult(err, c.cursor > cursor, moved)).Inc()
		if err == nil || moved {
			interval = minPollRetryInterval
			if err == nil {
				c.pollSucceeded(retried, took)
			}
			continue
		}
		maxInterval := maxPollRetryInterval
		if errors.Is(err, errEmptyReply) {
			maxInterval = maxEmptyRetryInterval
		} else {
			c.pollFailed(err, currentAddr(c))
		}
		// The interval starts with the poll: a poll that took long is repeated at once.
		c.pause(ctx, time.Until(began.Add(interval)))
		interval = min(2*interval, maxInterval)
	}
	return nil
}

// pause waits for d, until Move is called or until the context is cancelled.
func (c *CommandChannel) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.wake:
	case <-ctx.Done():
	}
}

// pollSucceeded records a poll that got a reply after took. retried says that the previous
// poll failed, so that this one requested no wait. A quick reply shows that the channel is no
// longer slow.
func (c *CommandChannel) pollSucceeded(retried bool, took time.Duration) {
	if c.failedPolls > 0 {
		c.Log.Info("command channel answers again", "failed", c.failedPolls)
	}
	c.failedPolls = 0
	if retried && took < minReplyTimeout/2 || !retried && took < pollBlock+minReplyTimeout/2 {
		c.replyTimeout = minReplyTimeout
	}
}

// pollFailed records a failed poll. The next one may take longer if this one timed out
// after it had connected.
func (c *CommandChannel) pollFailed(err error, addr string) {
	c.failedPolls++
	if c.failedPolls == 1 { // the metric counts the others
		c.Log.Warn("command channel poll failed", "addr", addr, "stage", pollStage(c.stage.Load()).String(), "error", err)
	}
	var opErr *net.OpError
	if errors.Is(err, context.DeadlineExceeded) && !(errors.As(err, &opErr) && opErr.Op == "dial") {
		c.replyTimeout = maxReplyTimeout
	}
	c.OnPollFailure()
}

// currentAddr returns the address, which Move may change.
func currentAddr(c *CommandChannel) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Addr
}

// pollResult returns the metrics label of a poll.
func pollResult(err error, newEvents, moved bool) string {
	switch {
	case newEvents:
		return metrics.PollEvents
	case moved:
		return metrics.PollMoved
	case err == nil || errors.Is(err, errEmptyReply):
		return metrics.PollEmpty
	case errors.Is(err, context.DeadlineExceeded):
		return metrics.PollTimeout
	}
	return metrics.PollFailed
}

// pollStage is how far a poll has come.
type pollStage int32

// The stages of a poll, in order. A poll that times out while waiting met a channel that is
// slow or silent; one that times out while connecting didn't reach it.
const (
	connecting pollStage = iota
	waiting              // connected; no byte of the reply has arrived
	reading              // a part of the reply has arrived
)

// String returns the stage as it is logged.
func (s pollStage) String() string { return [...]string{"connecting", "waiting", "reading"}[s] }

// withStage returns a context in which an HTTP request records its stage.
func withStage(ctx context.Context, stage *atomic.Int32) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(httptrace.GotConnInfo) { stage.Store(int32(waiting)) },
		GotFirstResponseByte: func() { stage.Store(int32(reading)) },
	})
}

// poll requests events once and applies those in the reply.
func (c *CommandChannel) poll(ctx context.Context, client *http.Client) error {
	addr, block, ctx, cancel := c.beginPoll(ctx)
	defer cancel()
	c.stage.Store(int32(connecting))
	ctx = withStage(ctx, &c.stage)
	query := url.Values{"resume": {strconv.FormatInt(c.cursor, 10)}, "block": {strconv.FormatInt(block.Milliseconds(), 10)}}
	u := url.URL{Scheme: "http", Host: addr, Path: "/cmd/next", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplySize+1))
	switch {
	case err != nil:
		return err
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("status %s", resp.Status)
	case len(body) > maxReplySize:
		return errors.New("reply is too long")
	}
	events, err := ParseEvents(body)
	if err != nil {
		return err
	}
	c.Apply(events)
	return nil
}
