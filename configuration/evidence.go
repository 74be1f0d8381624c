package configuration

import (
	"time"

	"papayastair.dev/papayastair/wire"
)

// evidence is what an instance knows of the age of its knowledge. It passes
// it on as durations, so no two clocks are compared: whoever asks notes when
// it asked, and takes a duration in the answer as counted back from then.
// That makes everything look older than it is, never younger.
type evidence struct {
	// heard is when the store or a peer was asked that answered.
	heard time.Time
	// current is the newest version that a reading of the store has shown,
	// and currentAt when that reading began.
	current   int
	currentAt time.Time
	// confirmed and confirmedAt are the same for confirmations.
	confirmed   int
	confirmedAt time.Time
	// servedAsOf is the latest time at which the version in force is known to
	// have been the newest, or to be newer than that.
	servedAsOf time.Time
}

// hear notes an answer to what was asked at a time.
func (e *evidence) hear(asked time.Time) {
	if asked.After(e.heard) {
		e.heard = asked
	}
}

// read notes that a version was the newest at a time. Evidence of an older
// version never replaces that of a newer one: it comes from an old reading.
func (e *evidence) read(version int, at time.Time) {
	if version > e.current || version == e.current && at.After(e.currentAt) {
		e.current = version
		e.currentAt = at
	}
}

// confirm notes that a version was surely the newest at a time.
func (e *evidence) confirm(version int, at time.Time) {
	if version > e.confirmed || version == e.confirmed && at.After(e.confirmedAt) {
		e.confirmed = version
		e.confirmedAt = at
	}
	e.read(version, at)
}

// learn takes over a peer's evidence.
func (e *evidence) learn(reply wire.SyncReply, asked time.Time) {
	if reply.Current > 0 {
		e.read(reply.Current, asked.Add(-milliseconds(reply.AgeMilliseconds)))
	}
	if reply.Confirmed > 0 {
		e.confirm(reply.Confirmed, asked.Add(-milliseconds(reply.ConfirmedAgeMilliseconds)))
	}
}

// reply is the evidence as a peer gets it.
func (e *evidence) reply(now time.Time) wire.SyncReply {
	var reply wire.SyncReply
	if e.current > 0 {
		reply.Current = e.current
		reply.AgeMilliseconds = roundUp(now.Sub(e.currentAt))
	}
	if e.confirmed > 0 {
		reply.Confirmed = e.confirmed
		reply.ConfirmedAgeMilliseconds = roundUp(now.Sub(e.confirmedAt))
	}

	return reply
}

// serve brings servedAsOf up to date for the version in force.
func (e *evidence) serve(version int) {
	if version > 0 && e.current <= version && e.currentAt.After(e.servedAsOf) {
		e.servedAsOf = e.currentAt
	}
}

// confirmedSince reports whether a version is no older than one confirmed
// after a time.
func (e *evidence) confirmedSince(start time.Time, version int) bool {
	return e.confirmed > 0 && version >= e.confirmed && !e.confirmedAt.Before(start)
}

func milliseconds(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}

func roundUp(d time.Duration) int {
	return int((d + time.Millisecond - 1) / time.Millisecond)
}
