package standin3

import (
	"fmt"
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
	list := make([]any, 0, models)
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
	engines, err := f.startSystem([]string{"colombo-a", "negombo"})
	if err != nil {
		return nil, err
	}
	defer closeAll(engines)
	c := f.newClients()
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
	for _, e := range engines {
		breaks = append(breaks, judgeOrders(e.taken())...)
	}

	return breaks, nil
}
