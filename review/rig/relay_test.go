//go:build review

package rig

import (
	"net"
	"sync"
	"time"
)

// relay forwards TCP connections to a target. It can make the connections that are open silent
// for a while: they stay open, and what is sent on them in either direction arrives afterwards, as
// TCP delivers it.
type relay struct {
	addr   string
	target string

	mu    sync.Mutex
	links []*relayLink
}

type relayLink struct {
	mu     sync.Mutex
	silent chan struct{} // closed when the silence ends; nil: none
}

func newRelay(target string) *relay {
	ln := listen()
	r := &relay{addr: ln.Addr().String(), target: target}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c.(*net.TCPConn))
		}
	}()
	return r
}

func (r *relay) serve(near *net.TCPConn) {
	c, err := net.Dial("tcp", r.target)
	if err != nil {
		near.Close()
		return
	}
	far := c.(*net.TCPConn)
	link := &relayLink{}
	r.mu.Lock()
	r.links = append(r.links, link)
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { link.copy(far, near) })
	wg.Go(func() { link.copy(near, far) })
	wg.Wait()
	near.Close()
	far.Close()
}

// copy passes on bytes, and the end of the input.
func (l *relayLink) copy(to, from *net.TCPConn) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		l.wait()
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

func (l *relayLink) wait() {
	l.mu.Lock()
	silent := l.silent
	l.mu.Unlock()
	if silent != nil {
		<-silent
	}
}

// silence makes the connections that are open now silent for d.
func (r *relay) silence(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := make(chan struct{})
	for _, l := range r.links {
		l.mu.Lock()
		l.silent = end
		l.mu.Unlock()
	}
	time.AfterFunc(d, func() { close(end) })
}
