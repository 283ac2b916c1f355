// Package tenant keeps the tenants of a hosted service: who they are, what they
// may use, and what they use now. It lives in memory only; the inventory seeds
// it at each start.
package tenant

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"
)

// Spec is what can be set of a tenant.
type Spec struct {
	ID             string  `json:"id"`
	Disabled       bool    `json:"disabled"`
	MaxCalls       int     `json:"max_calls"`        // calls at once, those that stand included; 0: no limit
	CallsPerSecond float64 `json:"calls_per_second"` // new calls; 0: no limit
	MaxSockets     int     `json:"max_sockets"`      // connections at once; 0: the default
	TokenSHA256    string  `json:"-"`                // hex; the token itself is kept nowhere
}

// View is a tenant as the administration API shows it.
type View struct {
	Spec
	Origin  string `json:"origin"` // "inventory" or "api"
	Calls   int    `json:"calls"`
	Sockets int    `json:"sockets"`
}

// Errors that callers tell apart.
var (
	ErrUnknown    = errors.New("no such tenant")
	ErrExists     = errors.New("the tenant exists already")
	ErrInUse      = errors.New("the tenant has calls; disable it and wait for their end")
	ErrDisabled   = errors.New("the tenant is disabled")
	ErrQuota      = errors.New("the tenant's quota is used up")
	ErrTokenInUse = errors.New("a token that another tenant has")
)

// The origins of a tenant.
const (
	OriginInventory = "inventory"
	OriginAPI       = "api"
)

const (
	defaultSockets = 64
	maxTenants     = 10000
	tokenBytes     = 32
)

// record is one tenant. A token bucket of one second's calls holds its rate.
type record struct {
	Spec
	origin         string
	calls, sockets int
	bucket         float64
	filled         time.Time
}

// Registry is the set of tenants. The zero value is not usable; see New.
type Registry struct {
	mu      sync.Mutex
	tenants map[string]*record
	tokens  map[string]*record // by the token's hash
	now     func() time.Time
}

// New returns an empty registry on the given clock.
func New(now func() time.Time) *Registry {
	return &Registry{tenants: map[string]*record{}, tokens: map[string]*record{}, now: now}
}

var idForm = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Check says what is wrong with a spec, by its key.
func (s Spec) Check() error {
	switch {
	case !idForm.MatchString(s.ID):
		return fmt.Errorf("id: %q is not 1 to 63 of a-z, 0-9, '.', '_' and '-'", s.ID)
	case s.MaxCalls < 0:
		return fmt.Errorf("max_calls: %d is below 0", s.MaxCalls)
	case !(s.CallsPerSecond >= 0 && s.CallsPerSecond <= 1e6):
		return fmt.Errorf("calls_per_second: %v is not from 0 to 1000000", s.CallsPerSecond)
	case s.MaxSockets < 0:
		return fmt.Errorf("max_sockets: %d is below 0", s.MaxSockets)
	}
	if b, err := hex.DecodeString(s.TokenSHA256); err != nil || len(b) != sha256.Size || s.TokenSHA256 != strings.ToLower(s.TokenSHA256) {
		return errors.New("token_sha256: 64 lower-case hexadecimal digits are wanted")
	}
	return nil
}

// HashToken is the form in which tokens are kept.
func HashToken(token string) string {
	h := sha256.Sum256([]byte(token))
	return hex.EncodeToString(h[:])
}

// NewToken makes a bearer token.
func NewToken() string {
	b := make([]byte, tokenBytes)
	rand.Read(b) // never fails
	return base64.RawURLEncoding.EncodeToString(b)
}

// Create adds a tenant.
func (r *Registry) Create(s Spec, origin string) error {
	if err := s.Check(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tenants[s.ID] != nil {
		return ErrExists
	}
	if len(r.tenants) >= maxTenants {
		return fmt.Errorf("more than %d tenants", maxTenants)
	}
	return r.put(&record{Spec: s, origin: origin})
}

// put files a record whose spec was checked. It takes the lock as held.
func (r *Registry) put(t *record) error {
	if o := r.tokens[t.TokenSHA256]; o != nil && o.ID != t.ID {
		return ErrTokenInUse
	}
	if o := r.tenants[t.ID]; o != nil && r.tokens[o.TokenSHA256] == o {
		delete(r.tokens, o.TokenSHA256)
	}
	t.bucket, t.filled = max(1, t.CallsPerSecond), r.now()
	r.tenants[t.ID], r.tokens[t.TokenSHA256] = t, t
	return nil
}

// Update changes a tenant by the function given and returns what it is then.
func (r *Registry) Update(id string, change func(*Spec)) (View, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tenants[id]
	if t == nil {
		return View{}, ErrUnknown
	}
	s := t.Spec
	change(&s)
	s.ID = id
	if err := s.Check(); err != nil {
		return View{}, err
	}
	next := *t
	next.Spec = s
	if err := r.put(&next); err != nil {
		return View{}, err
	}
	return next.view(), nil
}

// Delete removes a tenant that has no calls.
func (r *Registry) Delete(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tenants[id]
	if t == nil {
		return ErrUnknown
	}
	if t.calls > 0 {
		return ErrInUse
	}
	r.remove(t)
	return nil
}

func (r *Registry) remove(t *record) {
	delete(r.tenants, t.ID)
	delete(r.tokens, t.TokenSHA256)
}

// Get returns a tenant.
func (r *Registry) Get(id string) (View, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tenants[id]; t != nil {
		return t.view(), nil
	}
	return View{}, ErrUnknown
}

// All returns every tenant by its id.
func (r *Registry) All() []View {
	r.mu.Lock()
	defer r.mu.Unlock()
	vs := make([]View, 0, len(r.tenants))
	for _, t := range r.tenants {
		vs = append(vs, t.view())
	}
	slices.SortFunc(vs, func(a, b View) int { return strings.Compare(a.ID, b.ID) })
	return vs
}

func (t *record) view() View { return View{t.Spec, t.origin, t.calls, t.sockets} }

// Seed sets the tenants of the inventory, all or none: those that it has are
// created or set to what it says, and those that it no longer has are removed,
// or disabled while they have calls. Tenants made through the API stay.
func (r *Registry) Seed(specs []Spec) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	want := map[string]Spec{}
	tokens := map[string]string{}
	for _, s := range specs {
		if err := s.Check(); err != nil {
			return fmt.Errorf("tenant %q: %w", s.ID, err)
		}
		t := r.tenants[s.ID]
		if t != nil && t.origin == OriginAPI {
			return fmt.Errorf("tenant %q: %w, made through the API", s.ID, ErrExists)
		}
		if other, twice := tokens[s.TokenSHA256]; twice {
			return fmt.Errorf("tenant %q: %w: %q", s.ID, ErrTokenInUse, other)
		}
		if o := r.tokens[s.TokenSHA256]; o != nil && o.origin == OriginAPI {
			return fmt.Errorf("tenant %q: %w", s.ID, ErrTokenInUse)
		}
		want[s.ID], tokens[s.TokenSHA256] = s, s.ID
	}
	for id, t := range r.tenants {
		if t.origin == OriginAPI {
			continue
		}
		delete(r.tokens, t.TokenSHA256) // set anew below: two tenants may have swapped theirs
		if _, stays := want[id]; stays {
			continue
		}
		if t.calls > 0 {
			t.Disabled = true
			if _, taken := tokens[t.TokenSHA256]; !taken {
				r.tokens[t.TokenSHA256] = t
			}
		} else {
			delete(r.tenants, id)
		}
	}
	for id, s := range want {
		next := record{origin: OriginInventory}
		if t := r.tenants[id]; t != nil {
			next = *t
		}
		next.Spec = s
		if err := r.put(&next); err != nil {
			return fmt.Errorf("tenant %q: %w", id, err)
		}
	}
	return nil
}

// Authenticate returns the tenant whose bearer token is given. Tokens are
// compared by their hashes, so the time it takes tells nothing of them.
func (r *Registry) Authenticate(token string) (string, bool) {
	h := HashToken(token)
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tokens[h]; t != nil {
		return t.ID, true
	}
	return "", false
}

// Connect counts a connection in, or says that the tenant has too many.
func (r *Registry) Connect(id string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tenants[id]
	if t == nil {
		return ErrUnknown
	}
	most := t.MaxSockets
	if most == 0 {
		most = defaultSockets
	}
	if t.sockets >= most {
		return ErrQuota
	}
	t.sockets++
	return nil
}

// Disconnect counts a connection out.
func (r *Registry) Disconnect(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tenants[id]; t != nil && t.sockets > 0 {
		t.sockets--
	}
}

// BeginCall counts a new call in, or says why the tenant may not have it and when
// to come back; 0 where that can't be told.
func (r *Registry) BeginCall(id string) (again time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tenants[id]
	switch {
	case t == nil:
		return 0, ErrUnknown
	case t.Disabled:
		return 0, ErrDisabled
	case t.MaxCalls > 0 && t.calls >= t.MaxCalls:
		return 0, ErrQuota
	}
	if rate := t.CallsPerSecond; rate > 0 {
		now := r.now()
		t.bucket = min(max(1, rate), t.bucket+rate*now.Sub(t.filled).Seconds())
		t.filled = now
		if t.bucket < 1 {
			return time.Duration((1 - t.bucket) / rate * float64(time.Second)), ErrQuota
		}
		t.bucket--
	}
	t.calls++
	return 0, nil
}

// EndCall counts a call out.
func (r *Registry) EndCall(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tenants[id]; t != nil && t.calls > 0 {
		t.calls--
	}
}
