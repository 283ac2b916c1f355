// Package admin serves the administration API of the hosted service over HTTP:
// tenants, switches and the inventory. docs/callapi.md describes it.
package admin

import (
	"crypto/subtle"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"

	jsoniter "github.com/json-iterator/go"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/tenant"
	"violetspan.example/violetspan/routing"
)

// Server serves the administration API. Every field must be set.
type Server struct {
	TokenHash string // tenant.HashToken of the administrators' bearer token
	Tenants   *tenant.Registry
	Switches  func() []core.Switch
	Status    func() Status
	Reload    func() error                   // reads the inventory again; an error means that nothing changed
	Removed   func(tenants []tenant.Account) // called with a tenant that was deleted
	Log       *slog.Logger
	Metrics   prometheus.Gatherer // served by GET /v1/metrics
}

// Status is the phase of the proxy and the number of its calls.
type Status struct {
	Phase       string `json:"phase"`
	Unanswered  int    `json:"calls_unanswered"`
	Established int    `json:"calls_standing"`
}

var json = jsoniter.Config{EscapeHTML: true, DisallowUnknownFields: true, ValidateJsonRawMessage: true}.Froze()

const maxBodyBytes = 64 << 10

// limits are the fields of a tenant in a request. Fields that are left out do not
// change. The names of the type and its fields must not change, because the decode
// errors sent to clients contain them.
type limits struct {
	ID             string   `json:"id"`
	Disabled       *bool    `json:"disabled"`
	MaxCalls       *int     `json:"max_calls"`
	CallsPerSecond *float64 `json:"calls_per_second"`
	MaxSockets     *int     `json:"max_sockets"`
}

func (f limits) apply(s *tenant.Spec) {
	setIfPresent(&s.Disabled, f.Disabled)
	setIfPresent(&s.MaxCalls, f.MaxCalls)
	setIfPresent(&s.CallsPerSecond, f.CallsPerSecond)
	setIfPresent(&s.MaxSockets, f.MaxSockets)
}

func setIfPresent[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// tenantWithToken is a reply that contains a new token. The token can't be read later.
type tenantWithToken struct {
	tenant.View
	Token string `json:"token"`
}

// Handler returns the handler of the API and of GET /healthz, which needs no token.
func (s *Server) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("GET /v1/status", s.handle(func(*http.Request) (int, any, error) {
		return http.StatusOK, s.Status(), nil
	}))
	api.Handle("GET /v1/metrics", promhttp.HandlerFor(s.Metrics, promhttp.HandlerOpts{}))
	api.HandleFunc("GET /v1/switches", s.handle(s.listSwitches))
	api.HandleFunc("POST /v1/inventory/reload", s.handle(func(*http.Request) (int, any, error) {
		if err := s.Reload(); err != nil {
			return 0, nil, apiError{http.StatusUnprocessableEntity, "bad_inventory", err.Error()}
		}
		return http.StatusNoContent, nil, nil
	}))
	api.HandleFunc("GET /v1/tenants", s.handle(func(*http.Request) (int, any, error) {
		return http.StatusOK, map[string]any{"tenants": s.Tenants.All()}, nil
	}))
	api.HandleFunc("POST /v1/tenants", s.handle(s.createTenant))
	api.HandleFunc("GET /v1/tenants/{id}", s.handle(func(r *http.Request) (int, any, error) {
		view, err := s.Tenants.Get(r.PathValue("id"))
		return http.StatusOK, view, err
	}))
	api.HandleFunc("PATCH /v1/tenants/{id}", s.handle(s.updateTenant))
	api.HandleFunc("POST /v1/tenants/{id}/token", s.handle(s.renewToken))
	api.HandleFunc("DELETE /v1/tenants/{id}", s.handle(func(r *http.Request) (int, any, error) {
		account, err := s.Tenants.Delete(r.PathValue("id"))
		if err == nil {
			s.Removed([]tenant.Account{account})
		}
		return http.StatusNoContent, nil, err
	}))
	root := http.NewServeMux()
	root.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, s.Status().Phase+"\n")
	})
	root.Handle("/v1/", s.requireToken(api))
	return root
}

// requireToken passes on requests that carry the administrators' bearer token.
func (s *Server) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(tenant.HashToken(token)), []byte(s.TokenHash)) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.writeReply(w, http.StatusUnauthorized, apiError{0, "unauthorized", "a valid bearer token is wanted"}.body())
			return
		}
		next.ServeHTTP(w, r)
	})
}

// apiError is an error with its HTTP status and API code.
type apiError struct {
	status       int
	code, detail string
}

func (e apiError) Error() string { return e.detail }

func (e apiError) body() any {
	type errorBody struct {
		Code   string `json:"code"`
		Detail string `json:"detail"`
	}
	return map[string]errorBody{"error": {e.code, e.detail}}
}

// handle writes the status and body, or the error, that a handler returns.
func (s *Server) handle(handler func(*http.Request) (int, any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		status, body, err := handler(r)
		if err != nil {
			e := toAPIError(err)
			status, body = e.status, e.body()
		}
		if r.Method != http.MethodGet {
			s.Log.Info("administration", "method", r.Method, "path", r.URL.Path, "status", status)
		}
		s.writeReply(w, status, body)
	}
}

func toAPIError(err error) apiError {
	var e apiError
	switch {
	case errors.As(err, &e):
		return e
	case errors.Is(err, tenant.ErrUnknown):
		return apiError{http.StatusNotFound, "not_found", err.Error()}
	case errors.Is(err, tenant.ErrExists):
		return apiError{http.StatusConflict, "exists", err.Error()}
	case errors.Is(err, tenant.ErrInUse):
		return apiError{http.StatusConflict, "in_use", err.Error()}
	}
	return apiError{http.StatusBadRequest, "bad_request", err.Error()}
}

func (s *Server) writeReply(w http.ResponseWriter, status int, body any) {
	if body == nil {
		w.WriteHeader(status)
		return
	}
	b, err := json.Marshal(body)
	if err != nil {
		s.Log.Error("administration: reply can't be encoded", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
}

func readFields(r *http.Request) (fields limits, err error) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return fields, apiError{http.StatusRequestEntityTooLarge, "too_large", err.Error()}
	}
	if err := json.Unmarshal(b, &fields); err != nil {
		return fields, apiError{http.StatusBadRequest, "bad_request", "not a JSON object of a tenant's fields: " + withoutExcerpt(err)}
	}
	return fields, nil
}

// withoutExcerpt cuts the excerpt of the input from a parser's error: it may quote all
// of the request.
func withoutExcerpt(err error) string {
	reason, _, _ := strings.Cut(err.Error(), ", error found in")
	return reason
}

func (s *Server) createTenant(r *http.Request) (int, any, error) {
	fields, err := readFields(r)
	if err != nil {
		return 0, nil, err
	}
	token := tenant.NewToken()
	spec := tenant.Spec{ID: fields.ID, TokenSHA256: tenant.HashToken(token)}
	fields.apply(&spec)
	if err := s.Tenants.Create(spec, tenant.OriginAPI); err != nil {
		return 0, nil, err
	}
	view, err := s.Tenants.Get(spec.ID)
	return http.StatusCreated, tenantWithToken{view, token}, err
}

func (s *Server) updateTenant(r *http.Request) (int, any, error) {
	fields, err := readFields(r)
	if err != nil {
		return 0, nil, err
	}
	if fields.ID != "" && fields.ID != r.PathValue("id") {
		return 0, nil, apiError{http.StatusBadRequest, "bad_request", "id: can't be changed"}
	}
	view, err := s.Tenants.Update(r.PathValue("id"), fields.apply)
	return http.StatusOK, view, err
}

// renewToken gives a tenant a new token. Its open connections stay open.
func (s *Server) renewToken(r *http.Request) (int, any, error) {
	token := tenant.NewToken()
	view, err := s.Tenants.Update(r.PathValue("id"), func(t *tenant.Spec) { t.TokenSHA256 = tenant.HashToken(token) })
	return http.StatusOK, tenantWithToken{view, token}, err
}

var statusByState = map[routing.State]string{routing.Ready: "up", routing.Draining: "draining"}

func (s *Server) listSwitches(*http.Request) (int, any, error) {
	type switchView struct {
		ID       string `json:"id"`
		Address  string `json:"address"`
		Exchange int    `json:"exchange"`
		Status   string `json:"status"`
	}
	views := []switchView{}
	for _, sw := range s.Switches() {
		views = append(views, switchView{sw.ID, sw.Addr, sw.Exchange, statusByState[sw.State]})
	}
	return http.StatusOK, map[string]any{"switches": views}, nil
}
