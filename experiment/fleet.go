package experiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"papayastair.dev/papayastair/admission"
	"papayastair.dev/papayastair/routing"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const (
	_exchangePeriod = time.Second
	_adapterLoad    = 8 * time.Millisecond
	// _drain is the time after the last arrival in which requests may end.
	_drain = 20 * time.Second
	// _margin is kept from the target of the first token.
	_margin = 30 * time.Millisecond
)

// Policy is a way to choose backend servers.
type Policy string

// The policies.
const (
	// PolicyOwn is the product's: queues in the instances, shares of servers.
	PolicyOwn Policy = "papayastair"
	// PolicyRoundRobin sends each request at once to the next server.
	PolicyRoundRobin Policy = "round robin"
	// PolicyLeastOutstanding sends each request at once to the server with the
	// fewest requests of the same instance.
	PolicyLeastOutstanding Policy = "least outstanding"
	// PolicyLeastBounded is the same, but refuses a request when the instance
	// has its even part of the server's slots there already.
	PolicyLeastBounded Policy = "least outstanding, bounded"
)

// Options change the product's policy to measure single decisions.
type Options struct {
	// CutOff, Sample and IgnoreShare go to routing.Config.
	CutOff      float64
	Sample      int
	IgnoreShare bool
	// IgnorePeers goes to admission.Config.
	IgnorePeers bool
	// IgnorePrefixes hides the prefixes of prompts from routing.
	IgnorePrefixes bool
}

// fleet is one run of one policy.
type fleet struct {
	shape     *wire.Shape
	policy    Policy
	options   Options
	clock     *timer.Service
	start     time.Time
	random    *rand.Rand
	engines   map[string]*engine
	names     []string
	instances []*instance
	calls     map[string]*call
	all       []*call
}

// engine is one backend server.
type engine struct {
	shape    *wire.ShapeEngine
	batch    *standin.Batch
	adapters map[string]string
	sequence int
	pumping  bool
}

// instance is one entry instance.
type instance struct {
	table       *routing.Table
	queue       *admission.Queue
	next        map[string]int
	outstanding map[string]int
}

// call is one request in flight.
type call struct {
	arrival  *Arrival
	instance *instance
	server   string
	ticket   *routing.Ticket
	refused  bool
	sent     time.Time
	first    time.Time
	last     time.Time
	done     bool
}

func newFleet(shape *wire.Shape, policy Policy, options Options) *fleet {
	start := time.Unix(1_000_000, 0)
	f := &fleet{
		shape:   shape,
		policy:  policy,
		options: options,
		clock:   timer.NewVirtual(start),
		start:   start,
		random:  rand.New(rand.NewPCG(uint64(shape.Seed), 99)),
		engines: map[string]*engine{},
		calls:   map[string]*call{},
	}
	for i := range shape.Engines {
		f.addEngine(&shape.Engines[i])
	}
	for i := range shape.Instances {
		f.addInstance(i)
	}
	if policy == PolicyOwn {
		f.subscribe()
	}

	return f
}

func (f *fleet) addEngine(e *wire.ShapeEngine) {
	f.names = append(f.names, e.Name)
	f.engines[e.Name] = &engine{
		shape:    e,
		adapters: map[string]string{},
		batch: standin.NewBatch(standin.BatchConfig{
			Slots:                  e.Slots,
			StepBase:               time.Duration(e.StepBaseMicroseconds) * time.Microsecond,
			StepPerRequest:         time.Duration(e.StepPerRequestMicroseconds) * time.Microsecond,
			PrefillTokensPerSecond: float64(e.PrefillTokensPerSecond),
			BlockTokens:            _blockTokens,
			CacheBlocks:            e.CacheBlocks,
		}),
	}
}

func (f *fleet) addInstance(i int) {
	in := &instance{
		next:        map[string]int{},
		outstanding: map[string]int{},
	}
	f.instances = append(f.instances, in)
	if f.policy != PolicyOwn {
		return
	}
	in.table = routing.New(routing.Config{
		Instance:     fmt.Sprintf("instance-%d", i),
		Clock:        f.clock,
		Seed:         uint64(i) + 1,
		DefaultShare: 1 / float64(f.shape.Instances),
		ReportLag:    time.Duration(f.shape.ReportLagMilliseconds) * time.Millisecond,
		BlockTokens:  _blockTokens,
		CutOff:       f.options.CutOff,
		Sample:       f.options.Sample,
		IgnoreShare:  f.options.IgnoreShare,
	})
	in.table.SetServers(f.settings())
	in.queue = admission.New(admission.Config{
		Instance:    fmt.Sprintf("instance-%d", i),
		Clock:       f.clock,
		Place:       func(r *admission.Request) admission.Placement { return f.place(in, r) },
		IgnorePeers: f.options.IgnorePeers,
	})
	in.queue.SetInstanceCount(f.shape.Instances)
	for _, name := range f.names {
		in.table.Observe(f.report(f.engines[name]))
	}
}

func (f *fleet) settings() []wire.BackendServer {
	settings := make([]wire.BackendServer, 0, len(f.names))
	for _, name := range f.names {
		e := f.engines[name].shape
		step := e.StepBaseMicroseconds + e.Slots*e.StepPerRequestMicroseconds
		settings = append(settings, wire.BackendServer{
			Name:            name,
			Kind:            wire.BackendServerKindEngine,
			FailureDomain:   e.FailureDomain,
			Slots:           e.Slots,
			TokensPerSecond: e.Slots * 1_000_000 / step,
		})
	}

	return settings
}

// subscribe starts the load reports, the cache events and the exchange.
func (f *fleet) subscribe() {
	period := time.Duration(f.shape.ReportPeriodMilliseconds) * time.Millisecond
	for i, name := range f.names {
		e := f.engines[name]
		f.clock.After(period*time.Duration(i)/time.Duration(len(f.names)), func(time.Time) {
			f.clock.Every(period, func(time.Time) { f.sendReport(e) })
		})
	}
	f.clock.Every(_exchangePeriod, func(time.Time) { f.exchange() })
}

func (f *fleet) report(e *engine) wire.LoadReport {
	e.sequence++
	report := wire.LoadReport{
		Name:     e.shape.Name,
		Sequence: e.sequence,
		Running:  e.batch.Running(),
		Waiting:  e.batch.Waiting(),
		Slots:    e.shape.Slots,
	}
	for _, model := range e.shape.Models {
		report.Residents = append(report.Residents, wire.Resident{
			Model: model,
			State: wire.ResidentStateServing,
		})
	}
	for _, adapter := range sortedKeys(e.adapters) {
		report.Residents = append(report.Residents, wire.Resident{
			Model:   e.adapters[adapter],
			Adapter: adapter,
			State:   wire.ResidentStateServing,
		})
	}

	return report
}

func (f *fleet) sendReport(e *engine) {
	report := f.report(e)
	f.clock.After(time.Duration(f.shape.ReportLagMilliseconds)*time.Millisecond, func(time.Time) {
		for _, in := range f.instances {
			in.table.Observe(report)
			in.queue.Wake(e.shape.Models)
		}
	})
	events := e.batch.TakeCacheEvents()
	if f.random.IntN(1000) < f.shape.CacheEventLossPerThousand {
		return
	}
	f.clock.After(time.Duration(f.shape.CacheEventLagMilliseconds)*time.Millisecond, func(time.Time) {
		for _, in := range f.instances {
			in.table.ObserveCacheEvents(e.shape.Name, events)
		}
	})
}

// exchange spreads the demand reports and sets the shares that follow.
func (f *fleet) exchange() {
	for i, from := range f.instances {
		report := from.queue.Report()
		for j, to := range f.instances {
			if i != j {
				to.queue.Merge(report)
			}
		}
	}
	for _, in := range f.instances {
		for name, share := range in.queue.Shares(in.table.Serving()) {
			in.table.SetShare(name, share)
		}
	}
}

func (f *fleet) arrive(a *Arrival) {
	c := &call{
		arrival:  a,
		instance: f.instances[a.Instance],
	}
	f.calls[a.ID] = c
	f.all = append(f.all, c)
	switch f.policy {
	case PolicyOwn:
		f.submit(c)
	case PolicyRoundRobin:
		f.send(c, f.roundRobin(c), 0)
	case PolicyLeastOutstanding:
		f.send(c, f.leastOutstanding(c), 0)
	case PolicyLeastBounded:
		server := f.leastOutstanding(c)
		c.refused = c.instance.outstanding[server] >= f.engines[server].shape.Slots/f.shape.Instances
		if !c.refused {
			f.send(c, server, 0)
		}
	}
}

func (f *fleet) submit(c *call) {
	w := &f.shape.Workspaces[c.arrival.Workspace]
	request := &admission.Request{
		Workspace: w.Name,
		Weight:    w.Weight,
		Model:     c.arrival.Model,
		Priority:  wire.Priority(w.Priority),
		Tokens:    c.arrival.InputTokens + w.OutputTokens,
		Data:      c,
	}
	if w.Priority != wire.ShapeWorkspacePriorityBatch {
		request.Deadline = f.clock.Now().Add(FirstTokenTarget - _margin)
	}
	c.instance.queue.Submit(request, func(o admission.Outcome) {
		if o.Kind != admission.Dispatched {
			c.refused = true

			return
		}
		delay := time.Duration(0)
		if e := f.engines[c.server]; c.arrival.Adapter != "" && e.adapters[c.arrival.Adapter] == "" {
			delay = _adapterLoad
		}
		f.send(c, c.server, delay)
	})
}

// place is the queue's way to the table.
func (f *fleet) place(in *instance, r *admission.Request) admission.Placement {
	c, ok := r.Data.(*call)
	if !ok {
		panic("experiment: a request without its call")
	}
	slack := time.Duration(0)
	if !r.Deadline.IsZero() {
		slack = r.Deadline.Sub(f.clock.Now())
	}
	prefixes := c.arrival.PrefixHashes
	if f.options.IgnorePrefixes {
		prefixes = nil
	}
	decision := in.table.Choose(routing.Request{
		Model:        c.arrival.Model,
		Adapter:      c.arrival.Adapter,
		PrefixHashes: prefixes,
		InputTokens:  c.arrival.InputTokens,
		OutputTokens: f.shape.Workspaces[c.arrival.Workspace].OutputTokens,
		Priority:     r.Priority,
		Slack:        slack,
		Floor:        r.Floor,
		WithinShare:  r.WithinShare,
	})
	switch decision.Reason {
	case routing.ReasonNoRoom:
		return admission.NoRoom
	case routing.ReasonLate:
		return admission.TooLate
	case routing.ReasonNoServer:
		return admission.NoBackendServer
	default:
	}
	c.ticket = decision.Ticket
	c.server = decision.Server

	return admission.Placed
}

func (f *fleet) roundRobin(c *call) string {
	servers := f.serving(c.arrival.Model)
	n := c.instance.next[c.arrival.Model]
	c.instance.next[c.arrival.Model]++

	return servers[n%len(servers)]
}

func (f *fleet) leastOutstanding(c *call) string {
	servers := f.serving(c.arrival.Model)
	first := f.random.IntN(len(servers))
	best := ""
	for i := range servers {
		name := servers[(first+i)%len(servers)]
		if best == "" || c.instance.outstanding[name] < c.instance.outstanding[best] {
			best = name
		}
	}

	return best
}

func (f *fleet) serving(model string) []string {
	var servers []string
	for _, name := range f.names {
		if slices.Contains(f.engines[name].shape.Models, model) {
			servers = append(servers, name)
		}
	}

	return servers
}

// send hands the call to an engine after the round trip.
func (f *fleet) send(c *call, server string, delay time.Duration) {
	c.server = server
	c.sent = f.clock.Now()
	c.instance.outstanding[server]++
	e := f.engines[server]
	a := c.arrival
	if a.Adapter != "" && e.adapters[a.Adapter] == "" {
		e.adapters[a.Adapter] = a.Model
		delay = _adapterLoad
	}
	priority := wire.PriorityLive
	if f.policy == PolicyOwn {
		priority = wire.Priority(f.shape.Workspaces[a.Workspace].Priority)
	}
	f.clock.After(time.Duration(f.shape.RoundTripMicroseconds)*time.Microsecond, func(now time.Time) {
		e.batch.Start(now, standin.BatchRequest{
			ID:           a.ID,
			Priority:     priority,
			Model:        a.Model,
			PrefixHashes: a.PrefixHashes,
			InputTokens:  a.InputTokens,
			OutputTokens: a.OutputTokens,
			Delay:        delay,
		})
		f.pump(e)
	})
}

// pump runs the engine's steps at their times.
func (f *fleet) pump(e *engine) {
	next, ok := e.batch.Next()
	if !ok || e.pumping {
		return
	}
	e.pumping = true
	f.clock.After(next.Sub(f.clock.Now()), func(now time.Time) {
		e.pumping = false
		for _, token := range e.batch.Advance(now) {
			f.take(token)
		}
		f.pump(e)
	})
}

func (f *fleet) take(token standin.BatchToken) {
	c := f.calls[token.ID]
	if token.Index == 0 {
		c.first = token.At
		if c.ticket != nil {
			c.instance.table.FirstToken(c.ticket)
		}
	}
	if !token.Last {
		return
	}
	c.last = token.At
	c.done = true
	c.instance.outstanding[c.server]--
	delete(f.calls, token.ID)
	if c.ticket == nil {
		return
	}
	c.instance.table.Done(c.ticket, routing.Result{
		Outcome:      routing.OutcomeOK,
		OutputTokens: c.arrival.OutputTokens,
		FirstToken:   c.first.Sub(c.sent),
		Generation:   c.last.Sub(c.first),
	})
	c.instance.queue.Wake(f.engines[c.server].shape.Models)
}

// run plays all arrivals.
func (f *fleet) run(arrivals [][]Arrival) {
	for w := range arrivals {
		f.schedule(arrivals[w])
	}
	f.clock.Advance(time.Duration(f.shape.WarmUpSeconds+f.shape.Seconds)*time.Second + _drain)
}

// schedule lets the arrivals of one workspace come one after the other.
func (f *fleet) schedule(arrivals []Arrival) {
	if len(arrivals) == 0 {
		return
	}
	f.clock.After(f.start.Add(arrivals[0].At).Sub(f.clock.Now()), func(time.Time) {
		f.arrive(&arrivals[0])
		f.schedule(arrivals[1:])
	})
}

func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)

	return keys
}
