// Package tenant keeps the tenants of a hosted service: their credentials, limits
// and current usage. The data is held in memory only; the inventory provides it at
// each start.
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

// Spec holds the settings of a tenant.
type Spec struct {
	ID             string  `json:"id"`
	Disabled       bool    `json:"disabled"`
	MaxCalls       int     `json:"max_calls"`        // concurrent calls, established ones included; 0: no limit
	CallsPerSecond float64 `json:"calls_per_second"` // rate of new calls; 0: no limit
	MaxSockets     int     `json:"max_sockets"`      // concurrent connections; 0: the default
	TokenSHA256    string  `json:"-"`                // hex; the token itself is not stored
}

// Account identifies one tenant for as long as it exists. A tenant that gets the ID of one that was
// removed has another Serial: it is another customer's.
type Account struct {
	ID     string
	Serial uint64
}

// View is a tenant with its usage, as the administration API returns it.
type View struct {
	Spec
	Origin  string `json:"origin"` // "inventory" or "api"
	Calls   int    `json:"calls"`
	Sockets int    `json:"sockets"`
}

// Errors returned by the methods of Registry.
var (
	ErrUnknown    = errors.New("no such tenant")
	ErrExists     = errors.New("the tenant exists already")
	ErrInUse      = errors.New("the tenant has calls; disable it and wait for their end")
	ErrDisabled   = errors.New("the tenant is disabled")
	ErrQuota      = errors.New("the tenant's quota is used up")
	ErrTokenInUse = errors.New("a token that another tenant has")
)

// Origins of a tenant.
const (
	OriginInventory = "inventory"
	OriginAPI       = "api"
)

const (
	defaultMaxSockets = 64
	maxTenants        = 10000
	tokenBytes        = 32
)

// record is one tenant. A token bucket that holds one second's calls, but at least
// one, limits its call rate.
type record struct {
	Spec
	serial         uint64
	origin         string
	unlisted       bool // it left the inventory while it had calls
	calls, sockets int
	bucketLevel    float64
	lastRefill     time.Time
}

// Registry is the set of tenants. It is safe for concurrent use. The zero value is
// not usable; see New.
type Registry struct {
	mu         sync.Mutex
	tenants    map[string]*record
	tokens     map[string]*record // by the token's hash
	lastSerial uint64
	now        func() time.Time
}

// New returns an empty registry that reads the time from now.
func New(now func() time.Time) *Registry {
	return &Registry{tenants: map[string]*record{}, tokens: map[string]*record{}, now: now}
}

var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Check validates a spec. Its error starts with the JSON key of the invalid field.
func (s Spec) Check() error {
	switch {
	case !idPattern.MatchString(s.ID):
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

// HashToken returns the hex SHA-256 digest of a token, the form in which it is stored.
func HashToken(token string) string {
	h := sha256.Sum256([]byte(token))
	return hex.EncodeToString(h[:])
}

// NewToken returns a random bearer token.
func NewToken() string {
	b := make([]byte, tokenBytes)
	rand.Read(b) // never fails
	return base64.RawURLEncoding.EncodeToString(b)
}

// Create adds a tenant. It returns ErrExists or ErrTokenInUse if the ID or the token is
// already in use.
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
	return r.store(r.newRecord(s, origin))
}

// newRecord returns the record of a new account. r.mu must be held.
func (r *Registry) newRecord(s Spec, origin string) *record {
	r.lastSerial++
	return &record{Spec: s, serial: r.lastSerial, origin: origin}
}

// lookUp returns the record of an account, or nil if it was removed. r.mu must be held.
func (r *Registry) lookUp(account Account) *record {
	if t := r.tenants[account.ID]; t != nil && t.serial == account.Serial {
		return t
	}
	return nil
}

func (t *record) account() Account { return Account{t.ID, t.serial} }

// store adds or replaces a record whose spec has been validated. r.mu must be held.
func (r *Registry) store(t *record) error {
	if other := r.tokens[t.TokenSHA256]; other != nil && other.ID != t.ID {
		return ErrTokenInUse
	}
	if previous := r.tenants[t.ID]; previous != nil && r.tokens[previous.TokenSHA256] == previous {
		delete(r.tokens, previous.TokenSHA256)
	}
	t.bucketLevel, t.lastRefill = max(1, t.CallsPerSecond), r.now()
	r.tenants[t.ID], r.tokens[t.TokenSHA256] = t, t
	return nil
}

// Update applies change to a tenant's spec and returns the updated tenant. The ID can't
// be changed.
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
	if err := r.store(&next); err != nil {
		return View{}, err
	}
	return next.view(), nil
}

// Delete removes a tenant and returns its account. It returns ErrInUse if the tenant has calls.
func (r *Registry) Delete(id string) (Account, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tenants[id]
	if t == nil {
		return Account{}, ErrUnknown
	}
	if t.calls > 0 {
		return Account{}, ErrInUse
	}
	r.remove(t)
	return t.account(), nil
}

func (r *Registry) remove(t *record) {
	delete(r.tenants, t.ID)
	delete(r.tokens, t.TokenSHA256)
}

// Get returns a tenant, or ErrUnknown.
func (r *Registry) Get(id string) (View, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tenants[id]; t != nil {
		return t.view(), nil
	}
	return View{}, ErrUnknown
}

// All returns every tenant, sorted by ID.
func (r *Registry) All() []View {
	r.mu.Lock()
	defer r.mu.Unlock()
	views := make([]View, 0, len(r.tenants))
	for _, t := range r.tenants {
		views = append(views, t.view())
	}
	slices.SortFunc(views, func(a, b View) int { return strings.Compare(a.ID, b.ID) })
	return views
}

func (t *record) view() View { return View{t.Spec, t.origin, t.calls, t.sockets} }

// Seed applies the tenants of the inventory; on an error it changes nothing. Listed
// tenants are created or updated. Tenants of an earlier inventory that are no longer
// listed are removed, or disabled if they have calls. One that was disabled in this way is listed
// again as itself if it has its token; with another token it is another customer's, and a new account.
// Tenants created through the API are not changed. Seed returns the accounts that it removed.
func (r *Registry) Seed(specs []Spec) (removed []Account, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	specByID, err := r.checkSeed(specs)
	if err != nil {
		return nil, err
	}
	idByToken := map[string]string{}
	for id, s := range specByID {
		idByToken[s.TokenSHA256] = id
	}
	for id, t := range r.tenants {
		if t.origin == OriginAPI {
			continue
		}
		delete(r.tokens, t.TokenSHA256) // added again below: two tenants may have swapped tokens
		s, listed := specByID[id]
		switch {
		case listed && t.unlisted && s.TokenSHA256 != t.TokenSHA256, !listed && t.calls == 0:
			delete(r.tenants, id)
			removed = append(removed, t.account())
		case !listed:
			t.Disabled, t.unlisted = true, true
			if _, taken := idByToken[t.TokenSHA256]; !taken {
				r.tokens[t.TokenSHA256] = t
			}
		}
	}
	for id, s := range specByID {
		next := r.newRecord(s, OriginInventory)
		if t := r.tenants[id]; t != nil {
			*next = *t
			next.Spec, next.unlisted = s, false
		}
		if err := r.store(next); err != nil {
			return removed, fmt.Errorf("tenant %q: %w", id, err)
		}
	}
	return removed, nil
}

// checkSeed validates the tenants of an inventory and returns them by their IDs. r.mu must be held.
func (r *Registry) checkSeed(specs []Spec) (map[string]Spec, error) {
	specByID := map[string]Spec{}
	idByToken := map[string]string{}
	for _, s := range specs {
		if err := s.Check(); err != nil {
			return nil, fmt.Errorf("tenant %q: %w", s.ID, err)
		}
		if t := r.tenants[s.ID]; t != nil && t.origin == OriginAPI {
			return nil, fmt.Errorf("tenant %q: %w, made through the API", s.ID, ErrExists)
		}
		if other, found := idByToken[s.TokenSHA256]; found {
			return nil, fmt.Errorf("tenant %q: %w: %q", s.ID, ErrTokenInUse, other)
		}
		if holder := r.tokens[s.TokenSHA256]; holder != nil && holder.origin == OriginAPI {
			return nil, fmt.Errorf("tenant %q: %w", s.ID, ErrTokenInUse)
		}
		specByID[s.ID], idByToken[s.TokenSHA256] = s, s.ID
	}
	return specByID, nil
}

// Authenticate returns the account of the tenant with the given bearer token. Tokens are
// looked up by their hashes, so the lookup time reveals nothing about them.
func (r *Registry) Authenticate(token string) (Account, bool) {
	hash := HashToken(token)
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tokens[hash]; t != nil {
		return t.account(), true
	}
	return Account{}, false
}

// Exists reports whether an account has not been removed.
func (r *Registry) Exists(account Account) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lookUp(account) != nil
}

// Connect counts a new connection of a tenant. It returns ErrQuota if the tenant has
// too many, and ErrUnknown if it was removed.
func (r *Registry) Connect(account Account) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.lookUp(account)
	if t == nil {
		return ErrUnknown
	}
	limit := t.MaxSockets
	if limit == 0 {
		limit = defaultMaxSockets
	}
	if t.sockets >= limit {
		return ErrQuota
	}
	t.sockets++
	return nil
}

// Disconnect removes a closed connection from the tenant's count.
func (r *Registry) Disconnect(account Account) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.lookUp(account); t != nil && t.sockets > 0 {
		t.sockets--
	}
}

// BeginCall counts a new call of a tenant. It returns ErrUnknown, ErrDisabled or ErrQuota
// if the call is not allowed; retryAfter is then the time until a retry can succeed, or 0
// if that is not known.
func (r *Registry) BeginCall(account Account) (retryAfter time.Duration, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.lookUp(account)
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
		t.bucketLevel = min(max(1, rate), t.bucketLevel+rate*now.Sub(t.lastRefill).Seconds())
		t.lastRefill = now
		if t.bucketLevel < 1 {
			return time.Duration((1 - t.bucketLevel) / rate * float64(time.Second)), ErrQuota
		}
		t.bucketLevel--
	}
	t.calls++
	return 0, nil
}

// EndCall removes an ended call from the tenant's count.
func (r *Registry) EndCall(account Account) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.lookUp(account); t != nil && t.calls > 0 {
		t.calls--
	}
}
