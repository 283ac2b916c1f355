package proxy

import (
	"context"
	"log/slog"
	"time"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/metrics"
	"violetspan.example/violetspan/routing"
)

// metricsInterval is the interval at which a proxy logs its metrics: the platform does not
// scrape them, and a proxy that is killed can't log them on exit.
const metricsInterval = 5 * time.Second

// observer counts the core's events in the metrics.
type observer struct{ metrics *metrics.Set }

func (o observer) FinalAnswer(answer core.FinalAnswer) {
	o.metrics.FinalAnswers.WithLabelValues(answer.String()).Inc()
}
func (o observer) CallEnded(reason core.EndReason) {
	o.metrics.CallEnds.WithLabelValues(reason.String()).Inc()
}
func (o observer) AttemptEnded(result routing.Result) {
	o.metrics.Attempts.WithLabelValues(attemptResult(result)).Inc()
}
func (o observer) SetUpHeldBack() { o.metrics.SetUpsHeldBack.Inc() }

// attemptResult returns the value of the metric's label for an attempt's result.
func attemptResult(result routing.Result) string {
	return [...]string{"ended", "error", "full", "timed_out", "not_reached", "reset", "cancelled", "unused"}[result]
}

// registerGauges registers the metrics that are read at each scrape.
func (p *Proxy) registerGauges() {
	p.metrics.Gauge("violetspan_calls_unanswered", "Calls that wait for their final answer.", func() float64 {
		unanswered, _ := p.core.Counts()
		return float64(unanswered)
	})
	p.metrics.Gauge("violetspan_calls_standing", "Calls that stand.", func() float64 {
		_, established := p.core.Counts()
		return float64(established)
	})
}

// logMetrics logs the metrics every metricsInterval until the context ends.
func (p *Proxy) logMetrics(ctx context.Context) error {
	ticker := time.NewTicker(metricsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.log.LogAttrs(ctx, slog.LevelInfo, "metrics", p.metrics.Attrs()...)
		case <-ctx.Done():
			return nil
		}
	}
}
