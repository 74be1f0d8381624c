package main

import (
	"fmt"
	"os"
	"slices"
	"syscall"
	"time"
)

// Names of the case of a zone that is added.
const (
	_engines  = "engines"
	_warmUp   = 6 * time.Second
	_restart  = 500 * time.Millisecond
	_afterAll = 12 * time.Second
)

// engineService returns the declaration of a service of model workers.
func engineService(models, adapters int) map[string]any {
	list := []any{}
	for i := range models {
		list = append(list, map[string]any{
			"name": fmt.Sprintf("m%d", i), "weights_mb": _modelMB, "load_s": _modelLoad.Seconds(), "warm_s": 0.2, "disk_s": 0.4,
			"adapters": adapters, "lora_mb": _adapterMB,
		})
	}

	return map[string]any{
		"name": _engines, "health_path": "/healthz", "max_conns": 240,
		"engine": map[string]any{
			"slots": _slots, "kv_capacity": 100000, "weights_mb": _weightsMB, "lora_slots": _loraSlots, "loads_per_s": _loadsPerS,
			"host_mb": 200.0, "disk_mb": 400.0, "models": list,
		},
	}
}

// liveRoute returns the declaration of the route of the clients.
func liveRoute() map[string]any {
	return map[string]any{
		"name": "live", "host": _host, "path_prefix": "/live/", "kind": "streaming", "timeout_ms": 4000, "goal_ms": 250,
		"priority": 0, "service": _engines, "attempts": 1, "public": false, "sticky": true, "can_resume": false, "gap_aim_ms": 150,
	}
}

func tenant() map[string]any {
	return map[string]any{
		"name": "desk", "api_keys": []string{_key}, "priority": 1, "unit": "token", "plain_tokens": 200, "rate_per_s": 100000, "burst": 100000,
	}
}

// playZones restarts one machine in a planned way. With the trouble, the settings files
// have got one more zone before that, with SIGHUP to each machine. It returns the breaks
// of the rule ONE.
func playZones(rec *record, trouble bool) (breaks []string, err error) {
	f, err := newFleet(rec)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.declare([]any{liveRoute()}, []any{engineService(2, 8)}, []any{tenant()}); err != nil {
		return nil, err
	}
	var engines []*engine
	for _, zone := range []string{"colombo-a", "colombo-a", "negombo", "negombo"} {
		e, err := newEngine(engineConfig{
			ID:      fmt.Sprintf("i-%s-%d", zone, len(engines)),
			Service: _engines,
			Zone:    zone,
			Models:  []string{"m0", "m1"},
			Store:   f.store,
			Record:  rec,
		})
		if err != nil {
			return nil, err
		}
		defer e.Close()
		engines = append(engines, e)
	}
	zones := []string{"colombo-a", "negombo"}
	for i, zone := range []string{"colombo-a", "negombo", "negombo", "colombo-a"} {
		m := f.add(fmt.Sprintf("edge-%s-%d", zone, i+1), zone)
		if !m.portsFree() {
			return nil, fmt.Errorf("the ports of %s are in use", m.ip)
		}
		if err := f.writeSettings(m, zones); err != nil {
			return nil, err
		}
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	if !f.awaitReady() {
		return nil, fmt.Errorf("the machines aren't ready after %s", _readyFor)
	}
	c := clients{f: f}
	for model := range 2 {
		for adapter := range 8 {
			c.models = append(c.models, fmt.Sprintf("m%d/a%d", model, adapter+1))
		}
	}
	c.run(12, 20*time.Millisecond)
	time.Sleep(_warmUp)
	if trouble {
		// The zone is known before any machine or worker is there.
		for _, m := range f.machines {
			if err := f.writeSettings(m, []string{"colombo-a", "colombo-b", "negombo"}); err != nil {
				return nil, err
			}
			m.signal(syscall.SIGHUP)
			rec.write("settings of %s have the new zone colombo-b, SIGHUP", m.name)
			time.Sleep(_restart)
		}
	}
	m := f.machines[len(f.machines)-1]
	rec.write("SIGTERM to %s", m.name)
	m.stop()
	rec.write("%s has ended", m.name)
	time.Sleep(_restart)
	if err := m.start(); err != nil {
		return nil, err
	}
	rec.write("%s is started again", m.name)
	time.Sleep(_afterAll)
	c.Close()
	if path := os.Getenv("KEEP_LOGS"); path != "" {
		_ = os.CopyFS(path, os.DirFS(f.dir))
	}

	return judgeOne(engines), nil
}

// judgeOne returns the orders that break the rule ONE: to one worker, two holders take
// turns within lease_ms, or a lower fencing token comes after a higher one.
func judgeOne(engines []*engine) []string {
	var breaks []string
	for _, e := range engines {
		last := map[string]order{}
		highest := order{}
		for _, o := range e.taken() {
			for holder, former := range last {
				if gap := o.At.Sub(former.At); holder != o.Holder && gap < _lease {
					breaks = append(breaks, fmt.Sprintf("%s: order of %s (fence %d) %.3f s after one of %s (fence %d)",
						o.Server, o.Holder, o.Fence, gap.Seconds(), former.Holder, former.Fence))
				}
			}
			if o.Fence < highest.Fence && o.Holder != highest.Holder {
				breaks = append(breaks, fmt.Sprintf("%s: fence %d of %s after %d of %s", o.Server, o.Fence, o.Holder, highest.Fence, highest.Holder))
			}
			if o.Fence > highest.Fence {
				highest = o
			}
			last[o.Holder] = o
		}
	}
	slices.Sort(breaks)

	return breaks
}
