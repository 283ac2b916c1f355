package core

import "violetspan.example/violetspan/routing"

// FinalAnswer is the final answer that a caller got for its set-up.
type FinalAnswer int

// The final answers. Their String values are metric labels.
const (
	AnswerEstablished  FinalAnswer = iota // the call is established
	AnswerRefused                         // refused by the controller
	AnswerFailed                          // failed by the controller
	AnswerOverdue                         // failed by the core: the controller did not decide in time
	AnswerCallerLeft                      // none: the caller withdrew the set-up first
	AnswerNotDelivered                    // the caller's connection broke while the answer was written
	AnswerShutdown                        // failed by the core: the proxy is about to exit
	AnswerShed                            // refused by the core while it waited: its source floods
)

func (a FinalAnswer) String() string {
	return [...]string{"stands", "refused", "failed", "overdue", "caller_left", "not_delivered", "shutdown", "shed"}[a]
}

// EndReason is why an established call ended.
type EndReason int

// The end reasons. Their String values are metric labels.
const (
	EndReleased     EndReason = iota // its switch reported a normal end
	EndCutBySwitch                   // its switch reported that it was cut
	EndHungUp                        // its caller hung up
	EndProcessGone                   // its switch refuses connections, or another switch has its address
	EndUnreachable                   // its switch was silent for too long
	EndRemoved                       // its switch was removed from the list
	EndRestarted                     // the list reports a restart of its switch
	EndShutdown                      // this proxy stops, and no other process could notify the caller
	EndHandedOver                    // this proxy stopped; the next one forwards the call's release
	EndNotDelivered                  // its answer did not reach the caller
)

func (r EndReason) String() string {
	return [...]string{"released", "cut_by_switch", "hung_up", "switch_process_gone", "switch_unreachable",
		"switch_removed", "switch_restarted", "shutdown", "left_to_next", "not_delivered"}[r]
}

// decidedLocally reports whether this proxy ended the call by itself, so that the switch may
// still have it.
func (r EndReason) decidedLocally() bool {
	switch r {
	case EndUnreachable, EndRemoved, EndRestarted, EndShutdown:
		return true
	}
	return false
}

// Observer counts the results of calls and attempts. Its methods must not block. They may be
// called concurrently, also with the core's lock held.
type Observer interface {
	FinalAnswer(a FinalAnswer)
	CallEnded(r EndReason)
	AttemptEnded(r routing.Result)
	// SetUpHeldBack counts a Send of the controller that was not executed, as it would have
	// broken a rule.
	SetUpHeldBack()
}

// discardObserver is the default Observer; it does nothing.
type discardObserver struct{}

func (discardObserver) FinalAnswer(FinalAnswer)     {}
func (discardObserver) CallEnded(EndReason)         {}
func (discardObserver) AttemptEnded(routing.Result) {}
func (discardObserver) SetUpHeldBack()              {}
