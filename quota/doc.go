// Package quota keeps each workspace within its rate and burst of tokens over
// all instances together, whatever fails, and refuses hardly any request that
// is within them, wherever it arrives.
//
// A table in the platform's store names the instances that hold base shares.
// For each workspace a few of them, its homes, divide rate and burst. An
// instance that needs more borrows a slice of a home's bucket, that is tokens,
// rate and burst together, for a few seconds. The lender debits the slice
// before it answers, so a lost message loses tokens and never makes any. A
// base share counts only while there is evidence that the table is current.
//
// Reserve and Settle are on the path of a request and use no network unless
// the tokens at hand run short:
//
//	l := quota.New(quota.Config{...})
//	defer l.Close()
//	l.SetLimits(limits)
//	l.SetMembers(members)
//	outcome := l.Reserve(ctx, "wording", id, input+maxOutput)
//	if outcome.Status == quota.Refused {
//		// Answer 429 with outcome.RetryAfter; nothing was charged.
//	}
//	defer l.Settle(outcome.Reservation, input+output)
//
// Files, in reading order: table.go is the arithmetic of tables and shares,
// bucket.go one workspace's tokens at this instance, ledger.go the request
// path, lend.go the loans, evidence.go how the table is known to be current,
// change.go how it changes.
package quota
