package steward

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/site"
	"papayastair.dev/papayastair/wire"
)

const (
	_tickInterval = 100 * time.Millisecond
	// _orderTimeout is the timeout of an order, including its response.
	_orderTimeout  = 250 * time.Millisecond
	_reportTimeout = 400 * time.Millisecond
	// _reportLag is the maximum age of the state in a report, with a margin.
	_reportLag = 350 * time.Millisecond
	// _pollInterval is the interval between reports of a backend server whose
	// model change should have finished.
	_pollInterval = 150 * time.Millisecond
	// _refusedBackoff is the time without orders after a backend server refused
	// one.
	_refusedBackoff = 400 * time.Millisecond
	// _adapterLoadTime is the time from an accepted order until the adapter can
	// serve. Several adapters may load at the same time.
	_adapterLoadTime = 12 * time.Millisecond
	// _maxPendingAdapters is the number of adapters that may load at the same
	// time on one backend server, a limit set by the users' documentation.
	_maxPendingAdapters = 4
	// _requestTTL is the time after which a requested target that is no longer
	// waited for is dropped.
	_requestTTL = time.Second
	// _deferTimeout is the time that the steward with the best server for an
	// adapter has to load it before other stewards load it.
	_deferTimeout = 80 * time.Millisecond
	// _foreignTTL is the time for which the report of another steward is used.
	_foreignTTL = 1500 * time.Millisecond
	// _planningDelay is the time during which a new steward doesn't change
	// models. It lets reports and the bulletins of other stewards arrive first.
	_planningDelay = time.Second
	// _unmetLogInterval is the minimum interval between log lines about demand
	// that can't be met, and _maxUnmetLogged the number of models that are logged
	// each time, those with the highest gain.
	_unmetLogInterval = time.Second
	_maxUnmetLogged   = 4
	// _minWakeInterval is the minimum time between two searches for adapters. It is
	// about the time that loading one takes.
	_minWakeInterval = 5 * time.Millisecond
	// _idleFactor is the minimum time between two ticks, or between two plans, as a
	// multiple of the duration of the last one. It bounds the share of the processor
	// that they use on slow machines. It is at most _tickInterval and _maxPlanIdle,
	// because the process may just have been without the processor for a while.
	_idleFactor  = 10
	_maxPlanIdle = 500 * time.Millisecond
	// _loadBurst is the number of loads from the weight store that one shard
	// may start at once, or those of _loadBurstTime if that is more.
	// _loadRateShare is the fraction of the store's rate limit that all shards use
	// together.
	_loadBurst     = 1.0
	_loadBurstTime = 250 * time.Millisecond
	_loadRateShare = 0.9
	// _maxChangesPerTick limits the model changes that one tick starts in a
	// shard.
	_maxChangesPerTick = 6
)

// Order is a request to a backend server to load or unload a target.
type Order struct {
	// Load is set to load the target, and unset to unload it.
	Load bool
	// Target is the model or adapter.
	Target site.Target
	// Expect is the number of orders that the backend server must have accepted
	// before this one. Otherwise the result is ResultConflict.
	Expect int
	// Holder and Fence identify the steward.
	Holder string
	Fence  int
	// Allowed reports whether the order may still be sent. It is called once a
	// connection is open, just before the first byte is written.
	Allowed func() bool
}

// Result is the outcome of an order.
type Result string

// Results of orders.
const (
	// ResultAccepted means that the backend server is carrying out the order.
	ResultAccepted Result = "Accepted"
	// ResultCompleted means that the order was carried out at once or had nothing
	// to change.
	ResultCompleted Result = "Holds"
	// ResultConflict means that another order is in progress, or that the
	// number of accepted orders differs from Expect.
	ResultConflict Result = "Conflict"
	// ResultRefused means that the backend server won't carry out the order.
	ResultRefused Result = "Refused"
	// ResultUnknown means that the order may be carried out, possibly later.
	ResultUnknown Result = "Unknown"
	// ResultNotSent means that the order was not sent.
	ResultNotSent Result = "NotSent"
)

// Config configures a Steward.
type Config struct {
	// Leases are the leases of the shards of the backend servers, one for each
	// shard. All instances have the same number of them.
	Leases []*Lease
	// Domains are all failure domains, in the same order on all instances.
	Domains []string
	// Holder is the name of this instance in orders.
	Holder string
	// Engine returns the engine of a service, or nil if it has none.
	Engine func(service string) *site.Engine
	// Down reports whether a backend server takes no more requests.
	Down func(id string) bool
	// Limited reports whether a backend server takes so few requests that its copies
	// don't count.
	Limited func(id string) bool
	// SendOrder sends an order.
	SendOrder func(ctx context.Context, server site.BackendServer, o Order) (Result, error)
	// Report reads the report of a backend server.
	Report func(ctx context.Context, server site.BackendServer) (site.Report, error)
	// Changed is called after a change of the targets that the backend servers
	// have loaded.
	Changed func()
	// Log receives the events.
	Log *event.Log
}

// targetRequest is a target that requests wait for. firstAt and lastAt are the
// times of the first and the latest request for it.
type targetRequest struct {
	service string
	firstAt time.Time
	lastAt  time.Time
	// loggedAt is the time at which it was last logged that the target can't be
	// loaded.
	loggedAt time.Time
}

// foreignTargets are the targets of a backend server that another steward
// reported, and the model that it is loading there.
type foreignTargets struct {
	at      time.Time
	targets map[string]bool
	loading string
}

// Steward sends orders to the backend servers of the shards whose leases this
// instance holds. Use New to create one.
type Steward struct {
	cfg       Config
	mu        sync.Mutex
	shards    []shardState
	servers   map[string]*serverState
	foreign   map[string]foreignTargets
	demands   map[string]map[string]*demandEstimate
	requested map[site.Target]targetRequest
	// catalogs are derived from the engines by service.
	catalogs map[string]*modelCatalog
	// nextPlanAt is the time before which no models are planned.
	nextPlanAt time.Time
	wake       chan struct{}
	ctx        context.Context
	cancel     context.CancelFunc
	wg         conc.WaitGroup
	closeOnce  sync.Once
}

// shardState is the state of one shard on this instance.
type shardState struct {
	// active is set while this instance may send orders, and from _planningDelay
	// before that, while it reads reports. mayOrder is set while it may send orders.
	active   bool
	mayOrder bool
	// loadTokens is the token bucket for loads from the weight store, as of
	// refilledAt.
	loadTokens float64
	refilledAt time.Time
	// planAfter is the time before which no models are changed.
	planAfter time.Time
	// unmetLoggedAt is the time at which unmet demand was last logged.
	unmetLoggedAt time.Time
}

// New returns a running Steward. Close stops it.
func New(cfg Config) *Steward {
	s := newSteward(cfg)
	for _, l := range cfg.Leases {
		s.wg.Go(func() { s.maintainLease(l) })
	}
	s.wg.Go(s.run)

	return s
}

// newSteward returns a Steward without goroutines.
func newSteward(cfg Config) *Steward {
	ctx, cancel := context.WithCancel(context.Background())

	return &Steward{
		cfg:       cfg,
		shards:    make([]shardState, len(cfg.Leases)),
		servers:   map[string]*serverState{},
		foreign:   map[string]foreignTargets{},
		demands:   map[string]map[string]*demandEstimate{},
		requested: map[site.Target]targetRequest{},
		catalogs:  map[string]*modelCatalog{},
		wake:      make(chan struct{}, 1),
		ctx:       ctx,
		cancel:    cancel,
	}
}

// Close stops the steward, waits for its goroutines and releases the leases. It
// may be called more than once.
func (s *Steward) Close() {
	s.closeOnce.Do(func() {
		s.cancel()
		s.wg.Wait()
		// Release concurrently: each release may wait for a store that doesn't
		// respond.
		var wg conc.WaitGroup
		for _, l := range s.cfg.Leases {
			wg.Go(func() { l.Release(context.Background()) })
		}
		wg.Wait()
	})
}

// shardOf returns the shard of a backend server. It is that of the server's
// failure domain, so that shards are of similar size, or a hash of the ID if
// the domain is unknown.
func (s *Steward) shardOf(entry *site.BackendServer) int {
	if i := slices.Index(s.cfg.Domains, entry.FailureDomain); i >= 0 {
		return i % len(s.cfg.Leases)
	}

	return int(xxhash.Sum64String(entry.ID) % uint64(len(s.cfg.Leases)))
}

// SetForeignTargets sets the targets that another steward reports for its backend
// servers.
func (s *Steward) SetForeignTargets(servers []wire.ServerTargets, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range servers {
		view := foreignTargets{
			at:      now,
			targets: make(map[string]bool, len(server.Targets)),
			loading: server.Loading,
		}
		for _, t := range server.Targets {
			view.targets[t] = true
		}
		s.foreign[server.Server] = view
	}
}

// Manages reports whether this instance sends the orders to a backend server.
func (s *Steward) Manages(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	srv := s.servers[id]

	return srv != nil && s.shards[s.shardOf(&srv.entry)].active
}

// SetServer adds or updates a backend server.
func (s *Steward) SetServer(entry site.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	srv := s.servers[entry.ID]
	if srv == nil || srv.entry.Born != entry.Born {
		srv = newServerState(entry)
		s.servers[entry.ID] = srv
	}
	srv.entry = entry
	if !srv.reported {
		srv.adapters = entryModels(entry)
	}
}

// RemoveServer removes a backend server.
func (s *Steward) RemoveServer(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.servers, id)
	delete(s.foreign, id)
}

// SetDemand updates the demand over all instances, by service and target.
func (s *Steward) SetDemand(demand map[string]map[site.Target]Demand, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, targets := range demand {
		models := map[string]Demand{}
		for t, w := range targets {
			sum := models[t.Model]
			sum.Requests += w.Requests
			sum.PerSecond += w.PerSecond
			sum.Urgent = sum.Urgent || w.Urgent
			models[t.Model] = sum
			if t.Adapter != "" && w.Running > 0 {
				s.recordAdapterUse(service, t, now)
			}
		}
		s.updateDemand(service, models, now)
	}
}

// recordAdapterUse sets the time of last use of an adapter on every backend
// server that has it loaded.
func (s *Steward) recordAdapterUse(service string, t site.Target, now time.Time) {
	for _, srv := range s.servers {
		if srv.entry.Service == service && srv.hasTarget(t) {
			srv.usedAt[t] = now
		}
	}
}

// updateDemand updates the demand estimates of a service. The estimates of
// models that are no longer requested decay.
func (s *Steward) updateDemand(service string, models map[string]Demand, now time.Time) {
	estimates := s.demands[service]
	if estimates == nil {
		estimates = map[string]*demandEstimate{}
		s.demands[service] = estimates
	}
	for model := range models {
		if estimates[model] == nil {
			estimates[model] = &demandEstimate{}
		}
	}
	for model, d := range estimates {
		d.update(models[model], now)
	}
}

// RequestTarget asks the steward to load a target that requests wait for. Only
// the first request for an adapter wakes the steward; what can't be loaded then
// is tried again when an order has been answered, and at each tick.
func (s *Steward) RequestTarget(service string, t site.Target, now time.Time) {
	s.mu.Lock()
	req, known := s.requested[t]
	if !known {
		req = targetRequest{
			service: service,
			firstAt: now,
		}
	}
	req.lastAt = now
	s.requested[t] = req
	s.mu.Unlock()
	if !known && t.Adapter != "" {
		s.signal()
	}
}

// signal makes run search for servers for the requested adapters.
func (s *Steward) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Snapshot returns the shards whose leases this instance holds, with their fencing
// numbers, and the targets that the backend servers of these shards serve.
func (s *Steward) Snapshot() (shards []wire.StewardShard, targets []wire.ServerTargets) {
	holding := make([]bool, len(s.cfg.Leases))
	for i, l := range s.cfg.Leases {
		h, ok := l.Held()
		holding[i] = ok
		if ok {
			shards = append(shards, wire.StewardShard{
				Shard:   i,
				Fence:   h.Fence,
				Version: h.Version,
				LeftMS:  int(h.Left.Milliseconds()) + 1,
				Holder:  s.cfg.Holder,
			})
		}
	}
	if len(shards) == 0 {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, srv := range s.servers {
		if srv.synced && holding[s.shardOf(&srv.entry)] {
			targets = append(targets, wire.ServerTargets{
				Server:  id,
				Targets: srv.servedTargets(),
				Loading: srv.pendingModel(),
			})
		}
	}
	slices.SortFunc(targets, func(a, b wire.ServerTargets) int { return strings.Compare(a.Server, b.Server) })

	return shards, targets
}

func (s *Steward) maintainLease(l *Lease) {
	for s.ctx.Err() == nil {
		wait := s.step(l)
		select {
		case <-s.ctx.Done():
		case <-time.After(wait):
		}
	}
}

// step renews or tries to acquire a lease, and returns the time until the next
// call.
func (s *Steward) step(l *Lease) (wait time.Duration) {
	defer func() { wait = max(wait, _retryInterval) }()
	defer s.cfg.Log.Recover("Lease")

	return l.Step(s.ctx)
}

func (s *Steward) run() {
	ticker := time.NewTicker(_tickInterval)
	defer ticker.Stop()
	for {
		plan := false
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
			plan = true
		case <-s.wake:
		}
		began := time.Now()
		s.tick(began, plan)
		// Requests that arrive meanwhile are handled together.
		idle := time.NewTimer(min(max(_minWakeInterval, _idleFactor*time.Since(began)), _tickInterval))
		select {
		case <-s.ctx.Done():
		case <-idle.C:
		}
		idle.Stop()
	}
}

// tick updates the active shards and starts the loads of adapters and the report
// reads that are due. If plan is set, it also starts changes of models.
func (s *Steward) tick(now time.Time, plan bool) {
	defer s.cfg.Log.Recover("Orders")
	s.mu.Lock()
	defer s.mu.Unlock()
	anyActive := false
	for i, l := range s.cfg.Leases {
		prepares := l.MayOrderWithin(_planningDelay)
		anyActive = anyActive || prepares
		if prepares != s.shards[i].active {
			s.setShardActive(i, prepares, now)
		}
		_, s.shards[i].mayOrder = l.MayOrder()
	}
	s.dropRequests(now)
	if !anyActive {
		return
	}
	services := map[string][]*serverState{}
	// Read each engine once per tick: a new configuration may be applied at any
	// time.
	engines := map[string]*site.Engine{}
	for id, srv := range s.servers {
		if _, ok := engines[srv.entry.Service]; !ok {
			engines[srv.entry.Service] = s.cfg.Engine(srv.entry.Service)
		}
		if engines[srv.entry.Service] == nil || !s.shards[s.shardOf(&srv.entry)].active {
			continue
		}
		srv.down = s.cfg.Down(id)
		srv.limited = s.cfg.Limited(id)
		services[srv.entry.Service] = append(services[srv.entry.Service], srv)
		// The report of an evacuated server is read after the evacuation.
		if !srv.entry.Evacuated && !srv.inFlight && (!srv.synced && !now.Before(srv.backoffUntil) || srv.changingModel() && !now.Before(srv.pollAt)) {
			s.startTask(srv, s.readReport)
		}
	}
	plan = plan && !now.Before(s.nextPlanAt)
	for service, servers := range services {
		slices.SortFunc(servers, func(a, b *serverState) int { return strings.Compare(a.entry.ID, b.entry.ID) })
		e := engines[service]
		foreign := s.foreignServers(service, now)
		s.placeAdapters(service, e, s.orderable(servers), foreign, now)
		if plan {
			began := time.Now()
			s.placeModels(service, e, servers, foreign, now)
			s.nextPlanAt = now.Add(min(_idleFactor*time.Since(began), _maxPlanIdle))
		}
	}
}

// orderable returns the servers of the shards in which this instance may send orders.
func (s *Steward) orderable(servers []*serverState) []*serverState {
	out := make([]*serverState, 0, len(servers))
	for _, srv := range servers {
		if s.shards[s.shardOf(&srv.entry)].mayOrder {
			out = append(out, srv)
		}
	}

	return out
}

// dropRequests removes the requested targets that are no longer waited for.
func (s *Steward) dropRequests(now time.Time) {
	for t, req := range s.requested {
		if now.Sub(req.lastAt) > _requestTTL {
			delete(s.requested, t)
		}
	}
}

// setShardActive starts or stops sending orders in a shard. The state of its
// backend servers is discarded, because another holder may have sent orders
// before.
func (s *Steward) setShardActive(shard int, active bool, now time.Time) {
	s.shards[shard] = shardState{
		active:     active,
		refilledAt: now,
		planAfter:  now.Add(_planningDelay),
	}
	for _, srv := range s.servers {
		if s.shardOf(&srv.entry) == shard {
			srv.synced = false
			srv.reported = false
			srv.adapters = entryModels(srv.entry)
			srv.loading = ""
			srv.unloading = ""
			srv.reservedFor = ""
		}
	}
}

// foreignServers returns the backend servers of a service that this instance
// doesn't manage. Their targets are those that their steward reported within
// _foreignTTL, or else the models in their entries.
func (s *Steward) foreignServers(service string, now time.Time) []foreignServer {
	var out []foreignServer
	for id, srv := range s.servers {
		if srv.entry.Service != service || srv.entry.Draining || s.shards[s.shardOf(&srv.entry)].active || s.cfg.Down(id) || s.cfg.Limited(id) {
			continue
		}
		f := foreignServer{
			id:    id,
			shard: s.shardOf(&srv.entry),
		}
		view, ok := s.foreign[id]
		f.managed = ok && now.Sub(view.at) <= _foreignTTL
		switch {
		case srv.entry.Evacuated:
		case f.managed:
			f.targets = view.targets
			f.loading = view.loading
		default:
			f.targets = make(map[string]bool, len(srv.entry.Models))
			for _, h := range srv.entry.Models {
				f.targets[h.Model] = true
			}
		}
		out = append(out, f)
	}

	return out
}

// startTask runs fn for a backend server in a new goroutine. At most one task
// may run for a server at a time.
func (s *Steward) startTask(srv *serverState, fn func(srv *serverState)) {
	srv.inFlight = true
	s.wg.Go(func() {
		defer s.cfg.Log.Recover("Order", zap.String("Server", srv.entry.ID))
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			srv.inFlight = false
			if len(s.requested) > 0 {
				s.signal()
			}
		}()
		fn(srv)
	})
}

// placeAdapters starts the loads of the requested adapters of a service.
func (s *Steward) placeAdapters(service string, e *site.Engine, servers []*serverState, foreign []foreignServer, now time.Time) {
	changes := map[*serverState][]adapterChange{}
	search := adapterSearch{
		engine:   e,
		own:      servers,
		foreign:  foreign,
		reserved: map[*serverState]int{},
		now:      now,
	}
	for t, req := range s.requested {
		if req.service != service || t.Adapter == "" || e.Models[t.Model].Name == "" {
			continue
		}
		text := t.String()
		if slices.ContainsFunc(servers, func(srv *serverState) bool {
			return !srv.entry.Draining && !srv.entry.Evacuated && srv.synced && srv.hasTarget(t)
		}) ||
			slices.ContainsFunc(foreign, func(f foreignServer) bool { return f.targets[text] }) {
			delete(s.requested, t)

			continue
		}
		change, reason := search.place(t, now.Sub(req.firstAt) < _deferTimeout)
		if change.server == nil {
			if d := s.demands[service][t.Model]; d != nil && reason == _reasonAllInUse {
				d.starved++
			}
			if reason != "Elsewhere" && now.Sub(req.loggedAt) > _unmetLogInterval {
				req.loggedAt = now
				s.requested[t] = req
				s.cfg.Log.Write(event.StewardNoRoom, zap.Stringer("Target", t), zap.String("Reason", reason))
			}

			continue
		}
		search.reserved[change.server]++
		changes[change.server] = append(changes[change.server], change)
		delete(s.requested, t)
	}
	for srv, list := range changes {
		s.startTask(srv, func(srv *serverState) {
			for _, change := range list {
				s.loadAdapter(srv, change)
			}
		})
	}
}

// loadAdapter sends the orders that load one adapter.
func (s *Steward) loadAdapter(srv *serverState, change adapterChange) {
	if change.evict.Model != "" {
		s.setAdapter(srv, change.evict, false)
		if s.sendOrder(srv, false, change.evict, "RoomFor "+change.target.String()) != ResultCompleted {
			// The adapter may still be loaded, so it keeps its slot until the
			// next report.
			s.setAdapter(srv, change.evict, true)
			s.invalidate(srv)
			s.cfg.Changed()

			return
		}
	}
	for s.pendingAdapters(srv) >= _maxPendingAdapters {
		time.Sleep(_adapterLoadTime / _maxPendingAdapters)
	}
	switch s.sendOrder(srv, true, change.target, "Needed") {
	case ResultAccepted:
		// The next order needn't wait until this adapter can serve.
		s.mu.Lock()
		srv.pending[change.target] = true
		s.mu.Unlock()
		s.setAdapter(srv, change.target, true)
		s.wg.Go(func() {
			time.Sleep(_adapterLoadTime)
			s.mu.Lock()
			delete(srv.pending, change.target)
			s.mu.Unlock()
			s.cfg.Changed()
		})
	case ResultCompleted:
		s.setAdapter(srv, change.target, true)
		s.cfg.Changed()
	case ResultConflict, ResultRefused, ResultUnknown:
		s.invalidate(srv)
		s.cfg.Changed()
	case ResultNotSent:
	}
}

// pendingAdapters returns the number of adapters that are being loaded on a
// backend server.
func (s *Steward) pendingAdapters(srv *serverState) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(srv.pending)
}

// setAdapter adds or removes an adapter in the state of a backend server.
func (s *Steward) setAdapter(srv *serverState, t site.Target, loaded bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	adapters := srv.adapters[t.Model]
	if adapters == nil {
		return
	}
	if loaded {
		adapters[t.Adapter] = true
		srv.usedAt[t] = time.Now()
	} else {
		delete(adapters, t.Adapter)
	}
}

// invalidate discards the state of a backend server until its next report.
// Until then it gets no orders.
func (s *Steward) invalidate(srv *serverState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	srv.synced = false
	srv.backoffUntil = time.Now().Add(_refusedBackoff)
}

// placeModels starts the model changes of a service in each active shard.
func (s *Steward) placeModels(service string, e *site.Engine, servers []*serverState, foreign []foreignServer, now time.Time) {
	if s.demands[service] == nil {
		s.demands[service] = map[string]*demandEstimate{}
	}
	if s.catalogs[service] == nil || s.catalogs[service].engine != e {
		s.catalogs[service] = newModelCatalog(e)
	}
	managed := s.managedShards(foreign)
	planned := s.withoutEvacuated(managed)
	for shard := range s.shards {
		state := &s.shards[shard]
		if !state.active {
			continue
		}
		perSecond := e.LoadsPerSecond * _loadRateShare / float64(len(managed))
		state.loadTokens = min(state.loadTokens+perSecond*now.Sub(state.refilledAt).Seconds(), max(_loadBurst, perSecond*_loadBurstTime.Seconds()))
		state.refilledAt = now
		if now.Before(state.planAfter) || !state.mayOrder || !slices.Contains(planned, shard) {
			continue
		}
		p := planner{
			engine:          e,
			catalog:         s.catalogs[service],
			demands:         s.demands[service],
			now:             now,
			shard:           slices.Index(planned, shard),
			shards:          len(planned),
			shardCopies:     map[string][]int{},
			unmanagedCopies: map[string]int{},
		}
		for _, srv := range servers {
			if s.shardOf(&srv.entry) == shard {
				p.servers = append(p.servers, srv)
			} else if !srv.entry.Draining && !srv.entry.Evacuated && !srv.down && !srv.limited {
				p.addCopies(slices.Index(planned, s.shardOf(&srv.entry)), srv.plannedModels())
			}
		}
		for _, f := range foreign {
			p.addCopies(slices.Index(planned, f.shard), f.models())
		}
		s.placeShard(p, state)
	}
}

// managedShards returns the sorted indexes of the shards that have a steward.
func (s *Steward) managedShards(foreign []foreignServer) []int {
	managed := make([]bool, len(s.shards))
	for i := range s.shards {
		managed[i] = s.shards[i].active
	}
	for _, f := range foreign {
		if f.managed {
			managed[f.shard] = true
		}
	}
	var out []int
	for i, ok := range managed {
		if ok {
			out = append(out, i)
		}
	}

	return out
}

// withoutEvacuated returns the shards without those all of whose backend servers are
// evacuated: copies belong in the others. The limit on loads stays divided among all.
func (s *Steward) withoutEvacuated(shards []int) []int {
	evacuated, usable := make([]bool, len(s.shards)), make([]bool, len(s.shards))
	for _, srv := range s.servers {
		shard := s.shardOf(&srv.entry)
		evacuated[shard] = evacuated[shard] || srv.entry.Evacuated
		usable[shard] = usable[shard] || !srv.entry.Evacuated
	}
	var out []int
	for _, shard := range shards {
		if usable[shard] || !evacuated[shard] {
			out = append(out, shard)
		}
	}

	return out
}

// placeShard starts the model changes of one shard.
func (s *Steward) placeShard(p planner, shard *shardState) {
	for range _maxChangesPerTick {
		p.coldLoadAllowed = shard.loadTokens >= 1
		p.unmetShortages = nil
		change, ok := p.next()
		if !ok {
			s.logUnmet(&p, shard)

			return
		}
		srv := change.server
		target := site.Target{Model: change.model}
		if change.load {
			m := p.engine.Models[change.model]
			expected := m.ColdLoad
			if srv.localWeights[change.model] {
				expected = max(m.DiskLoad, m.WarmLoad)
			} else {
				shard.loadTokens--
			}
			srv.loading = change.model
			srv.reservedFor = ""
			srv.loadedAt[change.model] = p.now
			srv.pollAt = p.now.Add(expected)
		} else {
			srv.unloading = change.model
			srv.reservedFor = change.reservedFor
			srv.pollAt = p.now.Add(_reportLag)
		}
		s.startTask(srv, func(srv *serverState) { s.changeModel(srv, target, change) })
	}
}

// logUnmet logs the shortages that can't be met now and have a gain of at least
// _swapBase, at most once in each _unmetLogInterval.
func (s *Steward) logUnmet(p *planner, shard *shardState) {
	if len(p.unmetShortages) == 0 || p.now.Sub(shard.unmetLoggedAt) < _unmetLogInterval {
		return
	}
	shard.unmetLoggedAt = p.now
	for _, sh := range p.unmetShortages[:min(len(p.unmetShortages), _maxUnmetLogged)] {
		if sh.gain < _swapBase {
			continue
		}
		s.cfg.Log.Write(event.StewardLacking, zap.Int("Shard", p.shard), zap.String("Model", sh.model), zap.Int("Copies", sh.copies),
			zap.Float64("Gain", sh.gain), zap.Float64("Requests", p.estimate(sh.model).requests), zap.Bool("MayLoad", p.coldLoadAllowed),
			zap.Int("Unmet", len(p.unmetShortages)))
	}
}

// changeModel sends the order for one model change.
func (s *Steward) changeModel(srv *serverState, t site.Target, change modelChange) {
	result := s.sendOrder(srv, change.load, t, change.reason)
	s.mu.Lock()
	switch result {
	case ResultAccepted:
	case ResultCompleted, ResultConflict, ResultRefused, ResultUnknown:
		srv.synced = false
		srv.backoffUntil = time.Now().Add(_refusedBackoff)
		if change.load && result == ResultUnknown {
			// If the report shows that the order was lost, it is sent again.
			srv.reservedFor = change.model
		}
	case ResultNotSent:
		srv.loading = ""
		srv.unloading = ""
		srv.reservedFor = ""
		srv.backoffUntil = time.Now().Add(_refusedBackoff)
	}
	s.mu.Unlock()
	s.cfg.Changed()
}

// sendOrder sends one order if the lease permits it now.
func (s *Steward) sendOrder(srv *serverState, load bool, t site.Target, reason string) Result {
	s.mu.Lock()
	entry := srv.entry
	expect := srv.acceptedOrders
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, _orderTimeout)
	defer cancel()
	fence, allowed := s.cfg.Leases[s.shardOf(&entry)].MayOrder()
	result := ResultNotSent
	var err error
	if allowed && !entry.Evacuated {
		result, err = s.cfg.SendOrder(ctx, entry, Order{
			Load:   load,
			Target: t,
			Expect: expect,
			Holder: s.cfg.Holder,
			Fence:  fence,
			Allowed: func() bool {
				current, allowed := s.cfg.Leases[s.shardOf(&entry)].MayOrder()

				return allowed && current == fence
			},
		})
	}
	// Backend servers don't count an order to load a target that is already
	// loaded.
	if result == ResultAccepted || result == ResultCompleted && !load {
		s.mu.Lock()
		srv.acceptedOrders = expect + 1
		s.mu.Unlock()
	}
	s.cfg.Log.Write(event.StewardOrder, zap.String("Server", entry.ID), zap.Bool("Load", load), zap.Stringer("Target", t),
		zap.Int("Expect", expect), zap.Int("Fence", fence), zap.String("Reason", reason), zap.String("Result", string(result)), zap.Error(err))

	return result
}

// readReport updates the state of a backend server from its report.
func (s *Steward) readReport(srv *serverState) {
	s.mu.Lock()
	entry := srv.entry
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, _reportTimeout)
	defer cancel()
	r, err := s.cfg.Report(ctx, entry)
	s.observe(srv, &entry, r, err)
	s.cfg.Changed()
}

// observe updates the state of a backend server from a report of it, or from the
// error of reading one.
func (s *Steward) observe(srv *serverState, entry *site.BackendServer, r site.Report, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	srv.pollAt = now.Add(_pollInterval)
	defer func() {
		// Without a current report it is read again. A current one delays no order.
		if !srv.synced {
			srv.backoffUntil = now.Add(_pollInterval)
		}
	}()
	switch {
	case err != nil:
		s.cfg.Log.Write(event.StewardReport, zap.String("Server", entry.ID), zap.Error(err))
	case r.Born != 0 && entry.Born != 0 && r.Born != entry.Born:
		// The report and the entry are from different starts of the backend
		// server. A later entry resolves this.
		s.cfg.Log.Write(event.StewardReport, zap.String("Server", entry.ID), zap.Int64("Born", r.Born))
	case r.Orders < srv.acceptedOrders && srv.synced:
		// The report predates the last order.
	default:
		wasBusy := srv.changingModel()
		srv.applyReport(r)
		if !wasBusy || !srv.changingModel() {
			s.cfg.Log.Write(event.StewardObserved, zap.String("Server", entry.ID), zap.Strings("Targets", srv.servedTargets()), zap.Int("Orders", r.Orders), zap.Bool("Busy", r.Busy))
		}
		if r.Busy && !srv.changingModel() {
			// An order of a previous steward is in progress. The report doesn't
			// include its target.
			srv.synced = false
		}
	}
}
