package inventory

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"violetspan.example/violetspan/decide/plan"
)

// row is one generated entry, for CSV and YAML.
type row struct {
	kind, name string
	vals       [][2]string
}

// asCSV formats rows as a CSV table.
func asCSV(rows []row) string {
	cols := []string{"kind", "name"}
	columnOf := map[string]int{}
	for _, r := range rows {
		for _, v := range r.vals {
			if _, ok := columnOf[v[0]]; !ok {
				columnOf[v[0]] = len(cols)
				cols = append(cols, v[0])
			}
		}
	}
	var b strings.Builder
	b.WriteString(strings.Join(cols, ",") + "\n")
	for _, r := range rows {
		cells := make([]string, len(cols))
		cells[0], cells[1] = r.kind, r.name
		for _, v := range r.vals {
			cells[columnOf[v[0]]] = v[1]
		}
		b.WriteString(strings.Join(cells, ",") + "\n")
	}
	return b.String()
}

var plural = map[string]string{"switch": "switches", "tenant": "tenants", "group": "groups", "class": "classes", "demand": "demands"}

// asYAML formats rows as a YAML inventory.
func asYAML(rows []row) string {
	var b strings.Builder
	b.WriteString("all:\n  children:\n")
	for _, kind := range []string{"switch", "tenant", "class", "group", "demand"} {
		fmt.Fprintf(&b, "    %s:\n      hosts:\n", plural[kind])
		for _, r := range rows {
			if r.kind != kind {
				continue
			}
			fmt.Fprintf(&b, "        %s:\n", r.name)
			for _, v := range r.vals {
				fmt.Fprintf(&b, "          %s: %q\n", v[0], v[1])
			}
		}
	}
	return b.String()
}

// randomRows returns a random valid inventory.
func randomRows(r *rand.Rand) []row {
	num := func() string { return fmt.Sprint(float64(r.IntN(1000)) / 8) }
	maybe := func(v [][2]string, key, val string) [][2]string {
		if r.IntN(2) == 0 {
			return append(v, [2]string{key, val})
		}
		return v
	}
	n := 2 + r.IntN(5)
	var out []row
	for i := range n {
		v := [][2]string{{"address", fmt.Sprintf("127.0.0.1:%d", 5000+i)}, {"exchange", fmt.Sprint(i)}}
		v = maybe(maybe(maybe(v, "status", []string{"up", "draining"}[r.IntN(2)]), "yard", fmt.Sprint("yard-", r.IntN(2))), "set_ups_per_second", num())
		out = append(out, row{"switch", fmt.Sprint("s", i), v})
	}
	for i := range r.IntN(3) {
		v := [][2]string{{"token_sha256", strings.Repeat(fmt.Sprint(i), 64)}}
		out = append(out, row{"tenant", fmt.Sprint("t", i), maybe(maybe(v, "share", "0.25"), "max_calls", "7")})
	}
	for i := range 1 + r.IntN(2) {
		out = append(out, row{"class", fmt.Sprint("c", i), maybe([][2]string{{"width", fmt.Sprint(1 + r.IntN(4))}, {"hold_s", "11.5"}}, "worth", "2")})
	}
	for a := range n {
		for b := range a {
			circuits := fmt.Sprint(r.IntN(40))
			cost := maybe(nil, "cost", num())
			one, two := fmt.Sprint("s", a), fmt.Sprint("s", b)
			switch r.IntN(3) {
			case 0:
				out = append(out, row{"group", one + "-" + two, append([][2]string{{"a", one}, {"b", two}, {"circuits", circuits}}, cost...)})
			case 1:
				out = append(out, row{"group", one + ">" + two, append([][2]string{{"at", one}, {"toward", two}, {"circuits", circuits}}, cost...)},
					row{"group", two + ">" + one, append([][2]string{{"at", two}, {"toward", one}, {"circuits", circuits}}, cost...)})
			}
			if r.IntN(2) == 0 {
				out = append(out, row{"demand", "d-" + one + two, maybe([][2]string{{"class", "c0"}, {"from", one}, {"to", two}, {"calls_per_second", "9.5"}}, "must_per_second", "1.5")})
			}
		}
	}
	r.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	// The YAML file groups the entries by kind; within a kind both files have the same order.
	return out
}

// Valid inventories load identically from CSV and YAML, and from one file or two.
func TestGeneratedPairs(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for k := range 300 {
		rows := randomRows(r)
		fromCSV, err := Parse("a.csv", []byte(asCSV(rows)))
		fromYAML, err2 := Parse("a.yaml", []byte(asYAML(rows)))
		if err != nil || err2 != nil {
			t.Fatalf("%d: %v %v\n%s\n%s", k, err, err2, asCSV(rows), asYAML(rows))
		}
		if diff := cmp.Diff(fromCSV, fromYAML); diff != "" {
			t.Fatalf("%d: (-csv +yaml)\n%s", k, diff)
		}
		dir := t.TempDir()
		one, two := filepath.Join(dir, "one.csv"), filepath.Join(dir, "two.yaml")
		cut := r.IntN(len(rows) + 1)
		if os.WriteFile(one, []byte(asCSV(rows[:cut])), 0o600) != nil || os.WriteFile(two, []byte(asYAML(rows[cut:])), 0o600) != nil {
			t.Fatal("inventory files could not be written")
		}
		fromBoth, err := Load(one, two)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(fromCSV.Plan.Groups, fromBoth.Plan.Groups); diff != "" || len(fromCSV.Plan.Demands) != len(fromBoth.Plan.Demands) {
			t.Fatal(k, diff)
		}
		if errs := fromCSV.Plan.Check(); len(errs) > 0 {
			t.Fatal(k, errs)
		}
	}
}

const planText = `all:
  children:
    switches:
      hosts:
        lot-a: {address: "127.0.0.1:5070", exchange: 0, yard: south, set_ups_per_second: 20}
        lot-b: {address: "127.0.0.1:5071", exchange: 1, yard: south, set_ups_per_second: 20}
        lot-c: {address: "127.0.0.1:5072", exchange: 2}
    classes:
      hosts:
        video: {width: 4, hold_s: 18.2, worth: 2}
    groups:
      hosts:
        ab: {a: lot-a, b: lot-b, circuits: 30, cost: 0.5}
        ac: {at: lot-a, toward: lot-c, circuits: 12}
        ca: {at: lot-c, toward: lot-a, circuits: 12}
    demands:
      hosts:
        one: {class: video, from: lot-a, to: lot-b, calls_per_second: 2, must_per_second: 1}
`

func TestPlanErrors(t *testing.T) {
	got, err := Parse("p.yaml", []byte(planText))
	if err != nil {
		t.Fatal(err)
	}
	want := plan.Problem{Classes: []plan.Class{{ID: "video", Width: 4, Hold: 18.2, Worth: 2}},
		Switches: []plan.Switch{{ID: "lot-a", Yard: "south", SetUps: 20}, {ID: "lot-b", Yard: "south", SetUps: 20}, {ID: "lot-c"}},
		Groups:   []plan.Group{{A: "lot-a", B: "lot-b", Circuits: 30, Cost: 0.5}, {A: "lot-a", B: "lot-c", Circuits: 12}},
		Demands:  []plan.Demand{{Class: "video", From: "lot-a", To: "lot-b", Rate: 2, Must: 1}}}
	if diff := cmp.Diff(want, got.Plan); diff != "" {
		t.Error(diff)
	}
	for _, c := range []struct{ from, to, want string }{
		{"circuits: 30", "circuits: many", "13: key circuits: \"many\" is not a whole"},
		{"circuits: 30", "circuits: -1", "13: key circuits"},
		{"circuits: 30", "circuits: 3.5", "13: key circuits"},
		{"circuits: 30, ", "", "13: key circuits: \"\""},
		{"circuits: 30", "circuits: 99999999", "13: key circuits"},
		{"cost: 0.5", "cost: -2", "13: key cost"},
		{"cost: 0.5", "cost: .nan", "13: key cost: \".nan\""},
		{"cost: 0.5", "cost: NaN", "13: key cost"},
		{"cost: 0.5", "cost: 1e99", "13: key cost"},
		{"cost: 0.5", "color: 5", "13: key color: not known for a group"},
		{"b: lot-b", "b: lot-x", "13: key b: no switch \"lot-x\""},
		{"b: lot-b", "b: lot-a", "13: key b: both ends"},
		{"b: lot-b, ", "", "13: key b: missing"},
		{"b: lot-b", "toward: lot-b", "13: key a: either a and b"},
		{"a: lot-a, b: lot-b, ", "", "13: key a: either"},
		{"b: lot-b", "b: lot-c", "14: key toward: the group of lot-a and lot-c stands on line 13 already"},
		{"toward: lot-a, circuits: 12", "toward: lot-a, circuits: 13", "15: key circuits: 13, but the other end has 12 on line 14"},
		{"toward: lot-a, circuits: 12", "toward: lot-a, circuits: 12, cost: 1", "15: key cost: 1, but the other end has 0 on line 14"},
		{"        ca: {at: lot-c, toward: lot-a, circuits: 12}\n", "", "14: key at: the group of lot-a and lot-c is listed from one end only"},
		{"{at: lot-c, toward: lot-a", "{at: lot-a, toward: lot-c", "14: key at: the group of lot-a and lot-c is listed from one end"},
		{"width: 4", "width: 0", "10: key width"},
		{"width: 4, ", "", "10: key width"},
		{"hold_s: 18.2", "hold_s: 0", "10: key hold_s: above 0"},
		{"hold_s: 18.2", "hold_s: long", "10: key hold_s"},
		{"worth: 2", "worth: -1", "10: key worth"},
		{"class: video", "class: audio", "18: key class: no class \"audio\""},
		{"class: video, ", "", "18: key class: missing"},
		{"from: lot-a", "from: lot-z", "18: key from: no switch"},
		{"to: lot-b, calls", "to: lot-a, calls", "18: key to: both ends"},
		{"calls_per_second: 2", "calls_per_second: -2", "18: key calls_per_second"},
		{"calls_per_second: 2", "calls_per_second: nan", "18: key calls_per_second"},
		{"calls_per_second: 2", "calls_per_second: inf", "18: key calls_per_second"},
		{"calls_per_second: 2", "calls_per_second: 1e12", "18: key calls_per_second"},
		{"calls_per_second: 2, ", "", "18: key calls_per_second: missing"},
		{"must_per_second: 1", "must_per_second: 3", "18: key must_per_second: 3 is more"},
		{"must_per_second: 1", "tenant: acme", "18: key tenant: no tenant"},
		{"        one:", "        one: {class: video, from: lot-a, to: lot-b, calls_per_second: 2}\n        two:", "19: key to: the same class"},
		{"        ab:", "        ac:", "14: key ac: no plain key"},
		{"yard: south, set_ups_per_second: 20}\n        lot-b", "yard: south, set_ups_per_second: fast}\n        lot-b", "5: key set_ups_per_second"},
		{"    demands:", "    offers:", "16: key offers"},
		{"    groups:\n      hosts:", "    groups:\n      members:", "12: key members"},
	} {
		text := strings.Replace(planText, c.from, c.to, 1)
		if text == planText {
			t.Fatalf("%q is not in the text", c.from)
		}
		_, err := Parse("p.yaml", []byte(text))
		if err == nil || !strings.HasPrefix(err.Error(), "p.yaml:"+c.want) {
			t.Errorf("%q for %q: %v, want %q", c.to, c.from, err, c.want)
		}
	}
}

// All errors are reported, each with its line, not only the first.
func TestAllErrorsAreReported(t *testing.T) {
	text := strings.NewReplacer("circuits: 30", "circuits: many", "width: 4", "width: 0", "from: lot-a", "from: lot-z",
		"exchange: 1", "exchange: one").Replace(planText)
	_, err := Parse("p.yaml", []byte(text))
	var all Errors
	if !errors.As(err, &all) {
		t.Fatal(err)
	}
	var lines []string
	for _, e := range all {
		lines = append(lines, strings.Join(strings.SplitN(e.Error(), ":", 4)[1:3], ":"))
	}
	if got := strings.Join(lines, ","); got != "6: key exchange,10: key width,13: key circuits,18: key from" {
		t.Error(got)
	}
	if !strings.HasSuffix(err.Error(), "(and 3 more)") {
		t.Error(err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("a.yaml", []byte(planText))
	f.Add("a.csv", []byte(fill(csvText)))
	f.Add("a.yaml", []byte(fill(yamlText)))
	f.Fuzz(func(t *testing.T, name string, b []byte) {
		name = "f" + filepath.Ext(name)
		inv, err := Parse(name, b)
		if (inv == nil) == (err == nil) {
			t.Fatal(inv, err)
		}
		if err == nil {
			if errs := inv.Plan.Check(); len(errs) > 0 {
				t.Fatal(errs)
			}
		}
	})
}
