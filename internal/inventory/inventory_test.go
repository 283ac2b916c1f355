package inventory

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"violetspan.example/violetspan/decide/plan"
	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/tenant"
	"violetspan.example/violetspan/routing"
)

var hash, hash2 = strings.Repeat("ab", 32), strings.Repeat("cd", 32)

const yamlText = `all:
  children:
    switches:
      vars: {status: up}
      hosts:
        lot-a: {address: "127.0.0.1:5070", exchange: 0}
        lot-b:
          address: ws://127.0.0.1:9102/x
          exchange: 1
          status: draining
    tenants:
      hosts:
        acme: {token_sha256: HASH, max_calls: 5, calls_per_second: 2.5}
        other: {token_sha256: HASH2, status: disabled}
`

const csvText = `# switches and tenants
kind,name,address,exchange,status,token_sha256,max_calls,calls_per_second
switch,lot-a,127.0.0.1:5070,0,,,,
switch,lot-b,ws://127.0.0.1:9102/x,1,draining,,,
tenant,acme,,,,HASH,5,2.5
tenant,other,,,disabled,HASH2,,
`

func fill(s string) string {
	return strings.ReplaceAll(strings.ReplaceAll(s, "HASH2", hash2), "HASH", hash)
}

func TestBothFormsReadAlike(t *testing.T) {
	want := &Inventory{
		Switches: []core.Switch{{ID: "lot-a", Addr: "127.0.0.1:5070"},
			{ID: "lot-b", Addr: "ws://127.0.0.1:9102/x", Exchange: 1, State: routing.Draining}},
		Tenants: []tenant.Spec{{ID: "acme", TokenSHA256: hash, MaxCalls: 5, CallsPerSecond: 2.5},
			{ID: "other", TokenSHA256: hash2, Disabled: true}},
		Plan: plan.Problem{Switches: []plan.Switch{{ID: "lot-a"}, {ID: "lot-b", Phase: plan.Draining}}, Tenants: []plan.Tenant{{ID: "acme", Share: 1}, {ID: "other", Share: 1}}}}
	for name, text := range map[string]string{"a.yaml": yamlText, "a.yml": yamlText, "a.csv": csvText, "b.csv": "\ufeff" + csvText} {
		got, err := Parse(name, []byte(fill(text)))
		if diff := cmp.Diff(want, got); err != nil || diff != "" {
			t.Errorf("%s: %v (-want +got)\n%s", name, err, diff)
		}
	}
}

// Each error names the file, the line and the key.
func TestErrorsNameFileLineAndKey(t *testing.T) {
	for _, c := range []struct{ name, text, from, to, want string }{
		{"a.yaml", yamlText, "exchange: 1\n", "exchange: one\n", "a.yaml:9: key exchange:"},
		{"a.yaml", yamlText, "exchange: 1\n", "exchange: 0\n          colour: red\n", "a.yaml:10: key colour: not known for a switch"},
		{"a.yaml", yamlText, "          status: draining", "          status: up", ""},
		{"a.yaml", yamlText, "exchange: 1\n          status: draining", "exchange: 0", "a.yaml:9: key exchange: 0 is switch"},
		{"a.yaml", yamlText, "status: draining", "status: tired", "a.yaml:10: key status:"},
		{"a.yaml", yamlText, "ws://127.0.0.1:9102/x", "http://127.0.0.1:9102/x", "a.yaml:8: key address:"},
		{"a.yaml", yamlText, "ws://127.0.0.1:9102/x", "[a, b]", "a.yaml:8: key address: one value"},
		{"a.yaml", yamlText, "    tenants:", "    renters:", "a.yaml:11: key renters:"},
		{"a.yaml", yamlText, "        lot-b:", "        lot-a:", "a.yaml:7: key lot-a:"},
		{"a.yaml", yamlText, "max_calls: 5", "max_calls: -5", "a.yaml:13: key max_calls:"},
		{"a.yaml", yamlText, "max_calls: 5", "max_call: 5", "a.yaml:13: key max_call: not known"},
		{"a.yaml", yamlText, "HASH2", "HASH", "a.yaml:14: key token_sha256: tenant \"acme\""},
		{"a.yaml", yamlText, "HASH2", "secret", "a.yaml:14: key token_sha256: 64"},
		{"a.yaml", yamlText, "acme:", "Acme!:", "a.yaml:13: key name:"},
		{"a.yaml", yamlText, "all:", "hosts: {}\nall:", "a.yaml:1: key hosts:"},
		{"a.yaml", yamlText, "all:", "all: [", "a.yaml: yaml: line"},
		{"a.yaml", "", "", "", "a.yaml:1: key all: missing"},
		{"a.csv", csvText, "switch,lot-b", "router,lot-b", "a.csv:4: key kind:"},
		{"a.csv", csvText, "tenant,other", "tenant,acme", "a.csv:6: key name:"},
		{"a.csv", csvText, "5,2.5", "5,fast", "a.csv:5: key calls_per_second:"},
		{"a.csv", csvText, "127.0.0.1:5070,0", "127.0.0.1,0", "a.csv:3: key address:"},
		{"a.csv", csvText, "disabled,HASH2,,", "disabled,HASH2,", "a.csv:6: key row:"},
		{"a.csv", csvText, "kind,name,address", "kind,name,adress", "a.csv:2: key adress:"},
		{"a.csv", csvText, "kind,name,address", "kind,address,name", "a.csv:3: key address:"},
		{"a.csv", "", "", "", "a.csv:1: key kind:"},
		{"a.ini", csvText, "", "", "a.ini: a name that ends in"},
	} {
		_, err := Parse(c.name, []byte(fill(strings.Replace(c.text, c.from, c.to, 1))))
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.HasPrefix(err.Error(), c.want)) {
			t.Errorf("%s with %q: got %v, want %q", c.name, c.to, err, c.want)
		}
	}
}
