package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/allowance"
	"papayastair.dev/papayastair/dispatch"
	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/exchange"
	"papayastair.dev/papayastair/hop"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/quarantine"
	"papayastair.dev/papayastair/site"
	"papayastair.dev/papayastair/steward"
	"papayastair.dev/papayastair/timer"
)

const (
	// _maintenanceInterval is the interval at which idle connections are closed
	// and the instance's record is checked.
	_maintenanceInterval = time.Second
	// _shutdownMargin is how long before the end of the grace period the process
	// exits by itself, before the platform kills it.
	_shutdownMargin = 800 * time.Millisecond
	// _maxShards is the maximum number of shards into which the backend servers
	// are divided, by failure domain, for giving orders. The loss of one steward
	// stops only its shard, and each steward may begin one load at a time without
	// all of them together exceeding the limit on loads.
	_maxShards = 4
	// _lateRequestWindow is how long the process still answers late requests, with
	// a refusal, before it exits.
	_lateRequestWindow = 100 * time.Millisecond
	// _drainPollInterval is the interval between checks whether the last answers
	// have been sent.
	_drainPollInterval = 5 * time.Millisecond
	// _fullServicePeriod is how long after the shutdown request any request is
	// still accepted; later, only those whose deadline falls before the exit are.
	// The users' rules excuse an answer cut off by the exit for requests sent
	// within 3 s.
	_fullServicePeriod = 2800 * time.Millisecond
	// _locateTTLFactor is the number of TTLs for which callers may keep a locate
	// answer.
	_locateTTLFactor = 3
)

// Config configures an Entry.
type Config struct {
	// Settings are the process's own settings.
	Settings Settings
	// Codec translates the platform's messages.
	Codec Codec
	// Store returns access to the platform's store. Its calls are counted under
	// cause, and its watches block for at most wait.
	Store func(cause string, wait time.Duration) objectstore.Store
	// SendOrder sends an order to a backend server, and Report reads a backend server's
	// report. The steward calls both.
	SendOrder func(ctx context.Context, server site.BackendServer, o steward.Order) (steward.Result, error)
	Report    func(ctx context.Context, server site.BackendServer) (site.Report, error)
	// Log receives the events, and Registry the metrics.
	Log      *event.Log
	Registry metrics.Registry
}

// Entry is a running entry process. Use New.
type Entry struct {
	cfg       Config
	start     int
	startedAt time.Duration
	// queryOffset, from 0 to 1, spreads the queries of instances that would
	// otherwise make them together.
	queryOffset float64
	balancer    *dispatch.Balancer
	limiter     *allowance.Limiter
	demand      *demandCounter
	shortages   *shortages
	hub         *exchange.Hub
	leases      []*steward.Lease
	steward     *steward.Steward
	servers     []*hop.Server
	// memory bounds the memory held by answers that are being read.
	memory *hop.MemoryLimit
	// bodies bounds the memory held by the bodies of requests.
	bodies *hop.MemoryLimit

	current  atomic.Pointer[site.Configuration]
	evidence evidence
	// newestVersion is the highest configuration version that any other instance
	// has announced; newerVersion is closed and replaced when it rises.
	newestVersion atomic.Int64
	newerVersion  chan struct{}
	sharing       *configurationSharing
	serverChanges *sharedChanges
	recordChanges *sharedChanges
	// evacuationChanges is nil if there are no evacuations.
	evacuationChanges *sharedChanges
	quarantine        *quarantine.Quarantine
	held              heldRecord
	endings           endings
	// heldChanged signals that the set of held traits has changed.
	heldChanged chan struct{}
	leaving     atomic.Bool
	// leavingSince is the time of the shutdown request, by timer.Elapsed.
	leavingSince atomic.Int64
	// serversListed is set once the backend servers' entries have been read.
	serversListed atomic.Bool
	// evacuationsListed is set once the evacuations have been read, or if there are none.
	evacuationsListed atomic.Bool
	limits            atomic.Pointer[site.Limits]

	records      recordCache
	mu           sync.Mutex
	pools        map[string]*hop.Pool
	idleTimeouts map[string]*hop.IdleLimit
	needs        map[string]time.Time
	// boardChanged is closed and replaced when waiting requests must choose again.
	boardChanged chan struct{}
	peerDemands  map[string]peerDemand

	ctx  context.Context
	stop context.CancelFunc
	wg   conc.WaitGroup
	// abortCtx is canceled when the requests that still run must be answered
	// because the process is about to exit.
	abortCtx context.Context
	abort    context.CancelFunc
}

// New starts serving. Requests are refused until a configuration is available.
func New(cfg Config) (*Entry, error) {
	ctx, cancel := context.WithCancel(context.Background())
	abortCtx, abort := context.WithCancel(context.Background())
	e := &Entry{
		cfg:         cfg,
		start:       int(time.Now().UnixMilli()),
		startedAt:   timer.Elapsed(),
		queryOffset: rand.Float64(),
		balancer: dispatch.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), dispatch.RetryLimits{
			Ratio:     cfg.Settings.Bounds.RetryRatio,
			Slack:     cfg.Settings.Bounds.RetrySlack,
			Window:    cfg.Settings.Bounds.RetryWindow,
			Instances: 1,
		}),
		limiter: allowance.New(allowance.Limits{
			Tolerance: cfg.Settings.Bounds.LimitOver,
			Slack:     cfg.Settings.Bounds.LimitSlack,
			Window:    cfg.Settings.Bounds.LimitWindow,
		}),
		demand:       newDemandCounter(),
		shortages:    newShortages(),
		memory:       newMemory(cfg.Settings.MemoryMB, _answerMemoryShare),
		bodies:       newMemory(cfg.Settings.MemoryMB, _bodyMemoryShare),
		pools:        map[string]*hop.Pool{},
		idleTimeouts: map[string]*hop.IdleLimit{},
		needs:        map[string]time.Time{},
		boardChanged: make(chan struct{}),
		heldChanged:  make(chan struct{}, 1),
		newerVersion: make(chan struct{}),
		sharing:      newConfigurationSharing(cfg.Settings.FailureDomain, cfg.Codec.RedactConfiguration),
		peerDemands:  map[string]peerDemand{},
		ctx:          ctx,
		stop:         cancel,
		abortCtx:     abortCtx,
		abort:        abort,
	}
	e.balancer.SetRegions(cfg.Settings.Regions)
	e.serverChanges = newSharedChanges(sharedConfig{
		Bound:      cfg.Settings.Bounds.Drain,
		RetryPause: e.retryPause,
	})
	e.recordChanges = newSharedChanges(sharedConfig{
		Bound:      _recordBound,
		BatchDelay: _recordBatchDelay,
		SettleTime: _recordSettleTime,
		RetryPause: e.retryPause,
	})
	if bound := cfg.Settings.Bounds.Evacuate; bound > 0 {
		e.evacuationChanges = newSharedChanges(sharedConfig{
			Bound:      bound,
			ReaderAge:  evacuationReaderAge(bound),
			RetryPause: e.retryPause,
		})
	}
	e.quarantine = quarantine.New(quarantine.Config{
		Elapsed: timer.Elapsed,
		Probes:  e.probesTrait,
		Spread:  func() time.Duration { return 2 * e.hub.CountAge() },
		Changed: e.signalHeld,
		Log:     cfg.Log,
	})
	e.evidence.init()
	e.records.init()
	limits := _defaultLimits
	e.limits.Store(&limits)
	if err := e.open(); err != nil {
		cancel()
		e.closeServers()

		return nil, err
	}
	e.follow()
	e.wg.Go(e.maintain)
	s := cfg.Settings
	cfg.Log.Write(event.EntryStarted, zap.Int("Start", e.start), zap.String("Callers", s.CallerAddress), zap.String("Peers", s.PeerAddress),
		zap.String("Store", s.StoreAddress), zap.String("FailureDomain", s.FailureDomain), zap.Any("Bounds", s.Bounds))

	return e, nil
}

// _defaultLimits apply until a configuration is available, and in place of
// limits that it doesn't set.
var _defaultLimits = site.Limits{
	HeaderBytes:   16 << 10,
	BodyBytes:     4 << 20,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   15 * time.Second,
}

func (e *Entry) open() error {
	s := e.cfg.Settings
	var err error
	e.hub, err = exchange.Open(exchange.Config{
		Address:       s.PeerAddress,
		Name:          s.Name,
		Start:         e.start,
		FailureDomain: s.FailureDomain,
		Capacity:      s.Capacity,
		Compose:       e.composeBulletin,
		OnBulletin:    e.handleBulletin,
		OnAggregate:   e.handleSums,
		Log:           e.cfg.Log,
	})
	if err != nil {
		return err
	}
	for shard := range min(max(len(s.FailureDomains), 1), _maxShards) {
		e.leases = append(e.leases, steward.NewLease(steward.LeaseConfig{
			Store:         e.cfg.Store("Steward", 0),
			Object:        "orders-" + strconv.Itoa(shard),
			Name:          s.Name,
			Start:         e.start,
			HandoverDelay: s.Bounds.Turn,
			Before:        func() int { return e.stewardsBefore(shard) },
			Elapsed:       timer.Elapsed,
			Log:           e.cfg.Log,
		}))
	}
	e.steward = steward.New(steward.Config{
		Leases:    e.leases,
		Domains:   s.FailureDomains,
		Holder:    s.Name,
		Engine:    e.engine,
		Down:      func(id string) bool { return e.balancer.Down(id, time.Now()) },
		Limited:   e.balancer.Limited,
		SendOrder: e.cfg.SendOrder,
		Report:    e.cfg.Report,
		Changed:   e.pushHeld,
		Log:       e.cfg.Log,
	})
	e.hub.Start()
	// The callers' address comes first: finish stops the servers in this order.
	for _, l := range []struct {
		address string
		handle  func(r *hop.Request)
	}{
		{
			address: s.CallerAddress,
			handle:  e.handle,
		},
		{
			address: s.ReadyAddress,
			handle:  e.handleReady,
		},
		{
			address: s.LocateAddress,
			handle:  e.handleLocate,
		},
		{
			address: s.MetricsAddress,
			handle:  e.handleMetrics,
		},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return eris.Wrapf(err, "entry: listen on %s", l.address)
		}
		e.servers = append(e.servers, hop.Serve(hop.ServerConfig{
			Listener: listener,
			Limits:   func() site.Limits { return *e.limits.Load() },
			Handle: func(r *hop.Request) {
				defer e.cfg.Log.Recover("Caller")
				l.handle(r)
			},
			Refused: e.logUnread,
			Memory:  e.bodies,
		}))
	}

	return nil
}

// Leave shuts the instance down gracefully: it directs callers to other
// instances, serves the requests that still arrive, and returns when no request
// runs and no caller is left, or when the grace period is over. A request that
// runs then is answered: as not run if it was sent to no backend server, else
// as of unknown outcome. A stream that has begun is cut off.
func (e *Entry) Leave() {
	began := timer.Elapsed()
	e.leavingSince.Store(int64(began))
	e.leaving.Store(true)
	e.cfg.Log.Write(event.EntryLeaving, zap.Int("Busy", e.busy()))
	e.hub.PushUpdate()
	go e.removeOwnRecord()
	for _, s := range e.servers {
		s.Drain()
	}
	minWait := _locateTTLFactor*e.ttl() + 500*time.Millisecond
	maxWait := e.cfg.Settings.Bounds.Grace - _shutdownMargin
	released := false
	for passed := time.Duration(0); passed < maxWait; passed = timer.Elapsed() - began {
		if !released && passed >= _fullServicePeriod {
			// Releasing the leases at the end could outlast the process if the store
			// doesn't answer.
			released = true
			e.wg.Go(e.steward.Close)
		}
		if passed >= minWait && e.finish() {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	e.abort()
	for _, s := range e.servers {
		s.Refuse()
	}
	for until := timer.Elapsed() + _lateRequestWindow; timer.Elapsed() < until || e.busy() > 0 && timer.Elapsed() < began+maxWait+_shutdownMargin/2; {
		time.Sleep(_drainPollInterval)
	}
}

// finish stops accepting requests, one address after the other, and reports
// whether all have stopped. It ends at the first address where a request waits
// for its answer.
func (e *Entry) finish() bool {
	for _, s := range e.servers {
		if !s.RefuseIfIdle() {
			return false
		}
	}

	return true
}

// timeLeft returns the time until the process exits, and whether requests that
// may last longer are still accepted.
func (e *Entry) timeLeft() (left time.Duration, acceptsAll bool) {
	passed := timer.Elapsed() - time.Duration(e.leavingSince.Load())

	return e.cfg.Settings.Bounds.Grace - _shutdownMargin - passed, !e.leaving.Load() || passed < _fullServicePeriod
}

// accepts reports whether a request that may last until the given time may
// still be forwarded.
func (e *Entry) accepts(until time.Time) bool {
	if e.abortCtx.Err() != nil {
		return false
	}
	left, all := e.timeLeft()

	return all || time.Until(until) <= left
}

// busy returns the number of requests that wait for their answers.
func (e *Entry) busy() int {
	n := 0
	for _, s := range e.servers {
		n += s.Busy()
	}

	return n
}

// Close stops the process's work and waits until it has ended.
func (e *Entry) Close() {
	e.cfg.Log.Write(event.EntryStopped, zap.Int("Busy", e.busy()), zap.Duration("After", timer.Elapsed()-time.Duration(e.leavingSince.Load())))
	e.stop()
	e.abort()
	// Close the servers first: closing the steward calls the store, which may take
	// longer than the platform waits.
	e.closeServers()
	e.steward.Close()
	if e.hub != nil {
		e.hub.Close()
	}
	e.wg.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pools {
		p.Close()
	}
}

func (e *Entry) closeServers() {
	for _, s := range e.servers {
		s.Close()
	}
}

// maintain closes idle connections and synchronizes the instance's record and the
// held traits, at every _maintenanceInterval.
func (e *Entry) maintain() {
	ticker := time.NewTicker(_maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-e.heldChanged:
			e.syncHeld()

			continue
		case <-ticker.C:
		}
		e.mu.Lock()
		pools := make([]*hop.Pool, 0, len(e.pools))
		for _, p := range e.pools {
			pools = append(pools, p)
		}
		e.mu.Unlock()
		for _, p := range pools {
			p.Trim()
		}
		e.syncOwnRecord()
		e.syncHeld()
	}
}

func (e *Entry) syncOwnRecord() {
	defer e.cfg.Log.Recover("Record")
	e.syncRecord()
}

// pool returns the pool of connections to one start of a backend server.
func (e *Entry) pool(s *site.BackendServer) *hop.Pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := poolKey(s)
	p := e.pools[id]
	if p == nil {
		dialed := metrics.GetOrRegisterCounter("Entry.Dialed."+s.Service, e.cfg.Registry)
		if e.idleTimeouts[s.Service] == nil {
			e.idleTimeouts[s.Service] = &hop.IdleLimit{}
		}
		p = hop.NewPool(s.Address, func() { dialed.Inc(1) }, e.idleTimeouts[s.Service])
		e.pools[id] = p
	}

	return p
}

func poolKey(s *site.BackendServer) string {
	return s.ID + "|" + s.Address
}

func (e *Entry) engine(service string) *site.Engine {
	cfg := e.current.Load()
	if cfg == nil || cfg.Services[service] == nil {
		return nil
	}

	return cfg.Services[service].Engine
}

// stewardsBefore returns the number of instances that should rather acquire a shard's
// free lease than this one; -1 if this one is leaving: it would release the lease
// before the first order, and each handover costs a delay without orders. Instances
// with more capacity come first. Each shard begins at another instance, and one that
// holds a lease already lets others go first, so that the loss of one instance stops
// the orders of one shard only.
func (e *Entry) stewardsBefore(shard int) int {
	if e.leaving.Load() {
		return -1
	}
	own := candidateSteward{
		name:     e.cfg.Settings.Name,
		capacity: e.cfg.Settings.Capacity,
	}
	others := []candidateSteward{}
	for _, i := range e.hub.Instances() {
		if i.Alive && !i.Leaving && i.Name != own.name {
			others = append(others, candidateSteward{
				name:     i.Name,
				capacity: i.Capacity,
			})
		}
	}
	before := own.before(others, shard)
	for i, l := range e.leases {
		if _, ok := l.Held(); ok && i != shard {
			before += len(e.leases)
		}
	}

	return before
}

// candidateSteward is an instance that may acquire a lease.
type candidateSteward struct {
	name     string
	capacity int
}

// before returns the number of other instances that should rather acquire the lease
// of a shard than c. The order is the same at all instances that know the same ones.
func (c candidateSteward) before(others []candidateSteward, shard int) int {
	position := 0
	for _, o := range others {
		if cmp.Or(cmp.Compare(o.capacity, c.capacity), cmp.Compare(xxhash.Sum64String(o.name), xxhash.Sum64String(c.name))) > 0 {
			position++
		}
	}
	n := len(others) + 1

	return (position - shard%n + n) % n
}

// wakeWaiters makes requests that wait for a backend server choose again.
func (e *Entry) wakeWaiters() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.boardChanged)
	e.boardChanged = make(chan struct{})
}

func (e *Entry) boardChangedChannel() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.boardChanged
}
