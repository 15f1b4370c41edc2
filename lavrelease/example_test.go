package lavrelease_test

import (
	"context"
	"fmt"

	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavrelease"
)

// Two operators publish notes that are based on the same version. The second one
// receives a conflict. The first one publishes its note again and gets the same
// version as before.
func Example() {
	ctx, store := context.Background(), lavfake.NewStore()
	for _, n := range []lavrelease.Note{
		{ID: "add-caption", Add: lavrelease.Items{Models: []lavrelease.Model{{Name: "caption"}}}},
		{ID: "add-review", Add: lavrelease.Items{Models: []lavrelease.Model{{Name: "review"}}}},
		{ID: "add-caption", Add: lavrelease.Items{Models: []lavrelease.Model{{Name: "caption"}}}},
	} {
		version, err := lavrelease.Publish(ctx, store, &n)
		fmt.Println(lavrelease.VerdictOf(err), version, err)
	}
	// Output:
	// InForce 1 <nil>
	// Conflict 0 another release came first: the note builds on version 0, the head is 1; no item was changed by both, so a new note with the new Base can follow
	// InForce 1 <nil>
}
