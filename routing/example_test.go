package routing_test

import (
	"fmt"
	"time"

	"violetspan.example/violetspan/routing"
)

// A proxy creates one controller, passes it events and carries out the actions.
func Example() {
	c, err := routing.New(routing.Settings{
		OwnExchange: 0, FleetSize: 2, MaxAttempts: 3, ReleaseDelay: 200 * time.Millisecond,
		Classes: []routing.Class{{GoalTime: time.Second, Deadline: 5 * time.Second, Worth: 1, Width: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	handle := func(now time.Duration, ev routing.Event) {
		for _, a := range c.Handle(now, ev) {
			switch a := a.(type) {
			case routing.Send:
				fmt.Println("set up", a.Call, "toward", a.Host)
			case routing.Refuse:
				fmt.Println("refuse", a.Call)
			case routing.SetTimer:
				// start a timer that passes routing.TimerFired{} after a.After
			}
		}
	}
	now := time.Hour
	handle(now, routing.ListUpdated{Complete: true, Entries: []routing.ListEntry{
		{Host: "192.0.2.1:5060", Exchange: 0}, {Host: "192.0.2.2:5060", Exchange: 1}}})
	handle(now, routing.Offered{Call: "first", Dest: 1, Width: 1, Number: "100", Expires: now + 3*time.Second})
	handle(now, routing.ListUpdated{Entries: []routing.ListEntry{
		{Host: "192.0.2.2:5060", Exchange: 1, State: routing.Draining}}})
	handle(now, routing.Offered{Call: "second", Dest: 1, Width: 1, Number: "101", Expires: now + 3*time.Second})
	// Output:
	// set up first toward 192.0.2.2:5060
	// refuse second
}
