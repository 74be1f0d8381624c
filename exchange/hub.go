// Package exchange lets the instances tell each other what they know: a few
// times a second each sends a wire.Bulletin to all others as one datagram.
// A bulletin replaces the one before, so that lost, late and doubled ones do
// no harm, and no instance waits for another.
//
//	h, err := exchange.Open(exchange.Config{...})
//	defer h.Close()
//	h.SetRecords(records) // whom to tell, out of the store
//	h.Push()              // tell now
package exchange

import (
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

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
	// _pushGap is the shortest time between two bulletins.
	_pushGap = 5 * time.Millisecond
	// _aliveFor is how long a silent instance counts as alive: a few periods.
	_aliveFor = 1200 * time.Millisecond
	// _forget is how long a silent instance that is not in the store is told.
	_forget  = 5 * time.Second
	_maxSize = 60 << 10
	// _overtaken is how late a datagram of a former start may come. A machine
	// whose clock of elapsed time began anew is believed after it.
	_overtaken = 400 * time.Millisecond
)

// Config is what a Hub works with.
type Config struct {
	// Address is the IP:port of this instance's bulletins.
	Address string
	// Name and Start identify this process.
	Name  string
	Start int
	// Compose makes the bulletin to send; the hub fills in Heard and SentMS.
	Compose func() wire.Bulletin
	// Heard takes a bulletin of another instance. notBefore is the time, by
	// timer.Elapsed, that the bulletin was sent at or after; 0 if unknown.
	Heard func(b *wire.Bulletin, notBefore time.Duration)
	// Log takes the events.
	Log *event.Log
}

// peer is another instance.
type peer struct {
	addr     netip.AddrPort
	start    int
	inStore  bool
	heardAt  time.Duration
	alive    bool
	bulletin *wire.Bulletin
	caller   string
	domain   string
}

// Instance is what is known of another instance.
type Instance struct {
	// Name identifies it.
	Name string
	// CallerAddress is where callers reach it.
	CallerAddress string
	// FailureDomain is where it runs.
	FailureDomain string
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
	cfg   Config
	conn  *net.UDPConn
	mu    sync.Mutex
	peers map[string]*peer
	push  chan struct{}
	done  chan struct{}
	once  sync.Once
	wg    conc.WaitGroup
}

// Open listens and begins to send.
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
		cfg:   cfg,
		conn:  conn,
		peers: map[string]*peer{},
		push:  make(chan struct{}, 1),
		done:  make(chan struct{}),
	}
	h.wg.Go(h.receive)
	h.wg.Go(h.send)

	return h, nil
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

// Push sends a bulletin now.
func (h *Hub) Push() {
	select {
	case h.push <- struct{}{}:
	default:
	}
}

// SetRecords takes all records of instances in the store.
func (h *Hub) SetRecords(records []wire.EntryRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	listed := map[string]bool{}
	for _, r := range records {
		if r.Name == h.cfg.Name {
			continue
		}
		addr, err := netip.ParseAddrPort(r.Address)
		if err != nil {
			h.cfg.Log.Write(event.BulletinRefused, zap.String("From", r.Name), zap.Error(err))

			continue
		}
		listed[r.Name] = true
		p := h.peers[r.Name]
		if p == nil {
			p = &peer{}
			h.peers[r.Name] = p
		}
		p.inStore = true
		if p.bulletin == nil || p.start == r.Start {
			p.start = r.Start
			p.addr = addr
			p.caller = r.CallerAddress
			p.domain = r.FailureDomain
		}
	}
	for name, p := range h.peers {
		if !listed[name] {
			p.inStore = false
		}
	}
}

// Instances are the others that are known.
func (h *Hub) Instances() []Instance {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := timer.Elapsed()
	out := make([]Instance, 0, len(h.peers))
	for name, p := range h.peers {
		i := Instance{
			Name:          name,
			CallerAddress: p.caller,
			FailureDomain: p.domain,
			Silent:        -1,
			InStore:       p.inStore,
		}
		if p.bulletin != nil {
			i.Silent = now - p.heardAt
			i.Alive = i.Silent <= _aliveFor
			i.Leaving = p.bulletin.Leaving
		}
		out = append(out, i)
	}

	return out
}

func (h *Hub) send() {
	ticker := time.NewTicker(_period)
	defer ticker.Stop()
	for {
		select {
		case <-h.done:
			return
		case <-ticker.C:
		case <-h.push:
			time.Sleep(_pushGap)
		}
		h.sendOnce()
	}
}

func (h *Hub) sendOnce() {
	// Read first: a pause while the bulletin is made must not let what it says
	// look newer than it is.
	now := timer.Elapsed()
	b := h.cfg.Compose()
	b.SentMS = int(now.Milliseconds())
	var to []netip.AddrPort
	h.mu.Lock()
	for name, p := range h.peers {
		silent := now - p.heardAt
		h.noteAlive(name, p, p.bulletin != nil && silent <= _aliveFor)
		if !p.inStore && silent > _forget {
			delete(h.peers, name)

			continue
		}
		to = append(to, p.addr)
		if p.bulletin != nil {
			b.Heard = append(b.Heard, wire.HeardBulletin{
				Name:   name,
				SentMS: p.bulletin.SentMS,
				HeldMS: int(silent.Milliseconds()),
			})
		}
	}
	h.mu.Unlock()
	data, err := json.Marshal(b)
	if err != nil || len(data) > _maxSize {
		h.cfg.Log.Write(event.BulletinRefused, zap.String("From", h.cfg.Name), zap.Int("Bytes", len(data)), zap.Error(err))

		return
	}
	for _, addr := range to {
		// A datagram that can't be sent is like one that is lost.
		_, _ = h.conn.WriteToUDPAddrPort(data, addr)
	}
}

// noteAlive logs when an instance is lost or heard again.
func (h *Hub) noteAlive(name string, p *peer, alive bool) {
	if p.alive == alive {
		return
	}
	p.alive = alive
	kind := event.InstanceSilent
	if alive {
		kind = event.InstanceHeard
	}
	h.cfg.Log.Write(kind, zap.String("Name", name), zap.Int("Start", p.start))
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
		b := &wire.Bulletin{}
		if err := json.Unmarshal(buf[:n], b); err != nil || b.Name == "" || b.Name == h.cfg.Name {
			if err != nil {
				h.cfg.Log.Write(event.BulletinRefused, zap.String("From", from.String()), zap.Error(err))
			}

			continue
		}
		if notBefore, ok := h.take(b); ok {
			h.cfg.Heard(b, notBefore)
		}
	}
}

// take keeps a bulletin that is newer than the last, and finds out from its
// acknowledgement of one of ours when it was sent at the earliest.
func (h *Hub) take(b *wire.Bulletin) (notBefore time.Duration, ok bool) {
	addr, err := netip.ParseAddrPort(b.Address)
	if err != nil {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[b.Name]
	if p == nil {
		p = &peer{}
		h.peers[b.Name] = p
	}
	if p.bulletin != nil && b.SentMS < p.bulletin.SentMS &&
		(b.Start == p.bulletin.Start || timer.Elapsed()-p.heardAt < _overtaken) {
		return 0, false
	}
	p.start = b.Start
	p.addr = addr
	p.caller = b.CallerAddress
	p.domain = b.FailureDomain
	p.bulletin = b
	p.heardAt = timer.Elapsed()
	for _, heard := range b.Heard {
		if heard.Name == h.cfg.Name {
			notBefore = time.Duration(heard.SentMS+heard.HeldMS) * time.Millisecond
		}
	}

	return notBefore, true
}
