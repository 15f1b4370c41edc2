package lavlease_test

import (
	"context"
	"fmt"
	"time"

	"lavenderrack.example/lavenderrack/lavfake"
	"lavenderrack.example/lavenderrack/lavlease"
)

// A holder acquires a lease, sends its fencing token with each order, and releases
// the lease.
func Example() {
	ctx, store := context.Background(), lavfake.NewStore()
	lease, err := lavlease.Acquire(ctx, store, "planner", "host-1", 15*time.Second)
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(lease.Valid(time.Now()), lease.Fence())
	if err := lease.Release(ctx); err != nil {
		fmt.Println(err)
	}
	fmt.Println(lease.Valid(time.Now()))
	// Output:
	// true 1
	// false
}
