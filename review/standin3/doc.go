// Package standin3 plays the scripts of the third review: it starts the project's own
// programs as separate processes, with stand-ins of the platform's store, workers and
// clients on loopback addresses, and judges what these have seen. It is all tests, built by
// review/build-3.sh:
//
//	standin3 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
// With TROUBLE=0 it does the same without the disruption.
package standin3
