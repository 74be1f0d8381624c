// Package soak plays faults against the program that runs on the users'
// platform: real processes, faults from outside, and promises that are checked
// by what callers and backend servers saw. It is all tests:
//
//	go test ./soak                                      a short, seeded run
//	PAPAYASTAIR_SOAK=50 go test ./soak -run Seeds -v    fifty fresh seeds
//	PAPAYASTAIR_SOAK_SEED=7 go test ./soak -run Seeds   one again
//
// PAPAYASTAIR_SOAK_INSTANCES is the number of processes; from 13 on they tell
// each other by relays. Promises with a time bound are checked in runs by hand.
package soak
