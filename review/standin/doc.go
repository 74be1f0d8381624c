// Command standin holds the stand-ins and the checks of the cases in review: the users'
// platform's store, workers and clients, as the users' pages describe them, and a fleet of
// papayastair-entry processes. The script of a case runs it with the case's name.
//
//	standin worker [flags]   one worker, as a process of its own
//	standin case NAME        one case; exits with 1 if the rule was broken, 0 if it held
//	                         and 2 if the case couldn't run
package main
