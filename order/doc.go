// Package order reconciles backend servers with the catalog of package
// placement by sending load and unload orders to their engines. One instance
// at a time sends orders to a backend server: the holder of its lease, an
// object of kind OrderLease in the platform's store.
//
// Before an order is sent, the holder records it as an intent in the lease
// object. The conditional update fails if the instance is no longer the holder,
// and the order is sent only within a bounded time after the start of the
// update. A new holder therefore finds in the object every order of previous
// holders that may still arrive. A Ledger charges the memory of those orders
// until a load report, requested after their latest possible arrival, shows
// their outcome.
//
// The protocol requires neither engines that check fencing numbers nor lease
// renewal: while the store is unavailable, holders keep their leases and no
// order is sent.
package order
