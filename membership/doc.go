// Package membership maintains an instance's view of the entry instances and
// the backend servers. It merges three sources: the platform's member list,
// which lags; findings gossiped by peers; and the leaving state that members
// announce themselves.
//
// Failure detection follows SWIM. In each interval an instance probes one
// other instance, cycling through all of them in random order. An instance
// that doesn't answer is probed indirectly through others, then marked
// suspect, and marked failed after a timeout unless it refutes the suspicion.
// Findings are piggybacked on probes and their replies.
//
// Detector performs no network I/O: it depends only on a timer.Service and function
// fields. Carrier implements those fields with package peer and an
// objectstore.Store.
package membership
