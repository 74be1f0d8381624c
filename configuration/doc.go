// Package configuration keeps the configuration that operators apply in
// force on every instance.
//
// The configuration in the store is one object, the head (wire.Head), which
// names the content of every subtree by digest; contents are objects of their
// own that never change. An Applier writes contents first and then updates
// the head conditionally, so a change of several subtrees is atomic.
//
// A Follower is one instance's view. It takes heads from the store, which a
// few relays per failure domain read, and from peers, and puts a version in
// force once it has all contents. The version in force never falls. Follower
// is plain code on a timer.Service and function fields; Carrier connects it
// to package peer and package platform.
package configuration
