// Package handover keeps established calls known across a planned restart of a proxy. A call goes on
// at its switch while the proxy restarts, but if the switch's process then dies, it sends no release,
// and only a proxy that knows the call can notify its caller.
//
// A proxy that stops offers its established calls to its peers. They hold them, and offer them to the
// proxy's next process as soon as that claims them. Datagrams may be late or lost, so each is repeated
// until it is acknowledged. A call that no peer has acknowledged must be released by the proxy before
// it exits. If a holder stops as well, it offers the calls that it holds to other peers.
//
// A Node is the state machine of one process, without a clock, goroutines or I/O: its host passes the
// time and the messages received to it and sends the packets it returns. It is not safe for concurrent
// use.
package handover

import (
	"maps"
	"slices"
	"time"

	"violetspan.example/violetspan/routing"
)

// Settings configures a Node.
type Settings struct {
	Own      int    // the proxy's number among the peers
	Peers    int    // the number of proxies, this one included
	Instance uint64 // number of this process; another process of the proxy must have another one
	// Copies is how many peers are to hold each call.
	Copies int
	// RetryInterval is the time until an unacknowledged message is repeated. For a message that only
	// one peer can acknowledge it doubles up to MaxRetryInterval.
	RetryInterval, MaxRetryInterval time.Duration
	ClaimTimeout                    time.Duration // how long a claim is repeated
	Retention                       time.Duration // how long calls are held for a proxy
	MaxHeld                         int           // calls held for all proxies
}

// Defaults are the settings of a running proxy, but for its numbers.
var Defaults = Settings{
	Copies:           2,
	RetryInterval:    100 * time.Millisecond,
	MaxRetryInterval: time.Second,
	ClaimTimeout:     10 * time.Second,
	Retention:        time.Minute,
	MaxHeld:          8192,
}

// heldCall is a call that this node holds for another proxy.
type heldCall struct {
	Call
	switchID  string
	evidence  routing.SwitchEvidence
	withdrawn bool // it has ended; kept because an offer may arrive late
	heldSince time.Time
}

// Node is the state of one process. Use New to create one.
type Node struct {
	settings   Settings
	sequence   uint32
	deliveries map[uint32]*delivery // by sequence; own offers stay here when they are complete
	acks       []Packet             // to be sent once
	claimedBy  map[int]uint64       // the latest instance of each peer that claimed its calls
	held       map[Origin]map[uint64]*heldCall
	heldCount  int
	leaving    bool
	offered    map[uint64]*delivery // the offer of each own call
}

// New returns the node of a process that has just started. Its first packets are its claims.
func New(settings Settings, now time.Time) *Node {
	n := &Node{settings: settings, deliveries: map[uint32]*delivery{}, claimedBy: map[int]uint64{},
		held: map[Origin]map[uint64]*heldCall{}, offered: map[uint64]*delivery{}}
	for _, peer := range n.otherPeers() {
		claim := n.deliver(Message{Kind: Claim}, []int{peer}, now)
		claim.expires = now.Add(settings.ClaimTimeout)
	}
	return n
}

// otherPeers returns all peers but this one, beginning with the farthest by number: neighbours are
// often restarted together.
func (n *Node) otherPeers() (peers []int) {
	for i := range n.settings.Peers {
		peer := (n.settings.Own + n.settings.Peers/2 + i) % n.settings.Peers
		if peer != n.settings.Own {
			peers = append(peers, peer)
		}
	}
	return peers
}

// deliver starts to send a message to one of the candidates or, if there are several, to
// Settings.Copies of them.
func (n *Node) deliver(m Message, candidates []int, now time.Time) *delivery {
	n.sequence++
	m.Instance, m.Sequence = n.settings.Instance, n.sequence
	d := newDelivery(m, candidates, n.settings.Copies, n.settings.RetryInterval, now)
	n.deliveries[m.Sequence] = d
	return d
}

// Receive handles a message from a peer. It returns the calls that this process takes over, if any;
// the host must take them over before it sends the next packets, which acknowledge them.
func (n *Node) Receive(now time.Time, from int, m Message) (taken Group) {
	if m.Kind == Ack {
		n.receiveAck(from, m)
		return Group{}
	}
	if m.Instance == n.settings.Instance {
		return Group{} // an echo
	}
	switch m.Kind {
	case Claim:
		n.receiveClaim(now, from, m.Instance)
	case Withdrawal:
		n.receiveWithdrawal(now, m)
	case Offer:
		if m.Origin == n.ownOrigin() {
			n.receiveReturned(from, m.Group.Calls)
			return Group{}
		}
		if !n.acceptsOffer(from, m) {
			return Group{}
		}
		if m.Origin.Proxy == n.settings.Own {
			taken = m.Group
		} else {
			n.hold(now, m)
		}
	}
	n.acks = append(n.acks, Packet{from, Message{Kind: Ack, Instance: m.Instance, Sequence: m.Sequence}})
	return taken
}

// acceptsOffer reports whether this process is to answer for the calls of an offer. One that stops
// does not. An offer from a process whose successor has claimed its calls already is late: that
// process may have released the calls meanwhile.
func (n *Node) acceptsOffer(from int, m Message) bool {
	claimedBy, claimed := n.claimedBy[from]
	late := m.Origin.Proxy == from && claimed && claimedBy != m.Origin.Instance
	hasRoom := m.Origin.Proxy == n.settings.Own || n.heldCount+len(m.Group.Calls) <= n.settings.MaxHeld
	return !n.leaving && !late && hasRoom
}

// receiveReturned records that a peer passes on calls that this process has offered: the peer stops as well,
// so it does not hold them any more. They are offered again.
func (n *Node) receiveReturned(from int, calls []Call) {
	for _, call := range calls {
		if offer := n.offered[call.ID]; offer != nil {
			delete(offer.ackedBy, from)
		}
	}
}

func (n *Node) receiveAck(from int, m Message) {
	d := n.deliveries[m.Sequence]
	if m.Instance != n.settings.Instance || d == nil || !slices.Contains(d.candidates, from) {
		return
	}
	d.ackedBy[from] = true
	returned := d.message.Kind == Offer && d.message.Origin.Proxy == from
	if returned {
		n.forget(d.message.Origin, d.message.Group.Calls)
	}
	if own := d.message.Kind == Offer && d.message.Origin.Proxy == n.settings.Own; !own && d.isComplete() {
		delete(n.deliveries, m.Sequence)
	}
}

// receiveClaim offers the calls held for a proxy to its new process.
func (n *Node) receiveClaim(now time.Time, proxy int, instance uint64) {
	if previous, claimed := n.claimedBy[proxy]; claimed && previous == instance {
		return // repeated
	}
	n.claimedBy[proxy] = instance
	for origin := range n.held {
		if origin.Proxy == proxy && origin.Instance != instance {
			n.offerHeld(now, origin, []int{proxy})
		}
	}
}

// hold keeps the calls of an offer for their proxy. If its new process has claimed them before, it is
// offered them at once.
func (n *Node) hold(now time.Time, m Message) {
	calls := n.heldFor(m.Origin)
	news := false
	for _, call := range m.Group.Calls {
		if calls[call.ID] == nil {
			news = true
			n.heldCount++
			calls[call.ID] = &heldCall{Call: call, switchID: m.Group.Switch, evidence: m.Group.Evidence, heldSince: now}
		}
	}
	if claimedBy, claimed := n.claimedBy[m.Origin.Proxy]; news && claimed && claimedBy != m.Origin.Instance {
		n.offerHeld(now, m.Origin, []int{m.Origin.Proxy})
	}
}

func (n *Node) heldFor(origin Origin) map[uint64]*heldCall {
	if n.held[origin] == nil {
		n.held[origin] = map[uint64]*heldCall{}
	}
	return n.held[origin]
}

// receiveWithdrawal marks calls as ended, also those whose offer has not arrived yet.
func (n *Node) receiveWithdrawal(now time.Time, m Message) {
	calls := n.heldFor(m.Origin)
	for _, id := range m.Calls {
		if calls[id] != nil {
			calls[id].withdrawn = true
		} else if n.heldCount < n.settings.MaxHeld {
			n.heldCount++
			calls[id] = &heldCall{Call: Call{ID: id}, withdrawn: true, heldSince: now}
		}
	}
}

// forget removes calls that their proxy has taken over.
func (n *Node) forget(origin Origin, calls []Call) {
	for _, call := range calls {
		if n.held[origin][call.ID] != nil {
			delete(n.held[origin], call.ID)
			n.heldCount--
		}
	}
	if len(n.held[origin]) == 0 {
		delete(n.held, origin)
	}
}

// offerHeld offers the calls held for an origin to the candidates.
func (n *Node) offerHeld(now time.Time, origin Origin, candidates []int) {
	type groupKey struct {
		switchID string
		evidence routing.SwitchEvidence
	}
	groups := map[groupKey][]Call{}
	var keys []groupKey
	for _, id := range slices.Sorted(maps.Keys(n.held[origin])) {
		call := n.held[origin][id]
		if call.withdrawn {
			continue
		}
		key := groupKey{call.switchID, call.evidence}
		if groups[key] == nil {
			keys = append(keys, key)
		}
		groups[key] = append(groups[key], call.Call)
	}
	for _, key := range keys {
		for chunk := range slices.Chunk(groups[key], MaxGroupCalls) {
			group := Group{Switch: key.switchID, Evidence: key.evidence, Calls: chunk}
			offer := n.deliver(Message{Kind: Offer, Origin: origin, Group: group}, candidates, now)
			offer.expires = now.Add(n.settings.Retention)
		}
	}
}

// Leave offers the established calls of this process to the peers, and from then on holds none for
// others. It may be called again with the calls as they are then: new ones are offered too, and offers
// of calls that have ended are withdrawn. A call must always be in a group of the same switch.
func (n *Node) Leave(now time.Time, groups []Group) {
	if !n.leaving {
		n.leaving = true
		for origin := range n.held {
			n.offerHeld(now, origin, n.otherPeers())
		}
	}
	established := map[uint64]bool{}
	for _, group := range groups {
		var added []Call
		for _, call := range group.Calls {
			established[call.ID] = true
			if n.offered[call.ID] == nil {
				added = append(added, call)
			}
		}
		if len(group.Switch) > MaxSwitchIDBytes {
			continue // it can't be encoded: the calls count as unacknowledged
		}
		for chunk := range slices.Chunk(added, MaxGroupCalls) {
			part := Group{Switch: group.Switch, Evidence: group.Evidence, Calls: chunk}
			offer := n.deliver(Message{Kind: Offer, Origin: n.ownOrigin(), Group: part}, n.otherPeers(), now)
			for _, call := range chunk {
				n.offered[call.ID] = offer
			}
		}
	}
	n.withdraw(now, established)
}

func (n *Node) ownOrigin() Origin { return Origin{n.settings.Own, n.settings.Instance} }

// withdraw withdraws the offers of all calls but the established ones.
func (n *Node) withdraw(now time.Time, established map[uint64]bool) {
	ended := map[int][]uint64{} // by peer
	for _, id := range slices.Sorted(maps.Keys(n.offered)) {
		if established[id] {
			continue
		}
		offer := n.offered[id]
		delete(n.offered, id)
		calls := slices.Clone(offer.message.Group.Calls) // packets that are being sent share the former slice
		offer.message.Group.Calls = slices.DeleteFunc(calls, func(call Call) bool { return call.ID == id })
		if len(offer.message.Group.Calls) == 0 {
			delete(n.deliveries, offer.message.Sequence)
		}
		for peer := range offer.sentTo {
			ended[peer] = append(ended[peer], id)
		}
	}
	for peer, ids := range ended {
		for chunk := range slices.Chunk(ids, MaxWithdrawnCalls) {
			n.deliver(Message{Kind: Withdrawal, Origin: n.ownOrigin(), Calls: chunk}, []int{peer}, now)
		}
	}
}

// IsHandedOver reports whether a peer has acknowledged that it holds a call of this process.
func (n *Node) IsHandedOver(call uint64) bool {
	offer := n.offered[call]
	return offer != nil && len(offer.ackedBy) > 0
}

// Packets returns the packets that are due.
func (n *Node) Packets(now time.Time) []Packet {
	packets := n.acks
	n.acks = nil
	n.expire(now)
	for _, sequence := range slices.Sorted(maps.Keys(n.deliveries)) {
		d := n.deliveries[sequence]
		maxInterval := time.Duration(0)
		if len(d.candidates) == 1 {
			maxInterval = n.settings.MaxRetryInterval
		}
		packets = append(packets, d.packets(now, maxInterval)...)
	}
	return packets
}

// NextSend returns when the next packet is due, or zero if none is until something happens.
func (n *Node) NextSend() (next time.Time) {
	for _, d := range n.deliveries {
		if !d.isComplete() && (next.IsZero() || d.nextSend.Before(next)) {
			next = d.nextSend
		}
	}
	return next
}

// expire removes deliveries that are over, and calls that were held for too long.
func (n *Node) expire(now time.Time) {
	for sequence, d := range n.deliveries {
		if !d.expires.IsZero() && d.isOver(now) {
			delete(n.deliveries, sequence)
		}
	}
	for origin, calls := range n.held {
		for id, call := range calls {
			if now.Sub(call.heldSince) >= n.settings.Retention {
				delete(calls, id)
				n.heldCount--
			}
		}
		if len(calls) == 0 {
			delete(n.held, origin)
		}
	}
}

// HeldCount returns the number of calls held for other proxies, withdrawn ones included.
func (n *Node) HeldCount() int { return n.heldCount }
