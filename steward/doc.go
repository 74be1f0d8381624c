// Package steward keeps the models and adapters of all model engines in line
// with what callers ask for. One instance at a time is the steward: it alone
// gives orders to backend servers. It holds a lease in the platform's store,
// and gives an order only while the lease, measured by the clock that counts
// pauses, has time left.
//
// Files, in reading order: lease.go says who is the steward, ledger.go what
// each backend server holds and may still come to hold, plan.go what should
// change, adapter.go where adapters go, steward.go gives the orders.
package steward
