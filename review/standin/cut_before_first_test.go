package standin

import "time"

// cutBeforeFirst: workers answer with streams that end with their connection, and one of six
// crashes, three times. A stream of which the worker has sent the head and no event must not
// look complete (MIXED, ORDER).
func cutBeforeFirst(r *record, trouble bool) (bool, error) {
	const (
		workers  = 6
		events   = 10
		interval = 10 * time.Millisecond
		crashes  = 3
		between  = 5 * time.Second
		back     = 4500 * time.Millisecond
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
		events:   events,
		first:    300 * time.Millisecond,
		gap:      20 * time.Millisecond,
		unframed: true,
	}, back)
	if err != nil {
		return false, err
	}
	var got outcomes
	if trouble {
		for i := range crashes {
			time.AfterFunc(time.Duration(i+1)*between, func() {
				r.say("worker %s is killed", f.workers[i].cfg.id)
				f.workers[i].kill()
			})
		}
	}
	c.sendEvery(interval, time.Now().Add((crashes+1)*between), prompts("5c1e07a2"), got.add)
	c.stop()
	whole, empty, short := 0, 0, 0
	for _, o := range got.all() {
		switch {
		case o.reply.status != 200 || o.reply.seal == "" || !o.reply.complete:
		case o.reply.pieces == 0:
			empty++
			r.say("request %s: 200 with the seal %s, complete, without any event", o.request.id, o.reply.seal)
		case o.reply.pieces < events:
			short++
		default:
			whole++
		}
	}
	r.say("%d requests; complete streams: %d whole, %d without any event, %d with some of their events", len(got.all()), whole, empty, short)

	return empty > 0, nil
}
