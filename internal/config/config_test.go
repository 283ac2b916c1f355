package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"violetspan.example/violetspan/decide/plan"
	"violetspan.example/violetspan/decide/replan"
	"violetspan.example/violetspan/internal/planner"
	"violetspan.example/violetspan/internal/tenant"
	"violetspan.example/violetspan/routing"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:5070","seed":"8c1f30d27a5be964","limits":{"sockets":4096,"memory_mb":192},
"channel":"127.0.0.1:2379","known":{"cursor":3,"cmds":[]},"peers":["127.0.0.1:1"],
"settings":{"fleetSize":4,"realms":[{"name":"main-lot","share":0.51}],"classes":[{"name":"space-check","goalTimeMs":2000.0,"deadlineMs":9000,"worth":1}],
"extra":{"here":2,"releaseMs":500,"resendMs":800,"widths":[4],"classHoldMs":[11400.5],"topology":"meshed"},
"limits":{"mostTries":5,"cancel":true,"dialTimeoutMs":450,"openCap":20000},
"rules":{"coldShare":0.29,"rampTimeMs":15000,"fallMultiple":4,"overloadForMs":2000,"answerSlackMs":20}}}`

func TestParse(t *testing.T) {
	got, err := Parse([]byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	want := &Platform{Name: "n3", Listen: "127.0.0.1:5070", Seed: 0x8c1f30d27a5be964, Sockets: 4096, MemoryMB: 192,
		ChannelAddr: "127.0.0.1:2379", KnownEvents: []byte(`{"cursor":3,"cmds":[]}`),
		Settings: Settings{Classes: map[string]int{"space-check": 0}, HasWidths: true, Tenants: map[string]bool{"main-lot": true}, DialTimeout: 450 * time.Millisecond, MaxCalls: 20000,
			Routing: routing.Settings{OwnExchange: 2, FleetSize: 4, MaxAttempts: 5, ReleaseDelay: 500 * time.Millisecond,
				ResendInterval: 800 * time.Millisecond, WarmUpTime: 15 * time.Second, ColdCapacity: 0.29, OverloadFactor: 4,
				OverloadWindow: 2 * time.Second, AnswerSlack: 20 * time.Millisecond, CancelAllowed: true,
				Classes: []routing.Class{{GoalTime: 2 * time.Second, Deadline: 9 * time.Second, Worth: 1, Width: 4,
					Hold: 11400500 * time.Microsecond}}}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

// Guards against calls that are cut at a planned restart although there are peers, and against
// datagrams where the settings forbid them.
func TestPeers(t *testing.T) {
	const two = `"peer_listen":"127.0.0.4:7946","peers":["127.0.3.1:7946","127.0.0.4:7946"]`
	configOf := func(peers, settings string) []byte {
		c := strings.Replace(validConfig, `"peers":["127.0.0.1:1"]`, peers, 1)
		return []byte(strings.Replace(c, `"settings":{`, `"settings":{`+settings, 1))
	}
	allowed := func(ordinal string) string { return `"limits":{"peers":true,"mostTries":5},` + ordinal }
	addresses := []string{"127.0.3.1:7946", "127.0.0.4:7946"}
	for name, c := range map[string]struct {
		config []byte
		want   *Peers
	}{
		"by number":                    {configOf(two, allowed(`"ordinal":0,`)), &Peers{"127.0.0.4:7946", addresses, 0}},
		"without a number, by address": {configOf(two, allowed("")), &Peers{"127.0.0.4:7946", addresses, 1}},
		"number out of range":          {configOf(two, allowed(`"ordinal":2,`)), nil},
		"not allowed":                  {configOf(two, ""), nil},
		"no other proxy":               {configOf(`"peer_listen":"127.0.0.4:7946","peers":["127.0.0.4:7946"]`, allowed("")), nil},
	} {
		got, err := Parse(c.config)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if diff := cmp.Diff(c.want, got.Peers); diff != "" {
			t.Errorf("%s (-want +got):\n%s", name, diff)
		}
	}
	if _, err := Parse(configOf(`"peer_listen":"127.0.0.4:7946","peers":["127.0.0.1:1","x"]`, allowed(""))); err == nil || !strings.HasPrefix(err.Error(), "key peers.1:") {
		t.Errorf("a bad address: %v", err)
	}
}

func TestFromEnv(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ config, name, listen, want string }{
		{file, "n3", "127.0.0.1:5070", ""},
		{file, "", "", ""},
		{"", "n3", "", "ROUTER_CONFIG: not set"},
		{file + "x", "n3", "", "ROUTER_CONFIG: "},
		{file, "n4", "", "ROUTER_NAME: \"n4\""},
		{file, "n3", "127.0.0.1:1", "ROUTER_LISTEN: \"127.0.0.1:1\""},
	} {
		env := map[string]string{"ROUTER_CONFIG": c.config, "ROUTER_NAME": c.name, "ROUTER_LISTEN": c.listen}
		p, err := FromEnv(func(name string) string { return env[name] })
		if c.want == "" && (err != nil || p.Name != "n3") || c.want != "" && (err == nil || !strings.HasPrefix(err.Error(), c.want)) {
			t.Errorf("%+v: got %v, %v", c, p, err)
		}
	}
}

// Every error must name the faulty key.
func TestParseNamesTheKey(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`"listen":"127.0.0.1:5070"`, `"listen":"nowhere"`, "key listen:"},
		{`"channel":"127.0.0.1:2379",`, ``, "key channel: missing"},
		{`"seed":"8c1f30d27a5be964"`, `"seed":"green"`, "key seed:"},
		{`"seed":"8c1f30d27a5be964"`, `"seed":12`, "key seed: must be a string"},
		{`"sockets":4096`, `"sockets":"many"`, "key limits.sockets: must be a number"},
		{`"sockets":4096`, `"sockets":3`, "key limits.sockets: 3 is out of range"},
		{`"known":{"cursor":3,"cmds":[]}`, `"known":7`, "key known:"},
		{`"fleetSize":4`, `"fleetSize":2.5`, "key settings.fleetSize: 2.5 is not an integer"},
		{`"goalTimeMs":2000.0`, `"goalTimeMs":0`, "key settings.classes.0.goalTimeMs:"},
		{`"deadlineMs":9000,`, ``, "key settings.classes.0.deadlineMs:"},
		{`"name":"space-check",`, ``, "key settings.classes.0.name:"},
		{`"widths":[4]`, `"widths":["x"]`, "key settings.extra.widths.0:"},
		{`"cancel":true`, `"cancel":"yes"`, "key settings.limits.cancel:"},
		{`"coldShare":0.29`, `"coldShare":29`, "key settings.rules.coldShare:"},
		{`"name":"main-lot"`, `"name":""`, "key settings.realms.0.name: missing"},
		{`"classes":[`, `"clashes":[`, "key settings.classes:"},
		{`{"name":"n3"`, `{"name":"n3`, "not valid JSON"},
	} {
		text := strings.Replace(validConfig, c.from, c.to, 1)
		if text == validConfig {
			t.Errorf("%s does not occur in the configuration", c.from)
		}
		if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q in it", c.to, err, c.want)
		}
	}
}

const validService = `{"callapi":{"listen":"127.0.0.1:0"},"admin":{"listen":"127.0.0.1:0"},"inventory":"inv.csv"}`

func TestParseService(t *testing.T) {
	env := func(name string) string {
		return map[string]string{"VIOLETSPAN_ADMIN_TOKEN": "0123456789abcdef", "SHORT": "short"}[name]
	}
	got, err := ParseService([]byte(validService), env)
	want := &Service{CallListen: "127.0.0.1:0", AnswerRetention: time.Minute, MaxStoredCalls: 20000, MaxConns: 256,
		AdminListen: "127.0.0.1:0", AdminTokenHash: tenant.HashToken("0123456789abcdef"), Inventory: "inv.csv"}
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Errorf("%v (-want +got)\n%s", err, diff)
	}
	for _, c := range []struct{ from, to, want string }{
		{`"callapi":{"listen":"127.0.0.1:0"}`, `"callapi":{}`, "key callapi.listen: missing"},
		{`"callapi":{`, `"callapi":{"colour":"red",`, "key callapi.colour: unknown key"},
		{`{"callapi"`, `{"colour":true,"callapi"`, "key colour: unknown key"},
		{`{"callapi"`, `{"tls":{"cert":"a.pem"},"callapi"`, "key tls.key: missing"},
		{`"admin":{`, `"admin":{"token_env":"SHORT",`, "key admin.token_env: the variable SHORT"},
		{`"inv.csv"`, `""`, "key inventory: missing"},
		{`"callapi":{`, `"callapi":{"keep_answers_s":0,`, "key callapi.keep_answers_s:"},
		{`{"callapi"`, `{"plan":{},"callapi"`, "key plan.file: missing"},
		{`{"callapi"`, `{"plan":{"measure":true,"every":1},"callapi"`, "key plan.every: unknown key"},
		{`{"callapi"`, `{"plan":{"measure":true,"margin":0},"callapi"`, "key plan.margin:"},
		{`{"callapi"`, `{"plan":{"measure":true,"blocking":1},"callapi"`, "key plan.blocking:"},
		{`{"callapi"`, `{"plan":{"measure":"yes"},"callapi"`, "key plan.measure:"},
	} {
		if _, err := ParseService([]byte(strings.Replace(validService, c.from, c.to, 1)), env); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q in it", c.to, err, c.want)
		}
	}
}

// Plan settings have defaults, and a relative plan file is relative to the service file.
func TestPlanSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "service.json")
	text := `{"callapi":{"listen":"127.0.0.1:0"},"inventory":"inv.csv","plan":{"file":"plan.json","every_s":30}}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := LoadService(path, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	want := &planner.Settings{File: filepath.Join(filepath.Dir(path), "plan.json"), Deadline: 20 * time.Second, Gap: 1e-3, Blocking: 0.2,
		Costs: plan.Costs{Tandem: 0.02, Yard: 0.01}, Replan: replan.Settings{Interval: 30 * time.Second, Validity: 10 * time.Minute, Margin: 0.01,
			Confirmations: 2, Cooldown: 2 * time.Minute, Memory: 2 * time.Minute, MaxFlows: 4096}}
	if diff := cmp.Diff(want, s.Plan); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

// The service file under deploy/ must load and name the inventory beside it.
func TestDeployedServiceFile(t *testing.T) {
	s, err := LoadService("../../deploy/service.json", func(string) string { return "0123456789abcdef" })
	if err != nil {
		t.Fatal(err)
	}
	if s.Inventory != "../../deploy/inventory.yaml" || s.Settings == nil || len(s.Settings.Routing.Classes) != 2 {
		t.Errorf("got %+v", s)
	}
}

// Guards against limits that exceed a small machine: connections, open set-ups and calls
// may each take at most a quarter of the memory, and connections half of the descriptors.
func TestResourceLimits(t *testing.T) {
	for _, c := range []struct {
		memory, sockets int
		want            ResourceLimits
	}{
		{32, 256, ResourceLimits{MaxCallerConns: 128, MaxOpenSetUps: 341, MaxCalls: 1365, MaxStoredCalls: 4096, MaxStoredBytes: 4 << 20, SoftMemoryBytes: 24 << 20}},
		{192, 1024, ResourceLimits{MaxCallerConns: 512, MaxOpenSetUps: 2048, MaxCalls: 8192, MaxStoredCalls: 24576, MaxStoredBytes: 24 << 20, SoftMemoryBytes: 144 << 20}},
	} {
		p := Platform{MemoryMB: c.memory, Sockets: c.sockets, Settings: Settings{MaxCalls: 20000}}
		if diff := cmp.Diff(c.want, p.ResourceLimits()); diff != "" {
			t.Errorf("%d MB, %d descriptors (-want +got):\n%s", c.memory, c.sockets, diff)
		}
	}
}
