// Package routing chooses a backend server for each request, and keeps the
// requests that crash backend servers from running again.
//
// A Table knows the backend servers from their settings, their load reports,
// their cache events and from what its own requests met. Choose reserves a
// place at one of them and returns a Ticket; the caller sends the request,
// tells FirstToken when its answer begins and Done when it ends:
//
//	decision := table.Choose(routing.Request{...})
//	if decision.Ticket == nil {
//		// decision.Reason says why; nothing was sent.
//	}
//	defer table.Done(decision.Ticket, result)
//
// Suspects is asked before a request leaves, and told how it ended. It finds
// the request that ends each backend server that runs it, through the whole
// fleet.
package routing
