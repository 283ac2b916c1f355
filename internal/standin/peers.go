package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// PeerNetwork configures the network between the proxies of a testbed.
type PeerNetwork struct {
	Loss     float64       // probability that a datagram is lost, from 0 to 1
	MaxDelay time.Duration // datagrams take up to this long, and may overtake each other
}

// maxDatagramBytes is the maximum length of a datagram between proxies.
const maxDatagramBytes = 256

// peerNetwork carries datagrams between proxies. Each proxy reaches each other one at an address set
// aside for the two of them.
type peerNetwork struct {
	config PeerNetwork
	ledger *Ledger
	listen []string // the proxies' own addresses

	mu     sync.Mutex // guards all below
	rng    *rand.Rand
	ports  [][]net.PacketConn // [i][j]: where proxy i reaches proxy j; nil for i = j
	closed bool
	wg     sync.WaitGroup // readers, and datagrams on their way
}

// newPeerNetwork opens the ports for a number of proxies. address returns the address of the port at
// which proxy i reaches proxy j, and with i = j proxy i's own, which it does not open.
func newPeerNetwork(config PeerNetwork, proxies int, address func(i, j int) string, ledger *Ledger, seed uint64) (*peerNetwork, error) {
	n := &peerNetwork{config: config, ledger: ledger, rng: rand.New(rand.NewPCG(seed, 11)), ports: make([][]net.PacketConn, proxies)}
	var failed error
	for i := range proxies {
		n.listen = append(n.listen, address(i, i))
		n.ports[i] = make([]net.PacketConn, proxies)
		for j := range proxies {
			if i == j {
				continue
			}
			port, err := net.ListenPacket("udp", address(i, j))
			if err != nil {
				failed = errors.Join(failed, err)
				continue
			}
			n.ports[i][j] = port
		}
	}
	for i, ports := range n.ports {
		for j, port := range ports {
			if port != nil && failed == nil {
				n.wg.Go(func() { n.carry(i, j, port) })
			}
		}
	}
	return n, failed
}

// settings returns the keys of proxy i's configuration, in JSON.
func (n *peerNetwork) settings(i int) string {
	var peers []string
	for j := range n.listen {
		address := n.listen[i]
		if i != j {
			address = n.ports[i][j].LocalAddr().String()
		}
		peers = append(peers, fmt.Sprintf("%q", address))
	}
	return fmt.Sprintf(`"peer_listen":%q,"peers":[%s],`, n.listen[i], strings.Join(peers, ","))
}

// carry passes the datagrams of proxy i to proxy j on, from the port at which j reaches i.
func (n *peerNetwork) carry(i, j int, port net.PacketConn) {
	target, err := net.ResolveUDPAddr("udp", n.listen[j])
	if err != nil {
		panic(err) // the addresses of a testbed are valid
	}
	buffer := make([]byte, 2*maxDatagramBytes)
	for {
		size, _, err := port.ReadFrom(buffer)
		if err != nil {
			return
		}
		if size > maxDatagramBytes {
			n.ledger.RecordViolation("proxy %d sent a datagram of %d bytes to proxy %d", i, size, j)
			continue
		}
		datagram := append([]byte(nil), buffer[:size]...)
		n.mu.Lock()
		lost, delay := n.rng.Float64() < n.config.Loss, time.Duration(n.rng.Int64N(int64(n.config.MaxDelay)+1))
		back := n.ports[j][i]
		if !lost && !n.closed {
			n.wg.Go(func() {
				time.Sleep(delay)
				_, _ = back.WriteTo(datagram, target) // nobody may listen there now
			})
		}
		n.mu.Unlock()
		n.ledger.Count("datagrams between proxies")
	}
}

// Close closes all ports.
func (n *peerNetwork) Close() {
	n.mu.Lock()
	n.closed = true
	for _, ports := range n.ports {
		for _, port := range ports {
			if port != nil {
				port.Close()
			}
		}
	}
	n.mu.Unlock()
	n.wg.Wait()
}
