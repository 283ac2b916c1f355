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

// patience bounds each wait of a test; only a failing test ever sees its end.
const patience = 20 * time.Second

// A script is a recorded exchange in testdata/. Its lines are played in order
// against a whole proxy on loopback:
//
//	c1> BYTES   a caller's connection sends bytes     s1> BYTES   so does a switch
//	c1< BYTES   ... reads a message of just these     s1< BYTES   so does a switch
//	w1> JSON    a client of the call API sends        x1> JSON    so does a switch of the API
//	w1< JSON    ... reads just this                   x1< JSON    so does a switch of the API
//	NAME close  ends a connection                     NAME refuse a switch stops listening too
//	NAME eof    the proxy has closed it               list JSON   an event of the command channel
//	sync DEST   waits until the proxy knows of it     term        SIGTERM
//	hup         SIGHUP, with the channel elsewhere    hup bad     ... and a key that is wrong
//
// Bytes are hexadecimal digits and "texts"; * stands for the length and value
// of one parameter, {NAME} for a value remembered by its first use. Connections
// c1, w1 are opened by their first line; a switch takes the newest connection.
type script struct {
	t        *testing.T
	p        *Proxy
	term     context.CancelFunc
	done     chan error
	events   chan string
	cursor   int
	config   func() []byte          // the configuration, with a new channel
	file     atomic.Pointer[[]byte] // ... as SIGHUP finds it
	hup      chan os.Signal
	callers  map[string]net.Conn
	switches map[string]*standIn
	clients  map[string]*websocket.Conn
	vars     map[string]string
}

// standIn is a switch: it takes connections and hands them to the script.
type standIn struct {
	name  string
	ln    net.Listener
	conns chan net.Conn
	cur   net.Conn
	in    *bufio.Reader
	ws    chan *websocket.Conn
	curWS *websocket.Conn
}

func newStandIn(t *testing.T, name string) *standIn {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{name: name, ln: ln, conns: make(chan net.Conn, 64), ws: make(chan *websocket.Conn, 64)}
	if name[0] == 'x' {
		srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			c, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{callapi.Protocol}})
			if err == nil {
				s.ws <- c
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

// start starts a proxy with stand-ins: s1 to s3 for exchanges 1 to 3, the last
// ones as x instead where a script speaks of it.
func start(t *testing.T, text, settings string) *script {
	return startWith(t, text, settings, func(*config.Service) {})
}

// startWith starts it with changes to the service's configuration.
func startWith(t *testing.T, text, settings string, change func(*config.Service)) *script {
	s := &script{t: t, callers: map[string]net.Conn{}, switches: map[string]*standIn{},
		clients: map[string]*websocket.Conn{}, vars: map[string]string{}}
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
	s.config = func() []byte {
		return fmt.Appendf(nil, `{"name":"n0","listen":"127.0.0.1:0","seed":"1","channel":%q,"limits":{"sockets":1024},
		"known":{"cursor":1,"cmds":[{"cursor":1,"nodes":{"complete":true,"members":[%s]}}]},"settings":%s}`,
			s.newChannel(), strings.Join(members, ","), settings)
	}
	first := s.config()
	s.file.Store(&first)
	pf, err := config.Parse(first)
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
	sv := &config.Service{CallListen: "127.0.0.1:0", AnswerRetention: time.Minute, MaxStoredCalls: 1000, MaxConns: 50, Inventory: inv,
		AdminListen: "127.0.0.1:0", AdminTokenHash: tenant.HashToken(testToken)}
	change(sv)
	s.run(pf, sv)
	return s
}

// newChannel opens a command channel and returns its address; list lines are
// told there from then on. Its numbers go on where the last one's ended.
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

func (s *script) run(pf *config.Platform, sv *config.Service) {
	var err error
	if s.p, err = New(pf, sv, slog.New(slog.DiscardHandler)); err != nil {
		s.t.Fatal(err)
	}
	s.hup = make(chan os.Signal)
	s.p.ReadConfig = func() (*config.Platform, error) { return config.Parse(*s.file.Load()) }
	ctx, term := context.WithCancel(context.Background())
	s.term, s.done = term, make(chan error, 1)
	ready := make(chan struct{})
	go func() { s.done <- s.p.Run(ctx, s.hup, func() { close(ready) }) }()
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
		if s.p.Phase() != Stopped {
			s.p.core.Close() // nobody waits for what the script left standing
		}
		if err := <-s.done; err != nil {
			s.t.Errorf("the proxy ended with %v", err)
		}
	})
}

func (s *script) member(name string, cell int, phase string) string {
	return fmt.Sprintf(`{"id":"id-%s","host_port":%q,"cell":%d,"phase":%q,"up_since_ms":0}`,
		name, s.switches[name].ln.Addr(), cell, phase)
}

func (s *script) caller(name string) net.Conn {
	if s.callers[name] == nil {
		c, err := net.Dial("tcp", s.p.CallAddr.String())
		if err != nil {
			s.t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(patience))
		s.callers[name] = c
	}
	return s.callers[name]
}

// stream returns the connection that a binary line speaks of.
func (s *script) stream(name string) (net.Conn, io.Reader) {
	sw := s.switches[name]
	if sw == nil {
		c := s.caller(name)
		return c, c
	}
	if sw.cur == nil {
		select {
		case sw.cur = <-sw.conns:
		case <-time.After(patience):
			s.t.Fatalf("%s: no connection", name)
		}
		sw.cur.SetDeadline(time.Now().Add(patience))
		sw.in = bufio.NewReader(sw.cur)
	}
	return sw.cur, sw.in
}

// socket returns the WebSocket that a JSON line speaks of. Clients w... are of
// the tenant acme, v... of another.
func (s *script) socket(ctx context.Context, name string) *websocket.Conn {
	if sw := s.switches[name]; sw != nil {
		if sw.curWS == nil {
			select {
			case sw.curWS = <-sw.ws:
			case <-ctx.Done():
				s.t.Fatalf("%s: no connection", name)
			}
		}
		return sw.curWS
	}
	if s.clients[name] == nil {
		token := testToken
		if name[0] == 'v' {
			token += "-2"
		}
		c, _, err := dialAPI(ctx, s.p, token)
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

var token = regexp.MustCompile(`"([^"]*)"|\*|[0-9a-f]+`)

// pattern turns the bytes of a line into a message; skip tells of each place
// at which a parameter may hold anything.
func pattern(t *testing.T, line string) (b []byte, skip map[int]bool) {
	skip = map[int]bool{}
	for _, m := range token.FindAllStringSubmatch(line, -1) {
		switch {
		case m[0] == "*":
			skip[len(b)] = true
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
	return b, skip
}

// mask reads one message and takes out what the pattern leaves open.
func mask(r io.Reader, skip map[int]bool) ([]byte, error) {
	head := make([]byte, 2)
	if _, err := io.ReadFull(r, head); err != nil {
		return nil, err
	}
	body := make([]byte, int(head[0])<<8|int(head[1]))
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	if len(skip) == 0 {
		return append(head, body...), nil
	}
	out := append([]byte{}, body[:9]...) // its length goes by what is left open
	for rest := body[9:]; len(rest) >= 3; {
		n := 3 + int(rest[1])<<8 + int(rest[2])
		if skip[len(out)+1] {
			out = append(out, rest[0])
		} else {
			out = append(out, rest[:n]...)
		}
		rest = rest[n:]
	}
	return out, nil
}

func (s *script) play(text string) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	for i, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		if line = strings.TrimSpace(line); line != "" {
			s.t.Logf("line %d: %s", i+1, line)
			s.line(ctx, line)
		}
	}
}

func (s *script) line(ctx context.Context, line string) {
	t := s.t
	t.Helper()
	name, rest, _ := strings.Cut(line, " ")
	who, dir := strings.TrimRight(name, "<>"), name[len(name)-1]
	json := strings.ContainsRune("wvx", rune(who[0]))
	switch {
	case name == "list":
		s.events <- regexp.MustCompile(`\{([sx]\d) (\d) (\w+)\}`).ReplaceAllStringFunc(rest, func(m string) string {
			var n string
			var cell int
			var phase string
			fmt.Sscanf(strings.Trim(m, "{}"), "%s %d %s", &n, &cell, &phase)
			return s.member(n, cell, phase)
		})
	case name == "sync":
		s.sync(ctx, rest)
	case name == "term":
		s.term()
	case name == "hup":
		told := s.events
		file := s.config()
		if rest == "bad" {
			file, s.events = bytes.Replace(file, []byte(`"seed":"1"`), []byte(`"seed":"green"`), 1), told
		}
		s.file.Store(&file)
		s.hup <- syscall.SIGHUP
	case rest == "close":
		s.close(who, json)
	case rest == "refuse":
		s.switches[who].ln.Close()
		s.close(who, json)
	case rest == "eof":
		_, r := s.stream(who)
		if b, err := io.ReadAll(r); err != nil || len(b) > 0 {
			t.Fatalf("want the end of the connection, got %x, %v", b, err)
		}
	case json && dir == '>':
		if err := s.socket(ctx, who).Write(ctx, websocket.MessageText, []byte(s.expand(rest))); err != nil {
			t.Fatal(err)
		}
	case json && dir == '<':
		_, b, err := s.socket(ctx, who).Read(ctx)
		if err != nil {
			t.Fatalf("want %s, got %v", rest, err)
		}
		got := regexp.MustCompile(`"(wait_ms|retry_after_ms)":\d+`).ReplaceAllString(string(b), `"$1":0`)
		s.learn(rest, got)
		if diff := cmp.Diff(s.expand(rest), got); diff != "" {
			t.Fatalf("(-want +got)\n%s", diff)
		}
	case dir == '>':
		c, _ := s.stream(who)
		b, _ := pattern(t, rest)
		if _, err := c.Write(b); err != nil {
			t.Fatal(err)
		}
	case dir == '<':
		_, r := s.stream(who)
		want, skip := pattern(t, rest)
		got, err := mask(r, skip)
		if err != nil {
			t.Fatalf("want %q, got %v", want, err)
		}
		if diff := cmp.Diff(fmt.Sprintf("%q", want), fmt.Sprintf("%q", got)); diff != "" {
			t.Fatalf("(-want +got)\n%s", diff)
		}
	default:
		t.Fatalf("line %q can't be read", line)
	}
}

// learn remembers the call's id where a line has {id} for it, and expand fills it in.
func (s *script) learn(want, got string) {
	if m := regexp.MustCompile(`"call":"\{(\w+)\}"`).FindStringSubmatch(want); m != nil && s.vars[m[1]] == "" {
		if id := regexp.MustCompile(`"call":"([0-9a-f]{16})"`).FindStringSubmatch(got); id != nil {
			s.vars[m[1]] = id[1]
		}
	}
}

func (s *script) expand(line string) string {
	return regexp.MustCompile(`\{(\w+)\}`).ReplaceAllStringFunc(line, func(m string) string { return s.vars[m[1:len(m)-1]] })
}

func (s *script) close(who string, json bool) {
	switch sw := s.switches[who]; {
	case json && sw != nil:
		sw.curWS.CloseNow()
		sw.curWS = nil
	case json:
		s.clients[who].CloseNow()
		delete(s.clients, who)
	case sw != nil:
		sw.cur.Close()
		sw.cur = nil
	default:
		s.callers[who].Close()
		delete(s.callers, who)
	}
}

// sync waits until the proxy is as told: "gone ID", "draining ID", "calls OWED
// STANDING", "sockets N" of the tenant acme, "conns N" from callers.
func (s *script) sync(ctx context.Context, what string) {
	for {
		unanswered, standing := s.p.core.Counts()
		now := []string{fmt.Sprintf("calls %d %d", unanswered, standing)}
		acme, _ := s.p.tenants.Get("acme")
		now = append(now, fmt.Sprintf("sockets %d", acme.Sockets), fmt.Sprintf("conns %d", s.p.front.ConnCount()))
		states := map[string]string{}
		for _, m := range s.p.core.Switches() {
			states[m.ID] = [...]string{"up", "draining", "gone"}[m.State]
			now = append(now, states[m.ID]+" "+m.ID)
		}
		if id, ok := strings.CutPrefix(what, "gone "); ok && states[id] == "" {
			return
		}
		for _, n := range now {
			if n == what {
				return
			}
		}
		select {
		case <-ctx.Done():
			s.t.Fatalf("waited for %q, is %q", what, now)
		case <-time.After(time.Millisecond):
		}
	}
}

func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts: %v", err)
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
