// Package routing chooses a backend server for each request, and keeps
// requests that crash backend servers from running again.
//
// A Table maintains the state of the backend servers from their settings, load
// reports and cache events, and from the results of its own requests. Choose
// reserves a place on one of them and returns a Ticket. The caller sends the
// request and calls FirstToken when the answer begins and Done when it ends:
//
//	decision := table.Choose(routing.Request{...})
//	if decision.Ticket == nil {
//		// Nothing was sent; decision.Reason explains why.
//	}
//	defer table.Done(decision.Ticket, result)
//
// Suspects grants each run of a request before it is sent, and records how the
// run ended. It detects requests that crash the servers they run on, across
// the whole fleet.
package routing
