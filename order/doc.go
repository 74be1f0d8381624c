// Package order makes engines follow the catalog of package placement. For
// each backend server one instance at a time gives the orders, by an object
// of kind OrderLease in the platform's store.
//
// An order is sent only after it stands in that object as an intent, by a
// conditional update that fails for an instance that is no longer the holder,
// and only within a bounded time after that update was begun. A new holder
// therefore finds in the object each order of its predecessors that may still
// arrive. A Ledger charges the memory of those orders until a report, asked
// for after their latest possible arrival, shows what became of them. No part
// of this needs the engine to check fencing numbers, nor a lease to be
// renewed: with the store down, holders stay holders and no order is given.
package order
