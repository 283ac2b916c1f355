package standin

import (
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against tests that fail, or pass, because of the stand-in: a port that is cut off must accept
// no connection, also on a busy machine, where a dial takes longer than usual.
func TestPartitionedPortAcceptsNoConnection(t *testing.T) {
	const ports, busyPerCPU = 60, 3
	var stopped atomic.Bool
	defer stopped.Store(true)
	for range busyPerCPU * runtime.NumCPU() {
		go func() {
			for !stopped.Load() {
				runtime.Gosched()
			}
		}()
	}
	var wg sync.WaitGroup
	for range ports {
		p := NewPort("127.0.0.1:0", func(*PortConn) {})
		if err := p.Open(); err != nil {
			t.Fatal(err)
		}
		wg.Go(func() {
			defer p.Close()
			if err := p.Partition(); err != nil {
				t.Error(err)
				return
			}
			for range 2 {
				if c, err := net.DialTimeout("tcp", p.Addr(), 300*time.Millisecond); err == nil {
					t.Error("connected to a port that is cut off")
					defer c.Close()
				}
			}
		})
	}
	wg.Wait()
}
