package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"violetspan.example/violetspan/routing"
)

// launchParams holds the parameters of a LAUNCH line by key, and the first error in them.
type launchParams struct {
	fields *fieldReader
	values map[string]string
	err    error
}

func (p *launchParams) fail(key, reason string) {
	if p.err == nil {
		p.err = p.fields.invalid("params "+key, reason)
	}
}

func (p *launchParams) number(key string, def float64) float64 {
	v, ok := p.values[key]
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

func (p *launchParams) integer(key string, def int) int {
	return int(max(math.MinInt32, min(math.MaxInt32, p.number(key, float64(def)))))
}

func (p *launchParams) duration(key string) time.Duration { return fromMilliseconds(p.number(key, 0)) }

func (p *launchParams) boolean(key string) bool {
	return p.values[key] == "true" || p.values[key] == "1"
}

func (p *launchParams) list(key string) []string {
	v := p.values[key]
	if v == "" || v == "-" {
		return nil
	}
	return strings.Split(v, ",")
}

// readSettings reads the key=value pairs of a LAUNCH line; unknown keys are ignored. It also
// sets the instance's classes and columns, and whether its refusals carry a time.
func readSettings(fields *fieldReader, inst *instance) (routing.Settings, error) {
	params := &launchParams{fields: fields, values: map[string]string{}}
	for _, pair := range strings.Fields(fields.rest) {
		key, val, ok := strings.Cut(pair, "=")
		if !ok {
			return routing.Settings{}, fields.invalid("params", fmt.Sprintf("%q is not a pair", pair))
		}
		params.values[key] = val
	}
	settings := routing.Settings{
		OwnExchange:       params.integer("extra.here", -1),
		FleetSize:         params.integer("fleetSize", 1),
		PoolMode:          params.values["extra.topology"] == "groups",
		MaxAttempts:       params.integer("limits.mostTries", 1),
		ReleaseDelay:      params.duration("extra.releaseMs"),
		ResendInterval:    params.duration("extra.resendMs"),
		WarmUpTime:        params.duration("rules.rampTimeMs"),
		ColdCapacity:      params.number("rules.coldShare", 0),
		OverloadFactor:    params.number("rules.fallMultiple", 1),
		OverloadWindow:    params.duration("rules.overloadForMs"),
		AnswerSlack:       params.duration("rules.answerSlackMs"),
		CancelAllowed:     params.boolean("limits.cancel"),
		SubscribeRequired: params.values["registryMode"] == "subscribe",
		RedialsMarked:     params.boolean("clients.marksRetry"),
	}
	widths, holds := params.list("extra.widths"), params.list("extra.classHoldMs")
	for i := range max(0, min(params.integer("classes.count", 0), 1000)) {
		prefix := fmt.Sprintf("classes.%d.", i)
		class := routing.Class{GoalTime: params.duration(prefix + "goalTimeMs"), Deadline: params.duration(prefix + "deadlineMs"),
			Worth: params.number(prefix+"worth", 1), Width: 1}
		if i < len(widths) {
			params.values[prefix+"width"] = widths[i]
			class.Width = params.integer(prefix+"width", 1)
		}
		if i < len(holds) {
			params.values[prefix+"hold"] = holds[i]
			class.Hold = params.duration(prefix + "hold")
		}
		for _, pool := range params.list(fmt.Sprintf("extra.skilledPools.%d", i)) {
			params.values[prefix+"pool"] = pool
			class.Pools = append(class.Pools, params.integer(prefix+"pool", 0))
		}
		inst.classes[params.values[prefix+"name"]] = i
		settings.Classes = append(settings.Classes, class)
	}
	inst.sendRetryAfter = params.boolean("limits.retryAfter")
	inst.columns = params.list("report.columns")
	return settings, params.err
}
