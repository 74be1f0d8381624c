// Package harness plays the scripts of the second review. Its test binary starts instances
// of papayastair-entry as processes on loopback addresses, with small stand-ins of the
// platform's store, of workers and of clients, and checks one rule. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 it does
// the same without the disruption. HARNESS_SCENARIO names the case, and HARNESS_FOLDER the
// folder for record.txt: what was sent, answered and run. Without them nothing is played.
package harness
