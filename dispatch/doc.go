// Package dispatch balances requests over backend servers and limits retries.
//
// A Balancer tracks the registered backend servers, the models that they serve,
// the number of requests that all instances run on them, and their recent
// failures and latencies. Callers pass the current time, and no method blocks.
//
//	choice := balancer.Choose(dispatch.Request{...}, now)
//	if choice.Server != nil {
//		run := balancer.Begin(choice.Server.ID, target, now)
//		... send ...
//		balancer.End(run, result, latency, now)
//	}
package dispatch
