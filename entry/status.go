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

// Paths on the metrics address.
const (
	_metricsPath = "/metrics"
	_statusPath  = "/status"
)

// Status is what an instance has in force and believes.
type Status struct {
	// Name is the instance's, Start the time of its start in Unix milliseconds.
	Name  string
	Start int
	// Version and Revision are of the configuration in force; EvidenceAgeMS is
	// how long ago it was shown to be current.
	Version       int
	Revision      int
	EvidenceAgeMS int64
	// Ready says that callers are sent here, Leaving that it was told to stop.
	Ready   bool
	Leaving bool
	// Busy is how many requests wait for their answers.
	Busy int
	// Servers are the backend servers as it believes in them.
	Servers []dispatch.ServerStatus
	// Instances are the others.
	Instances []exchange.Instance
	// Shards are those to whose backend servers it gives the orders, and Held
	// what these hold.
	Shards []wire.StewardShard
	Held   []wire.ServerTargets
}

// Status is the state at present.
func (e *Entry) Status() Status {
	s := Status{
		Name:          e.cfg.Settings.Name,
		Start:         e.start,
		EvidenceAgeMS: min(e.evidence.age(), time.Hour).Milliseconds(),
		Ready:         e.isReady(),
		Leaving:       e.leaving.Load(),
		Busy:          e.busy(),
		Servers:       e.board.Status(time.Now()),
		Instances:     e.hub.Instances(),
	}
	if cfg := e.current.Load(); cfg != nil {
		s.Version = cfg.Version
		s.Revision = cfg.Revision
	}
	s.Shards, s.Held = e.steward.Held()
	slices.SortFunc(s.Instances, func(a, b exchange.Instance) int { return strings.Compare(a.Name, b.Name) })

	return s
}

// handleMetrics serves the counters as text and the status as JSON.
func (e *Entry) handleMetrics(r *hop.Request) {
	switch r.Head.Path() {
	case _metricsPath:
		r.Answer(200, []hop.Field{{
			Name:  "Content-Type",
			Value: "text/plain; charset=utf-8",
		}}, e.metricsText())
	case _statusPath:
		body, err := json.MarshalIndent(e.Status(), "", "  ")
		if err != nil {
			r.Answer(500, nil, []byte(err.Error()))

			return
		}
		r.Answer(200, []hop.Field{{
			Name:  "Content-Type",
			Value: _jsonType,
		}}, body)
	default:
		r.Answer(404, nil, nil)
	}
}

// metricsText is one line for each counter and each figure of a timer, in
// milliseconds.
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
