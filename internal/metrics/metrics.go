// Package metrics defines a proxy's metrics. They are exposed at the administration API's
// /v1/metrics and logged by proxies that are not scraped.
//
// Every label has a fixed set of values. Ids, addresses and texts from peers are never
// used as label values.
package metrics

import (
	"log/slog"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

// Values of the label of Set.Dials: the result of a dial to a switch.
const (
	DialConnected = "up"
	DialRefused   = "refused"
	DialTimeout   = "timeout"
	DialOther     = "other"
)

// Values of the label of Set.SwitchConnsClosed: why a connection to a switch was closed.
const (
	CloseByPeer   = "peer_closed"
	CloseBroken   = "broken"
	CloseSilent   = "silent"
	CloseReplaced = "replaced"
	CloseRemoved  = "removed"
)

// Values of the label of Set.CallerConnsClosed: why a connection from callers was closed.
const (
	CallerClosed    = "peer_closed"
	CallerBroken    = "broken"
	CallerMalformed = "malformed"
	CallerSilent    = "silent"
	CallerEvicted   = "evicted"
	CallerNoRoom    = "no_room"
	CallerDrained   = "drained"
)

// Values of the label of Set.Releases: what happened to releases to callers.
const (
	ReleaseSent           = "sent"
	ReleaseRepeated       = "repeated"
	ReleaseAcknowledged   = "acknowledged"
	ReleaseUnacknowledged = "unacknowledged"
	ReleaseNoConnection   = "no_connection"
	ReleaseNoRoom         = "no_room"
)

// Values of the label of Set.Polls: the result of a discovery poll.
const (
	PollEvents  = "events"
	PollEmpty   = "empty"
	PollTimeout = "timeout"
	PollFailed  = "failed"
	PollMoved   = "moved"
)

// Values of the label of Set.PeerDatagrams: what happened to a datagram between proxies.
const (
	DatagramSent          = "sent"
	DatagramNotSent       = "not_sent"
	DatagramReceived      = "received"
	DatagramMalformed     = "malformed"
	DatagramUnknownSource = "unknown_source"
)

// Values of the label of Set.Handovers: what happened to an established call at a planned restart.
const (
	HandoverAcknowledged = "acknowledged" // a peer holds it for the next process
	HandoverReleased     = "released"     // no peer does: it was ended before the exit
	HandoverTaken        = "taken"        // the next process has taken it over
	HandoverEnded        = "ended"        // it had ended when the next process got it
)

// Set contains the metrics of one proxy. Use New to create one. It is safe for concurrent
// use.
type Set struct {
	registry *prometheus.Registry

	FinalAnswers      *prometheus.CounterVec // by result
	CallEnds          *prometheus.CounterVec // by reason
	Attempts          *prometheus.CounterVec // by result, as reported to the controller
	SetUpsHeldBack    prometheus.Counter     // set-ups that a rule held back
	Dials             *prometheus.CounterVec // by result
	SwitchStates      *prometheus.CounterVec // state transitions, by the new state
	SwitchConnsClosed *prometheus.CounterVec // by reason
	CallerConnsClosed *prometheus.CounterVec // by reason
	Releases          *prometheus.CounterVec // by result
	Polls             *prometheus.CounterVec // by result
	OverduePolls      prometheus.Counter     // polls without a timely reply
	PeerDatagrams     *prometheus.CounterVec // by result
	Handovers         *prometheus.CounterVec // by result
}

// New returns a Set with its own registry.
func New() *Set {
	s := &Set{registry: prometheus.NewRegistry()}
	s.FinalAnswers = s.counterVec("violetspan_calls_final_answers_total", "Final answers given to callers.", "result")
	s.CallEnds = s.counterVec("violetspan_calls_ends_total", "Ends of calls that stood.", "reason")
	s.Attempts = s.counterVec("violetspan_attempts_total", "Set-ups sent to switches, by their result.", "result")
	s.Dials = s.counterVec("violetspan_switch_dials_total", "Dials to switches.", "result")
	s.SwitchStates = s.counterVec("violetspan_switch_state_changes_total", "Switches that entered a liveness state.", "state")
	s.SwitchConnsClosed = s.counterVec("violetspan_switch_connections_closed_total", "Connections to switches that ended.", "reason")
	s.CallerConnsClosed = s.counterVec("violetspan_caller_connections_closed_total", "Connections from callers that ended.", "reason")
	s.Releases = s.counterVec("violetspan_caller_releases_total", "Releases of calls that stood, towards callers.", "result")
	s.Polls = s.counterVec("violetspan_discovery_polls_total", "Calls to discovery.", "result")
	s.PeerDatagrams = s.counterVec("violetspan_peer_datagrams_total", "Datagrams between proxies.", "result")
	s.Handovers = s.counterVec("violetspan_handover_calls_total", "Established calls at a planned restart.", "result")
	s.SetUpsHeldBack = s.counter("violetspan_attempts_held_back_total", "Set-ups that a rule kept from being sent.")
	s.OverduePolls = s.counter("violetspan_discovery_polls_overdue_total", "Calls to discovery without a reply in time.")
	return s
}

func (s *Set) counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	s.registry.MustRegister(c)
	return c
}

func (s *Set) counterVec(name, help, label string) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	s.registry.MustRegister(v)
	return v
}

// Gauge registers a gauge whose value is read by a function at each scrape. The function
// may be called from any goroutine.
func (s *Set) Gauge(name, help string, value func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// Gatherer returns the source of the metrics for a scrape handler.
func (s *Set) Gatherer() prometheus.Gatherer { return s.registry }

// Attrs returns every non-zero metric as a log attribute, sorted by name. Its name is the
// metric's, without the prefix violetspan_ and the suffix _total, joined with the label's
// value by an underscore. If the metrics can't be gathered, it returns only the error.
func (s *Set) Attrs() []slog.Attr {
	families, err := s.registry.Gather()
	if err != nil {
		return []slog.Attr{slog.Any("error", err)}
	}
	var attrs []slog.Attr
	for _, family := range families {
		name := strings.TrimPrefix(strings.TrimSuffix(family.GetName(), "_total"), "violetspan_")
		for _, m := range family.GetMetric() {
			if value := metricValue(m); value != 0 {
				attrs = append(attrs, slog.Float64(strings.Join(append([]string{name}, labelValues(m)...), "_"), value))
			}
		}
	}
	slices.SortFunc(attrs, func(a, b slog.Attr) int { return strings.Compare(a.Key, b.Key) })
	return attrs
}

func metricValue(m *dto.Metric) float64 {
	if c := m.GetCounter(); c != nil {
		return c.GetValue()
	}
	return m.GetGauge().GetValue()
}

func labelValues(m *dto.Metric) (values []string) {
	for _, l := range m.GetLabel() {
		values = append(values, l.GetValue())
	}
	return values
}
