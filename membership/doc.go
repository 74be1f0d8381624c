// Package membership keeps an instance's view of the entry instances and the
// backend servers, out of three sources: the platform's list, which lags;
// what peers find out; and what leaving members say of themselves.
//
// Instances watch each other in the manner of SWIM: each period an instance
// probes one other, in a random order that reaches all; one that doesn't
// answer is probed through others, then suspected, and after a while taken
// for failed unless it denies the suspicion. Findings travel on the probes.
//
// Detector is plain code on a timer.Service and function fields; Carrier
// connects it to package peer and package platform.
package membership
