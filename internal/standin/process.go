package standin

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"violetspan.example/violetspan/internal/sig"
)

// readyPatience bounds how long a proxy takes until it passes a test.
const readyPatience = 10 * time.Second

// Process is one proxy as the platform runs it: a program with a configuration file,
// told what to do by signals.
type Process struct {
	Name   string
	Listen string
	Binary string
	Dir    string // for its configuration and its log

	mu          sync.Mutex // guards all below
	cmd         *exec.Cmd
	exited      chan struct{}
	incarnation int
	ready       bool
	termAt      time.Time // of the incarnation that runs; zero: not told to stop
	killedAt    time.Time
	crashed     error
}

// LogPath is where the log of all incarnations goes.
func (p *Process) LogPath() string { return filepath.Join(p.Dir, p.Name+".log") }

// ConfigPath is where its configuration stands.
func (p *Process) ConfigPath() string { return filepath.Join(p.Dir, p.Name+".json") }

// WriteConfig replaces the configuration file.
func (p *Process) WriteConfig(config string) error {
	next := p.ConfigPath() + ".next"
	if err := os.WriteFile(next, []byte(config), 0o600); err != nil {
		return err
	}
	return os.Rename(next, p.ConfigPath())
}

// Start starts the program and returns once it passes a test.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.Binary)
	cmd.Env = append(os.Environ(), "ROUTER_NAME="+p.Name, "ROUTER_LISTEN="+p.Listen, "ROUTER_CONFIG="+p.ConfigPath())
	cmd.Stdout, cmd.Stderr = log, log
	// It ends with whoever started it, whatever becomes of that.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.incarnation++
	p.ready = false
	p.termAt, p.killedAt = time.Time{}, time.Time{}
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		if p.killedAt.IsZero() && (p.termAt.IsZero() || err != nil) {
			p.crashed = fmt.Errorf("%s ended by itself: %v", p.Name, err)
		}
		p.mu.Unlock()
		close(exited)
	}()
	if err := p.awaitReady(exited); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready = true
	return nil
}

func (p *Process) awaitReady(exited chan struct{}) error {
	until := time.Now().Add(readyPatience)
	for time.Now().Before(until) {
		select {
		case <-exited:
			return fmt.Errorf("%s ended before it was ready", p.Name)
		default:
		}
		if passesTest(p.Listen) {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after %v", p.Name, readyPatience)
}

// passesTest says whether a proxy answers a test.
func passesTest(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	m := sig.WithCause(sig.Test, 0, 0)
	b, err := m.Append(nil)
	if err != nil {
		panic(err) // it was made here
	}
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := c.Write(b); err != nil {
		return false
	}
	got, err := sig.Read(c)
	return err == nil && got.Type == sig.TestResult && got.Cause() == 1
}

// Signal sends a signal to the incarnation that runs.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch s {
	case syscall.SIGTERM:
		p.termAt = time.Now()
	case syscall.SIGKILL:
		p.killedAt = time.Now()
	}
	err := p.cmd.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Exited is closed when the incarnation that runs has ended.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Incarnation counts the starts.
func (p *Process) Incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// ReadyIncarnation is the number of the incarnation that runs and is ready, or 0.
func (p *Process) ReadyIncarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ready || !p.killedAt.IsZero() {
		return 0
	}
	select {
	case <-p.exited:
		return 0
	default:
		return p.incarnation
	}
}

// SignalTimes returns when the incarnation that runs, or ran last, got SIGTERM and SIGKILL;
// zero: it did not.
func (p *Process) SignalTimes() (term, kill time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.termAt, p.killedAt
}

// CrashError is why the program ended by itself, or nil.
func (p *Process) CrashError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashed
}

// Kill ends the program and waits for that.
func (p *Process) Kill() {
	p.mu.Lock()
	started := p.cmd != nil
	p.mu.Unlock()
	if started {
		_ = p.Signal(syscall.SIGKILL) // it may have ended already
		<-p.Exited()
	}
}
