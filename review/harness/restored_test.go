package harness

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Limits of the disruptions in the scenario restored, as the pages give them.
const (
	_revokeBound  = 5 * time.Second
	_copyAge      = 9 * time.Second
	_storeAway    = 2 * time.Second
	_writtenAgain = time.Second
)

// sentRequest is a request with the time at which its client sent it.
type sentRequest struct {
	at  time.Duration
	key string
}

// playRestored checks that a key that the operator has taken away stays without effect,
// when the store is away and comes back from a copy while the instances start again.
func playRestored(c *context) (broken bool, err error) {
	routes := []map[string]any{route("filing", "non_idempotent", "desk", nil)}
	services := []map[string]any{plainService("desk")}
	c.store.put("config", "main", configuration(1, routes, services, "key-stays", "key-goes"))
	for i := range 3 {
		w := c.newWorker(fmt.Sprintf("w-%d", i+1), "desk", _zones[i], 6)
		w.work = w.answerPlain(20 * time.Millisecond)
		if err := w.start(c.network + ".9"); err != nil {
			return false, err
		}
	}
	if err := c.fleet.start(); err != nil {
		return false, err
	}
	if err := c.fleet.awaitReady(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	sent := map[string]sentRequest{}
	stop := c.clients(len(c.fleet.instances), 100*time.Millisecond, func(client, n int) {
		key := []string{"key-stays", "key-goes"}[n%2]
		id := fmt.Sprintf("q-%d-%d", client, n)
		mu.Lock()
		sent[id] = sentRequest{
			at:  c.rec.since(),
			key: key,
		}
		mu.Unlock()
		a := send(c.fleet.instances[client].front(), request{
			id:       id,
			method:   http.MethodPost,
			path:     "/filing/x",
			fields:   []string{"X-Key: " + key},
			deadline: time.Second,
		})
		c.rec.note("client %d sent %s with %s: %s", client, id, key, a)
	})
	time.Sleep(time.Second)
	kept := c.store.copy()
	keptAt := time.Now()
	time.Sleep(500 * time.Millisecond)
	c.rec.note("the operator takes key-goes away")
	c.store.put("config", "main", configuration(2, routes, services, "key-stays"))
	revokedAt := c.rec.since()
	time.Sleep(time.Until(keptAt.Add(_copyAge - _storeAway)))
	if c.trouble {
		if err := c.loseStore(kept, func() {
			c.store.put("config", "main", configuration(2, routes, services, "key-stays"))
		}); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	stop()
	late := 0
	for _, w := range c.workers {
		for _, r := range w.all() {
			if q := sent[r.id]; q.key == "key-goes" && q.at > revokedAt+_revokeBound {
				late++
				c.rec.note("BROKEN: %s ran at %.0f ms; its client sent it %.0f ms after the key was taken away", r.id,
					r.began.Seconds()*1000, (q.at-revokedAt).Seconds()*1000)
			}
		}
	}
	c.rec.note("%d requests with the key that was taken away ran though they were sent later than %s after it", late, _revokeBound)

	return late > 0, nil
}

// loseStore plays the drill: the store is away, all processes are killed and start again,
// and the store comes back from a copy. Everybody writes again what the copy lacks.
func (c *context) loseStore(kept storeCopy, operator func()) error {
	c.rec.note("the store is away")
	c.store.setDown(true)
	time.Sleep(_storeAway / 4)
	var wg sync.WaitGroup
	for _, p := range c.fleet.instances {
		wg.Go(p.kill)
	}
	wg.Wait()
	time.Sleep(_storeAway / 4)
	if err := c.fleet.start(); err != nil {
		return err
	}
	time.Sleep(_storeAway / 2)
	c.rec.note("the store is back from a copy that is %s old", _copyAge)
	c.store.restore(kept)
	for _, w := range c.workers {
		w.register("ready")
	}
	time.Sleep(_writtenAgain)
	c.rec.note("the operator writes the configuration again")
	operator()

	return nil
}
