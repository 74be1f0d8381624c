// Package exchange lets the instances tell each other what they know: a few
// times a second each sends a wire.Bulletin to all others as one datagram.
// A bulletin replaces the one before, so that lost, late and doubled ones do
// no harm, and no instance waits for another.
//
//	h, err := exchange.Open(exchange.Config{...})
//	defer h.Close()
//	h.Start()
//	h.SetRecords(records) // whom to tell, out of the store
//	h.PushNews()          // tell now
//
// A few instances tell all others. Where there are more, those of a failure
// domain tell two of their number, the relays; one of these tells the relays of
// the other domains the sums of its own, and each relay its members the sums of
// all. Who relays follows from the records in the store and from who answers;
// nobody is elected. What is needed from whoever gives the orders is asked and
// answered directly.
package exchange

import (
	"encoding/json"
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
	// _period is the time between two bulletins without cause. The counts of
	// running requests must follow within a fraction of a request's time.
	_period = 200 * time.Millisecond
	// _pushGap is the shortest time between two bulletins, and _passGap between
	// two that pass on what others say.
	_pushGap = 5 * time.Millisecond
	_passGap = 25 * time.Millisecond
	// _maxSize bounds a datagram, and _maxText what it says, in bytes.
	_maxSize = 60 << 10
	_maxText = 1 << 20
)

// Config is what a Hub works with.
type Config struct {
	// Address is the IP:port of this instance's bulletins.
	Address string
	// Name and Start identify this process.
	Name  string
	Start int
	// FailureDomain is where it runs; the instances of one tell the others by
	// relays when there are many.
	FailureDomain string
	// Capacity is how much this instance can do, in thousandths of a processor.
	Capacity int
	// Compose makes the bulletin to send; the hub fills in Heard and SentMS.
	// passes says that it is to tell what the store has said.
	Compose func(passes bool) wire.Bulletin
	// Heard takes a bulletin as it came: what is needed and held, and how fresh
	// the sender's configuration is. notBefore is the time, by timer.Elapsed,
	// that the bulletin was sent at or after; 0 if unknown.
	Heard func(b *wire.Bulletin, notBefore time.Duration)
	// Sums takes what others say of their requests, each for itself or all
	// together.
	Sums func(s Sums)
	// Log takes the events.
	Log *event.Log
}

// Instance is what is known of another instance.
type Instance struct {
	// Name identifies it.
	Name string
	// CallerAddress is where callers reach it.
	CallerAddress string
	// FailureDomain is where it runs.
	FailureDomain string
	// Capacity is how much it can do, in thousandths of a processor.
	Capacity int
	// Alive says that it was heard lately.
	Alive bool
	// Leaving says that no callers should be sent there.
	Leaving bool
	// Silent is the time since it was heard; negative if it never was.
	Silent time.Duration
	// InStore says that it has a record in the store.
	InStore bool
}

// Hub sends and receives bulletins. Use Open.
type Hub struct {
	cfg  Config
	conn *net.UDPConn
	mu   sync.Mutex
	view *view
	// why is for what the next round is, and push says that it should be now.
	why  cause
	push chan struct{}
	done chan struct{}
	once sync.Once
	wg   conc.WaitGroup
}

// Open listens. Nothing is sent or taken before Start.
func Open(cfg Config) (*Hub, error) {
	addr, err := net.ResolveUDPAddr("udp4", cfg.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "exchange: address %s", cfg.Address)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "exchange: listen on %s", cfg.Address)
	}
	h := &Hub{
		cfg:  cfg,
		conn: conn,
		view: newView(cfg),
		push: make(chan struct{}, 1),
		done: make(chan struct{}),
	}

	return h, nil
}

// Start begins to send and to receive.
func (h *Hub) Start() {
	h.wg.Go(h.receive)
	h.wg.Go(h.send)
}

// Address is the IP:port that it listens on.
func (h *Hub) Address() string {
	return h.conn.LocalAddr().String()
}

// Close stops and waits.
func (h *Hub) Close() {
	h.once.Do(func() {
		close(h.done)
		_ = h.conn.Close()
	})
	h.wg.Wait()
}

// PushNews tells all others at once that this instance has changed.
func (h *Hub) PushNews() {
	h.wake(func(why *cause) { why.news = true })
}

// PushNeeds asks at once for what is needed.
func (h *Hub) PushNeeds() {
	h.wake(func(why *cause) { why.needs = true })
}

// PushHeld tells those who need something at once what is held now.
func (h *Hub) PushHeld() {
	h.wake(func(why *cause) { why.held = true })
}

func (h *Hub) wake(set func(why *cause)) {
	h.mu.Lock()
	set(&h.why)
	h.mu.Unlock()
	select {
	case h.push <- struct{}{}:
	default:
	}
}

// SetRecords takes all records of instances in the store.
func (h *Hub) SetRecords(records []wire.EntryRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view.setRecords(records)
}

// Instances are the others that are known.
func (h *Hub) Instances() []Instance {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.view.instances(timer.Elapsed())
}

// Meshed says whether all instances tell all others; else relays do.
func (h *Hub) Meshed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.view.meshed()
}

// Reads says whether this instance reads the platform's store for others: one of
// two, which speak for their groups where there are relays.
func (h *Hub) Reads() bool {
	h.mu.Lock()
	defer h.mu.Unlock()

	return h.view.reads(timer.Elapsed())
}

func (h *Hub) send() {
	ticker := time.NewTicker(_period)
	defer ticker.Stop()
	passed := timer.Elapsed()
	for {
		select {
		case <-h.done:
			return
		case <-ticker.C:
			h.wake(func(why *cause) { why.period = true })

			continue
		case <-h.push:
		}
		h.mu.Lock()
		why := h.why
		h.mu.Unlock()
		switch {
		case why.period:
		case why.members || why.others:
			time.Sleep(max(_pushGap, passed+_passGap-timer.Elapsed()))
		default:
			time.Sleep(_pushGap)
		}
		passed = timer.Elapsed()
		h.sendOnce()
	}
}

func (h *Hub) sendOnce() {
	// Read first: a pause while the bulletin is made must not let what it says
	// look newer than it is.
	now := timer.Elapsed()
	h.mu.Lock()
	passes := h.view.passes(now)
	h.mu.Unlock()
	own := h.cfg.Compose(passes)
	own.SentMS = int(now.Milliseconds())
	h.mu.Lock()
	why := h.why
	h.why = cause{}
	h.view.expire(now)
	h.view.keepSent(&own)
	var out []outgoing
	relayed := !h.view.meshed()
	if relayed {
		out = h.view.round(&own, why, now)
	} else {
		out = h.view.mesh(&own, now)
	}
	var everyone Sums
	state := h.view.state(now)
	speaks := relayed && why.period && state.speaks
	if speaks {
		everyone = h.view.everyone(state, now)
	}
	h.mu.Unlock()
	if speaks {
		h.cfg.Sums(everyone)
	}
	for _, o := range out {
		h.write(o)
	}
}

func (h *Hub) write(o outgoing) {
	if len(o.to) == 0 {
		return
	}
	text, err := json.Marshal(o.b)
	data := s2.EncodeBetter(nil, text)
	if err != nil || len(data) > _maxSize {
		h.cfg.Log.Write(event.BulletinRefused, zap.String("From", h.cfg.Name), zap.Int("Bytes", len(data)), zap.Error(err))

		return
	}
	for _, addr := range o.to {
		// A datagram that can't be sent is like one that is lost.
		_, _ = h.conn.WriteToUDPAddrPort(data, addr)
	}
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
			h.take(b)
		}
	}
}

// decode reads a datagram: JSON, compressed by s2, as names and keys repeat and
// bytes between failure domains are dear.
func decode(data []byte) (*wire.Bulletin, error) {
	if n, err := s2.DecodedLen(data); err != nil || n > _maxText {
		return nil, eris.Errorf("exchange: datagram of %d bytes: %d bytes of text: %v", len(data), n, err)
	}
	text, err := s2.Decode(nil, data)
	if err != nil {
		return nil, eris.Wrap(err, "exchange: datagram")
	}
	b := &wire.Bulletin{}
	if err := json.Unmarshal(text, b); err != nil {
		return nil, eris.Wrap(err, "exchange: datagram")
	}

	return b, nil
}

// take works a bulletin in.
func (h *Hub) take(b *wire.Bulletin) {
	now := timer.Elapsed()
	h.mu.Lock()
	notBefore, ok := h.view.take(b, now)
	if !ok {
		h.mu.Unlock()

		return
	}
	var news *Sums
	why := cause{}
	if h.view.meshed() {
		if b.Scope == _scopeOwn {
			news = &Sums{
				From:      b.Name,
				Start:     b.Start,
				Instances: 1,
				Bulletin:  b,
			}
		}
	} else {
		news, why = h.view.relayed(b, now)
	}
	h.mu.Unlock()
	h.cfg.Heard(b, notBefore)
	if news != nil {
		h.cfg.Sums(*news)
	}
	if why != (cause{}) {
		h.wake(func(all *cause) { all.join(why) })
	}
}
