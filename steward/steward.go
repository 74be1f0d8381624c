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
	_tick = 100 * time.Millisecond
	// _orderTimeout is how long an order waits for its answer.
	_orderTimeout  = 250 * time.Millisecond
	_reportTimeout = 400 * time.Millisecond
	// _reportLag is how old a report may be, with a margin.
	_reportLag = 350 * time.Millisecond
	// _pollEvery is the time between reports of a backend server whose order
	// is due.
	_pollEvery = 150 * time.Millisecond
	// _refusedPause is how long a backend server that refused an order is left
	// alone.
	_refusedPause = 400 * time.Millisecond
	// _adapterLoad is how long an adapter is on its way after its order was
	// accepted; a few may come at once.
	_adapterLoad = 12 * time.Millisecond
	// _mostComing is how many adapters may be on their way to one backend server,
	// by the users' pages.
	_mostComing = 4
	// _needMemory is how long a target that was waited for is still loaded.
	_needMemory = time.Second
	// _needPatience is how long the steward of the shard that comes first has
	// to load an adapter before others do.
	_needPatience = 80 * time.Millisecond
	// _foreignMemory is how long the word of another steward is believed.
	_foreignMemory = 1500 * time.Millisecond
	// _settleTime is how long a new steward leaves the models as they are, until
	// reports have come and the other stewards are heard.
	_settleTime = time.Second
	// _unmetEvery is the time between two lines on demand that can't be met.
	_unmetEvery = time.Second
	// _loadBurst is how many loads from the weight store one shard may begin
	// together, and _loadShare the part of the rate that all use.
	_loadBurst = 1.0
	_loadShare = 0.9
	// _stepsPerTick bounds the orders on models that one tick begins.
	_stepsPerTick = 6
)

// Order is one order to a backend server.
type Order struct {
	// Load says that the target is to be loaded, else it is unloaded.
	Load bool
	// Target is the model or adapter.
	Target site.Target
	// Expect is the number of orders that the backend server must have
	// accepted before this one.
	Expect int
	// Holder and Fence identify the steward.
	Holder string
	Fence  int
	// May says whether the order may still leave; it is asked again when there
	// is a connection, just before the first byte.
	May func() bool
}

// Result is the outcome of an order.
type Result string

// Results of orders.
const (
	// ResultAccepted means that the order is being carried out.
	ResultAccepted Result = "Accepted"
	// ResultHolds means that it held already or was done at once.
	ResultHolds Result = "Holds"
	// ResultConflict means that another order is in progress, or that another
	// number of orders has been accepted.
	ResultConflict Result = "Conflict"
	// ResultRefused means that the backend server will not carry it out.
	ResultRefused Result = "Refused"
	// ResultUnknown means that it may be carried out, also later.
	ResultUnknown Result = "Unknown"
	// ResultNotSent means that it never left.
	ResultNotSent Result = "NotSent"
)

// Config is what a Steward works with.
type Config struct {
	// Leases say to which shards of the backend servers this instance gives
	// the orders; their number is the same at all instances.
	Leases []*Lease
	// Domains are all failure domains, the same list at all instances.
	Domains []string
	// Holder is this instance's name in orders.
	Holder string
	// Engine is the engine of a service, nil if it has none.
	Engine func(service string) *site.Engine
	// Down says that connections to a backend server fail.
	Down func(id string) bool
	// Give sends an order.
	Give func(ctx context.Context, server site.BackendServer, o Order) (Result, error)
	// Report reads a backend server's report.
	Report func(ctx context.Context, server site.BackendServer) (site.Report, error)
	// Changed is called when what is held has changed.
	Changed func()
	// Log takes the events.
	Log *event.Log
}

// need is a target that requests wait for, first since first and lately at.
type need struct {
	service string
	first   time.Time
	at      time.Time
	// told is when it was logged that there is no place.
	told time.Time
}

// foreignView is what another steward says of a backend server.
type foreignView struct {
	at      time.Time
	targets map[string]bool
}

// Steward gives the orders while it holds the lease. Use New.
type Steward struct {
	cfg     Config
	mu      sync.Mutex
	shards  []shardState
	servers map[string]*ledger
	foreign map[string]foreignView
	demands map[string]map[string]*demand
	needs   map[site.Target]need
	wake    chan struct{}
	ctx     context.Context
	stop    context.CancelFunc
	wg      conc.WaitGroup
	once    sync.Once
}

// shardState is this instance's part in one shard.
type shardState struct {
	// active says that orders may be given.
	active bool
	// loads is how many loads from the weight store may begin, as of loadsAt.
	loads   float64
	loadsAt time.Time
	// settled is from when on models are changed.
	settled time.Time
	// toldUnmet is when unmet demand was logged last.
	toldUnmet time.Time
}

// New starts a steward.
func New(cfg Config) *Steward {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Steward{
		cfg:     cfg,
		shards:  make([]shardState, len(cfg.Leases)),
		servers: map[string]*ledger{},
		foreign: map[string]foreignView{},
		demands: map[string]map[string]*demand{},
		needs:   map[site.Target]need{},
		wake:    make(chan struct{}, 1),
		ctx:     ctx,
		stop:    cancel,
	}
	for _, l := range cfg.Leases {
		s.wg.Go(func() { s.holdLease(l) })
	}
	s.wg.Go(s.run)

	return s
}

// Close releases the leases and waits. It may be called again.
func (s *Steward) Close() {
	s.once.Do(func() {
		s.stop()
		s.wg.Wait()
		// All together: each may wait for a store that doesn't answer.
		var wg conc.WaitGroup
		for _, l := range s.cfg.Leases {
			wg.Go(func() { l.Release(context.Background()) })
		}
		wg.Wait()
	})
}

// shard is the shard of a backend server: that of its failure domain, so that
// shards are of like size, or by a hash where the domain isn't known.
func (s *Steward) shard(entry *site.BackendServer) int {
	if i := slices.Index(s.cfg.Domains, entry.FailureDomain); i >= 0 {
		return i % len(s.cfg.Leases)
	}

	return int(xxhash.Sum64String(entry.ID) % uint64(len(s.cfg.Leases)))
}

// SetForeign takes what another steward says that backend servers hold.
func (s *Steward) SetForeign(held []wire.ServerTargets, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range held {
		view := foreignView{
			at:      now,
			targets: make(map[string]bool, len(h.Targets)),
		}
		for _, t := range h.Targets {
			view.targets[t] = true
		}
		s.foreign[h.Server] = view
	}
}

// Orders says whether this instance gives the orders to a backend server.
func (s *Steward) Orders(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.servers[id]

	return l != nil && s.shards[s.shard(&l.entry)].active
}

// SetServer takes a backend server's entry, new or changed.
func (s *Steward) SetServer(entry site.BackendServer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.servers[entry.ID]
	if l == nil || l.entry.Born != entry.Born {
		l = newLedger(entry)
		s.servers[entry.ID] = l
	}
	l.entry = entry
}

// RemoveServer forgets a backend server.
func (s *Steward) RemoveServer(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.servers, id)
	delete(s.foreign, id)
}

// SetDemand takes what all instances' callers ask for, by service and target.
func (s *Steward) SetDemand(asked map[string]map[site.Target]Want, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, targets := range asked {
		models := map[string]Want{}
		for t, w := range targets {
			sum := models[t.Model]
			sum.Requests += w.Requests
			sum.PerSecond += w.PerSecond
			sum.Urgent = sum.Urgent || w.Urgent
			models[t.Model] = sum
			if t.Adapter != "" && w.Running > 0 {
				s.noteUse(service, t, now)
			}
		}
		s.takeDemand(service, models, now)
	}
}

// noteUse keeps when an adapter was used last, wherever it is held.
func (s *Steward) noteUse(service string, t site.Target, now time.Time) {
	for _, l := range s.servers {
		if l.entry.Service == service && l.holds(t) {
			l.used[t] = now
		}
	}
}

// takeDemand takes the demand for each model of a service; what isn't asked
// for any more falls.
func (s *Steward) takeDemand(service string, models map[string]Want, now time.Time) {
	known := s.demands[service]
	if known == nil {
		known = map[string]*demand{}
		s.demands[service] = known
	}
	for model := range models {
		if known[model] == nil {
			known[model] = &demand{}
		}
	}
	for model, d := range known {
		d.take(models[model], now)
	}
}

// Need asks for a target that requests wait for.
func (s *Steward) Need(service string, t site.Target, now time.Time) {
	s.mu.Lock()
	n, ok := s.needs[t]
	if !ok {
		n = need{
			service: service,
			first:   now,
		}
	}
	n.at = now
	s.needs[t] = n
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Held is what the backend servers of the shards that this instance orders
// hold, as far as it knows, and the fencing numbers.
func (s *Steward) Held() (shards []wire.StewardShard, held []wire.ServerTargets) {
	mine := make([]bool, len(s.cfg.Leases))
	for i, l := range s.cfg.Leases {
		h, ok := l.Held()
		mine[i] = ok
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
	for id, l := range s.servers {
		if l.known && mine[s.shard(&l.entry)] {
			held = append(held, wire.ServerTargets{
				Server:  id,
				Targets: l.targets(),
			})
		}
	}
	slices.SortFunc(held, func(a, b wire.ServerTargets) int { return strings.Compare(a.Server, b.Server) })

	return shards, held
}

func (s *Steward) holdLease(l *Lease) {
	for s.ctx.Err() == nil {
		wait := l.Step(s.ctx)
		select {
		case <-s.ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (s *Steward) run() {
	ticker := time.NewTicker(_tick)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-ticker.C:
		case <-s.wake:
		}
		s.act(time.Now())
	}
}

// act begins what is to be done now.
func (s *Steward) act(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	steward := false
	for i, l := range s.cfg.Leases {
		_, may := l.MayOrder()
		steward = steward || may
		if may != s.shards[i].active {
			s.turn(i, may, now)
		}
	}
	if !steward {
		return
	}
	services := map[string][]*ledger{}
	// Read once: a new configuration may come at any moment.
	engines := map[string]*site.Engine{}
	for id, l := range s.servers {
		if _, ok := engines[l.entry.Service]; !ok {
			engines[l.entry.Service] = s.cfg.Engine(l.entry.Service)
		}
		if engines[l.entry.Service] == nil || !s.shards[s.shard(&l.entry)].active {
			continue
		}
		l.down = s.cfg.Down(id)
		services[l.entry.Service] = append(services[l.entry.Service], l)
		if !l.working && (!l.known && !now.Before(l.pause) || l.busy() && !now.Before(l.due)) {
			s.begin(l, s.readReport)
		}
	}
	for service, servers := range services {
		slices.SortFunc(servers, func(a, b *ledger) int { return strings.Compare(a.entry.ID, b.entry.ID) })
		e := engines[service]
		s.placeAdapters(service, e, servers, now)
		s.placeModels(service, e, servers, now)
	}
}

// turn begins or ends the ordering of a shard. Another holder may have given
// orders before, so nothing is known of its backend servers.
func (s *Steward) turn(shard int, may bool, now time.Time) {
	s.shards[shard] = shardState{
		active:  may,
		loadsAt: now,
		settled: now.Add(_settleTime),
	}
	for _, l := range s.servers {
		if s.shard(&l.entry) == shard {
			l.known = false
			l.loading = ""
			l.unloading = ""
			l.roomFor = ""
		}
	}
}

// others are the backend servers of a service that other stewards order: as
// they said lately, else as the backend servers' entries say.
func (s *Steward) others(service string, now time.Time) []foreignServer {
	var out []foreignServer
	for id, l := range s.servers {
		if l.entry.Service != service || l.entry.Draining || s.shards[s.shard(&l.entry)].active || s.cfg.Down(id) {
			continue
		}
		f := foreignServer{
			id:    id,
			shard: s.shard(&l.entry),
		}
		if view, ok := s.foreign[id]; ok && now.Sub(view.at) <= _foreignMemory {
			f.targets = view.targets
			f.ordered = true
		} else {
			f.targets = make(map[string]bool, len(l.entry.Models))
			for _, h := range l.entry.Models {
				f.targets[h.Model] = true
			}
		}
		out = append(out, f)
	}

	return out
}

// begin runs fn for a backend server in a goroutine of its own; one at a time.
func (s *Steward) begin(l *ledger, fn func(l *ledger)) {
	l.working = true
	s.wg.Go(func() {
		fn(l)
		s.mu.Lock()
		l.working = false
		s.mu.Unlock()
	})
}

// placeAdapters begins the loads of adapters that are waited for.
func (s *Steward) placeAdapters(service string, e *site.Engine, servers []*ledger, now time.Time) {
	steps := map[*ledger][]adapterStep{}
	search := adapterSearch{
		engine:  e,
		own:     servers,
		foreign: s.others(service, now),
		taken:   map[*ledger]int{},
		now:     now,
	}
	for t, n := range s.needs {
		if now.Sub(n.at) > _needMemory {
			delete(s.needs, t)

			continue
		}
		if n.service != service || t.Adapter == "" || e.Models[t.Model].Name == "" {
			continue
		}
		if slices.ContainsFunc(servers, func(l *ledger) bool { return !l.entry.Draining && l.known && l.holds(t) }) ||
			slices.ContainsFunc(search.foreign, func(f foreignServer) bool { return f.targets[t.String()] }) {
			delete(s.needs, t)

			continue
		}
		st, reason := search.place(t, now.Sub(n.first) < _needPatience)
		if st.server == nil {
			if d := s.demands[service][t.Model]; d != nil && reason == _allInUse {
				d.starved++
			}
			if reason != "Elsewhere" && now.Sub(n.told) > _unmetEvery {
				n.told = now
				s.needs[t] = n
				s.cfg.Log.Write(event.StewardNoRoom, zap.Stringer("Target", t), zap.String("Reason", reason))
			}

			continue
		}
		search.taken[st.server]++
		steps[st.server] = append(steps[st.server], st)
		delete(s.needs, t)
	}
	for l, list := range steps {
		s.begin(l, func(l *ledger) {
			for _, st := range list {
				s.loadAdapter(l, st)
			}
		})
	}
}

// loadAdapter gives the orders for one adapter.
func (s *Steward) loadAdapter(l *ledger, st adapterStep) {
	if st.evict.Model != "" {
		s.setAdapter(l, st.evict, false)
		if s.give(l, false, st.evict, "RoomFor "+st.target.String()) != ResultHolds {
			// It may still be there, and counts until a report shows otherwise.
			s.setAdapter(l, st.evict, true)
			s.doubt(l)
			s.cfg.Changed()

			return
		}
	}
	for s.comingAt(l) >= _mostComing {
		time.Sleep(_adapterLoad / _mostComing)
	}
	switch s.give(l, true, st.target, "Needed") {
	case ResultAccepted:
		// The next order needn't wait until this adapter serves.
		s.mu.Lock()
		l.coming[st.target] = true
		s.mu.Unlock()
		s.setAdapter(l, st.target, true)
		s.wg.Go(func() {
			time.Sleep(_adapterLoad)
			s.mu.Lock()
			delete(l.coming, st.target)
			s.mu.Unlock()
			s.cfg.Changed()
		})
	case ResultHolds:
		s.setAdapter(l, st.target, true)
		s.cfg.Changed()
	case ResultConflict, ResultRefused, ResultUnknown:
		s.doubt(l)
		s.cfg.Changed()
	case ResultNotSent:
	}
}

// comingAt is how many adapters are on their way to a backend server.
func (s *Steward) comingAt(l *ledger) int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(l.coming)
}

func (s *Steward) setAdapter(l *ledger, t site.Target, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	adapters := l.adapters[t.Model]
	if adapters == nil {
		return
	}
	if held {
		adapters[t.Adapter] = true
		l.used[t] = time.Now()
	} else {
		delete(adapters, t.Adapter)
	}
}

// doubt lets the next report decide what the backend server holds. Until then
// nothing is ordered.
func (s *Steward) doubt(l *ledger) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.known = false
	l.pause = time.Now().Add(_refusedPause)
}

// placeModels begins the changes of models that demand asks for, shard by
// shard.
func (s *Steward) placeModels(service string, e *site.Engine, servers []*ledger, now time.Time) {
	if s.demands[service] == nil {
		s.demands[service] = map[string]*demand{}
	}
	foreign := s.others(service, now)
	alive := s.aliveShards(foreign)
	for shard := range s.shards {
		st := &s.shards[shard]
		if !st.active {
			continue
		}
		perSecond := e.LoadsPerSecond * _loadShare / float64(len(alive))
		st.loads = min(st.loads+perSecond*now.Sub(st.loadsAt).Seconds(), _loadBurst)
		st.loadsAt = now
		if now.Before(st.settled) {
			continue
		}
		p := planner{
			engine:    e,
			demands:   s.demands[service],
			now:       now,
			shard:     slices.Index(alive, shard),
			shards:    len(alive),
			elsewhere: map[string][]int{},
			orphans:   map[string]int{},
		}
		for _, l := range servers {
			if s.shard(&l.entry) == shard {
				p.servers = append(p.servers, l)
			} else if !l.entry.Draining && !l.down {
				p.countElsewhere(slices.Index(alive, s.shard(&l.entry)), l.models())
			}
		}
		for _, f := range foreign {
			p.countElsewhere(slices.Index(alive, f.shard), f.models())
		}
		s.placeShard(p, st)
	}
}

// aliveShards are the shards that have a steward, in order.
func (s *Steward) aliveShards(foreign []foreignServer) []int {
	alive := make([]bool, len(s.shards))
	for i := range s.shards {
		alive[i] = s.shards[i].active
	}
	for _, f := range foreign {
		if f.ordered {
			alive[f.shard] = true
		}
	}
	var out []int
	for i, ok := range alive {
		if ok {
			out = append(out, i)
		}
	}

	return out
}

// placeShard begins changes in one shard.
func (s *Steward) placeShard(p planner, shard *shardState) {
	for range _stepsPerTick {
		p.mayCold = shard.loads >= 1
		p.unmet = nil
		st, ok := p.next()
		if !ok {
			s.logUnmet(&p, shard)

			return
		}
		l := st.server
		target := site.Target{Model: st.model}
		if st.load {
			m := p.engine.Models[st.model]
			expected := m.ColdLoad
			if l.atHand[st.model] {
				expected = max(m.DiskLoad, m.WarmLoad)
			} else {
				shard.loads--
			}
			l.loading = st.model
			l.roomFor = ""
			l.loadedAt[st.model] = p.now
			l.due = p.now.Add(expected)
		} else {
			l.unloading = st.model
			l.roomFor = st.room
			l.due = p.now.Add(_reportLag)
		}
		s.begin(l, func(l *ledger) { s.changeModel(l, target, st) })
	}
}

// logUnmet tells what demand can't be met now.
func (s *Steward) logUnmet(p *planner, shard *shardState) {
	if len(p.unmet) == 0 || p.now.Sub(shard.toldUnmet) < _unmetEvery {
		return
	}
	shard.toldUnmet = p.now
	held := map[string]int{}
	for _, l := range p.servers {
		for model := range l.adapters {
			held[model]++
		}
	}
	for _, l := range p.unmet {
		if l.gain < _swapBase {
			continue
		}
		s.cfg.Log.Write(event.StewardLacking, zap.Int("Shard", p.shard), zap.String("Model", l.model), zap.Int("Copies", l.copies),
			zap.Float64("Gain", l.gain), zap.Float64("Requests", p.demand(l.model).requests), zap.Bool("MayLoad", p.mayCold), zap.Any("Held", held))
	}
}

// changeModel gives the order for one model.
func (s *Steward) changeModel(l *ledger, t site.Target, st step) {
	result := s.give(l, st.load, t, st.reason)
	s.mu.Lock()
	switch result {
	case ResultAccepted:
	case ResultHolds, ResultConflict, ResultRefused, ResultUnknown:
		l.known = false
		l.pause = time.Now().Add(_refusedPause)
	case ResultNotSent:
		l.loading = ""
		l.unloading = ""
		l.roomFor = ""
		l.pause = time.Now().Add(_refusedPause)
	}
	s.mu.Unlock()
	s.cfg.Changed()
}

// give sends one order, if the lease allows it at that moment.
func (s *Steward) give(l *ledger, load bool, t site.Target, reason string) Result {
	s.mu.Lock()
	entry := l.entry
	expect := l.orders
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, _orderTimeout)
	defer cancel()
	fence, may := s.cfg.Leases[s.shard(&entry)].MayOrder()
	result := ResultNotSent
	var err error
	if may {
		result, err = s.cfg.Give(ctx, entry, Order{
			Load:   load,
			Target: t,
			Expect: expect,
			Holder: s.cfg.Holder,
			Fence:  fence,
			May: func() bool {
				now, may := s.cfg.Leases[s.shard(&entry)].MayOrder()

				return may && now == fence
			},
		})
	}
	// A load that was held already is not counted as an order there.
	if result == ResultAccepted || result == ResultHolds && !load {
		s.mu.Lock()
		l.orders = expect + 1
		s.mu.Unlock()
	}
	s.cfg.Log.Write(event.StewardOrder, zap.String("Server", entry.ID), zap.Bool("Load", load), zap.Stringer("Target", t),
		zap.Int("Expect", expect), zap.Int("Fence", fence), zap.String("Reason", reason), zap.String("Result", string(result)), zap.Error(err))

	return result
}

// readReport brings the ledger in line with the backend server.
func (s *Steward) readReport(l *ledger) {
	s.mu.Lock()
	entry := l.entry
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, _reportTimeout)
	defer cancel()
	r, err := s.cfg.Report(ctx, entry)
	s.mu.Lock()
	now := time.Now()
	l.pause = now.Add(_pollEvery)
	l.due = now.Add(_pollEvery)
	switch {
	case err != nil:
		s.cfg.Log.Write(event.StewardReport, zap.String("Server", entry.ID), zap.Error(err))
	case r.Born != 0 && entry.Born != 0 && r.Born != entry.Born:
		// Another start than the entry's; the next entry will tell.
		s.cfg.Log.Write(event.StewardReport, zap.String("Server", entry.ID), zap.Int64("Born", r.Born))
	case r.Orders < l.orders && l.known:
		// From before the last order.
	default:
		wasBusy := l.busy()
		l.take(r)
		if !wasBusy || !l.busy() {
			s.cfg.Log.Write(event.StewardObserved, zap.String("Server", entry.ID), zap.Strings("Targets", l.targets()), zap.Int("Orders", r.Orders), zap.Bool("Busy", r.Busy))
		}
		if r.Busy && !l.busy() {
			// An order of a former steward is under way; what it is isn't told.
			l.known = false
		}
	}
	s.mu.Unlock()
	s.cfg.Changed()
}
