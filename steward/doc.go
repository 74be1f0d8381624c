// Package steward selects the models and adapters that the model engines load,
// so that they follow demand, and sends the orders that load and unload them.
//
// Backend servers are divided into shards. One instance at a time is the steward
// of a shard: only this instance sends orders to the shard's backend servers. It
// holds a lease in the platform's store and sends an order only while the lease
// has time left, on a clock that keeps running while the process is suspended.
//
// Files, in reading order: lease.go acquires and renews leases, server.go tracks
// the state of each backend server, plan.go selects model changes, adapter.go
// selects servers for adapters, steward.go sends the orders.
package steward
