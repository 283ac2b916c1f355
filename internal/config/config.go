// Package config reads the program's configuration, validates it and applies the
// defaults. Every error names the faulty key or environment variable.
package config

import (
	"cmp"
	"crypto/tls"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"violetspan.example/violetspan/decide/plan"
	"violetspan.example/violetspan/decide/replan"
	"violetspan.example/violetspan/internal/planner"
	"violetspan.example/violetspan/internal/tenant"
	"violetspan.example/violetspan/routing"
)

// Platform is the configuration that the platform gives a signalling proxy at start-up.
type Platform struct {
	Name        string
	Listen      string
	Seed        uint64
	Sockets     int    // limit on file descriptors
	MemoryMB    int    // limit on memory, in MiB
	ChannelAddr string // address of the command channel
	KnownEvents []byte // the channel's events before start-up, in its wire format
	Peers       *Peers // nil: this proxy sends no messages to others
	Settings    Settings
}

// Peers are the proxies of the tier, which may send each other datagrams.
type Peers struct {
	Listen    string   // address of the own socket
	Addresses []string // by the proxies' numbers, the own one included
	Own       int      // the own number
}

// Settings are the controller's settings and the values that the platform server and the
// call API derive from the same configuration.
type Settings struct {
	Routing     routing.Settings
	Classes     map[string]int  // class name to its index in Routing.Classes
	HasWidths   bool            // the configuration gives the number of circuits per call of each class
	Tenants     map[string]bool // nil: the configuration lists no tenants
	DialTimeout time.Duration
	MaxCalls    int // limit on concurrent calls
}

// SilenceTimeout is how long a switch with an unanswered set-up may send nothing at all:
// half of the shortest goal time, the same threshold as the controller has for delays.
func (s *Settings) SilenceTimeout() time.Duration {
	shortest := s.Routing.Classes[0].GoalTime
	for _, class := range s.Routing.Classes {
		shortest = min(shortest, class.GoalTime)
	}
	return shortest / 2
}

// Limits on the configuration itself.
const (
	maxClasses   = 1000
	minSockets   = 64
	maxFileBytes = 8 << 20
	maxPeers     = 1 << 12
)

// FromEnv reads the configuration file named by ROUTER_CONFIG. ROUTER_NAME and
// ROUTER_LISTEN, if set, must match it.
func FromEnv(env func(string) string) (*Platform, error) {
	path := env("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG: not set")
	}
	st, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	if st.Size() > maxFileBytes {
		return nil, fmt.Errorf("ROUTER_CONFIG: %d bytes, more than %d", st.Size(), maxFileBytes)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	p, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for _, v := range []struct{ name, got, want string }{
		{"ROUTER_NAME", env("ROUTER_NAME"), p.Name}, {"ROUTER_LISTEN", env("ROUTER_LISTEN"), p.Listen}} {
		if v.got != "" && v.got != v.want {
			return nil, fmt.Errorf("%s: %q, but the configuration says %q", v.name, v.got, v.want)
		}
	}
	return p, nil
}

// Parse reads a platform configuration in JSON.
func Parse(b []byte) (*Platform, error) {
	r, err := newReader(b)
	if err != nil {
		return nil, err
	}
	p := &Platform{
		Name:        r.stringOr("name", ""),
		Listen:      r.requiredAddress("listen"),
		ChannelAddr: r.requiredAddress("channel"),
		Sockets:     r.integer("limits.sockets", 1024, minSockets, 1<<24),
		MemoryMB:    r.integer("limits.memory_mb", 192, 16, 1<<24),
		Settings:    r.settings("settings."),
	}
	if seed := r.stringOr("seed", "0"); r.err == nil {
		if p.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			r.fail("seed", fmt.Sprintf("%q is not a hexadecimal number", seed))
		}
	}
	known := r.get("known")
	if known.ValueType() != jsoniter.ObjectValue {
		r.fail("known", "must be an object")
	} else {
		p.KnownEvents = []byte(known.ToString())
	}
	p.Peers = r.peers()
	return p, r.err
}

// peers reads the addresses of the peers. It returns nil if the settings forbid messages between
// proxies, or if there is no other proxy or the own number among them is not known.
func (r *reader) peers() *Peers {
	count := r.get("peers").Size()
	own := r.integer("settings.ordinal", -1, -1, math.MaxInt32)
	if !r.boolean("settings.limits.peers") || r.stringOr("peer_listen", "") == "" || count < 2 || count > maxPeers {
		return nil
	}
	p := &Peers{Listen: r.requiredAddress("peer_listen"), Own: own}
	for i := range count {
		p.Addresses = append(p.Addresses, r.requiredAddress("peers."+strconv.Itoa(i)))
	}
	if own < 0 {
		p.Own = slices.Index(p.Addresses, p.Listen)
	}
	if p.Own < 0 || p.Own >= count {
		return nil
	}
	return p
}

// ResourceLimits are the shares of the platform's limits for its server, the core and the
// call API.
type ResourceLimits struct {
	MaxCallerConns int // connections from callers
	MaxOpenSetUps  int // concurrent unanswered set-ups
	MaxCalls       int // concurrent calls, including established ones
	// What the call API stores for its clients if it runs beside the platform.
	MaxStoredCalls, MaxStoredBytes int
	SoftMemoryBytes                int64 // soft memory limit of the garbage collector
}

// Maximum memory per item. A connection takes its buffer, its goroutine and the memory
// that the kernel accounts to it; an open set-up takes a message of the maximum length,
// its call and its goroutine; an established call takes only its call and its goroutine.
const (
	bytesPerConn       = 16 << 10
	bytesPerOpenSetUp  = 24 << 10
	bytesPerCall       = 6 << 10
	bytesPerStoredCall = 1 << 10
	maxCalls           = 8192 // upper limit of ResourceLimits.MaxCalls
)

// ResourceLimits derives the limits from the memory and socket limits. Connections, open
// set-ups and calls each get at most a quarter of the memory; the last quarter is for
// everything else, half of it for calls stored by the call API.
func (p *Platform) ResourceLimits() ResourceLimits {
	quarter := p.MemoryMB << 20 / 4
	calls := min(p.Settings.MaxCalls, maxCalls, quarter/bytesPerCall)
	return ResourceLimits{MaxCallerConns: min(p.Sockets/2, quarter/bytesPerConn), MaxCalls: calls, MaxOpenSetUps: min(calls, quarter/bytesPerOpenSetUp),
		MaxStoredCalls: quarter / 2 / bytesPerStoredCall, MaxStoredBytes: quarter / 2, SoftMemoryBytes: int64(p.MemoryMB) << 20 / 4 * 3}
}

// RestartRequiredKey returns the first key that differs in a configuration read later and
// that a running proxy can't apply. It returns "" if there is none.
func (p *Platform) RestartRequiredKey(updated *Platform) string {
	for _, k := range []struct {
		key     string
		changed bool
	}{
		{"limits.sockets", p.Sockets != updated.Sockets},
		{"limits.memory_mb", p.MemoryMB != updated.MemoryMB},
		{"peers", !reflect.DeepEqual(p.Peers, updated.Peers)},
		{"settings", !reflect.DeepEqual(p.Settings, updated.Settings)},
	} {
		if k.changed {
			return k.key
		}
	}
	return ""
}

// Service is the configuration of the hosted service. Without a service file, such as
// deploy/service.json, the service is off.
type Service struct {
	CallListen      string        // address of the call API
	AnswerRetention time.Duration // how long final answers stay available to clients
	MaxStoredCalls  int           // calls stored for clients
	MaxConns        int           // concurrent client connections
	AdminListen     string        // empty: off
	AdminTokenHash  string
	TLSCert         string // paths of the certificate and its key; empty: no TLS
	TLSKey          string
	Inventory       string            // path of the inventory file
	Settings        *Settings         // nil: the platform's settings apply
	Plan            *planner.Settings // nil: off
}

// LoadService reads a service file. Relative paths in it are relative to its directory.
func LoadService(path string, env func(string) string) (*Service, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("service file: %w", err)
	}
	s, err := ParseService(b, env)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	files := []*string{&s.Inventory, &s.TLSCert, &s.TLSKey}
	if s.Plan != nil {
		files = append(files, &s.Plan.File)
	}
	for _, file := range files {
		if *file != "" && !filepath.IsAbs(*file) {
			*file = filepath.Join(filepath.Dir(path), *file)
		}
	}
	return s, nil
}

// Certificate loads the certificate and its key. It returns nil if TLS is off.
func (s *Service) Certificate() (*tls.Certificate, error) {
	if s.TLSCert == "" {
		return nil, nil
	}
	c, err := tls.LoadX509KeyPair(s.TLSCert, s.TLSKey)
	if err != nil {
		return nil, fmt.Errorf("key tls: %w", err)
	}
	return &c, nil
}

// ParseService parses the content of a service file. The administrators' token comes from
// the environment so that no file contains it.
func ParseService(b []byte, env func(string) string) (*Service, error) {
	r, err := newReader(b)
	if err != nil {
		return nil, err
	}
	r.rejectUnknownKeys("", "callapi", "admin", "tls", "inventory", "settings", "plan")
	r.rejectUnknownKeys("plan", "file", "measure", "deadline_s", "gap", "blocking", "tandem_cost", "yard_cost", "every_s", "valid_s", "margin", "confirm", "cool_s", "memory_s", "max_flows")
	r.rejectUnknownKeys("callapi", "listen", "keep_answers_s", "max_kept_calls", "max_connections")
	r.rejectUnknownKeys("admin", "listen", "token_env")
	r.rejectUnknownKeys("tls", "cert", "key")
	s := &Service{
		CallListen:      r.requiredAddress("callapi.listen"),
		AnswerRetention: time.Duration(r.number("callapi.keep_answers_s", 60, 1, 3600) * float64(time.Second)),
		MaxStoredCalls:  r.integer("callapi.max_kept_calls", 20000, 1, 1<<20),
		MaxConns:        r.integer("callapi.max_connections", 256, 1, 1<<16),
		Inventory:       r.requiredString("inventory"),
	}
	if !isMissing(r.get("tls")) {
		s.TLSCert, s.TLSKey = r.requiredString("tls.cert"), r.requiredString("tls.key")
	}
	if !isMissing(r.get("admin")) {
		s.AdminListen = r.requiredAddress("admin.listen")
		name := r.stringOr("admin.token_env", "VIOLETSPAN_ADMIN_TOKEN")
		token := env(name)
		if len(token) < minTokenBytes {
			r.fail("admin.token_env", fmt.Sprintf("the variable %s must contain a token of at least %d bytes", name, minTokenBytes))
		}
		s.AdminTokenHash = tenant.HashToken(token)
	}
	if !isMissing(r.get("settings")) {
		set := r.settings("settings.")
		s.Settings = &set
	}
	if !isMissing(r.get("plan")) {
		s.Plan = r.plan()
	}
	return s, r.err
}

// plan reads the planner's settings. All keys have defaults, but plan.file or
// plan.measure is required.
func (r *reader) plan() *planner.Settings {
	seconds := func(key string, def, minimum, maximum float64) time.Duration {
		return time.Duration(r.number("plan."+key, def, minimum, maximum) * float64(time.Second))
	}
	p := &planner.Settings{
		File: r.stringOr("plan.file", ""), Measure: r.boolean("plan.measure"),
		Deadline: seconds("deadline_s", 20, 0.1, 600),
		Gap:      r.number("plan.gap", 1e-3, 1e-6, 0.1),
		Blocking: r.number("plan.blocking", 0.2, 0.001, 0.9),
		Costs:    plan.Costs{Tandem: r.number("plan.tandem_cost", 0.02, 0, 1e6), Yard: r.number("plan.yard_cost", 0.01, 0, 1e6)},
		Replan: replan.Settings{Interval: seconds("every_s", 60, 1, 86400), Validity: seconds("valid_s", 600, 5, 86400),
			Margin: r.number("plan.margin", 0.01, 1e-6, 10), Confirmations: r.integer("plan.confirm", 2, 1, 100),
			Cooldown: seconds("cool_s", 120, 1, 86400), Memory: seconds("memory_s", 120, 1, 86400), MaxFlows: r.integer("plan.max_flows", 4096, 1, 1<<20)},
	}
	if p.File == "" && !p.Measure {
		r.fail("plan.file", "missing, and plan.measure is not true: there is no source for a plan")
	}
	return p
}

const minTokenBytes = 16

// rejectUnknownKeys records an error for keys of an object that are not in known.
func (r *reader) rejectUnknownKeys(key string, known ...string) {
	v := r.root
	if key != "" {
		if v = r.get(key); isMissing(v) {
			return
		}
	}
	if v.ValueType() != jsoniter.ObjectValue {
		r.fail(cmp.Or(key, "(top)"), "must be an object")
		return
	}
	for _, k := range v.Keys() {
		if !slices.Contains(known, k) {
			r.fail(strings.TrimPrefix(key+"."+k, "."), "unknown key")
		}
	}
}

// reader looks up values by dotted keys and stores the first error.
type reader struct {
	root jsoniter.Any
	err  error
}

func newReader(b []byte) (*reader, error) {
	if !jsoniter.Valid(b) {
		return nil, errors.New("not valid JSON")
	}
	return &reader{root: jsoniter.Get(b)}, nil
}

func (r *reader) fail(key, reason string) {
	if r.err == nil {
		r.err = fmt.Errorf("key %s: %s", key, reason)
	}
}

func (r *reader) get(key string) jsoniter.Any {
	var path []any
	for part := range strings.SplitSeq(key, ".") {
		if n, err := strconv.Atoi(part); err == nil {
			path = append(path, n)
		} else {
			path = append(path, part)
		}
	}
	return r.root.Get(path...)
}

// isMissing reports whether a key is absent or null.
func isMissing(v jsoniter.Any) bool {
	return v.ValueType() == jsoniter.InvalidValue || v.ValueType() == jsoniter.NilValue
}

func (r *reader) stringOr(key, def string) string {
	v := r.get(key)
	switch {
	case isMissing(v):
		return def
	case v.ValueType() != jsoniter.StringValue:
		r.fail(key, "must be a string")
	}
	return v.ToString()
}

// requiredString returns a string that has no default and must not be empty.
func (r *reader) requiredString(key string) string {
	v := r.stringOr(key, "")
	if v == "" {
		r.fail(key, "missing")
	}
	return v
}

func (r *reader) requiredAddress(key string) string {
	v := r.requiredString(key)
	if _, _, err := net.SplitHostPort(v); err != nil {
		r.fail(key, fmt.Sprintf("%q is not an address with a port", v))
	}
	return v
}

func (r *reader) number(key string, def, minimum, maximum float64) float64 {
	v := r.get(key)
	if isMissing(v) {
		return def
	}
	if v.ValueType() != jsoniter.NumberValue {
		r.fail(key, "must be a number")
		return def
	}
	x := v.ToFloat64()
	if math.IsNaN(x) || x < minimum || x > maximum {
		r.fail(key, fmt.Sprintf("%v is out of range: %v to %v", x, minimum, maximum))
	}
	return x
}

func (r *reader) integer(key string, def, minimum, maximum int) int {
	x := r.number(key, float64(def), float64(minimum), float64(maximum))
	if x != math.Trunc(x) {
		r.fail(key, fmt.Sprintf("%v is not an integer", x))
	}
	return int(x)
}

const maxDurationMs = 30 * 24 * 3600 * 1000

func (r *reader) milliseconds(key string, def float64) time.Duration {
	return time.Duration(r.number(key, def, 0, maxDurationMs) * float64(time.Millisecond))
}

func (r *reader) boolean(key string) bool {
	v := r.get(key)
	if isMissing(v) {
		return false
	}
	if v.ValueType() != jsoniter.BoolValue {
		r.fail(key, "must be true or false")
	}
	return v.ToBool()
}

// settings reads the controller's settings and ignores keys that this program doesn't use.
func (r *reader) settings(prefix string) Settings {
	const maxInt = math.MaxInt32
	s := Settings{
		Routing: routing.Settings{
			OwnExchange:    r.integer(prefix+"extra.here", -1, -1, maxInt),
			FleetSize:      r.integer(prefix+"fleetSize", 1, 1, maxInt),
			PoolMode:       r.stringOr(prefix+"extra.topology", "meshed") == "groups",
			MaxAttempts:    r.integer(prefix+"limits.mostTries", 1, 1, maxInt),
			ReleaseDelay:   r.milliseconds(prefix+"extra.releaseMs", 500),
			ResendInterval: r.milliseconds(prefix+"extra.resendMs", 0),
			WarmUpTime:     r.milliseconds(prefix+"rules.rampTimeMs", 0),
			ColdCapacity:   r.number(prefix+"rules.coldShare", 0, 0, 1),
			OverloadFactor: r.number(prefix+"rules.fallMultiple", 1, 0, maxInt),
			OverloadWindow: r.milliseconds(prefix+"rules.overloadForMs", 0),
			AnswerSlack:    r.milliseconds(prefix+"rules.answerSlackMs", 0),
			CancelAllowed:  r.boolean(prefix + "limits.cancel"),
			RedialsMarked:  r.boolean(prefix + "clients.marksRetry"),
		},
		Classes:     map[string]int{},
		DialTimeout: r.milliseconds(prefix+"limits.dialTimeoutMs", 500),
		MaxCalls:    r.integer(prefix+"limits.openCap", 8192, 1, maxInt),
	}
	s.HasWidths = !isMissing(r.get(prefix + "extra.widths"))
	for i := range r.get(prefix + "realms").Size() {
		if s.Tenants == nil {
			s.Tenants = map[string]bool{}
		}
		s.Tenants[r.requiredString(prefix+"realms."+strconv.Itoa(i)+".name")] = true
	}
	n := r.get(prefix + "classes").Size()
	if n < 1 || n > maxClasses {
		r.fail(prefix+"classes", "must be a list of at least one class")
		n = 0
	}
	for i := range n {
		key := prefix + "classes." + strconv.Itoa(i) + "."
		class := routing.Class{
			GoalTime: r.milliseconds(key+"goalTimeMs", 0), Deadline: r.milliseconds(key+"deadlineMs", 0), Worth: r.number(key+"worth", 1, 0, maxInt),
			Width: r.integer(prefix+"extra.widths."+strconv.Itoa(i), 1, 1, maxInt),
			Hold:  r.milliseconds(prefix+"extra.classHoldMs."+strconv.Itoa(i), 0),
		}
		pools := prefix + "extra.skilledPools." + strconv.Itoa(i)
		for j := range r.get(pools).Size() {
			class.Pools = append(class.Pools, r.integer(pools+"."+strconv.Itoa(j), 0, 0, maxInt))
		}
		if class.GoalTime <= 0 {
			r.fail(key+"goalTimeMs", "must be above 0")
		}
		if class.Deadline <= 0 {
			r.fail(key+"deadlineMs", "must be above 0")
		}
		name := r.stringOr(key+"name", "")
		if _, duplicate := s.Classes[name]; duplicate || name == "" {
			r.fail(key+"name", fmt.Sprintf("%q is empty or a duplicate", name))
		}
		s.Classes[name] = i
		s.Routing.Classes = append(s.Routing.Classes, class)
	}
	return s
}
