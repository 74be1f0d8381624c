// Package placement assigns copies of models to accelerators. The current
// assignment is stored as one object per model in the platform's store, and a
// Catalog caches these objects. A Planner computes the next steps from the
// catalog, the backend servers and the demand; it performs no I/O. A Manager
// writes the steps of one instance's planner to the store. Package order loads
// and unloads models on the engines to match the catalog.
//
// Every instance may run a Manager. Rendezvous hashing selects the instance
// that plans; the others are on standby. Concurrent planners are safe: each
// step is a conditional update of one model's object, a copy is dropped only
// while the same object lists another serving copy, and package order prevents
// memory overcommitment.
package placement
