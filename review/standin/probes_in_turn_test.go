package standin

import (
	"os"
	"time"
)

// probesInTurn: one part of a prompt crashes workers, and later, while such requests come
// again, the machines are stopped and started in turn. No more than three requests with the part
// may reach workers from machines in touch later than contact_ms after the fifth crash (BUDGET).
func probesInTurn(r *record, trouble bool) (bool, error) {
	const (
		machines = 4
		workers  = 12
		interval = 16 * time.Millisecond
		// The requests with the part come four times, and from the second time on the machines
		// are restarted in turn, the given time after they have come again.
		times   = 4
		pause   = 2 * time.Second
		restart = 4 * time.Second
		gap     = time.Second
		// part is such that the machines are restarted in the order in which they are to
		// send probes, so that each restart shows what it can.
		part    = "dead0029"
		allowed = 3
	)
	f, err := startFleet(r, machines, configuration())
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	c, err := f.prepare(workers, workerConfig{
		service: _streamService,
		events:  10,
		first:   20 * time.Millisecond,
		gap:     20 * time.Millisecond,
		deadly:  part,
	}, _crashBack)
	if err != nil {
		return false, err
	}
	var sound, tainted outcomes
	began := time.Now()
	until := began.Add(times*(_taintedFor+pause) - pause)
	done := make(chan struct{})
	next := prompts(part)
	go func() {
		defer close(done)
		for i := range times {
			if !trouble {
				return
			}
			r.say("requests with the deadly part come, time %d", i+1)
			from := began.Add(time.Duration(i) * (_taintedFor + pause))
			time.Sleep(time.Until(from))
			if i > 0 && os.Getenv("ROLL") != "0" {
				time.AfterFunc(restart, func() { f.restartInTurn(gap) })
			}
			c.sendEvery(interval*_taintedShare, from.Add(_taintedFor), next, tainted.add)
		}
	}()
	c.sendEvery(interval, until, prompts("5c1e07a2"), sound.add)
	<-done
	c.stop()
	var crashes []time.Time
	events := f.seen()
	for _, e := range events {
		if e.Kind == "Crashed" {
			crashes = append(crashes, e.At)
		}
	}
	arrived := firstOf(events, "Arrived")
	late := 0
	for _, o := range tainted.all() {
		at, ok := arrived[o.request.id]
		if !ok || len(crashes) < 5 || at.Before(crashes[4].Add(_contact)) {
			continue
		}
		inTouch := o.request.entry.inTouchAt(at)
		r.say("%.3f s: request %s with the part reaches a worker from %s, in touch: %t", at.Sub(r.began).Seconds(), o.request.id, o.request.entry.name, inTouch)
		if inTouch {
			late++
		}
	}
	cut := 0
	for _, o := range sound.all() {
		if len(crashes) >= 5 && o.request.sentAt.After(crashes[4].Add(_contact)) && o.reply.status == 200 && !o.reply.complete {
			cut++
		}
	}
	r.say("%d sound streams that had begun were cut off meanwhile", cut)
	r.say("%d crashes; %d requests with the part reached workers from machines in touch later than contact_ms after the fifth", len(crashes), late)

	return late > allowed, nil
}
