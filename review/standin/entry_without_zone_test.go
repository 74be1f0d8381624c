package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

// entryWithoutZone: another writer writes a worker's entry and leaves out its zone. Such an
// entry names no worker to use. Orders to the worker must not come from holders that take turns
// within lease_ms (ONE).
func entryWithoutZone(r *record, trouble bool) (bool, error) {
	const (
		machines = 6
		length   = 30 * time.Second
		interval = 20 * time.Millisecond
		// spoiled is a worker of the first zone whose id, taken alone, stands for the second.
		spoiled = "xa"
	)
	f, err := startFleet(r, machines, configuration())
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	cfg := workerConfig{
		service: _streamService,
		events:  3,
		first:   20 * time.Millisecond,
		gap:     10 * time.Millisecond,
	}
	cfg.zone = _otherZone
	if err := f.startWorkers(2, cfg, 0); err != nil {
		return false, err
	}
	cfg.zone = _zone
	cfg.id = spoiled
	if err := f.startWorker(cfg, 0); err != nil {
		return false, err
	}
	c, err := f.prepare(0, cfg, 0)
	if err != nil {
		return false, err
	}
	if trouble {
		for i := range 3 {
			time.AfterFunc(time.Duration(i+1)*8*time.Second, func() {
				r.say("another writer writes the entry of %s-1 without its zone", spoiled)
				if err := f.platform.leaveOut(_kindServers, spoiled+"-1", "zone"); err != nil {
					r.say("%v", err)
				}
			})
		}
	}
	next := prompts("5c1e07a2")
	var got outcomes
	c.sendEvery(interval, time.Now().Add(length), func() request {
		q := next()
		q.model = fmt.Sprintf("%s/a%d", _model, 1+rand.IntN(_adapters))

		return q
	}, got.add)
	c.stop()
	statuses := map[int]int{}
	for _, o := range got.all() {
		statuses[o.reply.status]++
	}
	orders, turns := countTurns(r, f.seen())
	r.say("%d orders, %d turns within lease_ms, answers by status %v", orders, turns, statuses)

	return turns > 0, nil
}

// countTurns counts the orders to all workers, and how often one came from another holder than
// the one before at the same worker, within lease_ms.
func countTurns(r *record, events []workerEvent) (orders, turns int) {
	const lease = 3 * time.Second
	last := map[string]workerEvent{}
	for _, e := range events {
		if e.Kind != "Ordered" {
			continue
		}
		orders++
		before, ok := last[e.Worker]
		if ok && before.Holder != e.Holder && e.At.Sub(before.At) < lease {
			turns++
			r.say("%s is ordered by %s (fence %d), %.3f s after %s (fence %d)", e.Worker, e.Holder, e.Fence, e.At.Sub(before.At).Seconds(), before.Holder, before.Fence)
		}
		last[e.Worker] = e
	}

	return orders, turns
}

// leaveOut writes an object without one of its fields.
func (p *platform) leaveOut(kind, name, field string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.objects[kind][name]
	var fields map[string]any
	if err := json.Unmarshal(o.Spec, &fields); err != nil {
		return err
	}
	delete(fields, field)
	spec, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	o.Spec = spec
	p.record(kind, o, false)

	return nil
}
