package lavhost

import (
	"lavenderrack.example/lavenderrack/lavconfig"
	"lavenderrack.example/lavenderrack/lavfleet"
	"lavenderrack.example/lavenderrack/lavplan"
)

// report is what a host has running.
type report struct {
	Number uint64 `cbor:"1,keyasint"`
	// Primary is true if the receiver is the first keeper by the sender's view.
	Primary bool       `cbor:"2,keyasint,omitempty"`
	Host    string     `cbor:"3,keyasint"`
	Loads   []lifeLoad `cbor:"4,keyasint,omitempty"`
	Paces   []lifePace `cbor:"5,keyasint,omitempty"`
}

// totals is what all hosts have running.
type totals struct {
	Loads []lifeLoad `cbor:"1,keyasint,omitempty"`
	Paces []lifePace `cbor:"2,keyasint,omitempty"`
	// Counted names the report of each host that is in the sum.
	Counted []counted `cbor:"3,keyasint,omitempty"`
	// Keeper is who added up, and Number the how-manieth time.
	Keeper string `cbor:"4,keyasint"`
	Number uint64 `cbor:"5,keyasint"`
}

type counted struct {
	Host   uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

type lifeLoad struct {
	Life lavconfig.Life `cbor:"1,keyasint"`
	Load lavplan.Load   `cbor:"2,keyasint"`
}

type lifePace struct {
	Life lavconfig.Life `cbor:"1,keyasint"`
	Pace float64        `cbor:"2,keyasint"`
}

func loadsOf(r lavfleet.Report) []lifeLoad {
	out := make([]lifeLoad, 0, len(r.Loads))
	for life, load := range r.Loads {
		out = append(out, lifeLoad{Life: life, Load: load})
	}
	return out
}

func pacesOf(r lavfleet.Report) []lifePace {
	out := make([]lifePace, 0, len(r.Paces))
	for life, pace := range r.Paces {
		out = append(out, lifePace{Life: life, Pace: pace})
	}
	return out
}
