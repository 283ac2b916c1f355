package handover

import (
	"time"

	"violetspan.example/violetspan/routing"
)

// Kind is the kind of a Message.
type Kind int

// The kinds of messages.
const (
	// Claim announces that a process has started and takes over the calls of the former ones.
	Claim Kind = iota + 1
	// Offer passes a group of calls on: from a process that stops to a peer that holds them, and
	// from there to the process that claims them.
	Offer
	// Withdrawal cancels offers of calls that have ended.
	Withdrawal
	// Ack acknowledges a message of any other kind.
	Ack
)

// Message is one datagram between two proxies.
type Message struct {
	Kind     Kind
	Instance uint64 // the process that sent it; of an Ack: the one that it is for
	Sequence uint32 // number of the message among those of its sender; of an Ack: the one acknowledged
	Origin   Origin // of an Offer or a Withdrawal
	Group    Group  // of an Offer
	Calls    []uint64
}

// Origin is the process that set up the calls of an offer: the number of its proxy among the peers,
// and the number of the process, which differs after a restart.
type Origin struct {
	Proxy    int
	Instance uint64
}

// Group is a number of calls established at one switch.
type Group struct {
	Switch   string                 // the switch's id on the list
	Evidence routing.SwitchEvidence // of the origin
	Calls    []Call
}

// Call is one established call.
type Call struct {
	ID            uint64
	EstablishedAt time.Time
}

// Packet is a message for one peer.
type Packet struct {
	Peer    int
	Message Message
}

// Limits on the contents of one message, which keep every datagram within 256 bytes.
const (
	MaxGroupCalls     = 9  // calls of an Offer
	MaxWithdrawnCalls = 20 // calls of a Withdrawal
	MaxSwitchIDBytes  = 64
)
