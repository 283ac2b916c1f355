package planner

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"violetspan.example/violetspan/decide/plan"
	"violetspan.example/violetspan/decide/replan"
)

// testProblem returns a problem with three switches whose group a-c is too small for its
// demand.
func testProblem() *plan.Problem {
	return &plan.Problem{Target: 0.2, Costs: plan.Costs{Tandem: 0.02},
		Classes:  []plan.Class{{ID: "narrow", Width: 1, Hold: 10, Worth: 1}},
		Switches: []plan.Switch{{ID: "a", SetUps: 50}, {ID: "b", SetUps: 50}, {ID: "c", SetUps: 50}},
		Groups:   []plan.Group{{A: "a", B: "b", Circuits: 40}, {A: "a", B: "c", Circuits: 20}, {A: "b", B: "c", Circuits: 40}},
		Demands: []plan.Demand{{Class: "narrow", From: "a", To: "c", Rate: 6}, {Class: "narrow", From: "a", To: "b", Rate: 1},
			{Class: "narrow", From: "c", To: "b", Rate: 1}}}
}

func solve(t testing.TB, p *plan.Problem) *plan.Answer {
	t.Helper()
	a, err := plan.Solve(p, plan.Options{})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// writeTestFile solves a problem, writes the plan file and returns its path and content.
func writeTestFile(t testing.TB, p *plan.Problem) (path string, b []byte) {
	path = filepath.Join(t.TempDir(), "plan.json")
	if err := (&File{CreatedAt: time.Unix(1000, 0).UTC(), ValidSeconds: 60, Gap: 1e-6, Problem: p, Answer: solve(t, p)}).Write(path); err != nil {
		t.Fatal(err)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return path, b
}

// A plan file can be read back. A file that was changed, or whose answer fails verification,
// is refused with an error that names the key.
func TestFile(t *testing.T) {
	p := testProblem()
	path, b := writeTestFile(t, p)
	got, err := Read(path)
	if err != nil || got.Remaining(time.Unix(1010, 0)) != 50*time.Second || got.CheckInventory(p) != nil {
		t.Fatal(err, got)
	}
	other := testProblem()
	other.Groups[0].Circuits++
	if got.CheckInventory(other) != replan.ErrOtherInventory {
		t.Error("a plan for another inventory was accepted")
	}
	for _, c := range []struct{ from, to, want string }{
		{`"format": 1`, `"format": 2`, "key format"},
		{`"valid_s": 60`, `"valid_s": 0`, "key valid_s"},
		{`"valid_s": 60`, `"valid_s": 1e12`, "key valid_s"},
		{`"gap": 0.000001`, `"gap": 0.9`, "key gap"},
		{`"Circuits": 20`, `"Circuits": 21`, "key sha256"},
		{`"format": 1`, `"format": 1, "colour": 1`, "colour"},
		{`"format": 1,`, `"format": 1`, "plan.json: "},
	} {
		text := strings.Replace(string(b), c.from, c.to, 1)
		if text == string(b) {
			t.Fatal(c.from)
		}
		if _, err := Parse("plan.json", []byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.to, err)
		}
	}
	got.Answer.Routes[0].Direct++ // a falsified answer with a correct checksum
	if err := got.Write(path); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(path); err == nil || !strings.Contains(err.Error(), "key answer") {
		t.Error(err)
	}
	if _, err := Read(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("a missing file was read")
	}
}

func FuzzParse(f *testing.F) {
	_, b := writeTestFile(f, testProblem())
	f.Add(b, true)
	f.Add([]byte(`{"format":1,"valid_s":1,"problem":{},"answer":{}}`), true)
	f.Fuzz(func(t *testing.T, b []byte, skipChecksum bool) {
		if got, err := Parse("f", b); err == nil && (got.Problem == nil || got.Answer == nil) {
			t.Fatal(got)
		}
		// With a wrong checksum, Parse stops early: the code behind it must not panic either.
		g := &File{}
		if skipChecksum && codec.Unmarshal(b, g) == nil && g.Problem != nil && g.Answer != nil && len(g.Problem.Check()) == 0 {
			if _, err := plan.Verify(g.Problem, g.Answer, 0.5); err == nil {
				plan.CarriedWorth(g.Problem, g.Answer)
				g.Answer.TandemWeights(g.Problem)
				g.Answer.CircuitValues(g.Problem)
			}
		}
	})
}
