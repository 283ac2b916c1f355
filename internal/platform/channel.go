package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	jsoniter "github.com/json-iterator/go"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/routing"
)

// A channel may stop and stay open. What it has to tell then counts as told some
// time after the wait that was asked for, or at once if it is asked again; so the
// wait is short, and a poll that outlasts it is ended and asked anew.
const (
	pollBlock    = time.Second            // how long a reply may wait for events
	pollPatience = 500 * time.Millisecond // what it may take beyond that
	// A channel that is slow or crowded answers later. Once a poll was given up, the next
	// asks for what there is now, and those after it may take longer than at first. A
	// change counts as told 2 s after the end of the wait that was asked for.
	pollPatienceMost = 1900 * time.Millisecond
	channelDial      = time.Second
	maxEventsLen     = 4 << 20
	channelFirst     = 20 * time.Millisecond
	channelMost      = 500 * time.Millisecond
	// emptyMost bounds the pause after a reply that came at once without events: what is
	// told in that time counts as told, and set-ups stop 0.5 s after.
	emptyMost = 200 * time.Millisecond
	maxMoves  = 16 // configurations that were read and whose events were not taken
)

// CommandChannel follows the command channel's list of switches.
type CommandChannel struct {
	Addr         string
	OnSwitchList func(core.SwitchList)
	Log          *slog.Logger
	Metrics      *metrics.Set
	// OnPollFailure is called after each poll that failed: the list may be old.
	OnPollFailure func()

	dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	cursor   int64         // the last event taken; the follower's own
	patience time.Duration // of the next poll; the follower's own
	failed   int           // polls in a row that failed; the follower's own

	mu    sync.Mutex
	moved []*Events          // what Move brought and the follower has not taken; under mu, as Addr is
	stop  context.CancelFunc // ends the poll that runs; under mu
	wake  chan struct{}      // has a value after Move
}

// NewCommandChannel makes a channel that List hears of.
func NewCommandChannel(addr string, list func(core.SwitchList), log *slog.Logger, count *metrics.Set) *CommandChannel {
	var dialer net.Dialer
	return &CommandChannel{dial: dialer.DialContext, Addr: addr, OnSwitchList: list, Log: log, Metrics: count, OnPollFailure: func() {}, patience: pollPatience,
		stop: func() {}, wake: make(chan struct{}, 1)}
}

// Events are events in the channel's form, read and checked.
type Events struct {
	cursor int64
	lists  []numbered
}

type numbered struct {
	cursor int64
	list   core.SwitchList
}

type events struct {
	Cursor int64     `json:"cursor"`
	Cmds   []command `json:"cmds"`
}

type command struct {
	Cursor int64 `json:"cursor"`
	Nodes  *struct {
		Complete bool     `json:"complete"`
		Members  []listed `json:"members"`
	} `json:"nodes"`
}

type listed struct {
	ID      string  `json:"id"`
	Addr    string  `json:"host_port"`
	Cell    int     `json:"cell"`
	Phase   string  `json:"phase"`
	UpSince float64 `json:"up_since_ms"`
}

var phases = map[string]routing.State{"up": routing.Ready, "draining": routing.Draining, "removed": routing.Removed}

// ParseEvents reads events in the channel's form. One that can't be read spoils all.
func ParseEvents(b []byte) (*Events, error) {
	var in events
	if err := jsoniter.Unmarshal(b, &in); err != nil {
		return nil, fmt.Errorf("events: %w", err)
	}
	out := &Events{cursor: in.Cursor}
	for _, cmd := range in.Cmds {
		if cmd.Nodes == nil {
			continue // of a kind that is not for us
		}
		l := core.SwitchList{Source: "channel", Full: cmd.Nodes.Complete}
		for _, n := range cmd.Nodes.Members {
			st, ok := phases[n.Phase]
			if !ok || n.ID == "" {
				return nil, fmt.Errorf("events: switch %q in phase %q", n.ID, n.Phase)
			}
			m := core.Switch{ID: n.ID, Addr: n.Addr, Exchange: n.Cell, State: st}
			if n.UpSince > 0 {
				m.Started = time.UnixMicro(int64(n.UpSince * 1000))
			}
			l.Switches = append(l.Switches, m)
		}
		out.lists = append(out.lists, numbered{cmd.Cursor, l})
	}
	return out, nil
}

// Apply takes in the events that are new, in their order.
func (c *CommandChannel) Apply(ev *Events) {
	for _, e := range ev.lists {
		if e.cursor > 0 && e.cursor <= c.cursor {
			continue
		}
		c.Log.Info("list of switches", "event", e.cursor, "complete", e.list.Full, "switches", len(e.list.Switches))
		c.OnSwitchList(e.list)
		c.cursor = max(c.cursor, e.cursor)
	}
	c.cursor = max(c.cursor, ev.cursor)
}

// Move makes the channel go on at another address, where the numbers continue;
// known are the events that came with it. The poll that runs is ended: the old
// address tells nothing more, and would only end it later.
func (c *CommandChannel) Move(addr string, known *Events) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr != c.Addr {
		c.Log.Info("command channel moved", "addr", addr)
	}
	c.Addr = addr
	if len(c.moved) < maxMoves {
		c.moved = append(c.moved, known)
	}
	c.stop()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// next takes in what Move brought and returns where to ask, for how long a wait, and the
// poll's context.
func (c *CommandChannel) next(ctx context.Context) (string, time.Duration, context.Context, context.CancelFunc) {
	c.mu.Lock()
	addr, known := c.Addr, c.moved
	c.moved = nil
	select {
	case <-c.wake:
	default:
	}
	block := pollBlock
	if c.failed > 0 {
		block = 0
	}
	ctx, c.stop = context.WithTimeout(ctx, block+c.patience)
	stop := c.stop
	c.mu.Unlock()
	for _, events := range known {
		c.Apply(events)
	}
	return addr, block, ctx, stop
}

// hasMoved says whether Move was called since the poll began.
func (c *CommandChannel) hasMoved() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.moved) > 0
}

var errEmpty = errors.New("a reply without events, well before the wait asked for")

// Follow asks for new events until the context ends.
func (c *CommandChannel) Follow(ctx context.Context) error {
	// A dial has a limit of its own, and there is no limit on connections: a dial to a
	// channel that is cut off outlives its poll, and would keep the next ones waiting.
	tr := &http.Transport{MaxIdleConns: 1, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, channelDial)
			defer cancel()
			return c.dial(ctx, network, addr)
		}}
	defer tr.CloseIdleConnections()
	client := &http.Client{Transport: tr}
	gap := channelFirst
	for ctx.Err() == nil {
		asked, had, again := time.Now(), c.cursor, c.failed > 0
		err := c.poll(ctx, client)
		took := time.Since(asked)
		if err == nil && c.cursor == had && took < pollBlock/2 && !again {
			err = errEmpty // asked again at once, it would be asked without end
		}
		if ctx.Err() != nil {
			break
		}
		moved := c.hasMoved()
		c.Metrics.Polls.WithLabelValues(pollResult(err, c.cursor > had, moved)).Inc()
		if err == nil || moved {
			gap = channelFirst
			if err == nil {
				c.pollSucceeded(again, took)
			}
			continue
		}
		most := channelMost
		if errors.Is(err, errEmpty) {
			most = emptyMost
		} else {
			c.pollFailed(err, addressOf(c))
		}
		// The pause counts from when it was asked: one that took long is asked again at once.
		c.pause(ctx, time.Until(asked.Add(gap)))
		gap = min(2*gap, most)
	}
	return nil
}

// pause waits for some time, or until Move is called or the context ends.
func (c *CommandChannel) pause(ctx context.Context, d time.Duration) {
	again := time.NewTimer(d)
	defer again.Stop()
	select {
	case <-again.C:
	case <-c.wake:
	case <-ctx.Done():
	}
}

// pollSucceeded notes a poll that brought a reply. One that came quickly shows that the
// channel is not slow any more.
func (c *CommandChannel) pollSucceeded(again bool, took time.Duration) {
	if c.failed > 0 {
		c.Log.Info("command channel answers again", "failed", c.failed)
	}
	c.failed = 0
	if again && took < pollPatience/2 || !again && took < pollBlock+pollPatience/2 {
		c.patience = pollPatience
	}
}

// pollFailed notes a poll that failed. The next one may take longer if this one was
// given up.
func (c *CommandChannel) pollFailed(err error, addr string) {
	c.failed++
	if c.failed == 1 { // the others are counted
		c.Log.Warn("command channel", "addr", addr, "error", err)
	}
	var dial *net.OpError
	if errors.Is(err, context.DeadlineExceeded) && !(errors.As(err, &dial) && dial.Op == "dial") {
		c.patience = pollPatienceMost
	}
	c.OnPollFailure()
}

func addressOf(c *CommandChannel) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Addr
}

// pollResult is the metrics label of a poll.
func pollResult(err error, news, moved bool) string {
	switch {
	case news:
		return metrics.PollEvents
	case moved:
		return metrics.PollMoved
	case err == nil || errors.Is(err, errEmpty):
		return metrics.PollEmpty
	case errors.Is(err, context.DeadlineExceeded):
		return metrics.PollTimeout
	}
	return metrics.PollFailed
}

func (c *CommandChannel) poll(ctx context.Context, client *http.Client) error {
	addr, block, ctx, cancel := c.next(ctx)
	defer cancel()
	q := url.Values{"resume": {strconv.FormatInt(c.cursor, 10)}, "block": {strconv.FormatInt(block.Milliseconds(), 10)}}
	u := url.URL{Scheme: "http", Host: addr, Path: "/cmd/next", RawQuery: q.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxEventsLen+1))
	switch {
	case err != nil:
		return err
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("status %s", resp.Status)
	case len(b) > maxEventsLen:
		return errors.New("a reply that is too long")
	}
	ev, err := ParseEvents(b)
	if err != nil {
		return err
	}
	c.Apply(ev)
	return nil
}
