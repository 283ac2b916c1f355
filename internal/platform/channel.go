package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"violetspan.example/violetspan/brain"
	"violetspan.example/violetspan/internal/core"
)

const (
	pollBlock    = 5 * time.Second
	pollTimeout  = pollBlock + 1500*time.Millisecond // a poll that is silent for longer is asked anew
	maxEventsLen = 4 << 20
	channelFirst = 20 * time.Millisecond
	channelMost  = 500 * time.Millisecond
)

// Channel follows the command channel's list of switches.
type Channel struct {
	Addr string
	List func(core.List)
	Log  *slog.Logger

	cursor int64
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

var phases = map[string]brain.State{"up": brain.Ready, "draining": brain.Draining, "removed": brain.Gone}

// Take takes in events in the channel's form, in their order.
func (c *Channel) Take(b []byte) error {
	var ev events
	if err := jsoniter.Unmarshal(b, &ev); err != nil {
		return fmt.Errorf("events: %w", err)
	}
	for _, cmd := range ev.Cmds {
		if cmd.Cursor > 0 && cmd.Cursor <= c.cursor || cmd.Nodes == nil {
			continue // known already, or of a kind that is not for us
		}
		var ms []core.Member
		for _, n := range cmd.Nodes.Members {
			st, ok := phases[n.Phase]
			if !ok || n.ID == "" {
				return fmt.Errorf("events: switch %q in phase %q", n.ID, n.Phase)
			}
			m := core.Member{ID: n.ID, Addr: n.Addr, Number: n.Cell, State: st}
			if n.UpSince > 0 {
				m.Started = time.UnixMicro(int64(n.UpSince * 1000))
			}
			ms = append(ms, m)
		}
		c.Log.Info("list of switches", "event", cmd.Cursor, "complete", cmd.Nodes.Complete, "switches", len(ms))
		c.List(core.List{Source: "channel", Full: cmd.Nodes.Complete, Members: ms})
		c.cursor = max(c.cursor, cmd.Cursor)
	}
	c.cursor = max(c.cursor, ev.Cursor)
	return nil
}

// Follow asks for new events until the context ends.
func (c *Channel) Follow(ctx context.Context) error {
	tr := &http.Transport{MaxIdleConns: 1, MaxConnsPerHost: 2, DisableCompression: true}
	defer tr.CloseIdleConnections()
	client := &http.Client{Transport: tr}
	gap := channelFirst
	for ctx.Err() == nil {
		err := c.poll(ctx, client)
		if err == nil {
			gap = channelFirst
			continue
		}
		if ctx.Err() != nil {
			break
		}
		c.Log.Warn("command channel", "error", err)
		again := time.NewTimer(gap)
		select {
		case <-again.C:
		case <-ctx.Done():
			again.Stop()
		}
		gap = min(2*gap, channelMost)
	}
	return nil
}

func (c *Channel) poll(ctx context.Context, client *http.Client) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	q := url.Values{"resume": {strconv.FormatInt(c.cursor, 10)}, "block": {strconv.FormatInt(pollBlock.Milliseconds(), 10)}}
	u := url.URL{Scheme: "http", Host: c.Addr, Path: "/cmd/next", RawQuery: q.Encode()}
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
	return c.Take(b)
}
