package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	_before       = "printdesk"
	_after        = "printdesk-new"
	_contact      = 3000 * time.Millisecond
	_plainPause   = 20 * time.Millisecond
	_plainTimeout = 600 * time.Millisecond
	_observed     = 8 * time.Second
)

// statusRoute returns the declaration of a public route to a service.
func statusRoute(service string) map[string]any {
	return map[string]any{
		"name": "status", "host": _host, "path_prefix": "/status/", "kind": "idempotent", "timeout_ms": 600, "goal_ms": 100,
		"priority": 2, "service": service, "attempts": 2, "public": true,
	}
}

// sentAt holds the times at which clients sent their requests, by id.
type sentAt struct {
	mu    sync.Mutex
	times map[string]time.Time
}

func (s *sentAt) add(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times[id] = time.Now()
}

func (s *sentAt) get(id string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.times[id]

	return at, ok
}

// playMoved moves a route to another service. With the trouble, the settings files have
// got another address of the store before that, with SIGHUP to each machine; the former
// one is closed later. It returns the breaks of the rule CONFIG.
func playMoved(rec *record, trouble bool) (breaks []string, err error) {
	f, err := newFleet(rec)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	former, err := newForward(f.platform.Address)
	if err != nil {
		return nil, err
	}
	defer former.Close()
	f.storeAddress = former.address
	services := []any{
		map[string]any{"name": _before, "health_path": "/healthz", "max_conns": 110},
		map[string]any{"name": _after, "health_path": "/healthz", "max_conns": 110},
	}
	if err := f.declare([]any{statusRoute(_before)}, services, []any{tenant()}); err != nil {
		return nil, err
	}
	workers, err := f.startPlain([]string{_before, _after}, []string{"colombo-a", "negombo"})
	if err != nil {
		return nil, err
	}
	defer closeAll(workers)
	sent := sentAt{times: map[string]time.Time{}}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range f.machines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.askPlain(i, &sent, stop)
		}()
	}
	time.Sleep(_apply)
	if trouble {
		if err := f.moveStore(former); err != nil {
			return nil, err
		}
	}
	time.Sleep(_contact + time.Second)
	if err := f.declare([]any{statusRoute(_after)}, services, []any{tenant()}); err != nil {
		return nil, err
	}
	acknowledged := time.Now()
	rec.write("acknowledged: version %d moves the route from %s to %s", f.version, _before, _after)
	time.Sleep(_observed)
	close(stop)
	wg.Wait()

	return judgeMoved(rec, workers, &sent, acknowledged), nil
}

// moveStore gives the store another address: the settings files change, each machine gets
// SIGHUP, and the former address is closed once apply_ms has passed.
func (f *fleet) moveStore(former *forward) error {
	next, err := newForward(f.platform.Address)
	if err != nil {
		return err
	}
	f.storeAddress = next.address
	for _, m := range f.machines {
		if err := f.writeSettings(m, []string{"colombo-a", "negombo"}); err != nil {
			return err
		}
		m.signal(syscall.SIGHUP)
		f.record.write("settings of %s have the store's new address, SIGHUP", m.name)
		time.Sleep(_restart)
	}
	time.Sleep(_apply + time.Second)
	former.Close()
	f.record.write("the store's former address is closed")

	return nil
}

// startPlain starts a plain worker of each service in each zone, and four machines.
func (f *fleet) startPlain(services, zones []string) ([]*engine, error) {
	var workers []*engine
	for _, service := range services {
		for _, zone := range zones {
			w, err := newEngine(engineConfig{
				ID:      "i-" + service + "-" + zone,
				Service: service,
				Zone:    zone,
				Plain:   true,
				Store:   f.store,
				Record:  f.record,
			})
			if err != nil {
				return nil, err
			}
			workers = append(workers, w)
		}
	}

	return workers, f.startMachines(zones)
}

// askPlain sends requests to one machine until stop is closed.
func (f *fleet) askPlain(number int, sent *sentAt, stop chan struct{}) {
	m := f.machines[number]
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(_plainPause):
		}
		r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:8221/status/%d", m.ip, rand.IntN(100)), nil)
		if err != nil {
			return
		}
		id := fmt.Sprintf("%04x%08x", number, i)
		r.Host = _host
		r.Header.Set(_headerID, id)
		r.Header.Set("X-Deadline-Ms", strconv.FormatInt(_plainTimeout.Milliseconds(), 10))
		sent.add(id)
		resp, err := client.Do(r)
		if err != nil {
			f.record.write("%s sent to %s: %v", id, m.name, err)

			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		f.record.write("%s sent to %s: %d %s %v", id, m.name, resp.StatusCode, body, err)
	}
}

// judgeMoved returns the requests that were sent later than apply_ms after the
// acknowledgement and run by the former service.
func judgeMoved(rec *record, workers []*engine, sent *sentAt, acknowledged time.Time) []string {
	var breaks []string
	for _, w := range workers {
		late := 0
		for _, r := range w.ran() {
			at, ok := sent.get(r.ID)
			if !ok || at.Sub(acknowledged) <= _apply {
				continue
			}
			late++
			if w.cfg.Service == _before {
				breaks = append(breaks, fmt.Sprintf("%s, sent %.3f s after the acknowledgement, run by %s", r.ID, at.Sub(acknowledged).Seconds(), w.cfg.ID))
			}
		}
		rec.write("%s has run %d requests that were sent later than apply_ms after the acknowledgement", w.cfg.ID, late)
	}

	return breaks
}
