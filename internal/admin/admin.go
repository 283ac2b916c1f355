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

// Server answers the administration API. Every field is wanted.
type Server struct {
	TokenHash  string // of the administrators' bearer token
	Tenants    *tenant.Registry
	Switches   func() []core.Switch
	Status     func() Status
	Reload     func() error        // reads the inventory anew, all or nothing
	Disconnect func(tenant string) // closes a deleted tenant's connections
	Log        *slog.Logger
	Metrics    prometheus.Gatherer // what GET /v1/metrics gives
}

// Status is how the proxy is.
type Status struct {
	Phase       string `json:"phase"`
	Unanswered  int    `json:"calls_unanswered"`
	Established int    `json:"calls_standing"`
}

var json = jsoniter.Config{EscapeHTML: true, DisallowUnknownFields: true, ValidateJsonRawMessage: true}.Froze()

const maxBody = 64 << 10

// limits are a tenant's as a request gives them; what is left out stays.
type limits struct {
	ID             string   `json:"id"`
	Disabled       *bool    `json:"disabled"`
	MaxCalls       *int     `json:"max_calls"`
	CallsPerSecond *float64 `json:"calls_per_second"`
	MaxSockets     *int     `json:"max_sockets"`
}

func (l limits) apply(s *tenant.Spec) {
	set(&s.Disabled, l.Disabled)
	set(&s.MaxCalls, l.MaxCalls)
	set(&s.CallsPerSecond, l.CallsPerSecond)
	set(&s.MaxSockets, l.MaxSockets)
}

func set[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// withToken is a reply that holds a new token, the one time that it is shown.
type withToken struct {
	tenant.View
	Token string `json:"token"`
}

// Handler returns the API's handler.
func (s *Server) Handler() http.Handler {
	api := http.NewServeMux()
	api.HandleFunc("GET /v1/status", s.serve(func(*http.Request) (int, any, error) {
		return http.StatusOK, s.Status(), nil
	}))
	api.Handle("GET /v1/metrics", promhttp.HandlerFor(s.Metrics, promhttp.HandlerOpts{}))
	api.HandleFunc("GET /v1/switches", s.serve(s.switches))
	api.HandleFunc("POST /v1/inventory/reload", s.serve(func(*http.Request) (int, any, error) {
		if err := s.Reload(); err != nil {
			return 0, nil, refusal{http.StatusUnprocessableEntity, "bad_inventory", err.Error()}
		}
		return http.StatusNoContent, nil, nil
	}))
	api.HandleFunc("GET /v1/tenants", s.serve(func(*http.Request) (int, any, error) {
		return http.StatusOK, map[string]any{"tenants": s.Tenants.All()}, nil
	}))
	api.HandleFunc("POST /v1/tenants", s.serve(s.create))
	api.HandleFunc("GET /v1/tenants/{id}", s.serve(func(r *http.Request) (int, any, error) {
		v, err := s.Tenants.Get(r.PathValue("id"))
		return http.StatusOK, v, err
	}))
	api.HandleFunc("PATCH /v1/tenants/{id}", s.serve(s.update))
	api.HandleFunc("POST /v1/tenants/{id}/token", s.serve(s.renew))
	api.HandleFunc("DELETE /v1/tenants/{id}", s.serve(func(r *http.Request) (int, any, error) {
		id := r.PathValue("id")
		err := s.Tenants.Delete(id)
		if err == nil {
			s.Disconnect(id)
		}
		return http.StatusNoContent, nil, err
	}))
	all := http.NewServeMux()
	all.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, s.Status().Phase+"\n")
	})
	all.Handle("/v1/", s.guard(api))
	return all
}

// guard lets administrators in.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok || subtle.ConstantTimeCompare([]byte(tenant.HashToken(token)), []byte(s.TokenHash)) != 1 {
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.reply(w, http.StatusUnauthorized, refusal{0, "unauthorized", "a valid bearer token is wanted"}.body())
			return
		}
		next.ServeHTTP(w, r)
	})
}

// refusal is an error with its status and code.
type refusal struct {
	status       int
	code, detail string
}

func (e refusal) Error() string { return e.detail }

func (e refusal) body() any {
	type fault struct {
		Code   string `json:"code"`
		Detail string `json:"detail"`
	}
	return map[string]fault{"error": {e.code, e.detail}}
}

// serve replies with what a handler returns.
func (s *Server) serve(do func(*http.Request) (int, any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		status, body, err := do(r)
		if err != nil {
			e := classify(err)
			status, body = e.status, e.body()
		}
		if r.Method != http.MethodGet {
			s.Log.Info("administration", "method", r.Method, "path", r.URL.Path, "status", status)
		}
		s.reply(w, status, body)
	}
}

func classify(err error) refusal {
	var e refusal
	switch {
	case errors.As(err, &e):
		return e
	case errors.Is(err, tenant.ErrUnknown):
		return refusal{http.StatusNotFound, "not_found", err.Error()}
	case errors.Is(err, tenant.ErrExists):
		return refusal{http.StatusConflict, "exists", err.Error()}
	case errors.Is(err, tenant.ErrInUse):
		return refusal{http.StatusConflict, "in_use", err.Error()}
	}
	return refusal{http.StatusBadRequest, "bad_request", err.Error()}
}

func (s *Server) reply(w http.ResponseWriter, status int, body any) {
	if body == nil {
		w.WriteHeader(status)
		return
	}
	b, err := json.Marshal(body)
	if err != nil {
		s.Log.Error("administration: no reply", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
}

func body(r *http.Request) (l limits, err error) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return l, refusal{http.StatusRequestEntityTooLarge, "too_large", err.Error()}
	}
	if err := json.Unmarshal(b, &l); err != nil {
		return l, refusal{http.StatusBadRequest, "bad_request", "not a JSON object of a tenant's fields: " + short(err)}
	}
	return l, nil
}

// short leaves out where in the text the parser stood: it may quote all of it.
func short(err error) string {
	why, _, _ := strings.Cut(err.Error(), ", error found in")
	return why
}

func (s *Server) create(r *http.Request) (int, any, error) {
	l, err := body(r)
	if err != nil {
		return 0, nil, err
	}
	token := tenant.NewToken()
	spec := tenant.Spec{ID: l.ID, TokenSHA256: tenant.HashToken(token)}
	l.apply(&spec)
	if err := s.Tenants.Create(spec, tenant.OriginAPI); err != nil {
		return 0, nil, err
	}
	v, err := s.Tenants.Get(spec.ID)
	return http.StatusCreated, withToken{v, token}, err
}

func (s *Server) update(r *http.Request) (int, any, error) {
	l, err := body(r)
	if err != nil {
		return 0, nil, err
	}
	if l.ID != "" && l.ID != r.PathValue("id") {
		return 0, nil, refusal{http.StatusBadRequest, "bad_request", "id: can't be changed"}
	}
	v, err := s.Tenants.Update(r.PathValue("id"), l.apply)
	return http.StatusOK, v, err
}

// renew gives a tenant a new token. Its open connections go on.
func (s *Server) renew(r *http.Request) (int, any, error) {
	token := tenant.NewToken()
	v, err := s.Tenants.Update(r.PathValue("id"), func(t *tenant.Spec) { t.TokenSHA256 = tenant.HashToken(token) })
	return http.StatusOK, withToken{v, token}, err
}

var stateNames = map[routing.State]string{routing.Ready: "up", routing.Draining: "draining"}

func (s *Server) switches(*http.Request) (int, any, error) {
	type view struct {
		ID       string `json:"id"`
		Address  string `json:"address"`
		Exchange int    `json:"exchange"`
		Status   string `json:"status"`
	}
	vs := []view{}
	for _, m := range s.Switches() {
		vs = append(vs, view{m.ID, m.Addr, m.Exchange, stateNames[m.State]})
	}
	return http.StatusOK, map[string]any{"switches": vs}, nil
}
