package core

import "violetspan.example/violetspan/routing"

// FinalAnswer is what a caller was told of its set-up.
type FinalAnswer int

// The final answers.
const (
	AnswerEstablished  FinalAnswer = iota
	AnswerRefused                  // turned away by the policy
	AnswerFailed                   // failed by the policy
	AnswerOverdue                  // failed by the core: the policy did not decide in time
	AnswerCallerLeft               // the caller left first
	AnswerNotDelivered             // its connection broke while it was written
	AnswerShutdown                 // failed by the core: the proxy is about to end
)

func (a FinalAnswer) String() string {
	return [...]string{"stands", "refused", "failed", "overdue", "caller_left", "not_delivered", "shutdown"}[a]
}

// EndReason is why a call that stood is over.
type EndReason int

// The reasons.
const (
	EndReleased     EndReason = iota // its switch said that it has come to its end
	EndCutBySwitch                   // its switch said that it was cut
	EndHungUp                        // its caller hung up
	EndProcessGone                   // its switch refuses connections, or another has its address
	EndUnreachable                   // its switch was not heard of for too long
	EndRemoved                       // the list says that its switch has gone
	EndRestarted                     // the list says that its switch was started anew
	EndShutdown                      // this proxy stops, and no other could tell its caller
	EndHandedOver                    // this proxy stopped; it stands on, and the next one passes its release on
	EndNotDelivered                  // its answer did not reach its caller
)

func (r EndReason) String() string {
	return [...]string{"released", "cut_by_switch", "hung_up", "switch_process_gone", "switch_unreachable",
		"switch_removed", "switch_restarted", "shutdown", "left_to_next", "not_delivered"}[r]
}

// judgedHere says whether the switch did not say so itself and may not know it.
func (r EndReason) judgedHere() bool {
	switch r {
	case EndUnreachable, EndRemoved, EndRestarted, EndShutdown:
		return true
	}
	return false
}

// Observer is told what becomes of calls. Its methods must not block and may be
// called by several goroutines, also under the core's lock.
type Observer interface {
	FinalAnswer(a FinalAnswer)
	CallEnded(r EndReason)
	AttemptEnded(r routing.Result)
	SetUpHeldBack()
}

// unobserved is the Observer of a Core that has none.
type unobserved struct{}

func (unobserved) FinalAnswer(FinalAnswer)     {}
func (unobserved) CallEnded(EndReason)         {}
func (unobserved) AttemptEnded(routing.Result) {}
func (unobserved) SetUpHeldBack()              {}
