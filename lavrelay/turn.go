package lavrelay

import (
	"time"

	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavpermit"
)

// turn is a call's place among the calls of this host that wait for an endpoint of a service.
type turn struct {
	fleet   *lavfleet.Fleet
	service string
	waiting *lavpermit.Waiting
	entered bool
}

// newTurn returns the place of a call that waits until a time. It doesn't wait yet.
func (t *task) newTurn(until time.Time) *turn {
	return &turn{
		fleet:   t.relay.fleet,
		service: t.call.Service,
		waiting: &lavpermit.Waiting{
			Priority: t.call.Prompt.Priority(t.relay.fleet.Engine(t.call.Service)),
			Due:      t.call.Arrived.Add(t.call.Route.Objective),
			Until:    until,
		},
	}
}

// enter takes the place, unless the call has it.
func (u *turn) enter() {
	if !u.entered {
		u.fleet.Enqueue(u.service, u.waiting)
		u.entered = true
	}
}

// leave gives the place up, if the call has it.
func (u *turn) leave() {
	if u.entered {
		u.fleet.Dequeue(u.service, u.waiting)
	}
}
