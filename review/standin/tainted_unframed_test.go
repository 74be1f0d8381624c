package standin

import (
	"os"
	"time"
)

// The dose of the users' day "tainted": a twentieth of the requests of a route, for 22 s.
const (
	_taintedFor   = 22 * time.Second
	_taintedShare = 20
	_deadlyPart   = "dead0001"
	_crashBack    = 2 * time.Second
)

// taintedUnframed: one part of a prompt crashes workers, whose answers end with their
// connections. Sound requests that share the other parts must still begin (LOST).
func taintedUnframed(r *record, trouble bool) (bool, error) {
	const (
		workers  = 12
		calm     = 8 * time.Second
		interval = 16 * time.Millisecond
	)
	f, err := startFleet(r, 4, configuration())
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	c, err := f.prepare(workers, workerConfig{
		service:  _streamService,
		events:   10,
		first:    20 * time.Millisecond,
		gap:      20 * time.Millisecond,
		unframed: os.Getenv("FRAMED") == "",
		deadly:   _deadlyPart,
	}, _crashBack)
	if err != nil {
		return false, err
	}
	var sound, tainted outcomes
	began := time.Now()
	from, until := began.Add(calm), began.Add(calm+_taintedFor)
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(time.Until(from))
		if trouble {
			r.say("requests with the deadly part begin")
			c.sendEvery(interval*_taintedShare, until, prompts(_deadlyPart), tainted.add)
		}
	}()
	c.sendEvery(interval, until, prompts("5c1e07a2"), sound.add)
	<-done
	c.stop()

	return judgeBegun(r, f.seen(), sound.all(), began, from, until), nil
}

// judgeBegun reports whether sound requests that were sent from 2 x contact_ms after the fifth
// crash (the last, if there are fewer) begin less than half as often as before the first.
func judgeBegun(r *record, events []workerEvent, sound []outcome, began, from, until time.Time) bool {
	const least = 20
	var crashes []time.Time
	for _, e := range events {
		if e.Kind == "Crashed" {
			crashes = append(crashes, e.At)
		}
	}
	judgedFrom := from
	if len(crashes) > 0 {
		judgedFrom = crashes[min(len(crashes), 5)-1].Add(2 * _contact)
	}
	starts := firstOf(events, "Began")
	statuses := map[int]int{}
	share := func(after, before time.Time) (begun, sent int) {
		clear(statuses)
		for _, o := range sound {
			if o.request.sentAt.Before(after) || !o.request.sentAt.Before(before) {
				continue
			}
			sent++
			statuses[o.reply.status]++
			if _, ok := starts[o.request.id]; ok {
				begun++
			}
		}

		return begun, sent
	}
	begunBefore, sentBefore := share(began, from)
	begunAfter, sentAfter := share(judgedFrom, until)
	r.say("%d crashes; of the sound requests began at the first attempt: %d of %d before, %d of %d from 2 x contact_ms after the fifth crash, answers by status then: %v",
		len(crashes), begunBefore, sentBefore, begunAfter, sentAfter, statuses)

	return sentBefore >= least && sentAfter >= least && 2*begunAfter*sentBefore < begunBefore*sentAfter
}
