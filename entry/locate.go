package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"papayastair.dev/papayastair/exchange"
	"papayastair.dev/papayastair/hop"
)

const (
	// _locateTTL is how long callers may keep an address: short, so that they
	// leave an instance that shuts down, and no shorter than a few bulletins.
	_locateTTL = time.Second
	// _maxAddresses is the maximum number of addresses in an answer.
	_maxAddresses = 64
	_jsonType     = "application/json"
)

// ttl returns how long callers may keep a locate answer.
func (e *Entry) ttl() time.Duration {
	return min(_locateTTL, e.cfg.Settings.Bounds.LocateTTL)
}

// isReady reports whether callers should use this instance: the configuration
// is available and confirmed to be current, the held traits, the backend servers'
// entries and the evacuations have been read, and the instance is not shutting down.
func (e *Entry) isReady() bool {
	return e.current.Load() != nil && e.held.known.Load() && e.serversListed.Load() && e.evacuationsListed.Load() && !e.leaving.Load() && e.keysAllowed()
}

func (e *Entry) handleReady(r *hop.Request) {
	switch {
	case r.Head.Path() != e.cfg.Codec.ReadyPath:
		r.Answer(404, nil, nil)
	case e.isReady():
		r.Answer(200, nil, nil)
	default:
		r.Answer(503, nil, nil)
	}
}

// handleLocate answers with the addresses of the instances that are alive and
// not shutting down.
func (e *Entry) handleLocate(r *hop.Request) {
	d := e.cfg.Codec
	if r.Head.Path() != d.LocatePath {
		r.Answer(404, nil, nil)

		return
	}
	addresses := e.addresses(d.DecodeLocate(r.Head))
	if len(addresses) == 0 {
		r.Answer(503, nil, nil)

		return
	}
	r.Answer(200, []hop.Field{{
		Name:  "Content-Type",
		Value: _jsonType,
	}}, d.EncodeLocate(addresses, e.ttl()))
}

// addresses returns the instances that a caller should use: for a host that may be
// served in some regions only, those in them if there are any. If no other
// instance is alive it returns at most this one: the records in the store may
// be long outdated, and the caller asks another instance.
func (e *Entry) addresses(r LocateRequest) []string {
	cfg := e.current.Load()
	own := exchange.Instance{
		CallerAddress: e.cfg.Settings.CallerAddress,
		FailureDomain: e.cfg.Settings.FailureDomain,
		Alive:         e.isReady(),
	}
	var homes []string
	if cfg != nil {
		homes = cfg.Regions(r.Host)
	}
	alive := aliveAddresses(append([]exchange.Instance{own}, e.hub.Instances()...), homes, e.cfg.Settings.Regions)
	if len(alive) == 0 && cfg != nil {
		alive = append(alive, own.CallerAddress)
	}
	if len(alive) > _maxAddresses {
		rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
		alive = alive[:_maxAddresses]
	}

	return alive
}

// aliveAddresses returns the callers' addresses of the instances that are alive and not
// shutting down: of those whose region is among homes, or of all if homes is empty or
// none of them is.
func aliveAddresses(instances []exchange.Instance, homes []string, regions map[string]string) []string {
	var all, home []string
	for _, i := range instances {
		if !i.Alive || i.Leaving {
			continue
		}
		all = append(all, i.CallerAddress)
		if region, ok := regions[i.FailureDomain]; ok && slices.Contains(homes, region) {
			home = append(home, i.CallerAddress)
		}
	}
	if len(home) > 0 {
		return home
	}

	return all
}
