package gateway

import (
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
)

func (g *Gateway) register(r *relay) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open[r.req.work.ID] = r
}

func (g *Gateway) unregister(r *relay) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, r.req.work.ID)
}

// CheckKeys ends the open requests whose keys are no longer granted. It is
// called when a configuration comes into force.
func (g *Gateway) CheckKeys() {
	g.cancelOpen(func(r *relay) bool {
		if g.cfg.Parts.IsValid(r.req.work.Caller) {
			return false
		}
		g.cfg.Log.Write(event.KeyWithdrawn,
			zap.String("ID", r.req.work.ID),
			zap.String("Workspace", r.req.work.Caller.Workspace),
			zap.String("Key", r.req.work.Caller.KeyName),
		)

		return true
	}, "key_withdrawn")
}

// sweepOpen closes the connections of callers that don't read, so that they
// don't hold slots of backend servers.
func (g *Gateway) sweepOpen(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.open {
		since := r.flushSince.Load()
		if since == 0 || now.Sub(time.Unix(0, since)) < _maxFlush || r.closeCaller == nil {
			continue
		}
		r.closeCaller()
		r.cancel("caller_reads_too_slowly")
	}
}

func (g *Gateway) cancelOpen(match func(r *relay) bool, reason string) {
	g.mu.Lock()
	var matched []*relay
	for _, r := range g.open {
		if match(r) {
			matched = append(matched, r)
		}
	}
	g.mu.Unlock()
	for _, r := range matched {
		r.cancel(reason)
	}
}
