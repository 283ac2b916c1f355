// Package metrics counts what a proxy does, for scraping (the administration API's
// /metrics) and for the log of a proxy that nobody scrapes.
//
// Every label has a closed set of values, named here: no id, address or text of a
// peer is ever a label.
package metrics

import (
	"log/slog"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

// Labels of Set.Dials: how a dial to a switch went.
const (
	DialConnected = "up"
	DialRefused   = "refused"
	DialTimeout   = "timeout"
	DialOther     = "other"
)

// Labels of Set.SwitchConnsClosed: why a connection to a switch ended.
const (
	CloseByPeer   = "peer_closed"
	CloseBroken   = "broken"
	CloseSilent   = "silent"
	CloseReplaced = "replaced"
	CloseRemoved  = "removed"
)

// Labels of Set.CallerConnsClosed: why a connection from callers ended.
const (
	CallerClosed    = "peer_closed"
	CallerBroken    = "broken"
	CallerMalformed = "malformed"
	CallerSilent    = "silent"
	CallerEvicted   = "evicted"
	CallerNoRoom    = "no_room"
	CallerDrained   = "drained"
)

// Labels of Set.Releases: what became of releases towards callers.
const (
	ReleaseSent           = "sent"
	ReleaseRepeated       = "repeated"
	ReleaseAcknowledged   = "acknowledged"
	ReleaseUnacknowledged = "unacknowledged"
	ReleaseNoConnection   = "no_connection"
	ReleaseNoRoom         = "no_room"
)

// Labels of Set.Polls: how a call to discovery went.
const (
	PollEvents  = "events"
	PollEmpty   = "empty"
	PollTimeout = "timeout"
	PollFailed  = "failed"
	PollMoved   = "moved"
)

// Set holds one proxy's metrics. Make one with New. Safe for concurrent use.
type Set struct {
	registry *prometheus.Registry

	FinalAnswers      *prometheus.CounterVec // by result
	CallEnds          *prometheus.CounterVec // by reason
	Attempts          *prometheus.CounterVec // by result, as the policy hears it
	SetUpsHeldBack    prometheus.Counter     // set-ups that a rule kept from being sent
	Dials             *prometheus.CounterVec // by result
	SwitchStates      *prometheus.CounterVec // transitions, by the state entered
	SwitchConnsClosed *prometheus.CounterVec // by reason
	CallerConnsClosed *prometheus.CounterVec // by reason
	Releases          *prometheus.CounterVec // by result
	Polls             *prometheus.CounterVec // by result
}

// New makes a set with a registry of its own.
func New() *Set {
	s := &Set{registry: prometheus.NewRegistry()}
	s.FinalAnswers = s.vector("violetspan_calls_final_answers_total", "Final answers given to callers.", "result")
	s.CallEnds = s.vector("violetspan_calls_ends_total", "Ends of calls that stood.", "reason")
	s.Attempts = s.vector("violetspan_attempts_total", "Set-ups sent to switches, by their result.", "result")
	s.Dials = s.vector("violetspan_switch_dials_total", "Dials to switches.", "result")
	s.SwitchStates = s.vector("violetspan_switch_state_changes_total", "Switches that entered a liveness state.", "state")
	s.SwitchConnsClosed = s.vector("violetspan_switch_connections_closed_total", "Connections to switches that ended.", "reason")
	s.CallerConnsClosed = s.vector("violetspan_caller_connections_closed_total", "Connections from callers that ended.", "reason")
	s.Releases = s.vector("violetspan_caller_releases_total", "Releases of calls that stood, towards callers.", "result")
	s.Polls = s.vector("violetspan_discovery_polls_total", "Calls to discovery.", "result")
	s.SetUpsHeldBack = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "violetspan_attempts_held_back_total", Help: "Set-ups that a rule kept from being sent."})
	s.registry.MustRegister(s.SetUpsHeldBack)
	return s
}

func (s *Set) vector(name, help, label string) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	s.registry.MustRegister(v)
	return v
}

// Gauge registers a figure that is asked for when it is wanted. The function may be
// called by any goroutine.
func (s *Set) Gauge(name, help string, value func() float64) {
	s.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// Gatherer returns what a scrape handler asks.
func (s *Set) Gatherer() prometheus.Gatherer { return s.registry }

// Attrs returns every counter above zero as log attributes, named by metric and label.
func (s *Set) Attrs() []slog.Attr {
	families, err := s.registry.Gather()
	if err != nil {
		return []slog.Attr{slog.Any("error", err)}
	}
	var attrs []slog.Attr
	for _, family := range families {
		name := strings.TrimPrefix(strings.TrimSuffix(family.GetName(), "_total"), "violetspan_")
		for _, m := range family.GetMetric() {
			if value := value(m); value != 0 {
				attrs = append(attrs, slog.Float64(strings.Join(append([]string{name}, labels(m)...), "_"), value))
			}
		}
	}
	slices.SortFunc(attrs, func(a, b slog.Attr) int { return strings.Compare(a.Key, b.Key) })
	return attrs
}

func value(m *dto.Metric) float64 {
	if c := m.GetCounter(); c != nil {
		return c.GetValue()
	}
	return m.GetGauge().GetValue()
}

func labels(m *dto.Metric) (values []string) {
	for _, l := range m.GetLabel() {
		values = append(values, l.GetValue())
	}
	return values
}
