// Package peer exchanges datagrams with the other proxies of the tier, to hand established calls over
// at a planned restart. decide/handover decides what is sent; this package has the socket and the
// clock.
package peer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"violetspan.example/violetspan/decide/handover"
	"violetspan.example/violetspan/internal/metrics"
)

// Config configures a Host.
type Config struct {
	Listen   string   // address of the socket
	Peers    []string // address of each proxy of the tier, this one included, by its number
	Own      int      // number of this proxy
	Instance uint64   // number of this process, unlike that of any other process of the tier
	// TakeOver is called for calls of this proxy's former processes, before they are acknowledged.
	// It must not block.
	TakeOver func(handover.Group)
	Log      *slog.Logger
	Metrics  *metrics.Set
}

// Host runs a handover.Node on a socket. Create it with Listen.
type Host struct {
	config Config
	conn   *net.UDPConn
	peers  []netip.AddrPort
	wake   chan struct{} // wakes send

	mu   sync.Mutex // guards node
	node *handover.Node
}

// Listen opens the socket. The host works once Run is called. Errors name the address.
func Listen(config Config) (*Host, error) {
	h := &Host{config: config, wake: make(chan struct{}, 1)}
	for i, peer := range config.Peers {
		addr, err := net.ResolveUDPAddr("udp", peer)
		if err != nil {
			return nil, fmt.Errorf("peer %d: %w", i, err)
		}
		h.peers = append(h.peers, unmapped(addr.AddrPort()))
	}
	addr, err := net.ResolveUDPAddr("udp", config.Listen)
	if err != nil {
		return nil, err
	}
	if h.conn, err = net.ListenUDP("udp", addr); err != nil {
		return nil, err
	}
	settings := handover.Defaults
	settings.Own, settings.Peers, settings.Instance = config.Own, len(config.Peers), config.Instance
	h.node = handover.New(settings, time.Now())
	return h, nil
}

// unmapped returns an address with an IPv4 address in place of one that is mapped to IPv6.
func unmapped(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// Run exchanges datagrams until the context ends, and closes the socket. It always returns nil: a
// proxy without its peers works, and releases its calls before it exits.
func (h *Host) Run(ctx context.Context) error {
	var readers sync.WaitGroup
	readers.Go(h.read)
	h.send(ctx)
	h.conn.Close()
	readers.Wait()
	return nil
}

// readErrorPause is the time between two reads that fail.
const readErrorPause = 10 * time.Millisecond

// read handles datagrams until the socket is closed.
func (h *Host) read() {
	buffer := make([]byte, MaxDatagramBytes+1)
	for {
		n, source, err := h.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(readErrorPause) // lost datagrams are repeated
			continue
		}
		h.receive(buffer[:n], unmapped(source))
	}
}

// receive handles a datagram. One that comes from no peer, or can't be read, is counted and dropped.
func (h *Host) receive(datagram []byte, source netip.AddrPort) {
	from := h.peerAt(source)
	if from < 0 {
		h.config.Metrics.PeerDatagrams.WithLabelValues(metrics.DatagramUnknownSource).Inc()
		return
	}
	m, err := decode(datagram)
	if err != nil {
		h.config.Metrics.PeerDatagrams.WithLabelValues(metrics.DatagramMalformed).Inc()
		h.config.Log.Debug("datagram of a peer dropped", "peer", from, "error", err)
		return
	}
	h.config.Metrics.PeerDatagrams.WithLabelValues(metrics.DatagramReceived).Inc()
	h.mu.Lock()
	taken := h.node.Receive(time.Now(), from, m)
	h.mu.Unlock()
	if len(taken.Calls) > 0 {
		h.config.TakeOver(taken)
	}
	h.wakeSender()
}

// peerAt returns the number of the peer with an address, or -1. The own address is no peer's.
func (h *Host) peerAt(source netip.AddrPort) int {
	for i, peer := range h.peers {
		if peer == source && i != h.config.Own {
			return i
		}
	}
	return -1
}

func (h *Host) wakeSender() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// idleInterval is the time between checks of calls that are held for too long.
const idleInterval = 10 * time.Second

// send sends what is due until the context ends.
func (h *Host) send(ctx context.Context) {
	for ctx.Err() == nil {
		pause := h.sendDue()
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-h.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// sendDue sends the packets that are due, and returns the time until the next are.
func (h *Host) sendDue() time.Duration {
	h.mu.Lock()
	now := time.Now()
	packets, next := h.node.Packets(now), h.node.NextSend()
	h.mu.Unlock()
	for _, packet := range packets {
		h.sendPacket(packet)
	}
	if next.IsZero() {
		return idleInterval
	}
	return max(0, next.Sub(now))
}

// sendPacket writes one datagram. An error is like a loss.
func (h *Host) sendPacket(packet handover.Packet) {
	datagram, err := encode(packet.Message)
	if err != nil {
		h.config.Log.Error("message to a peer can't be encoded", "peer", packet.Peer, "error", err)
		return
	}
	if _, err := h.conn.WriteToUDPAddrPort(datagram, h.peers[packet.Peer]); err != nil {
		h.config.Metrics.PeerDatagrams.WithLabelValues(metrics.DatagramNotSent).Inc()
		return
	}
	h.config.Metrics.PeerDatagrams.WithLabelValues(metrics.DatagramSent).Inc()
}

// Leave offers the established calls to the peers; see handover.Node.Leave.
func (h *Host) Leave(groups []handover.Group) {
	h.mu.Lock()
	h.node.Leave(time.Now(), groups)
	h.mu.Unlock()
	h.wakeSender()
}

// LeaveNow is Leave, and returns when what is due has been sent.
func (h *Host) LeaveNow(groups []handover.Group) {
	h.Leave(groups)
	h.sendDue()
}

// IsHandedOver reports whether a peer holds a call; see handover.Node.IsHandedOver.
func (h *Host) IsHandedOver(call uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.node.IsHandedOver(call)
}
