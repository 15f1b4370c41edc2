// Package lavlease provides named leases that are held by at most one holder at a
// time.
//
// A lease is a key in the store, bound to a store lease that its holder renews. A
// holder that was paused may still consider its lease valid after it has expired
// and another holder has acquired it. Two measures make this harmless:
//
//   - The holder computes the validity from the time at which it sent its last
//     renewal, so that it stops acting before the store expires the lease.
//   - Each acquisition gets a fencing token that is higher than all earlier
//     ones. Every order carries it, and a receiver that checks the token
//     rejects orders from earlier holders.
package lavlease
