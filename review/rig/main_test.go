//go:build review

// Package rig holds the stand-ins of the review's cases: callers, switches, the command channel
// and a TCP relay. It is built by review/build.sh as a program; its argument names the case.
package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"violetspan.example/violetspan/internal/sig"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var cases = map[string]func(*run) int{}

func TestMain(*testing.M) {
	runtime.LockOSThread() // a proxy is killed when the thread that started it ends
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig CASE RECORD")
		os.Exit(notRun)
	}
	os.Exit(execute(cases[os.Args[1]], os.Args[2]))
}

// run is one run of a case.
type run struct {
	trouble bool   // false with TROUBLE=0: the same without the disruption
	dir     string // temporary folder
	start   time.Time
	mu      sync.Mutex
	record  *bufio.Writer
	proxies []*exec.Cmd
}

// abort ends a case that can't run.
type abort struct{ why string }

func execute(c func(*run) int, recordPath string) (code int) {
	f, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer os.RemoveAll(dir)
	r := &run{trouble: os.Getenv("TROUBLE") != "0", dir: dir, start: time.Now(), record: bufio.NewWriter(f)}
	defer func() {
		if e := recover(); e != nil {
			r.logf("case could not run: %v", e)
			code = notRun
		}
		r.stopProxies()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.record.Flush()
	}()
	r.logf("disruption: %t", r.trouble)
	code = c(r)
	r.logf("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken", notRun: "not run"}[code])
	return code
}

// logf writes a line to the record.
func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	fmt.Fprintln(r.record, line)
	if os.Getenv("VERBOSE") != "" {
		fmt.Println(line)
	}
}

func must(err error) {
	if err != nil {
		panic(abort{err.Error()})
	}
}

// listen opens a listener on a free loopback port.
func listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	return ln
}

// freeAddr returns a loopback address with a port that was free a moment ago.
func freeAddr() string {
	ln := listen()
	defer ln.Close()
	return ln.Addr().String()
}

// settings are those of the first message in WIRE-violetspan.md, for a fleet of six.
func settings(here int) map[string]any {
	return map[string]any{
		"fleetSize": 6,
		"classes": []any{
			map[string]any{"name": "space-check", "goalTimeMs": 2000, "deadlineMs": 9000, "worth": 1, "lateShare": 0.25, "stream": true},
			map[string]any{"name": "shuttle-video", "goalTimeMs": 2500, "deadlineMs": 9000, "worth": 2, "lateShare": 0.1, "stream": true},
		},
		"extra": map[string]any{"here": here, "topology": "meshed", "releaseMs": 500, "resendMs": 800,
			"widths": []int{1, 4}, "classHoldMs": []int{11400, 18200}, "hintsRoute": true},
		"limits": map[string]any{"mostTries": 5, "cancel": true, "dialTimeoutMs": 500, "openCap": 20000, "connIdleMs": 600000},
		"realms": []any{map[string]any{"name": "main-lot"}, map[string]any{"name": "river-lot"}, map[string]any{"name": "east-lot"}},
		"rules": map[string]any{"answerSlackMs": 20, "askWithinMs": 10000, "coldShare": 0.29, "drainGraceMs": 500,
			"fallMultiple": 4, "overloadForMs": 2000, "rampTimeMs": 15000},
	}
}

// startProxy starts the program with the command of the deploy file, which run.sh passes in
// PROXY_RUN, and returns once it answers a test.
func (r *run) startProxy(name, listenAddr, channel string, known events, args ...string) *exec.Cmd {
	config := filepath.Join(r.dir, name+".json")
	b, err := json.Marshal(map[string]any{"name": name, "listen": listenAddr, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "peers": []string{},
		"channel": channel, "known": known, "settings": settings(0)})
	must(err)
	must(os.WriteFile(config, b, 0o600))
	command := os.Getenv("PROXY_RUN")
	if command == "" {
		panic(abort{"PROXY_RUN is not set"})
	}
	log, err := os.OpenFile(filepath.Join(r.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", strings.Join(append([]string{command}, args...), " "))
	cmd.Env = append(os.Environ(), "ROUTER_NAME="+name, "ROUTER_LISTEN="+listenAddr, "ROUTER_CONFIG="+config, "TMPDIR="+r.dir)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	r.proxies = append(r.proxies, cmd)
	for range 500 {
		if testPasses(listenAddr) {
			r.logf("proxy %s is ready, pid %d", name, cmd.Process.Pid)
			return cmd
		}
		time.Sleep(20 * time.Millisecond)
	}
	panic(abort{"the proxy is not ready after 10 s"})
}

// stopProxies kills what is left of the proxies that this run started, and copies their logs into
// the record.
func (r *run) stopProxies() {
	for _, cmd := range r.proxies {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	logs, _ := filepath.Glob(filepath.Join(r.dir, "*.log"))
	for _, path := range logs {
		if b, err := os.ReadFile(path); err == nil {
			r.logf("log %s of the proxy:\n%s", filepath.Base(path), b)
		}
	}
}

func testPasses(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if !send(c, sig.WithCause(sig.Test, 0, 0)) {
		return false
	}
	m, err := sig.Read(c)
	return err == nil && m.Type == sig.TestResult && m.Cause() == 1
}

// encode returns the bytes of a message.
func encode(m sig.Message) []byte {
	b, err := m.Append(nil)
	must(err)
	return b
}

func send(c net.Conn, m sig.Message) bool {
	_, err := c.Write(encode(m))
	return err == nil
}
