package tenant

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func spec(id, token string) Spec { return Spec{ID: id, TokenSHA256: HashToken(token)} }

func tenantOf(r *Registry, token string) string {
	account, _ := r.Authenticate(token)
	return account.ID
}

// seed applies an inventory and returns the ids of the accounts that it removed.
func seed(t *testing.T, r *Registry, specs ...Spec) (removed []string) {
	t.Helper()
	accounts, err := r.Seed(specs)
	if err != nil {
		t.Fatal(err)
	}
	for _, account := range accounts {
		removed = append(removed, account.ID)
	}
	return removed
}

func TestSeedIsAllOrNothing(t *testing.T) {
	r := New(time.Now)
	if err := r.Create(spec("api", "k"), OriginAPI); err != nil {
		t.Fatal(err)
	}
	seed(t, r, spec("a", "ta"), spec("b", "tb"))
	for name, bad := range map[string][]Spec{
		"an ID of an API tenant":     {spec("c", "tc"), spec("api", "x")},
		"a token of an API tenant":   {spec("c", "tc"), spec("d", "k")},
		"the same token twice":       {spec("c", "tc"), spec("d", "tc")},
		"an invalid spec":            {spec("c", "tc"), spec("No Good", "x")},
		"a token that is not a hash": {spec("c", "tc"), {ID: "d", TokenSHA256: "x"}},
	} {
		before := r.All()
		if _, err := r.Seed(bad); err == nil {
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
		seed(t, r, spec("a", "1"), spec("b", "2"), spec("c", "3"))
		seed(t, r, spec("a", "2"), spec("b", "1"), spec("c", "3"))
		if got := tenantOf(r, "1") + tenantOf(r, "2"); got != "ba" {
			t.Fatalf("tokens 1 and 2 are %q, want b and a", got)
		}
	}
	c, _ := r.Authenticate("3")
	r.BeginCall(c)
	if diff := cmp.Diff([]string{"b"}, seed(t, r, spec("a", "1"))); diff != "" {
		t.Errorf("removed (-want +got):\n%s", diff)
	}
	if _, err := r.BeginCall(c); !errors.Is(err, ErrDisabled) {
		t.Errorf("tenant in use, no longer in the inventory: got %v, want it disabled", err)
	}
	if _, err := r.Get("b"); !errors.Is(err, ErrUnknown) {
		t.Errorf("unused tenant, no longer in the inventory: got %v, want it removed", err)
	}
	r.EndCall(c)
	if removed := seed(t, r); len(removed) != 2 || len(r.All()) != 0 {
		t.Errorf("removed %v, remaining tenants: %v", removed, r.All())
	}
}

// Guards against a tenant that acts as another customer's: an id may be used again after its tenant was
// removed, renamed or disabled, and what is left of the former one must not count for the new one.
func TestAnIDThatIsUsedAgainIsAnotherAccount(t *testing.T) {
	for name, c := range map[string]struct {
		inBetween []Spec // the inventory between that of the former and of the new tenant
		withCall  bool   // the former tenant has a call meanwhile
		again     Spec
		same      bool
	}{
		"removed":                              {nil, false, spec("a", "new"), false},
		"removed, the same token":              {nil, false, spec("a", "old"), false},
		"renamed":                              {[]Spec{spec("b", "old")}, false, spec("a", "new"), false},
		"disabled, with calls":                 {nil, true, spec("a", "new"), false},
		"disabled and listed again":            {nil, true, spec("a", "old"), true},
		"never removed, with another token":    {[]Spec{spec("a", "old")}, false, spec("a", "new"), true},
		"never removed, its token is replaced": {[]Spec{spec("a", "new")}, true, spec("a", "new"), true},
	} {
		r := New(time.Now)
		seed(t, r, spec("a", "old"))
		former, _ := r.Authenticate("old")
		if c.withCall {
			r.BeginCall(former)
		}
		seed(t, r, c.inBetween...)
		seed(t, r, c.again)
		account, _ := r.Authenticate(map[bool]string{true: "old", false: "new"}[c.again == spec("a", "old")])
		if account.ID != "a" || (account == former) != c.same || r.Exists(former) != c.same {
			t.Errorf("%s: account %v, the former one is %v and exists: %t", name, account, former, r.Exists(former))
		}
		if c.same {
			continue
		}
		r.BeginCall(account)
		r.EndCall(former) // of the former tenant's call
		if view, _ := r.Get("a"); view.Calls != 1 {
			t.Errorf("%s: %d calls of the new tenant, want 1", name, view.Calls)
		}
		if _, err := r.BeginCall(former); !errors.Is(err, ErrUnknown) {
			t.Errorf("%s: a call of the former tenant: %v", name, err)
		}
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
	a, _ := r.Authenticate("t")
	begin := func(want error, retryAfter time.Duration) {
		t.Helper()
		if got, err := r.BeginCall(a); !errors.Is(err, want) || got != retryAfter {
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
	r.EndCall(a)
	begin(nil, 0)
	if _, err := r.Delete("a"); !errors.Is(err, ErrInUse) {
		t.Errorf("deleted while in use: %v", err)
	}
	if err := errors.Join(r.Connect(a), r.Connect(a)); !errors.Is(err, ErrQuota) {
		t.Errorf("two connections: %v", err)
	}
	if _, err := r.Update("a", func(s *Spec) { s.MaxCalls = -1 }); err == nil {
		t.Error("a limit below 0 was accepted")
	}
}
