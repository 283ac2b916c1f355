package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"violetspan.example/violetspan/routing"
)

// params are the start-up settings by path; the first bad one is kept.
type params struct {
	f    *fields
	vals map[string]string
	err  error
}

func (p *params) fail(key, why string) {
	if p.err == nil {
		p.err = p.f.bad("params "+key, why)
	}
}

func (p *params) num(key string, def float64) float64 {
	v, ok := p.vals[key]
	if !ok || v == "-" || v == "" {
		return def
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		p.fail(key, fmt.Sprintf("%q is not a number", v))
		return def
	}
	return x
}

func (p *params) whole(key string, def int) int {
	return int(max(math.MinInt32, min(math.MaxInt32, p.num(key, float64(def)))))
}

func (p *params) ms(key string) time.Duration { return fromMs(p.num(key, 0)) }

func (p *params) yes(key string) bool { return p.vals[key] == "true" || p.vals[key] == "1" }

func (p *params) list(key string) []string {
	v := p.vals[key]
	if v == "" || v == "-" {
		return nil
	}
	return strings.Split(v, ",")
}

// settings reads the pairs of a LAUNCH line; keys it does not know are skipped.
func settings(f *fields, in *instance) (routing.Settings, error) {
	p := &params{f: f, vals: map[string]string{}}
	for _, pair := range strings.Fields(f.rest) {
		key, val, ok := strings.Cut(pair, "=")
		if !ok {
			return routing.Settings{}, f.bad("params", fmt.Sprintf("%q is not a pair", pair))
		}
		p.vals[key] = val
	}
	s := routing.Settings{
		OwnExchange:       p.whole("extra.here", -1),
		FleetSize:         p.whole("fleetSize", 1),
		PoolMode:          p.vals["extra.topology"] == "groups",
		MaxAttempts:       p.whole("limits.mostTries", 1),
		ReleaseDelay:      p.ms("extra.releaseMs"),
		ResendInterval:    p.ms("extra.resendMs"),
		WarmUpTime:        p.ms("rules.rampTimeMs"),
		ColdCapacity:      p.num("rules.coldShare", 0),
		OverloadFactor:    p.num("rules.fallMultiple", 1),
		OverloadWindow:    p.ms("rules.overloadForMs"),
		AnswerSlack:       p.ms("rules.answerSlackMs"),
		CancelAllowed:     p.yes("limits.cancel"),
		SubscribeRequired: p.vals["registryMode"] == "subscribe",
		RedialsMarked:     p.yes("clients.marksRetry"),
	}
	widths, holds := p.list("extra.widths"), p.list("extra.classHoldMs")
	for i := range max(0, min(p.whole("classes.count", 0), 1000)) {
		at := fmt.Sprintf("classes.%d.", i)
		k := routing.Class{GoalTime: p.ms(at + "goalTimeMs"), Deadline: p.ms(at + "deadlineMs"),
			Worth: p.num(at+"worth", 1), Width: 1}
		if i < len(widths) {
			p.vals[at+"width"] = widths[i]
			k.Width = p.whole(at+"width", 1)
		}
		if i < len(holds) {
			p.vals[at+"hold"] = holds[i]
			k.Hold = p.ms(at + "hold")
		}
		for _, n := range p.list(fmt.Sprintf("extra.skilledPools.%d", i)) {
			p.vals[at+"pool"] = n
			k.Pools = append(k.Pools, p.whole(at+"pool", 0))
		}
		in.classes[p.vals[at+"name"]] = i
		s.Classes = append(s.Classes, k)
	}
	in.advise = p.yes("limits.retryAfter")
	in.columns = p.list("report.columns")
	return s, p.err
}
