package tenant

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func spec(id, token string) Spec { return Spec{ID: id, TokenSHA256: HashToken(token)} }

func tenantOf(r *Registry, token string) string {
	id, _ := r.Authenticate(token)
	return id
}

func TestSeedIsAllOrNothing(t *testing.T) {
	r := New(time.Now)
	if err := errors.Join(r.Create(spec("api", "k"), OriginAPI), r.Seed([]Spec{spec("a", "ta"), spec("b", "tb")})); err != nil {
		t.Fatal(err)
	}
	for name, bad := range map[string][]Spec{
		"an ID of an API tenant":     {spec("c", "tc"), spec("api", "x")},
		"a token of an API tenant":   {spec("c", "tc"), spec("d", "k")},
		"the same token twice":       {spec("c", "tc"), spec("d", "tc")},
		"an invalid spec":            {spec("c", "tc"), spec("No Good", "x")},
		"a token that is not a hash": {spec("c", "tc"), {ID: "d", TokenSHA256: "x"}},
	} {
		before := r.All()
		if err := r.Seed(bad); err == nil {
			t.Errorf("%s: no error", name)
		}
		if diff := cmp.Diff(before, r.All()); diff != "" || tenantOf(r, "tc") != "" || tenantOf(r, "ta") != "a" {
			t.Errorf("%s: changed something\n%s", name, diff)
		}
	}
}

// Two tenants that swap their tokens must each authenticate with the other's: storing
// the second tenant must not drop the token of the first.
func TestSeedSwapsTokensAndDisablesWhatIsInUse(t *testing.T) {
	r := New(time.Now)
	for range 20 { // map iteration order varies
		if err := r.Seed([]Spec{spec("a", "1"), spec("b", "2"), spec("c", "3")}); err != nil {
			t.Fatal(err)
		}
		if err := r.Seed([]Spec{spec("a", "2"), spec("b", "1"), spec("c", "3")}); err != nil {
			t.Fatal(err)
		}
		if got := tenantOf(r, "1") + tenantOf(r, "2"); got != "ba" {
			t.Fatalf("tokens 1 and 2 are %q, want b and a", got)
		}
	}
	r.BeginCall("c")
	if err := r.Seed([]Spec{spec("a", "1")}); err != nil {
		t.Fatal(err)
	}
	if _, err := r.BeginCall("c"); !errors.Is(err, ErrDisabled) {
		t.Errorf("tenant in use, no longer in the inventory: got %v, want it disabled", err)
	}
	if _, err := r.Get("b"); !errors.Is(err, ErrUnknown) {
		t.Errorf("unused tenant, no longer in the inventory: got %v, want it removed", err)
	}
	r.EndCall("c")
	if err := r.Seed(nil); err != nil || len(r.All()) != 0 {
		t.Errorf("remaining tenants: %v, %v", r.All(), err)
	}
}

func TestQuotas(t *testing.T) {
	now := time.Unix(0, 0)
	r := New(func() time.Time { return now })
	s := spec("a", "t")
	s.MaxCalls, s.CallsPerSecond, s.MaxSockets = 3, 2, 1
	if err := r.Create(s, OriginAPI); err != nil {
		t.Fatal(err)
	}
	begin := func(want error, retryAfter time.Duration) {
		t.Helper()
		if got, err := r.BeginCall("a"); !errors.Is(err, want) || got != retryAfter {
			t.Errorf("got %v and %v, want %v and %v", err, got, want, retryAfter)
		}
	}
	begin(nil, 0)
	begin(nil, 0)
	begin(ErrQuota, 500*time.Millisecond) // two calls per second
	now = now.Add(500 * time.Millisecond)
	begin(nil, 0)
	now = now.Add(time.Second)
	begin(ErrQuota, 0) // three concurrent calls
	r.EndCall("a")
	begin(nil, 0)
	if err := r.Delete("a"); !errors.Is(err, ErrInUse) {
		t.Errorf("deleted while in use: %v", err)
	}
	if err := errors.Join(r.Connect("a"), r.Connect("a")); !errors.Is(err, ErrQuota) {
		t.Errorf("two connections: %v", err)
	}
	if _, err := r.Update("a", func(s *Spec) { s.MaxCalls = -1 }); err == nil {
		t.Error("a limit below 0 was accepted")
	}
}
