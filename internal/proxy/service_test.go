package proxy

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/coder/websocket"

	"violetspan.example/violetspan/internal/callapi"
	"violetspan.example/violetspan/internal/config"
	"violetspan.example/violetspan/internal/planner"
	"violetspan.example/violetspan/internal/tenant"
)

// do sends a request to the administration API and returns the status and the body.
func (s *script) do(method, path, token, body string) (int, string) {
	s.t.Helper()
	req, err := http.NewRequest(method, "http://"+s.proxy.AdminAddr.String()+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return resp.StatusCode, strings.TrimSpace(string(b))
}

const acme = `{"id":"acme","disabled":false,"max_calls":0,"calls_per_second":0,"max_sockets":0,"origin":"inventory","calls":0,"sockets":0}`

func TestAdministration(t *testing.T) {
	t.Parallel()
	s := start(t, "\ns1", settingsJSON)
	for _, c := range []struct {
		method, path, token, body string
		status                    int
		want                      string // prefix of the body
	}{
		{"GET", "/v1/tenants/acme", "wrong", "", 401, `{"error":{"code":"unauthorized"`},
		{"GET", "/healthz", "", "", 200, "serving"},
		{"GET", "/v1/status", testToken, "", 200, `{"phase":"serving","calls_unanswered":0,"calls_standing":0}`},
		{"GET", "/v1/tenants/acme", testToken, "", 200, acme},
		{"GET", "/v1/tenants/nobody", testToken, "", 404, `{"error":{"code":"not_found"`},
		{"POST", "/v1/tenants", testToken, `{"id":"acme"}`, 409, `{"error":{"code":"exists"`},
		{"POST", "/v1/tenants", testToken, `{"id":"new","colour":1}`, 400, `{"error":{"code":"bad_request"`},
		{"POST", "/v1/tenants", testToken, `{"id":"new","max_calls":-1}`, 400, `{"error":{"code":"bad_request","detail":"max_calls`},
		{"POST", "/v1/tenants", testToken, `{"id":"new","max_calls":3}`, 201, `{"id":"new","disabled":false,"max_calls":3,`},
		{"PATCH", "/v1/tenants/new", testToken, `{"disabled":true}`, 200, `{"id":"new","disabled":true,"max_calls":3,`},
		{"PATCH", "/v1/tenants/new", testToken, `{"id":"old"}`, 400, `{"error":{"code":"bad_request"`},
		{"POST", "/v1/tenants/new/token", testToken, "", 200, `{"id":"new","disabled":true,"max_calls":3,`},
		{"DELETE", "/v1/tenants/new", testToken, "", 204, ""},
		{"DELETE", "/v1/tenants/new", testToken, "", 404, `{"error":{"code":"not_found"`},
		{"GET", "/v1/switches", testToken, "", 200, `{"switches":[{"id":"id-s1","address":"127.0.0.1:`},
		{"POST", "/v1/inventory/reload", testToken, "", 204, ""},
	} {
		status, got := s.do(c.method, c.path, c.token, c.body)
		if status != c.status || !strings.HasPrefix(got, c.want) {
			t.Errorf("%s %s %s: got %d %s, want %d %s", c.method, c.path, c.body, status, got, c.status, c.want)
		}
		if strings.Contains(got, "sha256") {
			t.Errorf("%s %s reveals a token's hash: %s", c.method, c.path, got)
		}
	}
}

// A reload is all or nothing: an invalid file must not change the switches and tenants.
func TestBadReloadChangesNothing(t *testing.T) {
	t.Parallel()
	s := start(t, "\nx1", settingsJSON)
	valid, err := os.ReadFile(s.proxy.service.Inventory)
	if err != nil {
		t.Fatal(err)
	}
	invalid := strings.Replace(string(valid), "acme:", "acme2:", 1) + "        third: {max_calls: many}\n"
	if err := os.WriteFile(s.proxy.service.Inventory, []byte(invalid), 0o600); err != nil {
		t.Fatal(err)
	}
	status, got := s.do("POST", "/v1/inventory/reload", testToken, "")
	if status != 422 || !strings.Contains(got, "inventory.yaml:10: key max_calls") {
		t.Errorf("got %d %s", status, got)
	}
	if _, got := s.do("GET", "/v1/tenants/acme", testToken, ""); got != acme {
		t.Errorf("acme changed to %s", got)
	}
	// The file without the switch is valid; new calls are no longer sent to the switch.
	if err := os.WriteFile(s.proxy.service.Inventory, []byte(strings.Replace(string(valid), "        x1:", "        # x1:", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if status, got := s.do("POST", "/v1/inventory/reload", testToken, ""); status != 204 {
		t.Errorf("got %d %s", status, got)
	}
	s.play(`
		w1> {"type":"setup","call":"a","class":"space-check","number":"1","dest":1,"wait_ms":9000}
		w1< {"type":"refused","call":"a","reason":"no_route","retry_after_ms":0}`)
}

// A disabled tenant's new calls are refused; its established calls continue.
func TestDisabledTenant(t *testing.T) {
	t.Parallel()
	s := start(t, "\nx1", settingsJSON)
	s.play(`
		w1> {"type":"setup","call":"a","class":"space-check","number":"1","dest":1,"wait_ms":9000}
		x1< {"type":"setup","call":"{id}","class":"space-check","number":"1","dest":1,"width":1,"wait_ms":0}
		x1> {"type":"answer","call":"{id}","description":"d"}
		w1< {"type":"answer","call":"a","description":"d"}`)
	if status, got := s.do("PATCH", "/v1/tenants/acme", testToken, `{"disabled":true}`); status != 200 {
		t.Fatalf("got %d %s", status, got)
	}
	if status, _ := s.do("DELETE", "/v1/tenants/acme", testToken, ""); status != 409 {
		t.Errorf("a tenant with calls was deleted: %d", status)
	}
	s.play(`
		w1> {"type":"setup","call":"b","class":"space-check","number":"2","dest":1,"wait_ms":9000}
		w1< {"type":"refused","call":"b","reason":"disabled"}
		x1> {"type":"released","call":"{id}","reason":"ended"}
		w1< {"type":"released","call":"a","reason":"ended"}`)
}

// Guards against a removed tenant that acts as the next one of its id: its connection goes on, hears of
// the other's calls and ends them, or its stored answers are given to the other's calls.
func TestRemovedTenantIsNotTheNextOfItsID(t *testing.T) {
	const firstCall = `
		w1> {"type":"setup","call":"a","class":"space-check","number":"1","dest":1,"wait_ms":9000}
		x1< {"type":"setup","call":"{first}","class":"space-check","number":"1","dest":1,"width":1,"wait_ms":0}
		x1> {"type":"answer","call":"{first}","description":"of the first"}
		w1< {"type":"answer","call":"a","description":"of the first"}`
	const firstEnds = `
		x1> {"type":"released","call":"{first}","reason":"ended"}
		w1< {"type":"released","call":"a","reason":"ended"}`
	for name, c := range map[string]struct {
		tenants     string // the inventory in between
		apiTenant   bool   // the first tenant was created by the administration API, and is deleted there
		duringACall bool
	}{
		"removed from the inventory":                {"other: {token_sha256: " + tenant.HashToken("o") + "}", false, false},
		"renamed in the inventory":                  {"acme2: {token_sha256: " + tenant.HashToken(testToken) + "}", false, false},
		"deleted by the API":                        {"", true, false},
		"removed from the inventory, during a call": {"other: {token_sha256: " + tenant.HashToken("o") + "}", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := start(t, "\nx1", settingsJSON)
			id := "acme"
			if c.apiTenant {
				id = "firm"
				s.connectClient("w1", s.createTenant(id))
			}
			s.play(firstCall)
			if !c.duringACall {
				s.play(firstEnds)
			}
			if c.apiTenant {
				if status, got := s.do("DELETE", "/v1/tenants/firm", testToken, ""); status != 204 {
					t.Fatalf("got %d %s", status, got)
				}
				s.connectClient("v1", s.createTenant(id))
			} else {
				s.reloadTenants(c.tenants)
				s.reloadTenants("acme: {token_sha256: " + tenant.HashToken("second firm's token") + "}")
				s.connectClient("v1", "second firm's token")
			}
			if c.duringACall {
				s.play(firstEnds)
			}
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			if _, _, err := s.clients["w1"].Read(ctx); websocket.CloseStatus(err) != websocket.StatusGoingAway {
				t.Errorf("the first tenant's connection: %v, want a close that says 'going away'", err)
			}
			s.play(`
		v1> {"type":"setup","call":"a","class":"space-check","number":"1","dest":1,"wait_ms":9000}
		x1< {"type":"setup","call":"{second}","class":"space-check","number":"1","dest":1,"width":1,"wait_ms":0}
		x1> {"type":"answer","call":"{second}","description":"of the second"}
		v1< {"type":"answer","call":"a","description":"of the second"}`)
		})
	}
}

// createTenant creates a tenant by the administration API and returns its token.
func (s *script) createTenant(id string) string {
	s.t.Helper()
	status, body := s.do("POST", "/v1/tenants", testToken, `{"id":"`+id+`"}`)
	_, token, found := strings.Cut(body, `"token":"`)
	if status != 201 || !found {
		s.t.Fatalf("got %d %s", status, body)
	}
	return strings.TrimSuffix(token, `"}`)
}

// connectClient opens the connection of a client of the call API.
func (s *script) connectClient(name, token string) {
	s.t.Helper()
	c, _, err := dialAPI(s.t.Context(), s.proxy, token)
	if err != nil {
		s.t.Fatal(err)
	}
	s.clients[name] = c
}

// reloadTenants replaces the tenants of the inventory by one line, and reloads it.
func (s *script) reloadTenants(line string) {
	s.t.Helper()
	b, err := os.ReadFile(s.proxy.service.Inventory)
	if err != nil {
		s.t.Fatal(err)
	}
	const section = "    tenants:\n      hosts:\n"
	before, _, _ := strings.Cut(string(b), section)
	if err := os.WriteFile(s.proxy.service.Inventory, []byte(before+section+"        "+line+"\n"), 0o600); err != nil {
		s.t.Fatal(err)
	}
	if status, got := s.do("POST", "/v1/inventory/reload", testToken, ""); status != 204 {
		s.t.Fatalf("got %d %s", status, got)
	}
}

func TestWrongTokenAndProtocol(t *testing.T) {
	t.Parallel()
	s := start(t, "\ns1", settingsJSON)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if _, resp, err := dialAPI(ctx, s.proxy, "wrong"); err == nil || resp == nil || resp.StatusCode != http.StatusUnauthorized {
		t.Errorf("wrong token: %v", err)
	}
	c, _, err := websocket.Dial(ctx, "ws://"+s.proxy.APIAddr.String()+"/v1/calls",
		&websocket.DialOptions{HTTPHeader: http.Header{"Authorization": {"Bearer " + testToken}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := c.Read(ctx); websocket.CloseStatus(err) != websocket.StatusPolicyViolation {
		t.Errorf("missing subprotocol: %v", err)
	}
}

// A client that does not read must not block others: it is disconnected, and other tenants'
// calls continue meanwhile.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	s := start(t, "\nx1", settingsJSON)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	slow, _, err := dialAPI(ctx, s.proxy, testToken)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.CloseNow()
	long := strings.Repeat("x", 60)
	go func() { // each is answered with an error that doesn't count as an unreadable message
		for ctx.Err() == nil {
			if slow.Write(ctx, websocket.MessageText, []byte(`{"type":"release","call":"`+long+`"}`)) != nil {
				return
			}
		}
	}()
	s.play(`
		v1> {"type":"setup","call":"a","class":"space-check","number":"1","dest":1,"wait_ms":9000}
		x1< {"type":"setup","call":"{id}","class":"space-check","number":"1","dest":1,"width":1,"wait_ms":0}
		x1> {"type":"answer","call":"{id}","description":"d"}
		v1< {"type":"answer","call":"a","description":"d"}
		sync sockets 0`)
}

// newCert writes a certificate for 127.0.0.1 and its key, and returns a pool that contains
// it.
func newCert(t *testing.T, cert, key string) *x509.CertPool {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{{127, 0, 0, 1}}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		t.Fatal(err)
	}
	b, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	for file, block := range map[string]*pem.Block{cert: {Type: "CERTIFICATE", Bytes: der}, key: {Type: "PRIVATE KEY", Bytes: b}} {
		if err := os.WriteFile(file, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	pool.AppendCertsFromPEM(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	return pool
}

// With a certificate, both listeners accept only TLS. A reload loads a new certificate, and
// an invalid one changes nothing.
func TestTLS(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	first := newCert(t, cert, key)
	s := startWith(t, "\nx1", settingsJSON, func(serviceConfig *config.Service) { serviceConfig.TLSCert, serviceConfig.TLSKey = cert, key })
	connect := func(pool *x509.CertPool) error {
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, DisableKeepAlives: true}}
		resp, err := client.Get("https://" + s.proxy.AdminAddr.String() + "/healthz")
		if err != nil {
			return err
		}
		resp.Body.Close()
		c, _, err := websocket.Dial(t.Context(), "wss://"+s.proxy.APIAddr.String()+"/v1/calls", &websocket.DialOptions{HTTPClient: client,
			Subprotocols: []string{callapi.Protocol}, HTTPHeader: http.Header{"Authorization": {"Bearer " + testToken}}})
		if err == nil {
			c.CloseNow()
		}
		return err
	}
	if err := connect(first); err != nil {
		t.Error(err)
	}
	if _, _, err := dialAPI(t.Context(), s.proxy, testToken); err == nil {
		t.Error("the call API accepts connections without TLS")
	}
	second := newCert(t, cert, key)
	if err := s.proxy.Reload(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(cert, []byte("no certificate"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := s.proxy.Reload(); err == nil || !strings.Contains(err.Error(), "key tls:") {
		t.Errorf("invalid certificate: %v", err)
	}
	if err := connect(second); err != nil {
		t.Error(err)
	}
	if connect(first) == nil {
		t.Error("the old certificate is still in use")
	}
}

// Guards against exhausted descriptors: the platform server and the call API share one
// limit, which either could use up alone.
func TestConnectionsFitTheDescriptors(t *testing.T) {
	for conns, want := range map[int]string{432: "", 433: "key callapi.max_connections: 433"} {
		_, err := New(&config.Platform{Sockets: 1024}, &config.Service{MaxConns: conns}, slog.New(slog.DiscardHandler))
		if (err == nil) != (want == "") || err != nil && !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%d connections: got %v, want %q", conns, err, want)
		}
	}
}

// If the plan can't be loaded, the proxy works as without one.
func TestBadPlanStopsNothing(t *testing.T) {
	t.Parallel()
	s := startWith(t, "\nx1", settingsJSON, func(serviceConfig *config.Service) {
		serviceConfig.Plan = &planner.Settings{File: filepath.Join(t.TempDir(), "none.json"), Measure: true}
	})
	s.play(`
		w1> {"type":"setup","call":"a","class":"space-check","number":"1","dest":1,"wait_ms":9000}
		x1< {"type":"setup","call":"{id}","class":"space-check","number":"1","dest":1,"width":1,"wait_ms":0}
		x1> {"type":"answer","call":"{id}","description":"d"}
		w1< {"type":"answer","call":"a","description":"d"}`)
	if status, got := s.do("POST", "/v1/inventory/reload", testToken, ""); status != 204 {
		t.Errorf("got %d %s", status, got)
	}
}
