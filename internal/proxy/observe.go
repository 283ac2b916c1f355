package proxy

import (
	"context"
	"log/slog"
	"time"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/routing"
)

// metricsInterval is how often a proxy logs its metrics: on the platform nobody
// scrapes them, and a killed proxy has no last line.
const metricsInterval = 5 * time.Second

// observer counts what the core tells of calls.
type observer struct{ count *metrics.Set }

func (o observer) FinalAnswer(a core.FinalAnswer) {
	o.count.FinalAnswers.WithLabelValues(a.String()).Inc()
}
func (o observer) CallEnded(r core.EndReason) { o.count.CallEnds.WithLabelValues(r.String()).Inc() }
func (o observer) AttemptEnded(r routing.Result) {
	o.count.Attempts.WithLabelValues(attemptResult(r)).Inc()
}
func (o observer) SetUpHeldBack() { o.count.SetUpsHeldBack.Inc() }

// attemptResult is the metrics label of an attempt's result.
func attemptResult(r routing.Result) string {
	return [...]string{"ended", "error", "full", "timed_out", "not_reached", "reset", "cancelled", "unused"}[r]
}

// gauges registers the figures that are asked for.
func (p *Proxy) gauges() {
	p.count.Gauge("violetspan_calls_unanswered", "Calls that wait for their final answer.", func() float64 {
		unanswered, _ := p.core.Counts()
		return float64(unanswered)
	})
	p.count.Gauge("violetspan_calls_standing", "Calls that stand.", func() float64 {
		_, standing := p.core.Counts()
		return float64(standing)
	})
}

// logMetrics logs the metrics until the context ends.
func (p *Proxy) logMetrics(ctx context.Context) error {
	every := time.NewTicker(metricsInterval)
	defer every.Stop()
	for {
		select {
		case <-every.C:
			p.log.LogAttrs(ctx, slog.LevelInfo, "metrics", p.count.Attrs()...)
		case <-ctx.Done():
			return nil
		}
	}
}
