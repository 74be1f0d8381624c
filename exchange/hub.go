// Package exchange propagates state between instances. Each instance sends a
// wire.Bulletin to the others a few times a second, as a single datagram. A
// bulletin replaces the previous one from the same sender, so that lost, late
// and duplicate datagrams are harmless and no instance waits for another.
//
//	h, err := exchange.Open(exchange.Config{...})
//	defer h.Close()
//	h.Start()
//	h.SetRecords(records) // the peers, as recorded in the store
//	h.PushUpdate()        // send a bulletin now
//
// A small number of instances form a full mesh. In larger deployments the
// instances are grouped by failure domain, and each reports to the two relays
// of its group. The active relay of a group sends the group's totals to the
// relays of the other groups, and the totals of all groups to its members; the
// standby does so for members that don't hear the active one. Relays follow from the records in the store and from which
// instances respond; there is no election. Requests to the stewards, which give
// the orders to the backend servers, and their replies bypass the relays.
package exchange

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const (
	// _sendInterval is the time between periodic bulletins. Counts of running
	// requests must propagate within a fraction of a request's duration.
	_sendInterval = 200 * time.Millisecond
	// _relayHops is the number of instances that pass counts on between the members of
	// two groups, the sender included, and one more for the interval until a choice.
	_relayHops = 4
	// _minSendInterval is the shortest time between two bulletins, and
	// _minForwardInterval between two that forward the state of others.
	_minSendInterval    = 5 * time.Millisecond
	_minForwardInterval = 25 * time.Millisecond
	// _maxDatagramSize bounds a datagram, and _maxDecodedSize its decompressed
	// content, in bytes.
	_maxDatagramSize = 60 << 10
	_maxDecodedSize  = 1 << 20
)

// Config configures a Hub.
type Config struct {
	// Address is the IP:port on which this instance exchanges bulletins.
	Address string
	// Name and Start identify this process.
	Name  string
	Start int
	// FailureDomain is the failure domain of this instance. In large deployments
	// the instances of a domain reach those of other domains through relays.
	FailureDomain string
	// Capacity is the processing capacity of this instance, in thousandths of a
	// processor.
	Capacity int
	// Compose returns the bulletin to send; the hub sets Heard and SentMS. If
	// forward is true, the bulletin should include the changes read from the
	// store.
	Compose func(forward bool) wire.Bulletin
	// OnBulletin is called with each accepted bulletin, which carries the needed and
	// held targets and the age of the sender's configuration. notBefore is a
	// lower bound on the time the bulletin was sent, as measured by
	// timer.Elapsed; 0 if unknown.
	OnBulletin func(b *wire.Bulletin, notBefore time.Duration)
	// OnAggregate is called with the request counts and the demand of other instances,
	// either of a single instance or of all others together.
	OnAggregate func(s Aggregate)
	// Log receives the events.
	Log *event.Log
}

// Instance describes another instance.
type Instance struct {
	// Name identifies the instance.
	Name string
	// CallerAddress is the address at which the instance accepts callers.
	CallerAddress string
	// FailureDomain is the failure domain of the instance.
	FailureDomain string
	// Capacity is its processing capacity, in thousandths of a processor.
	Capacity int
	// Alive reports whether the instance was seen recently, directly or through a
	// relay.
	Alive bool
	// Leaving reports whether callers should no longer be sent to the instance.
	Leaving bool
	// Silent is the time since the instance was last seen; negative if it never
	// was.
	Silent time.Duration
	// InStore reports whether the instance has a record in the store.
	InStore bool
	// Version is that of the configuration in force at the instance, if a recent
	// bulletin came from the instance itself; 0 if unknown.
	Version int
}

// Hub sends and receives bulletins. Use Open to create one.
type Hub struct {
	cfg  Config
	conn *net.UDPConn
	mu   sync.Mutex
	view *view
	// pending holds the reasons for the next round; a value in sendNow starts
	// that round without waiting for the next tick.
	pending trigger
	sendNow chan struct{}
	done    chan struct{}
	once    sync.Once
	wg      conc.WaitGroup
}

// Open opens the socket on cfg.Address. Nothing is sent or received until Start
// is called.
func Open(cfg Config) (*Hub, error) {
	addr, err := net.ResolveUDPAddr("udp4", cfg.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "exchange: resolve address %s", cfg.Address)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "exchange: listen on %s", cfg.Address)
	}
	h := &Hub{
		cfg:     cfg,
		conn:    conn,
		view:    newView(cfg),
		sendNow: make(chan struct{}, 1),
		done:    make(chan struct{}),
	}

	return h, nil
}

// Start starts sending and receiving bulletins.
func (h *Hub) Start() {
	h.wg.Go(h.receive)
	h.wg.Go(h.send)
}

// Address returns the IP:port on which the hub listens.
func (h *Hub) Address() string {
	return h.conn.LocalAddr().String()
}

// Close stops the hub and waits for its goroutines to exit.
func (h *Hub) Close() {
	h.once.Do(func() {
		close(h.done)
		_ = h.conn.Close()
	})
	h.wg.Wait()
}

// PushUpdate sends a bulletin without waiting for the next interval, because the
// state of this instance has changed. Relays forward the change at once.
func (h *Hub) PushUpdate() {
	h.schedule(func(trig *trigger) { trig.changed = true })
}

// PushNeeds sends the needed targets without waiting for the next interval;
// where relays are used, directly to the stewards.
func (h *Hub) PushNeeds() {
	h.schedule(func(trig *trigger) { trig.needs = true })
}

// PushHeld sends the targets held by the backend servers without waiting for
// the next interval; where relays are used, directly to the instances that
// requested targets.
func (h *Hub) PushHeld() {
	h.schedule(func(trig *trigger) { trig.held = true })
}

// SendNote sends a bulletin directly to the live instance of the given name, between the
// periodic ones. It carries what fill sets. The result is false if no such instance is
// alive or this one has sent no bulletin yet; like any bulletin a note may be lost.
func (h *Hub) SendNote(to string, fill func(b *wire.Bulletin)) bool {
	h.mu.Lock()
	o, ok := h.view.newNote(to, timer.Elapsed())
	h.mu.Unlock()
	if !ok {
		return false
	}
	fill(o.b)
	h.transmit(o)

	return true
}

func (h *Hub) schedule(add func(trig *trigger)) {
	h.mu.Lock()
	add(&h.pending)
	h.mu.Unlock()
	select {
	case h.sendNow <- struct{}{}:
	default:
	}
}

// SetRecords replaces the set of instances recorded in the store.
func (h *Hub) SetRecords(records []wire.EntryRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view.setRecords(records)
}

// Instances returns the other known instances, in no particular order.
func (h *Hub) Instances() []Instance {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.view.instances(timer.Elapsed())
}

// HasLivePeer reports whether any other instance is alive.
func (h *Hub) HasLivePeer() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.view.hasLivePeer(timer.Elapsed())
}

// FullMesh reports whether the instances form a full mesh. Otherwise they
// communicate through relays.
func (h *Hub) FullMesh() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.view.fullMesh()
}

// CountAge returns the usual age of the request counts of other instances: half an
// interval for each time that they are passed on.
func (h *Hub) CountAge() time.Duration {
	if h.FullMesh() {
		return _sendInterval / 2
	}

	return _relayHops * _sendInterval / 2
}

// ReaderRank returns the rank of this instance among those that read the platform's
// store on behalf of the others, from 0; -1 if it is none of them.
func (h *Hub) ReaderRank() int {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.view.readerRank(timer.Elapsed())
}

// ReadsStore reports whether this instance reads the platform's store on behalf of
// the others. Two instances do; where relays are used, these are active relays.
func (h *Hub) ReadsStore() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.view.readsStore(timer.Elapsed())
}

func (h *Hub) send() {
	ticker := time.NewTicker(_sendInterval)
	defer ticker.Stop()
	sentAt := timer.Elapsed()
	for {
		select {
		case <-h.done:
			return
		case <-ticker.C:
			h.schedule(func(trig *trigger) { trig.period = true })

			continue
		case <-h.sendNow:
		}
		h.mu.Lock()
		trig := h.pending
		h.mu.Unlock()
		switch {
		case trig.period:
		case trig.memberChanged || trig.groupChanged:
			time.Sleep(max(_minSendInterval, sentAt+_minForwardInterval-timer.Elapsed()))
		default:
			time.Sleep(_minSendInterval)
		}
		sentAt = timer.Elapsed()
		h.sendOnce()
	}
}

func (h *Hub) sendOnce() {
	defer h.cfg.Log.Recover("SendBulletins")
	// Take the time first: if the process is suspended while it composes the
	// bulletin, the content must not appear more recent than it is.
	now := timer.Elapsed()
	own := h.cfg.Compose(h.forwardsChanges(now))
	own.SentMS = int(now.Milliseconds())
	out, others := h.prepare(&own, now)
	if others != nil {
		h.cfg.OnAggregate(*others)
	}
	for _, o := range out {
		h.transmit(o)
	}
}

func (h *Hub) forwardsChanges(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.view.forwardsChanges(now)
}

// prepare returns the bulletins of a round and, on the active relay in periodic
// rounds, the totals of all other instances.
func (h *Hub) prepare(own *wire.Bulletin, now time.Duration) (out []outgoing, others *Aggregate) {
	h.mu.Lock()
	defer h.mu.Unlock()
	trig := h.pending
	h.pending = trigger{}
	if trig.period {
		h.view.expire(now)
	}
	h.view.recordSent(own)
	if h.view.fullMesh() {
		return h.view.meshBulletins(own, now), nil
	}
	out = h.view.relayBulletins(own, trig, now)
	if topo := h.view.computeTopology(now); trig.period && topo.isActive {
		sum := h.view.aggregateOthers(topo, now)
		others = &sum
	}

	return out, others
}

func (h *Hub) transmit(o outgoing) {
	if len(o.to) == 0 {
		return
	}
	data, err := encode(o.b)
	if err == nil && len(data) > _maxDatagramSize {
		h.cfg.Log.Write(event.BulletinReduced, zap.Int("Bytes", len(data)), zap.Int("ServerChanges", len(o.b.ServerChanges.Objects)),
			zap.Int("RecordChanges", len(o.b.RecordChanges.Objects)), zap.Int("EvacuationChanges", len(o.b.EvacuationChanges.Objects)))
		data, err = encode(withoutChanges(o.b))
	}
	if err != nil || len(data) > _maxDatagramSize {
		h.cfg.Log.Write(event.BulletinRefused, zap.String("From", h.cfg.Name), zap.Int("Bytes", len(data)), zap.Error(err))

		return
	}
	for _, addr := range o.to {
		// A failed send is equivalent to a lost datagram.
		_, _ = h.conn.WriteToUDPAddrPort(data, addr)
	}
}

// withoutChanges returns a bulletin without the changes of the store. Its receivers
// query the store when what they know becomes too old; without any bulletin they
// would take the sender for dead.
func withoutChanges(b *wire.Bulletin) *wire.Bulletin {
	reduced := *b
	reduced.ServerChanges = wire.StoreChanges{}
	reduced.RecordChanges = wire.StoreChanges{}
	reduced.EvacuationChanges = wire.StoreChanges{}

	return &reduced
}

func (h *Hub) receive() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := h.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		b, err := decode(buf[:n])
		if err != nil {
			h.cfg.Log.Write(event.BulletinRefused, zap.String("From", from.String()), zap.Error(err))

			continue
		}
		if b.Name != "" && b.Name != h.cfg.Name {
			h.handle(b)
		}
	}
}

// encode returns the datagram of a bulletin: MessagePack, which is decoded several
// times a second by each instance, compressed with S2, because names and keys
// repeat and traffic between failure domains is expensive.
func encode(b *wire.Bulletin) ([]byte, error) {
	payload, err := b.MarshalMsg(nil)
	if err != nil {
		return nil, err
	}

	return s2.EncodeBetter(nil, payload), nil
}

// decode parses a datagram. Fields that it doesn't know are skipped.
func decode(data []byte) (*wire.Bulletin, error) {
	if n, err := s2.DecodedLen(data); err != nil || n > _maxDecodedSize {
		return nil, eris.Errorf("exchange: datagram of %d bytes: decoded length %d: %v", len(data), n, err)
	}
	payload, err := s2.Decode(nil, data)
	if err != nil {
		return nil, eris.Wrap(err, "exchange: decompress datagram")
	}
	b := &wire.Bulletin{}
	if _, err := b.UnmarshalMsg(payload); err != nil {
		return nil, eris.Wrap(err, "exchange: unmarshal bulletin")
	}

	return b, nil
}

// handle applies a received bulletin to the view, invokes the callbacks and
// schedules the bulletins that it triggers.
func (h *Hub) handle(b *wire.Bulletin) {
	defer h.cfg.Log.Recover("Bulletin", zap.String("From", b.Name))
	r, ok := h.receiveBulletin(b, timer.Elapsed())
	if !ok {
		return
	}
	h.cfg.OnBulletin(b, r.notBefore)
	if r.aggregate != nil {
		h.cfg.OnAggregate(*r.aggregate)
	}
	if r.trig != (trigger{}) {
		h.schedule(func(pending *trigger) { pending.merge(r.trig) })
	}
}

// reception is what follows from a received bulletin.
type reception struct {
	notBefore time.Duration
	aggregate *Aggregate
	trig      trigger
}

// receiveBulletin applies a bulletin to the view and reports whether it was
// accepted.
func (h *Hub) receiveBulletin(b *wire.Bulletin, now time.Duration) (r reception, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r.notBefore, ok = h.view.apply(b, now)
	switch {
	case !ok:
	case !h.view.fullMesh():
		r.aggregate, r.trig = h.view.handleRelayed(b, now)
	case b.Scope == _scopeOwn:
		r.aggregate = &Aggregate{
			From:      b.Name,
			Start:     b.Start,
			Instances: 1,
			Bulletin:  b,
		}
	}

	return r, ok
}
