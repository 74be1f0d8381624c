// Package quota enforces the rate and burst of tokens of each workspace over all
// instances together, under any failure, and rarely refuses a request that is
// within them, wherever it arrives.
//
// A table in the platform's store lists the instances that hold base shares.
// For each workspace a few of them, its homes, divide its rate and burst. An
// instance that needs more borrows a slice of a home's bucket, that is tokens,
// rate and burst together, for a few seconds. The lender debits the slice
// before it answers, so that a lost message loses tokens and never creates any.
// A base share counts only while there is evidence that the table is current.
//
// Reserve and Settle are on the request path and use no network unless the
// instance runs short of tokens:
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
// Files, in reading order: table.go computes shares from tables, bucket.go has
// the token bucket of a workspace at this instance, ledger.go the request path,
// lend.go the loans, evidence.go the evidence that the table is current, and
// change.go the changes of the table.
package quota
