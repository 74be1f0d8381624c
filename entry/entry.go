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
	"papayastair.dev/papayastair/site"
	"papayastair.dev/papayastair/steward"
	"papayastair.dev/papayastair/timer"
)

const (
	// _trimEvery is the time between two looks for idle connections.
	_trimEvery = time.Second
	// _leaveMargin is how long before the platform ends a process that was
	// told to stop it ends itself.
	_leaveMargin = 800 * time.Millisecond
	// _maxShards bounds into how many parts, by failure domains, the backend
	// servers are divided for the giving of orders: the loss of one steward
	// stops no more than its part, and each may begin one load at once without
	// all together breaking the ceiling.
	_maxShards = 4
	// _lastAnswers is for how long those who come too late are still answered.
	_lastAnswers = 100 * time.Millisecond
	// _lastWait is between two looks whether the last answers are out.
	_lastWait = 5 * time.Millisecond
	// _stewardStagger is between instances that look for a free lease.
	_stewardStagger = 300 * time.Millisecond
	_stewardMost    = 1500 * time.Millisecond
	// _leaveServes is for how long after the request to stop anything is still
	// taken; after it only what is surely over before the end. The users' rules
	// excuse a cut at the end for requests sent within 3 s.
	_leaveServes = 2800 * time.Millisecond
	// _ttlsKept is for how many times its time to live callers may keep an
	// answer to where they should go.
	_ttlsKept = 3
)

// Config is what an Entry works with.
type Config struct {
	// Settings are the process's own.
	Settings Settings
	// Dialect translates messages.
	Dialect Dialect
	// Store is access to the platform's store, counted by cause, with watches
	// that wait at most wait.
	Store func(cause string, wait time.Duration) objectstore.Store
	// Give and Report are the calls at backend servers that the steward makes.
	Give   func(ctx context.Context, server site.BackendServer, o steward.Order) (steward.Result, error)
	Report func(ctx context.Context, server site.BackendServer) (site.Report, error)
	// Log takes the events, and Registry the counters.
	Log      *event.Log
	Registry metrics.Registry
}

// Entry is one serving process. Use New.
type Entry struct {
	cfg     Config
	start   int
	began   time.Duration
	board   *dispatch.Board
	book    *allowance.Book
	demand  *demandCounter
	hub     *exchange.Hub
	leases  []*steward.Lease
	steward *steward.Steward
	servers []*hop.Server
	// memory is what answers may hold while they are read.
	memory *hop.Memory

	current  atomic.Pointer[site.Configuration]
	evidence evidence
	// newest is the newest version of the configuration that any instance has.
	newest  atomic.Int64
	told    chan struct{}
	changes *serverChanges
	leaving atomic.Bool
	// leftAt is when the process was told to stop, by timer.Elapsed.
	leftAt atomic.Int64
	// serversKnown says that the backend servers' entries were read.
	serversKnown atomic.Bool
	limits       atomic.Pointer[site.Limits]

	records recordBook
	mu      sync.Mutex
	pools   map[string]*hop.Pool
	rests   map[string]*hop.Rest
	needs   map[string]time.Time
	changed chan struct{}
	asked   map[string]peerDemand

	ctx  context.Context
	stop context.CancelFunc
	wg   conc.WaitGroup
	// ending is done when requests that still run must be answered, since the
	// process ends.
	ending context.Context
	end    context.CancelFunc
}

// New starts serving. Requests are refused until a configuration is known.
func New(cfg Config) (*Entry, error) {
	ctx, cancel := context.WithCancel(context.Background())
	ending, end := context.WithCancel(context.Background())
	e := &Entry{
		cfg:   cfg,
		start: int(time.Now().UnixMilli()),
		began: timer.Elapsed(),
		board: dispatch.New(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), dispatch.RetryLimits{
			Ratio:     cfg.Settings.Bounds.RetryRatio,
			Slack:     cfg.Settings.Bounds.RetrySlack,
			Window:    cfg.Settings.Bounds.RetryWindow,
			Instances: 1,
		}),
		book: allowance.New(allowance.Limits{
			Over:   cfg.Settings.Bounds.LimitOver,
			Slack:  cfg.Settings.Bounds.LimitSlack,
			Window: cfg.Settings.Bounds.LimitWindow,
		}),
		demand:  newDemandCounter(),
		memory:  newMemory(cfg.Settings.MemoryMB),
		pools:   map[string]*hop.Pool{},
		rests:   map[string]*hop.Rest{},
		needs:   map[string]time.Time{},
		changed: make(chan struct{}),
		told:    make(chan struct{}),
		changes: newServerChanges(),
		asked:   map[string]peerDemand{},
		ctx:     ctx,
		stop:    cancel,
		ending:  ending,
		end:     end,
	}
	e.evidence.init()
	e.records.init()
	limits := _firstLimits
	e.limits.Store(&limits)
	if err := e.open(); err != nil {
		cancel()
		e.closeServers()

		return nil, err
	}
	e.follow()
	e.wg.Go(e.trim)
	s := cfg.Settings
	cfg.Log.Write(event.EntryStarted, zap.Int("Start", e.start), zap.String("Callers", s.CallerAddress), zap.String("Peers", s.PeerAddress),
		zap.String("Store", s.StoreAddress), zap.String("FailureDomain", s.FailureDomain), zap.Any("Bounds", s.Bounds))

	return e, nil
}

// _firstLimits hold until a configuration is known.
var _firstLimits = site.Limits{
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
		Compose:       e.compose,
		Heard:         e.heard,
		Sums:          e.heardSums,
		Log:           e.cfg.Log,
	})
	if err != nil {
		return err
	}
	for shard := range min(max(len(s.FailureDomains), 1), _maxShards) {
		e.leases = append(e.leases, steward.NewLease(steward.LeaseConfig{
			Store:   e.cfg.Store("Steward", 0),
			Object:  "orders-" + strconv.Itoa(shard),
			Name:    s.Name,
			Start:   e.start,
			Turn:    s.Bounds.Turn,
			Delay:   func() time.Duration { return e.stewardDelay(shard) },
			Elapsed: timer.Elapsed,
			Log:     e.cfg.Log,
		}))
	}
	e.steward = steward.New(steward.Config{
		Leases:  e.leases,
		Domains: s.FailureDomains,
		Holder:  s.Name,
		Engine:  e.engine,
		Down:    func(id string) bool { return e.board.Down(id, time.Now()) },
		Give:    e.cfg.Give,
		Report:  e.cfg.Report,
		Changed: e.heldChanged,
		Log:     e.cfg.Log,
	})
	e.hub.Start()
	// Callers come first: finish asks in this order.
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
			Handle:   l.handle,
			Refused:  e.malformed,
		}))
	}

	return nil
}

// Leave tells callers to go elsewhere, serves what still comes, and returns
// when nothing runs and no caller is left, or when the time to stop is over.
// What runs then is answered: as not run if it was sent nowhere, else as
// unknown; a stream that has begun is cut.
func (e *Entry) Leave() {
	began := timer.Elapsed()
	e.leftAt.Store(int64(began))
	e.leaving.Store(true)
	e.cfg.Log.Write(event.EntryLeaving, zap.Int("Busy", e.busy()))
	e.hub.PushNews()
	go e.removeRecord()
	for _, s := range e.servers {
		s.Drain()
	}
	least := _ttlsKept*e.ttl() + 500*time.Millisecond
	most := e.cfg.Settings.Bounds.Grace - _leaveMargin
	released := false
	for passed := time.Duration(0); passed < most; passed = timer.Elapsed() - began {
		if !released && passed >= _leaveServes {
			// Not at the end: a store that doesn't answer would outlast it.
			released = true
			e.wg.Go(e.steward.Close)
		}
		if passed >= least && e.finish() {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	e.end()
	for _, s := range e.servers {
		s.Refuse()
	}
	for until := timer.Elapsed() + _lastAnswers; timer.Elapsed() < until || e.busy() > 0 && timer.Elapsed() < began+most+_leaveMargin/2; {
		time.Sleep(_lastWait)
	}
}

// finish ends the taking of requests at all addresses, if no caller waits.
func (e *Entry) finish() bool {
	for _, s := range e.servers {
		if !s.Finish() {
			return false
		}
	}

	return true
}

// endsIn is for how long the process will serve, and whether it still takes
// what may last longer.
func (e *Entry) endsIn() (left time.Duration, takesAll bool) {
	passed := timer.Elapsed() - time.Duration(e.leftAt.Load())

	return e.cfg.Settings.Bounds.Grace - _leaveMargin - passed, !e.leaving.Load() || passed < _leaveServes
}

// takes says whether a request may still be passed on that may last until then.
func (e *Entry) takes(until time.Time) bool {
	if e.ending.Err() != nil {
		return false
	}
	left, all := e.endsIn()

	return all || time.Until(until) <= left
}

// busy is how many requests wait for their answers.
func (e *Entry) busy() int {
	n := 0
	for _, s := range e.servers {
		n += s.Busy()
	}

	return n
}

// Close ends the process's work and waits.
func (e *Entry) Close() {
	e.cfg.Log.Write(event.EntryStopped, zap.Int("Busy", e.busy()), zap.Duration("After", timer.Elapsed()-time.Duration(e.leftAt.Load())))
	e.stop()
	e.end()
	// The store may take longer than the platform waits.
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

func (e *Entry) trim() {
	ticker := time.NewTicker(_trimEvery)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
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
		e.keepRecord()
	}
}

// pool is the pool of connections to one start of a backend server.
func (e *Entry) pool(s *site.BackendServer) *hop.Pool {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := poolKey(s)
	p := e.pools[id]
	if p == nil {
		dialed := metrics.GetOrRegisterCounter("Entry.Dialed."+s.Service, e.cfg.Registry)
		if e.rests[s.Service] == nil {
			e.rests[s.Service] = &hop.Rest{}
		}
		p = hop.NewPool(s.Address, func() { dialed.Inc(1) }, e.rests[s.Service])
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

// stewardDelay is how much later than the instance that comes first for a shard
// this one looks at its lease: whoever can do most comes first, and the shards
// spread over equals.
func (e *Entry) stewardDelay(shard int) time.Duration {
	type place struct {
		capacity int
		hash     uint64
	}
	rank := func(name string, capacity int) place {
		return place{
			capacity: capacity,
			hash:     xxhash.Sum64String(strconv.Itoa(shard) + "|" + name),
		}
	}
	own := rank(e.cfg.Settings.Name, e.cfg.Settings.Capacity)
	before := 0
	for _, i := range e.hub.Instances() {
		other := rank(i.Name, i.Capacity)
		if i.Alive && !i.Leaving && cmp.Or(cmp.Compare(other.capacity, own.capacity), cmp.Compare(other.hash, own.hash)) > 0 {
			before++
		}
	}

	return min(time.Duration(before)*_stewardStagger, _stewardMost)
}

// wakeWaiters lets requests that wait for a place look again.
func (e *Entry) wakeWaiters() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Entry) waitChannel() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.changed
}
