// Package standin holds the stand-ins and the checks of the cases in review: the users'
// platform's store, workers and clients, as the users' pages describe them, and a fleet of
// papayastair-entry processes. All of it is test code. The script of a case runs the package's
// test program, which review/build.sh builds, with the case's name:
//
//	review-standin worker [flags]           one worker, as a process of its own
//	review-standin case -record FILE NAME   one case; exits with 1 if the rule was broken, 0 if
//	                                        it held and 2 if the case couldn't run
//
// As a part of the default test run it does nothing.
package standin
