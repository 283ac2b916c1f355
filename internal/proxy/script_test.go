package proxy

import (
	"bufio"
	"bytes"
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/google/go-cmp/cmp"

	"violetspan.example/violetspan/internal/callapi"
	"violetspan.example/violetspan/internal/config"
	"violetspan.example/violetspan/internal/tenant"
)

// testTimeout limits each wait of a test. Only failing tests reach it.
const testTimeout = 20 * time.Second

// A script replays a recorded exchange of messages in testdata/. Its lines run in order
// against a complete proxy on loopback:
//
//	c1> BYTES   a caller's connection sends bytes     s1> BYTES   the same for a switch
//	c1< BYTES   ... receives exactly this message     s1< BYTES   the same for a switch
//	w1> JSON    a client of the call API sends        x1> JSON    the same for a switch of the API
//	w1< JSON    ... receives exactly this             x1< JSON    the same for a switch of the API
//	NAME close  closes the connection                 NAME refuse ... and the switch's listener
//	NAME eof    the proxy closed the connection       list JSON   an event of the command channel
//	sync STATE  waits until the proxy has the state   term        SIGTERM
//	hup         SIGHUP with a new channel address     hup bad     ... with an invalid key
//
// Bytes are hexadecimal digits and "texts". * matches the length and value of one
// parameter, and a line with * omits the length of the message. {NAME} is a variable that
// is set by its first use. The connections c1 and w1 open at their first line. A switch uses
// one connection until it is closed, then the next that the proxy opened.
type script struct {
	t          *testing.T
	proxy      *Proxy
	term       context.CancelFunc
	done       chan error
	events     chan string
	cursor     int
	newConfig  func() []byte          // returns the configuration, with a new command channel
	configFile atomic.Pointer[[]byte] // the configuration that SIGHUP loads
	hup        chan os.Signal
	callers    map[string]net.Conn
	switches   map[string]*standIn
	clients    map[string]*websocket.Conn
	variables  map[string]string
}

// standIn is a switch that accepts connections and passes them to the script.
type standIn struct {
	name          string
	ln            net.Listener
	conns         chan net.Conn
	current       net.Conn
	reader        *bufio.Reader
	sockets       chan *websocket.Conn
	currentSocket *websocket.Conn
}

func newStandIn(t *testing.T, name string) *standIn { return newStandInAt(t, name, "127.0.0.1:0") }

// newStandInAt opens a stand-in at an address.
func newStandInAt(t *testing.T, name, addr string) *standIn {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{name: name, ln: ln, conns: make(chan net.Conn, 64), sockets: make(chan *websocket.Conn, 64)}
	if name[0] == 'x' {
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{callapi.Protocol}})
			if err == nil {
				s.sockets <- c
				<-r.Context().Done()
			}
		})}
		go srv.Serve(ln)
		t.Cleanup(func() { srv.Close() })
		return s
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns <- c
		}
	}()
	return s
}

const settingsJSON = `{"fleetSize":4,"classes":[{"name":"space-check","goalTimeMs":8000,"deadlineMs":60000,"worth":1},
{"name":"shuttle-video","goalTimeMs":8000,"deadlineMs":60000,"worth":2}],
"extra":{"here":0,"topology":"meshed","releaseMs":30,"widths":[1,4],"classHoldMs":[11400,18200]},
"limits":{"mostTries":5,"cancel":true,"dialTimeoutMs":5000},"rules":{"answerSlackMs":20},
"realms":[{"name":"main-lot"}]}`

// testToken is the bearer token of the tenant acme in these tests.
const testToken = "a-token-for-tests-only"

// start starts a proxy with the stand-ins that the text mentions: s1 to s3, or x1 to x3 for
// the call API, at exchanges 1 to 3.
func start(t *testing.T, text, settings string) *script {
	return startWith(t, text, settings, func(*config.Service) {})
}

// startWith is like start, with changes to the service's configuration.
func startWith(t *testing.T, text, settings string, change func(*config.Service)) *script {
	s := &script{t: t, callers: map[string]net.Conn{}, switches: map[string]*standIn{},
		clients: map[string]*websocket.Conn{}, variables: map[string]string{}}
	var members, hosts []string
	for n := 1; n <= 3; n++ {
		name := fmt.Sprintf("s%d", n)
		if strings.Contains(text, fmt.Sprintf("\nx%d", n)) {
			name = fmt.Sprintf("x%d", n)
			in := newStandIn(t, name)
			s.switches[name] = in
			hosts = append(hosts, fmt.Sprintf("        %s: {address: 'ws://%s/', exchange: %d}", name, in.ln.Addr(), n))
			continue
		}
		if !strings.Contains(text, "\n"+name) {
			continue
		}
		in := newStandIn(t, name)
		s.switches[name] = in
		members = append(members, s.member(name, n, "up"))
	}
	s.cursor = 1
	s.newConfig = func() []byte {
		return fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","seed":"1","channel":%q,"limits":{"sockets":1024},
		"known":{"cursor":1,"cmds":[{"cursor":1,"nodes":{"complete":true,"members":[%s]}}]},"settings":%s}`,
			s.newChannel(), strings.Join(members, ","), settings)
	}
	first := s.newConfig()
	s.configFile.Store(&first)
	platformConfig, err := config.Parse(first)
	if err != nil {
		t.Fatal(err)
	}
	inv := filepath.Join(t.TempDir(), "inventory.yaml")
	err = os.WriteFile(inv, fmt.Appendf(nil, "all:\n  children:\n    switches:\n      hosts:\n%s\n    tenants:\n      hosts:\n"+
		"        acme: {token_sha256: %s}\n        other: {token_sha256: %s, max_calls: 1}\n",
		strings.Join(hosts, "\n"), tenant.HashToken(testToken), tenant.HashToken(testToken+"-2")), 0o600)
	if err != nil {
		t.Fatal(err)
	}
	serviceConfig := &config.Service{CallListen: "127.0.0.1:0", AnswerRetention: time.Minute, MaxStoredCalls: 1000, MaxConns: 50, Inventory: inv,
		AdminListen: "127.0.0.1:0", AdminTokenHash: tenant.HashToken(testToken)}
	change(serviceConfig)
	s.run(platformConfig, serviceConfig)
	return s
}

// newChannel opens a command channel and returns its address. From then on, list lines are
// sent there. Its cursors continue those of the previous channel.
func (s *script) newChannel() net.Addr {
	events, quit := make(chan string, 16), make(chan struct{})
	s.events = events
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case ev := <-events:
			s.cursor++
			fmt.Fprintf(w, `{"cursor":%d,"cmds":[{"cursor":%d,"nodes":%s}]}`, s.cursor, s.cursor, ev)
		case <-r.Context().Done():
		case <-quit:
		}
	}))
	s.t.Cleanup(srv.Close)
	s.t.Cleanup(func() { close(quit) })
	return srv.Listener.Addr()
}

func (s *script) run(platformConfig *config.Platform, serviceConfig *config.Service) {
	var err error
	if s.proxy, err = New(platformConfig, serviceConfig, slog.New(slog.DiscardHandler)); err != nil {
		s.t.Fatal(err)
	}
	s.hup = make(chan os.Signal)
	s.proxy.ReadConfig = func() (*config.Platform, error) { return config.Parse(*s.configFile.Load()) }
	ctx, term := context.WithCancel(context.Background())
	s.term, s.done = term, make(chan error, 1)
	ready := make(chan struct{})
	go func() { s.done <- s.proxy.Run(ctx, s.hup, func() { close(ready) }) }()
	select {
	case <-ready:
	case err := <-s.done:
		s.t.Fatalf("the proxy did not start: %v", err)
	}
	s.t.Cleanup(func() {
		term()
		for _, c := range s.callers {
			c.Close()
		}
		if s.proxy.Phase() != Stopped {
			s.proxy.core.Close() // don't wait for calls that the script left established
		}
		if err := <-s.done; err != nil {
			s.t.Errorf("the proxy exited with error %v", err)
		}
	})
}

func (s *script) member(name string, cell int, phase string) string {
	return fmt.Sprintf(`{"id":"id-%s","host_port":%q,"cell":%d,"phase":%q,"up_since_ms":0}`,
		name, s.switches[name].ln.Addr(), cell, phase)
}

func (s *script) caller(name string) net.Conn {
	if s.callers[name] == nil {
		c, err := net.Dial("tcp", s.proxy.CallAddr.String())
		if err != nil {
			s.t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(testTimeout))
		s.callers[name] = c
	}
	return s.callers[name]
}

// stream returns the connection of a binary line.
func (s *script) stream(name string) (net.Conn, io.Reader) {
	sw := s.switches[name]
	if sw == nil {
		c := s.caller(name)
		return c, c
	}
	if sw.current == nil {
		select {
		case sw.current = <-sw.conns:
		case <-time.After(testTimeout):
			s.t.Fatalf("%s: no connection", name)
		}
		sw.current.SetDeadline(time.Now().Add(testTimeout))
		sw.reader = bufio.NewReader(sw.current)
	}
	return sw.current, sw.reader
}

// socket returns the WebSocket of a JSON line. Clients w... belong to the tenant acme,
// clients v... to the tenant other.
func (s *script) socket(ctx context.Context, name string) *websocket.Conn {
	if sw := s.switches[name]; sw != nil {
		if sw.currentSocket == nil {
			select {
			case sw.currentSocket = <-sw.sockets:
			case <-ctx.Done():
				s.t.Fatalf("%s: no connection", name)
			}
		}
		return sw.currentSocket
	}
	if s.clients[name] == nil {
		token := testToken
		if name[0] == 'v' {
			token += "-2"
		}
		c, _, err := dialAPI(ctx, s.proxy, token)
		if err != nil {
			s.t.Fatal(err)
		}
		s.clients[name] = c
	}
	return s.clients[name]
}

func dialAPI(ctx context.Context, p *Proxy, token string) (*websocket.Conn, *http.Response, error) {
	return websocket.Dial(ctx, "ws://"+p.APIAddr.String()+"/v1/calls", &websocket.DialOptions{
		Subprotocols: []string{callapi.Protocol}, HTTPHeader: http.Header{"Authorization": {"Bearer " + token}}})
}

var patternToken = regexp.MustCompile(`"([^"]*)"|\*|[0-9a-f]+`)

// parsePattern converts the bytes of a line to a message. wildcards contains the offset of
// each *, where any length and value match.
func parsePattern(t *testing.T, line string) (b []byte, wildcards map[int]bool) {
	wildcards = map[int]bool{}
	for _, m := range patternToken.FindAllStringSubmatch(line, -1) {
		switch {
		case m[0] == "*":
			wildcards[len(b)] = true
		case m[0][0] == '"':
			b = append(b, m[1]...)
		default:
			h, err := hex.DecodeString(m[0])
			if err != nil {
				t.Fatalf("%q: %v", line, err)
			}
			b = append(b, h...)
		}
	}
	return b, wildcards
}

// readMasked reads one message and removes the length and value of each wildcard parameter.
func readMasked(r io.Reader, wildcards map[int]bool) ([]byte, error) {
	head := make([]byte, 2)
	if _, err := io.ReadFull(r, head); err != nil {
		return nil, err
	}
	body := make([]byte, int(head[0])<<8|int(head[1]))
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	if len(wildcards) == 0 {
		return append(head, body...), nil
	}
	out := append([]byte{}, body[:9]...) // without the message length, which depends on the wildcards
	for rest := body[9:]; len(rest) >= 3; {
		n := 3 + int(rest[1])<<8 + int(rest[2])
		if wildcards[len(out)+1] {
			out = append(out, rest[0])
		} else {
			out = append(out, rest[:n]...)
		}
		rest = rest[n:]
	}
	return out, nil
}

func (s *script) play(text string) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if line = strings.TrimSpace(line); line != "" {
			s.t.Logf("line %d: %s", i+1, line)
			s.runLine(ctx, line)
		}
	}
}

func (s *script) runLine(ctx context.Context, line string) {
	t := s.t
	t.Helper()
	name, argument, _ := strings.Cut(line, " ")
	peer, direction := strings.TrimRight(name, "<>"), name[len(name)-1]
	json := strings.ContainsRune("wvx", rune(peer[0]))
	switch {
	case name == "list":
		s.events <- regexp.MustCompile(`\{([sx]\d) (\d) (\w+)\}`).ReplaceAllStringFunc(argument, func(m string) string {
			var n string
			var cell int
			var phase string
			fmt.Sscanf(strings.Trim(m, "{}"), "%s %d %s", &n, &cell, &phase)
			return s.member(n, cell, phase)
		})
	case name == "sync":
		s.sync(ctx, argument)
	case name == "term":
		s.term()
	case name == "hup":
		previous := s.events
		file := s.newConfig()
		if argument == "bad" {
			file, s.events = bytes.Replace(file, []byte(`"seed":"1"`), []byte(`"seed":"green"`), 1), previous
		}
		s.configFile.Store(&file)
		s.hup <- syscall.SIGHUP
	case argument == "close":
		s.close(peer, json)
	case argument == "refuse":
		s.switches[peer].ln.Close()
		s.close(peer, json)
	case argument == "eof":
		_, r := s.stream(peer)
		if b, err := io.ReadAll(r); err != nil || len(b) > 0 {
			t.Fatalf("want the end of the connection, got %x, error %v", b, err)
		}
	case json && direction == '>':
		if err := s.socket(ctx, peer).Write(ctx, websocket.MessageText, []byte(s.expand(argument))); err != nil {
			t.Fatal(err)
		}
	case json && direction == '<':
		_, b, err := s.socket(ctx, peer).Read(ctx)
		if err != nil {
			t.Fatalf("want %s, got %v", argument, err)
		}
		got := regexp.MustCompile(`"(wait_ms|retry_after_ms)":\d+`).ReplaceAllString(string(b), `"$1":0`)
		s.setVariable(argument, got)
		if diff := cmp.Diff(s.expand(argument), got); diff != "" {
			t.Fatalf("(-want +got)\n%s", diff)
		}
	case direction == '>':
		c, _ := s.stream(peer)
		b, _ := parsePattern(t, argument)
		if _, err := c.Write(b); err != nil {
			t.Fatal(err)
		}
	case direction == '<':
		_, r := s.stream(peer)
		want, wildcards := parsePattern(t, argument)
		got, err := readMasked(r, wildcards)
		if err != nil {
			t.Fatalf("want %q, got %v", want, err)
		}
		if diff := cmp.Diff(fmt.Sprintf("%q", want), fmt.Sprintf("%q", got)); diff != "" {
			t.Fatalf("(-want +got)\n%s", diff)
		}
	default:
		t.Fatalf("invalid line %q", line)
	}
}

// setVariable stores the call id of a received message if the expected line has a variable
// in its place.
func (s *script) setVariable(want, got string) {
	if m := regexp.MustCompile(`"call":"\{(\w+)\}"`).FindStringSubmatch(want); m != nil && s.variables[m[1]] == "" {
		if id := regexp.MustCompile(`"call":"([0-9a-f]{16})"`).FindStringSubmatch(got); id != nil {
			s.variables[m[1]] = id[1]
		}
	}
}

// expand replaces the variables in a line with their values.
func (s *script) expand(line string) string {
	return regexp.MustCompile(`\{(\w+)\}`).ReplaceAllStringFunc(line, func(m string) string { return s.variables[m[1:len(m)-1]] })
}

func (s *script) close(peer string, json bool) {
	switch sw := s.switches[peer]; {
	case json && sw != nil:
		sw.currentSocket.CloseNow()
		sw.currentSocket = nil
	case json:
		s.clients[peer].CloseNow()
		delete(s.clients, peer)
	case sw != nil:
		sw.current.Close()
		sw.current = nil
	default:
		s.callers[peer].Close()
		delete(s.callers, peer)
	}
}

// sync waits until the proxy has a state: "up ID", "draining ID" or "removed ID" of a switch,
// "calls UNANSWERED ESTABLISHED", "sockets N" of the tenant acme, or "conns N" from callers.
func (s *script) sync(ctx context.Context, want string) {
	for {
		unanswered, established := s.proxy.core.Counts()
		states := []string{fmt.Sprintf("calls %d %d", unanswered, established)}
		acme, _ := s.proxy.tenants.Get("acme")
		states = append(states, fmt.Sprintf("sockets %d", acme.Sockets), fmt.Sprintf("conns %d", s.proxy.server.ConnCount()))
		switchStates := map[string]string{}
		for _, m := range s.proxy.core.Switches() {
			switchStates[m.ID] = [...]string{"up", "draining", "removed"}[m.State]
			states = append(states, switchStates[m.ID]+" "+m.ID)
		}
		if id, ok := strings.CutPrefix(want, "removed "); ok && switchStates[id] == "" {
			return
		}
		for _, n := range states {
			if n == want {
				return
			}
		}
		select {
		case <-ctx.Done():
			s.t.Fatalf("waited for state %q, got %q", want, states)
		case <-time.After(time.Millisecond):
		}
	}
}

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts found: %v", err)
	}
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			t.Parallel()
			b, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			text := "\n" + string(b)
			start(t, text, settingsJSON).play(text)
		})
	}
}
