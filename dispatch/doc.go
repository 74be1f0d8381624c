// Package dispatch decides which backend server runs a request, and whether a
// request may be sent once more. A Board knows the backend servers, what they
// hold, how many requests all instances run there, and how they have answered.
// It is plain decisions on plain data: the time is an argument, and nothing
// here waits.
//
//	choice := board.Choose(dispatch.Ask{...}, now)
//	if choice.Server != nil {
//		run := board.Begin(choice.Server.ID, target, now)
//		... send ...
//		board.End(run, outcome, now)
//	}
package dispatch
