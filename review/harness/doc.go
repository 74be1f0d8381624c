// Command harness plays the scripts of the second review. It starts instances of
// papayastair-entry as processes on loopback addresses, with small stand-ins of the
// platform's store, of workers and of clients, and checks one rule. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case couldn't run. With TROUBLE=0 it does
// the same without the disruption.
//
//	TROUBLE=1 harness SCENARIO FOLDER
//
// It writes record.txt into FOLDER: what was sent, answered and run.
package main
