package routing

import "time"

// SwitchEvidence is what a process knows of the life of a switch. The next process inherits it with the calls
// that are established there.
type SwitchEvidence struct {
	LastEvidence time.Time // the latest sign of life, such as a connection that came up
	LastReceived time.Time // when something was last received
	// SuspectedSince is when something was last received before a reset, or other evidence, made the process of
	// the switch suspect of having been replaced. Zero: it is not suspected.
	SuspectedSince time.Time
	CallsBefore    time.Time // in that case, the calls established before this would have ended
	AfterSilence   bool      // in that case, a connection had fallen silent, or further ones failed
	// CountedBefore is the time before which established calls were counted in a state of the trunk group.
	// Zero: none were.
	CountedBefore time.Time
	CountedUsed   int // circuits that were in use then
	CountedOthers int // of these, circuits of others' calls
}
