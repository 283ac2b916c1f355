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

// readyTimeout bounds the time from a proxy's start until it answers a test.
const readyTimeout = 10 * time.Second

// Process is one proxy as the platform runs it: a program with a configuration file, controlled
// by signals.
type Process struct {
	Name   string
	Listen string
	Binary string
	Dir    string // holds the configuration file and the log

	mu          sync.Mutex // guards all below
	cmd         *exec.Cmd
	exited      chan struct{}
	incarnation int
	ready       bool
	termAt      time.Time // SIGTERM to the current incarnation; zero: none
	killedAt    time.Time
	crashErr    error
}

// LogPath returns the path of the log, which all incarnations share.
func (p *Process) LogPath() string { return filepath.Join(p.Dir, p.Name+".log") }

// ConfigPath returns the path of the configuration file.
func (p *Process) ConfigPath() string { return filepath.Join(p.Dir, p.Name+".json") }

// WriteConfig replaces the configuration file atomically.
func (p *Process) WriteConfig(config string) error {
	next := p.ConfigPath() + ".next"
	if err := os.WriteFile(next, []byte(config), 0o600); err != nil {
		return err
	}
	return os.Rename(next, p.ConfigPath())
}

// Start starts the program and returns once it answers a test. It fails if the program exits
// before that or takes longer than readyTimeout.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.Binary)
	cmd.Env = append(os.Environ(), "ROUTER_NAME="+p.Name, "ROUTER_LISTEN="+p.Listen, "ROUTER_CONFIG="+p.ConfigPath())
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the proxy when the test process ends, however it ends.
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
			p.crashErr = fmt.Errorf("proxy %s exited without a signal or with an error: %v", p.Name, err)
		}
		p.mu.Unlock()
		close(exited)
	}()
	if err := p.waitReady(exited); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready = true
	return nil
}

func (p *Process) waitReady(exited chan struct{}) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		select {
		case <-exited:
			return fmt.Errorf("proxy %s exited before it was ready", p.Name)
		default:
		}
		if answersTest(p.Listen) {
			return nil
		}
		time.Sleep(5 * time.Millisecond)
	}
	return fmt.Errorf("proxy %s is not ready after %v", p.Name, readyTimeout)
}

// answersTest reports whether a proxy answers a test.
func answersTest(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	m := sig.WithCause(sig.Test, 0, 0)
	encoded, err := m.Append(nil)
	if err != nil {
		panic(err) // a message built here always fits
	}
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(encoded); err != nil {
		return false
	}
	reply, err := sig.Read(conn)
	return err == nil && reply.Type == sig.TestResult && reply.Cause() == 1
}

// Signal sends a signal to the current incarnation; it is no error if that has exited.
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

// Exited returns a channel that is closed when the current incarnation has exited.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Incarnation returns the number of starts so far.
func (p *Process) Incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation
}

// ReadyIncarnation returns the number of the current incarnation if it is running and ready,
// otherwise 0.
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

// SignalTimes returns when SIGTERM and SIGKILL were sent to the current or last incarnation;
// zero: not sent.
func (p *Process) SignalTimes() (term, kill time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.termAt, p.killedAt
}

// CrashError returns the error of an exit that no SIGKILL or clean SIGTERM explains, or nil.
func (p *Process) CrashError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashErr
}

// Kill sends SIGKILL and waits until the program has exited.
func (p *Process) Kill() {
	p.mu.Lock()
	started := p.cmd != nil
	p.mu.Unlock()
	if started {
		_ = p.Signal(syscall.SIGKILL) // it may have exited already
		<-p.Exited()
	}
}
