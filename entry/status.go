package entry

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"papayastair.dev/papayastair/dispatch"
	"papayastair.dev/papayastair/exchange"
	"papayastair.dev/papayastair/hop"
	"papayastair.dev/papayastair/wire"
)

// Paths served at the metrics address.
const (
	_metricsPath = "/metrics"
	_statusPath  = "/status"
	_explainPath = "/explain"
)

// Status is the state of an instance, served as JSON.
type Status struct {
	// Name is the instance's name, and Start the time of its start in Unix
	// milliseconds.
	Name  string
	Start int
	// Version and Revision are those of the configuration in force; EvidenceAgeMS
	// is the time since it was last confirmed to be current.
	Version       int
	Revision      int
	EvidenceAgeMS int64
	// ServersAgeMS is the time since the backend servers' entries were last
	// confirmed to be current.
	ServersAgeMS int64
	// Ready reports whether callers should use the instance, and Leaving whether
	// it is shutting down.
	Ready   bool
	Leaving bool
	// Busy is the number of requests that wait for their answers.
	Busy int
	// Servers are the backend servers as this instance sees them.
	Servers []dispatch.ServerStatus
	// Instances are the other instances.
	Instances []exchange.Instance
	// Shards are the shards to whose backend servers this instance gives the
	// orders, and Held the targets that these backend servers hold.
	Shards []wire.StewardShard
	Held   []wire.ServerTargets
	// Quarantined are the traits whose requests are refused because they crash
	// backend servers.
	Quarantined []int
}

// Status returns the current state.
func (e *Entry) Status() Status {
	s := Status{
		Name:          e.cfg.Settings.Name,
		Start:         e.start,
		EvidenceAgeMS: min(e.evidence.age(), time.Hour).Milliseconds(),
		ServersAgeMS:  min(e.serverChanges.age(), time.Hour).Milliseconds(),
		Ready:         e.isReady(),
		Leaving:       e.leaving.Load(),
		Busy:          e.busy(),
		Servers:       e.balancer.Status(time.Now()),
		Instances:     e.hub.Instances(),
		Quarantined:   e.quarantine.Held(),
	}
	if cfg := e.current.Load(); cfg != nil {
		s.Version = cfg.Version
		s.Revision = cfg.Revision
	}
	s.Shards, s.Held = e.steward.Snapshot()
	slices.SortFunc(s.Instances, func(a, b exchange.Instance) int { return strings.Compare(a.Name, b.Name) })

	return s
}

// handleMetrics serves the metrics as text, and the status and explanations as JSON.
func (e *Entry) handleMetrics(r *hop.Request) {
	switch r.Head.Path() {
	case _metricsPath:
		r.Answer(200, []hop.Field{{
			Name:  "Content-Type",
			Value: "text/plain; charset=utf-8",
		}}, e.metricsText())
	case _statusPath:
		answerJSON(r, 200, e.Status())
	case _explainPath:
		e.handleExplain(r)
	default:
		r.Answer(404, nil, nil)
	}
}

func answerJSON(r *hop.Request, status int, value any) {
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		r.Answer(500, nil, []byte(err.Error()))

		return
	}
	r.Answer(status, []hop.Field{{
		Name:  "Content-Type",
		Value: _jsonType,
	}}, body)
}

// metricsText returns the metrics, one line for each counter and each statistic
// of a timer. Times are in milliseconds.
func (e *Entry) metricsText() []byte {
	var lines []string
	add := func(name string, value float64) {
		lines = append(lines, fmt.Sprintf("%s %g\n", name, value))
	}
	e.cfg.Registry.Each(func(name string, i any) {
		switch m := i.(type) {
		case metrics.Counter:
			add(name, float64(m.Count()))
		case metrics.Timer:
			snapshot := m.Snapshot()
			add(name+".Count", float64(snapshot.Count()))
			for _, q := range []float64{0.5, 0.95, 0.99} {
				add(fmt.Sprintf("%s.P%g", name, q*100), snapshot.Percentile(q)/float64(time.Millisecond))
			}
		}
	})
	add("Entry.Busy", float64(e.busy()))
	add("Entry.EvidenceAgeMS", float64(min(e.evidence.age(), time.Hour).Milliseconds()))
	add("Entry.ServersAgeMS", float64(min(e.serverChanges.age(), time.Hour).Milliseconds()))
	connections := 0
	e.mu.Lock()
	for _, p := range e.pools {
		connections += p.Open()
	}
	e.mu.Unlock()
	add("Entry.BackendConnections", float64(connections))
	slices.Sort(lines)

	return []byte(strings.Join(lines, ""))
}
