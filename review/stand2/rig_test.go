//go:build review2

// Package stand2 holds the stand-ins of the review's cases 6 to 10. review/build-2.sh builds it
// as the program bin/review2; it is a test package with a build tag, so that it is no part of the
// default build, test run or import rules.
package stand2

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// maxRun is how long a case may run.
const maxRun = 110 * time.Second

// cases holds the cases by the name that run.sh passes.
var cases = map[string]func(*rig){}

// TestMain runs the case named by the first argument; the second is the case's folder. It runs in
// the repository's root.
func TestMain(_ *testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(couldNot)
	}
	runtime.LockOSThread() // the processes' death signal is tied to the thread that starts them
	r := newRig(os.Args[2])
	defer r.finish()
	cases[os.Args[1]](r)
}

// rig runs one case.
type rig struct {
	trouble bool
	tmp     string
	started time.Time

	mu       sync.Mutex
	record   *os.File
	children []*proc
	breaks   int
	finished bool
}

// proc is a process that the case started.
type proc struct {
	cmd  *exec.Cmd
	done chan struct{} // closed when it has exited
	err  error
	log  string
}

func newRig(folder string) *rig {
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", started: time.Now()}
	var err error
	if r.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	if r.tmp, err = os.MkdirTemp("", "review2-"); err != nil {
		r.cannot("%v", err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { r.cannot("signal %v", <-signals) }()
	time.AfterFunc(maxRun, func() { r.cannot("not finished after %v", maxRun) })
	r.note("trouble: %v", r.trouble)
	return r
}

// note writes a line to record.txt, with the seconds since the start.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// broke records that the rule was broken.
func (r *rig) broke(format string, args ...any) {
	r.note("BROKEN: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks++
}

// cannot ends the run, as the case can't be carried out.
func (r *rig) cannot(format string, args ...any) {
	r.note("COULD NOT RUN: "+format, args...)
	fmt.Printf("could not run: "+format+"\n", args...)
	r.exit(couldNot)
}

// finish ends the run with its verdict.
func (r *rig) finish() {
	r.mu.Lock()
	breaks := r.breaks
	r.mu.Unlock()
	if breaks > 0 {
		fmt.Println("broken: see record.txt")
		r.exit(broken)
	}
	r.note("held")
	fmt.Println("held")
	r.exit(held)
}

// exit ends the processes and exits.
func (r *rig) exit(code int) {
	r.mu.Lock()
	if r.finished { // another goroutine is at it
		r.mu.Unlock()
		select {}
	}
	r.finished = true
	children := r.children
	r.mu.Unlock()
	for _, p := range children {
		_ = p.cmd.Process.Kill()
		<-p.done
		if b, err := os.ReadFile(p.log); err == nil {
			r.mu.Lock()
			fmt.Fprintf(r.record, "\n--- log of the proxy, its last 8 KB\n%s", b[max(0, len(b)-8<<10):])
			r.mu.Unlock()
		}
	}
	_ = r.record.Close()
	_ = os.RemoveAll(r.tmp)
	os.Exit(code)
}

// sleep waits.
func (r *rig) sleep(d time.Duration) { time.Sleep(d) }

// until waits until the condition holds, or returns false after the time.
func until(d time.Duration, condition func() bool) bool {
	for end := time.Now().Add(d); ; time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// freeAddr returns a free loopback address.
func (r *rig) freeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.cannot("%v", err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// service is a running proxy with the hosted service.
type service struct {
	r          *rig
	api, admin string
	inventory  string // path
	*proc
}

const adminToken = "administrators-token-of-the-case"

// settings are those of deploy/service.json, with the number of exchanges.
const settings = `{
    "fleetSize": %d,
    "classes": [
      {"name": "space-check", "goalTimeMs": 2000, "deadlineMs": 9000, "worth": 1},
      {"name": "shuttle-video", "goalTimeMs": 2500, "deadlineMs": 9000, "worth": 2}
    ],
    "extra": {"here": 0, "topology": "meshed", "releaseMs": 500, "resendMs": 800, "widths": [1, 4], "classHoldMs": [11400, 18200]},
    "limits": {"mostTries": 5, "cancel": true, "dialTimeoutMs": 500, "openCap": 8192},
    "rules": {"answerSlackMs": 20, "coldShare": 0.29, "rampTimeMs": 15000, "fallMultiple": 4, "overloadForMs": 2000}
  }`

// startService starts the command of the deploy file with a service file and an inventory. keys
// are further keys of callapi.
func (r *rig) startService(fleet int, keys, inventory string) *service {
	s := &service{r: r, api: r.freeAddr(), admin: r.freeAddr(), inventory: filepath.Join(r.tmp, "inventory.yaml")}
	s.writeInventory(inventory)
	file := filepath.Join(r.tmp, "service.json")
	content := fmt.Sprintf(`{"callapi":{"listen":%q%s},"admin":{"listen":%q},"inventory":"inventory.yaml","settings":`+settings+"}",
		s.api, keys, s.admin, fleet)
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		r.cannot("%v", err)
	}
	s.proc = r.start(r.deployRun() + " -service " + file)
	if !until(15*time.Second, func() bool {
		resp, err := http.Get("http://" + s.admin + "/healthz")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return strings.TrimSpace(string(b)) == "serving"
	}) {
		r.cannot("the proxy does not serve")
	}
	r.note("proxy serves")
	return s
}

// deployRun returns the run command of the deploy file.
func (r *rig) deployRun() string {
	b, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		r.cannot("%v", err)
	}
	for line := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(line, "run = "); ok {
			var run string
			if err := json.Unmarshal([]byte(strings.TrimSpace(v)), &run); err != nil {
				r.cannot("deploy/balancer.toml: %v", err)
			}
			return run
		}
	}
	r.cannot("deploy/balancer.toml has no run command")
	return ""
}

// start starts a command by the shell, in the repository's root, with further variables in its
// environment.
func (r *rig) start(command string, env ...string) *proc {
	p := &proc{cmd: exec.Command("/bin/sh", "-c", command), done: make(chan struct{}), log: filepath.Join(r.tmp, fmt.Sprintf("log-%d.txt", time.Since(r.started).Microseconds()))}
	out, err := os.Create(p.log)
	if err != nil {
		r.cannot("%v", err)
	}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + r.tmp, "VIOLETSPAN_ADMIN_TOKEN=" + adminToken}
	p.cmd.Env = append(p.cmd.Env, env...)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		r.cannot("%v", err)
	}
	out.Close()
	r.note("started: %s %s", strings.ReplaceAll(command, r.tmp, "$TMP"), strings.ReplaceAll(strings.Join(env, " "), r.tmp, "$TMP"))
	r.mu.Lock()
	r.children = append(r.children, p)
	r.mu.Unlock()
	go func() {
		p.err = p.cmd.Wait()
		r.note("a process has exited: %v", p.cmd.ProcessState)
		close(p.done)
	}()
	return p
}

// exited reports whether the process has exited.
func (p *proc) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// writeInventory replaces the inventory's file.
func (s *service) writeInventory(content string) {
	temp := s.inventory + ".new"
	if err := os.WriteFile(temp, []byte(content), 0o600); err != nil {
		s.r.cannot("%v", err)
	}
	if err := os.Rename(temp, s.inventory); err != nil {
		s.r.cannot("%v", err)
	}
}

// call makes a request of the administration API.
func (s *service) call(method, path, body string) (status int, reply string) {
	req, err := http.NewRequest(method, "http://"+s.admin+path, bytes.NewReader([]byte(body)))
	if err != nil {
		s.r.cannot("%v", err)
	}
	req.Header.Set("Authorization", "Bearer "+adminToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.r.cannot("%s %s: %v", method, path, err)
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	s.r.note("administrator: %s %s %s: %d %s", method, path, body, resp.StatusCode, bytes.TrimSpace(b))
	return resp.StatusCode, string(b)
}

// mustCall is call; another status than the given one ends the run.
func (s *service) mustCall(status int, method, path, body string) string {
	got, reply := s.call(method, path, body)
	if got != status {
		s.r.cannot("%s %s: status %d", method, path, got)
	}
	return reply
}

// createTenant creates a tenant and returns its token.
func (s *service) createTenant(id string) string {
	var reply struct {
		Token string `json:"token"`
	}
	if err := json.Unmarshal([]byte(s.mustCall(201, "POST", "/v1/tenants", fmt.Sprintf(`{"id":%q}`, id))), &reply); err != nil {
		s.r.cannot("%v", err)
	}
	return reply.Token
}

// hash returns the SHA-256 of a token in hexadecimal.
func hash(token string) string {
	h := sha256.Sum256([]byte(token))
	return hex.EncodeToString(h[:])
}

// inventoryOf returns an inventory of switches and tenants, each a line of YAML.
func inventoryOf(switches, tenants []string) string {
	list := func(lines []string) string {
		if len(lines) == 0 {
			return " {}\n"
		}
		return "\n        " + strings.Join(lines, "\n        ") + "\n"
	}
	return "all:\n  children:\n    switches:\n      hosts:" + list(switches) + "    tenants:\n      hosts:" + list(tenants)
}

// tenantLine returns a tenant's line of the inventory.
func tenantLine(id, token string) string {
	return fmt.Sprintf(`%s: {token_sha256: "%s"}`, id, hash(token))
}

// switchLine returns a switch's line of the inventory.
func switchLine(id, addr string, exchange int) string {
	return fmt.Sprintf(`%s: {address: "%s", exchange: %d}`, id, addr, exchange)
}
