// Package placement decides on which accelerators the copies of each model
// stand. The decision in force is a set of objects in the platform's store,
// one for each model, that a Catalog mirrors. A Planner computes the next
// steps from the catalog, the backend servers and the demand; it is plain
// code without I/O. A Manager carries the steps of one instance's planner
// into the store. Package order makes the engines follow the catalog.
//
// Any instance may run a Manager; the instance that comes first by
// rendezvous hashing plans, and the others stand by. Two that plan at once do
// no harm: each step is a conditional update of one model's object, a copy is
// dropped only while another serves by the same object, and memory is guarded
// by package order.
package placement
