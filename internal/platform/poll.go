package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"violetspan.example/violetspan/decide/longpoll"
	"violetspan.example/violetspan/internal/metrics"
)

const (
	// channelDialTimeout bounds the dials that outlive their poll. The kernel repeats a dial
	// whose packets are dropped after 1 s, 3 s and 7 s.
	channelDialTimeout = 7500 * time.Millisecond
	maxReplySize       = 4 << 20 // bytes
)

// pollStage is how far a poll has come.
type pollStage int32

// The stages of a poll, in order.
const (
	connecting pollStage = iota
	waiting              // connected; no byte of the reply has arrived
	reading              // a part of the reply has arrived
)

// String returns the stage as it is logged.
func (s pollStage) String() string { return [...]string{"connecting", "waiting", "reading"}[s] }

// poll is a request for the events after a number.
type poll struct {
	id      longpoll.ID
	addr    string
	resume  int64 // number of the last event that was applied when the poll began
	begunAt time.Time
	cancel  context.CancelFunc
	stage   atomic.Int32 // the pollStage

	// Used only by the goroutine that runs Follow:
	overdue      bool
	cancelReason string // metrics label; "": not cancelled
}

// pollResult is how a poll ended: with events or an error.
type pollResult struct {
	poll   *poll
	events *Events
	err    error
}

// hasNews reports whether the reply contains events that were new when the poll began.
func (r *pollResult) hasNews() bool { return r.err == nil && r.events.cursor > r.poll.resume }

// label returns the metrics label of the result.
func (r *pollResult) label() string {
	switch {
	case r.hasNews():
		return metrics.PollEvents
	case r.err == nil:
		return metrics.PollEmpty
	case r.poll.cancelReason != "":
		return r.poll.cancelReason
	}
	return metrics.PollFailed
}

// newChannelClient returns an HTTP client for polls. Polls may overlap, each on a connection of
// its own; one connection stays open between polls.
func newChannelClient(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Client {
	// A dial outlives its poll, and the next poll may use its connection.
	transport := &http.Transport{MaxIdleConns: 1, DisableCompression: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(ctx, channelDialTimeout)
			defer cancel()
			return dial(ctx, network, addr)
		}}
	return &http.Client{Transport: transport}
}

// request sends the poll with the given wait and returns the events of its reply.
func (p *poll) request(ctx context.Context, client *http.Client, wait time.Duration) (*Events, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:              func(httptrace.GotConnInfo) { p.stage.Store(int32(waiting)) },
		GotFirstResponseByte: func() { p.stage.Store(int32(reading)) },
	})
	query := url.Values{"resume": {strconv.FormatInt(p.resume, 10)}, "block": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	u := url.URL{Scheme: "http", Host: p.addr, Path: "/cmd/next", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplySize+1))
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("status %s", resp.Status)
	case len(body) > maxReplySize:
		return nil, errors.New("reply is too long")
	}
	return ParseEvents(body)
}
