// Package config is the one place where the program's configuration is read,
// checked and given defaults. Every error names the key at fault.
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

// Platform is what the platform tells a signalling proxy at its start.
type Platform struct {
	Name     string
	Listen   string
	Seed     uint64
	Sockets  int
	MemoryMB int
	Channel  string // address of the command channel
	Known    []byte // its events up to the start, in the channel's own form
	Settings Settings
}

// Settings are the module's settings and what the fronts need of them.
type Settings struct {
	Brain       routing.Settings
	Classes     map[string]int  // places in Brain.Classes
	Widths      bool            // each class says how many circuits its calls take
	Tenants     map[string]bool // nil: none are listed
	DialTimeout time.Duration
	OpenCap     int
}

// Silence is how long a switch that has a set-up may say nothing at all: half of
// the shortest goal time, as the module's mark for delays.
func (s *Settings) Silence() time.Duration {
	least := s.Brain.Classes[0].GoalTime
	for _, k := range s.Brain.Classes {
		least = min(least, k.GoalTime)
	}
	return least / 2
}

// Limits that a configuration can't go beyond.
const (
	maxClasses = 1000
	minSockets = 64
	maxFile    = 8 << 20
)

// FromEnv reads the configuration that ROUTER_CONFIG names. ROUTER_NAME and
// ROUTER_LISTEN, where they are set, must agree with it.
func FromEnv(env func(string) string) (*Platform, error) {
	path := env("ROUTER_CONFIG")
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG: not set")
	}
	st, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("ROUTER_CONFIG: %w", err)
	}
	if st.Size() > maxFile {
		return nil, fmt.Errorf("ROUTER_CONFIG: %d bytes, more than %d", st.Size(), maxFile)
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

// Parse reads a platform configuration.
func Parse(b []byte) (*Platform, error) {
	r, err := open(b)
	if err != nil {
		return nil, err
	}
	p := &Platform{
		Name:     r.text("name", ""),
		Listen:   r.address("listen"),
		Channel:  r.address("channel"),
		Sockets:  r.whole("limits.sockets", 1024, minSockets, 1<<24),
		MemoryMB: r.whole("limits.memory_mb", 192, 16, 1<<24),
		Settings: r.settings("settings."),
	}
	if seed := r.text("seed", "0"); r.err == nil {
		if p.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
			r.fail("seed", fmt.Sprintf("%q is not a hexadecimal number", seed))
		}
	}
	known := r.at("known")
	if known.ValueType() != jsoniter.ObjectValue {
		r.fail("known", "an object is wanted")
	} else {
		p.Known = []byte(known.ToString())
	}
	return p, r.err
}

// Bounds are the parts of a platform's limits that its front and core may use.
type Bounds struct {
	Conns int // connections from callers
	Open  int // set-ups open at once
	Calls int // calls at once, those that stand included
	// What the call API keeps for its clients, where it serves beside the platform.
	Kept, KeptBytes int
	Soft            int64 // bytes of memory from which on garbage is collected at once
}

// Shares of the limits, and what one thing of a kind takes of the memory at most:
// a connection its buffer, goroutine and what the kernel counts; an open set-up a
// message of the longest kind, its call and its goroutine; a standing call the
// latter two alone.
const (
	connBytes = 16 << 10
	openBytes = 24 << 10
	callBytes = 6 << 10
	keptBytes = 1 << 10
	mostCalls = 8192
)

// Bounds works the bounds out. A quarter of the memory is for each of the three
// kinds, at most; the rest is for all else, half of it for what the call API keeps.
func (p *Platform) Bounds() Bounds {
	quarter := p.MemoryMB << 20 / 4
	calls := min(p.Settings.OpenCap, mostCalls, quarter/callBytes)
	return Bounds{Conns: min(p.Sockets/2, quarter/connBytes), Calls: calls, Open: min(calls, quarter/openBytes),
		Kept: quarter / 2 / keptBytes, KeptBytes: quarter / 2, Soft: int64(p.MemoryMB) << 20 / 4 * 3}
}

// Fixed names the first key in which a configuration read later differs and
// which a running proxy can't take over, or is empty.
func (p *Platform) Fixed(later *Platform) string {
	for _, k := range []struct {
		key    string
		differ bool
	}{
		{"limits.sockets", p.Sockets != later.Sockets},
		{"limits.memory_mb", p.MemoryMB != later.MemoryMB},
		{"settings", !reflect.DeepEqual(p.Settings, later.Settings)},
	} {
		if k.differ {
			return k.key
		}
	}
	return ""
}

// Service is where the hosted service listens and what it serves. Its file
// stands under deploy/; without one the service is off.
type Service struct {
	CallListen     string
	KeepAnswers    time.Duration
	MaxKept        int
	MaxConns       int
	AdminListen    string // empty: off
	AdminTokenHash string
	TLSCert        string // paths of the certificate and its key; empty: no TLS
	TLSKey         string
	Inventory      string            // path of the inventory
	Settings       *Settings         // nil: the platform's are used
	Plan           *planner.Settings // nil: off
}

// LoadService reads a service file. Paths in it are relative to its own place.
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

// Certificate reads the certificate, nil if TLS is off.
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

// ParseService reads the text of a service file. The token of administrators
// comes from the environment, so that no file holds it.
func ParseService(b []byte, env func(string) string) (*Service, error) {
	r, err := open(b)
	if err != nil {
		return nil, err
	}
	r.only("", "callapi", "admin", "tls", "inventory", "settings", "plan")
	r.only("plan", "file", "measure", "deadline_s", "gap", "blocking", "tandem_cost", "yard_cost", "every_s", "valid_s", "margin", "confirm", "cool_s", "memory_s", "max_flows")
	r.only("callapi", "listen", "keep_answers_s", "max_kept_calls", "max_connections")
	r.only("admin", "listen", "token_env")
	r.only("tls", "cert", "key")
	s := &Service{
		CallListen:  r.address("callapi.listen"),
		KeepAnswers: time.Duration(r.num("callapi.keep_answers_s", 60, 1, 3600) * float64(time.Second)),
		MaxKept:     r.whole("callapi.max_kept_calls", 20000, 1, 1<<20),
		MaxConns:    r.whole("callapi.max_connections", 256, 1, 1<<16),
		Inventory:   r.wanted("inventory"),
	}
	if !missing(r.at("tls")) {
		s.TLSCert, s.TLSKey = r.wanted("tls.cert"), r.wanted("tls.key")
	}
	if !missing(r.at("admin")) {
		s.AdminListen = r.address("admin.listen")
		name := r.text("admin.token_env", "VIOLETSPAN_ADMIN_TOKEN")
		token := env(name)
		if len(token) < minToken {
			r.fail("admin.token_env", fmt.Sprintf("the variable %s holds no token of %d bytes or more", name, minToken))
		}
		s.AdminTokenHash = tenant.HashToken(token)
	}
	if !missing(r.at("settings")) {
		set := r.settings("settings.")
		s.Settings = &set
	}
	if !missing(r.at("plan")) {
		s.Plan = r.plan()
	}
	return s, r.err
}

// plan reads how plans are kept in force; all keys have defaults, but a file or
// measuring is wanted.
func (r *reader) plan() *planner.Settings {
	sec := func(key string, def, least, most float64) time.Duration {
		return time.Duration(r.num("plan."+key, def, least, most) * float64(time.Second))
	}
	p := &planner.Settings{
		File: r.text("plan.file", ""), Measure: r.yes("plan.measure"),
		Deadline: sec("deadline_s", 20, 0.1, 600),
		Gap:      r.num("plan.gap", 1e-3, 1e-6, 0.1),
		Blocking: r.num("plan.blocking", 0.2, 0.001, 0.9),
		Costs:    plan.Costs{Tandem: r.num("plan.tandem_cost", 0.02, 0, 1e6), Yard: r.num("plan.yard_cost", 0.01, 0, 1e6)},
		Replan: replan.Settings{Interval: sec("every_s", 60, 1, 86400), Validity: sec("valid_s", 600, 5, 86400),
			Margin: r.num("plan.margin", 0.01, 1e-6, 10), Confirmations: r.whole("plan.confirm", 2, 1, 100),
			Cooldown: sec("cool_s", 120, 1, 86400), Memory: sec("memory_s", 120, 1, 86400), MaxFlows: r.whole("plan.max_flows", 4096, 1, 1<<20)},
	}
	if p.File == "" && !p.Measure {
		r.fail("plan.file", "missing, and plan.measure is not true: there would be no plan")
	}
	return p
}

const minToken = 16

// only fails on keys of an object that are not known.
func (r *reader) only(key string, known ...string) {
	v := r.root
	if key != "" {
		if v = r.at(key); missing(v) {
			return
		}
	}
	if v.ValueType() != jsoniter.ObjectValue {
		r.fail(cmp.Or(key, "(top)"), "an object is wanted")
		return
	}
	for _, k := range v.Keys() {
		if !slices.Contains(known, k) {
			r.fail(strings.TrimPrefix(key+"."+k, "."), "not known")
		}
	}
}

// reader looks values up by their dotted keys and keeps the first error.
type reader struct {
	root jsoniter.Any
	err  error
}

func open(b []byte) (*reader, error) {
	if !jsoniter.Valid(b) {
		return nil, errors.New("not valid JSON")
	}
	return &reader{root: jsoniter.Get(b)}, nil
}

func (r *reader) fail(key, why string) {
	if r.err == nil {
		r.err = fmt.Errorf("key %s: %s", key, why)
	}
}

func (r *reader) at(key string) jsoniter.Any {
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

// missing says whether a key has no value.
func missing(v jsoniter.Any) bool {
	return v.ValueType() == jsoniter.InvalidValue || v.ValueType() == jsoniter.NilValue
}

func (r *reader) text(key, def string) string {
	v := r.at(key)
	switch {
	case missing(v):
		return def
	case v.ValueType() != jsoniter.StringValue:
		r.fail(key, "a text is wanted")
	}
	return v.ToString()
}

// wanted is a text that has no default.
func (r *reader) wanted(key string) string {
	v := r.text(key, "")
	if v == "" {
		r.fail(key, "missing")
	}
	return v
}

func (r *reader) address(key string) string {
	v := r.wanted(key)
	if _, _, err := net.SplitHostPort(v); err != nil {
		r.fail(key, fmt.Sprintf("%q is not an address with a port", v))
	}
	return v
}

func (r *reader) num(key string, def, least, most float64) float64 {
	v := r.at(key)
	if missing(v) {
		return def
	}
	if v.ValueType() != jsoniter.NumberValue {
		r.fail(key, "a number is wanted")
		return def
	}
	x := v.ToFloat64()
	if math.IsNaN(x) || x < least || x > most {
		r.fail(key, fmt.Sprintf("%v is not from %v to %v", x, least, most))
	}
	return x
}

func (r *reader) whole(key string, def, least, most int) int {
	x := r.num(key, float64(def), float64(least), float64(most))
	if x != math.Trunc(x) {
		r.fail(key, fmt.Sprintf("%v is not a whole number", x))
	}
	return int(x)
}

const longestMs = 30 * 24 * 3600 * 1000

func (r *reader) ms(key string, def float64) time.Duration {
	return time.Duration(r.num(key, def, 0, longestMs) * float64(time.Millisecond))
}

func (r *reader) yes(key string) bool {
	v := r.at(key)
	if missing(v) {
		return false
	}
	if v.ValueType() != jsoniter.BoolValue {
		r.fail(key, "true or false is wanted")
	}
	return v.ToBool()
}

// settings reads the module's settings; keys that nothing here needs are skipped.
func (r *reader) settings(at string) Settings {
	const most = math.MaxInt32
	s := Settings{
		Brain: routing.Settings{
			OwnExchange:    r.whole(at+"extra.here", -1, -1, most),
			FleetSize:      r.whole(at+"fleetSize", 1, 1, most),
			PoolMode:       r.text(at+"extra.topology", "meshed") == "groups",
			MaxAttempts:    r.whole(at+"limits.mostTries", 1, 1, most),
			ReleaseDelay:   r.ms(at+"extra.releaseMs", 500),
			ResendInterval: r.ms(at+"extra.resendMs", 0),
			WarmUpTime:     r.ms(at+"rules.rampTimeMs", 0),
			ColdCapacity:   r.num(at+"rules.coldShare", 0, 0, 1),
			OverloadFactor: r.num(at+"rules.fallMultiple", 1, 0, most),
			OverloadWindow: r.ms(at+"rules.overloadForMs", 0),
			AnswerSlack:    r.ms(at+"rules.answerSlackMs", 0),
			CancelAllowed:  r.yes(at + "limits.cancel"),
			RedialsMarked:  r.yes(at + "clients.marksRetry"),
		},
		Classes:     map[string]int{},
		DialTimeout: r.ms(at+"limits.dialTimeoutMs", 500),
		OpenCap:     r.whole(at+"limits.openCap", 8192, 1, most),
	}
	s.Widths = !missing(r.at(at + "extra.widths"))
	for i := range r.at(at + "realms").Size() {
		if s.Tenants == nil {
			s.Tenants = map[string]bool{}
		}
		s.Tenants[r.wanted(at+"realms."+strconv.Itoa(i)+".name")] = true
	}
	n := r.at(at + "classes").Size()
	if n < 1 || n > maxClasses {
		r.fail(at+"classes", "a list of one class or more is wanted")
		n = 0
	}
	for i := range n {
		key := at + "classes." + strconv.Itoa(i) + "."
		k := routing.Class{
			GoalTime: r.ms(key+"goalTimeMs", 0), Deadline: r.ms(key+"deadlineMs", 0), Worth: r.num(key+"worth", 1, 0, most),
			Width: r.whole(at+"extra.widths."+strconv.Itoa(i), 1, 1, most),
			Hold:  r.ms(at+"extra.classHoldMs."+strconv.Itoa(i), 0),
		}
		pools := at + "extra.skilledPools." + strconv.Itoa(i)
		for j := range r.at(pools).Size() {
			k.Pools = append(k.Pools, r.whole(pools+"."+strconv.Itoa(j), 0, 0, most))
		}
		if k.GoalTime <= 0 {
			r.fail(key+"goalTimeMs", "a time above 0 is wanted")
		}
		if k.Deadline <= 0 {
			r.fail(key+"deadlineMs", "a time above 0 is wanted")
		}
		name := r.text(key+"name", "")
		if _, twice := s.Classes[name]; twice || name == "" {
			r.fail(key+"name", fmt.Sprintf("%q is empty or stands twice", name))
		}
		s.Classes[name] = i
		s.Brain.Classes = append(s.Brain.Classes, k)
	}
	return s
}
