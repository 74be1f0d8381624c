package standin3

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	_deadlyPath   = "/status/7351"
	_deadlyPause  = 900 * time.Millisecond
	_third        = 3
	_queryChoice  = "QUERY"
	_queryAlike   = "alike"
	_darkChoice   = "DARK"
	_deadlyClient = 99
)

// queryDay is a day on which one request crashes the workers that run it. It comes again
// with the same path, caller and body, and another query each time unless alike is set.
// dark is how long a worker that crashes is silent.
type queryDay struct {
	deadlyDay

	alike bool
}

// begun notes the request, and reports whether the worker crashes.
func (d *queryDay) begun(e *engine, r *http.Request) bool {
	if r.URL.Path != _deadlyPath {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reached = append(d.reached, time.Now())
	d.crashes = append(d.crashes, time.Now())
	d.f.record.write("crash %d: %s, by %s %s", len(d.crashes), e.cfg.ID, r.Header.Get(_headerID), r.URL.RequestURI())
	time.AfterFunc(_lapsed, func() { d.lapse(e.cfg.ID) })
	time.AfterFunc(_back, func() { d.startPlain(e.cfg.Zone) })

	return true
}

// startPlain starts a plain worker.
func (d *queryDay) startPlain(zone string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return
	}
	d.started++
	e, err := newEngine(engineConfig{
		ID:      fmt.Sprintf("i-%s-%d", zone, d.started),
		Service: _printdesk,
		Zone:    zone,
		Plain:   true,
		Store:   d.f.store,
		Record:  d.f.record,
		Begun:   d.begun,
		Dark:    d.dark,
	})
	if err != nil {
		d.f.record.write("a worker doesn't start: %v", err)

		return
	}
	d.engines = append(d.engines, e)
}

// playQuery plays a day with a request that crashes workers and comes again with another
// query each time. It returns the breaks of the rule BUDGET.
func playQuery(rec *record, trouble bool) (breaks []string, err error) {
	return playCrashing(rec, trouble, &queryDay{alike: os.Getenv(_queryChoice) == _queryAlike})
}

// playDark plays a day with a request that crashes workers and comes again as it was; a
// worker that crashes is silent until it is back. It returns the breaks of the rule BUDGET.
func playDark(rec *record, trouble bool) (breaks []string, err error) {
	day := &queryDay{alike: true}
	day.dark = _back
	if os.Getenv(_darkChoice) == _troubleOff {
		day.dark = 0
	}

	return playCrashing(rec, trouble, day)
}

func playCrashing(rec *record, trouble bool, d *queryDay) (breaks []string, err error) {
	f, err := newFleet(rec)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	d.f = f
	services := []any{map[string]any{"name": _printdesk, "health_path": "/healthz", "max_conns": 110}}
	if err := f.declare([]any{statusRoute(_printdesk)}, services, []any{tenant()}); err != nil {
		return nil, err
	}
	zones := []string{"colombo-a", "negombo"}
	for _, zone := range zones {
		for range _workersOfZone {
			d.startPlain(zone)
		}
	}
	defer d.close()
	if err := f.startMachines(zones); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	for i := range f.machines {
		go f.askPlain(i, stop)
	}
	defer close(stop)
	time.Sleep(_apply)
	began := time.Now()
	for i := 0; trouble && time.Since(began) < _deadlyFor; i++ {
		d.ask(i)
		time.Sleep(_deadlyPause)
	}

	return d.judgeRetries(), nil
}

// ask sends the request once more, to each machine in turn.
func (d *queryDay) ask(i int) {
	m := d.f.machines[i%len(d.f.machines)]
	query := "?n=" + strconv.Itoa(i)
	if d.alike {
		query = "?n=1"
	}
	r, err := http.NewRequest(http.MethodGet, "http://"+m.ip+":8221"+_deadlyPath+query, nil)
	if err != nil {
		return
	}
	r.Host = _host
	r.Header.Set(_headerID, fmt.Sprintf("%04x%08x", _deadlyClient, i))
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(_plainTimeout.Milliseconds(), 10))
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Do(r)
	if err != nil {
		d.f.record.write("the request sent to %s: %v", m.name, err)

		return
	}
	body, _ := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	d.f.record.write("the request sent to %s: %d %s", m.name, resp.StatusCode, strings.TrimSpace(string(body)))
}

// judgeRetries returns the times at which the request reached workers later than
// contact_ms after it had crashed the third, if there are more than three.
func (d *queryDay) judgeRetries() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.f.record.write("%d crashes", len(d.crashes))
	if len(d.crashes) < _third {
		return nil
	}
	var late []string
	for _, at := range d.reached {
		if after := at.Sub(d.crashes[_third-1]); after > _contact {
			late = append(late, fmt.Sprintf("the request reached a worker %.3f s after the third crash", after.Seconds()))
		}
	}
	if len(late) <= _allowed {
		return nil
	}

	return late
}
