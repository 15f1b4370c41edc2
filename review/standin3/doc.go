//go:build review

// Command standin3 plays the scripts of the third review. It starts entry hosts as processes with the
// command of the deploy file, on loopback addresses, and provides the platform, the servers and the
// consumers that they meet.
//
//	standin3 -case N -record FILE [-trouble=false]
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case
// could not be played.
package main
