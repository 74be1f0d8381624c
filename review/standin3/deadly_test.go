package standin3

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	_workersOfZone = 3
	_back          = 3 * time.Second
	_lapsed        = 3 * _heartbeat
	_deadlyEach    = 25
	_deadlyFor     = 20 * time.Second
	_fifth         = 5
	_allowed       = 3
	_least         = 20
	_idDigits      = 32
	_idChoice      = "ID_DIGITS"
	_betweenChoice = "PARTS_BETWEEN"
	_gap           = 2 * time.Second
	_firstParts    = 3
	_secondParts   = 20
)

// deadlyDay is a day on which a part of a prompt crashes the workers that begin to write
// an answer on it.
type deadlyDay struct {
	f      *fleet
	digits int
	// between is the number of parts between the first one and the one that may be deadly.
	between int
	part    string
	// dark is how long a worker that crashes is silent before it is back; 0 if its connections
	// are reset at once.
	dark time.Duration

	mu      sync.Mutex
	on      bool
	asked   int
	ended   bool
	started int
	engines []*engine
	crashes []time.Time
	// reached are the times at which requests with the part reached workers.
	reached []time.Time
	// deadly are the ids of the requests with the part, sent the times at which the others
	// were sent, and begun those of them that began to run.
	deadly map[string]bool
	sent   map[string]time.Time
	began  map[string]bool
	since  time.Time
}

// partID returns the id of a part of a prompt, in hexadecimal.
func (d *deadlyDay) partID(n int) string {
	return d.idOf(strconv.Itoa(n))
}

func (d *deadlyDay) idOf(text string) string {
	sum := sha256.Sum256([]byte(text))

	return hex.EncodeToString(sum[:])[:d.digits]
}

// prefix returns the parts of a prompt: two that requests share, and its own.
func (d *deadlyDay) prefix(id string) string {
	second := d.partID(100 + rand.IntN(_secondParts))
	d.mu.Lock()
	if d.on {
		d.asked++
	}
	if d.on && d.asked%_deadlyEach == 0 {
		second = d.part
		d.deadly[id] = true
	}
	d.mu.Unlock()

	var b strings.Builder
	fmt.Fprintf(&b, "%s:50,", d.partID(1+rand.IntN(_firstParts)))
	for i := range d.between {
		fmt.Fprintf(&b, "%s:5,", d.partID(1000+i))
	}
	fmt.Fprintf(&b, "%s:30,%s:20", second, d.idOf(id))

	return b.String()
}

// begun notes a request with the part, and reports whether the worker crashes.
func (d *deadlyDay) begun(e *engine, r *http.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !strings.Contains(r.Header.Get("X-Prompt-Prefix"), d.part+":") {
		d.began[r.Header.Get(_headerID)] = true

		return false
	}
	d.reached = append(d.reached, time.Now())
	d.crashes = append(d.crashes, time.Now())
	d.f.record.write("crash %d: %s, by %s", len(d.crashes), e.cfg.ID, r.Header.Get(_headerID))
	time.AfterFunc(_lapsed, func() { d.lapse(e.cfg.ID) })
	time.AfterFunc(_back, func() { d.start(e.cfg.Zone, nil) })

	return true
}

// lapse removes the entry of a worker that has crashed.
func (d *deadlyDay) lapse(id string) {
	ctx := context.Background()
	if o, err := d.f.store.Get(ctx, "servers", id); err == nil {
		_ = d.f.store.Delete(ctx, "servers", id, o.Version)
	}
}

// start starts a worker with models; after a crash it holds none.
func (d *deadlyDay) start(zone string, models []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ended {
		return
	}
	d.started++
	e, err := newEngine(engineConfig{
		ID:      fmt.Sprintf("i-%s-%d", zone, d.started),
		Service: _engines,
		Zone:    zone,
		Models:  models,
		Store:   d.f.store,
		Record:  d.f.record,
		Begun:   d.begun,
		Dark:    d.dark,
	})
	if err != nil {
		d.f.record.write("a worker doesn't start: %v", err)

		return
	}
	d.engines = append(d.engines, e)
}

// close ends all workers.
func (d *deadlyDay) close() {
	d.mu.Lock()
	d.ended = true
	engines := slices.Clone(d.engines)
	d.mu.Unlock()
	closeAll(engines)
}

// playDeadly plays a day with a deadly part. It returns the breaks of the rule LOST.
func playDeadly(rec *record, trouble bool) (breaks []string, err error) {
	f, err := newFleet(rec)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	d := &deadlyDay{
		f:      f,
		digits: _idDigits,
		deadly: map[string]bool{},
		sent:   map[string]time.Time{},
		began:  map[string]bool{},
	}
	if n, err := strconv.Atoi(os.Getenv(_idChoice)); err == nil {
		d.digits = n
	}
	if n, err := strconv.Atoi(os.Getenv(_betweenChoice)); err == nil {
		d.between = n
	}
	if os.Getenv(_darkChoice) == "1" {
		d.dark = _back
	}
	d.part = d.partID(7)
	rec.write("ids of parts have %d digits, that of the deadly part is %s, %d parts before it", d.digits, d.part, d.between+1)
	if err := f.declare([]any{liveRoute()}, []any{engineService(1, 0)}, []any{tenant()}); err != nil {
		return nil, err
	}
	zones := []string{"colombo-a", "negombo"}
	for _, zone := range zones {
		for range _workersOfZone {
			d.start(zone, []string{"m0"})
		}
	}
	defer d.close()
	if err := f.startMachines(zones); err != nil {
		return nil, err
	}
	c := &clients{
		f:      f,
		models: []string{"m0"},
		prefix: d.prefix,
		ended:  d.note,
	}
	if d.dark > 0 {
		c.patience = _gap
	}
	c.run(12, 50*time.Millisecond)
	time.Sleep(_warmUp)
	d.mu.Lock()
	d.on = trouble
	d.since = time.Now()
	d.mu.Unlock()
	time.Sleep(_deadlyFor)
	c.Close()

	return d.judge(), nil
}

// note notes a request that a client has sent.
func (d *deadlyDay) note(id, result string, sent time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.deadly[id] && result != "no address" && result != "429" {
		d.sent[id] = sent
	}
}

// judge returns the breaks of the rule LOST, and records those of BUDGET.
func (d *deadlyDay) judge() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.f.record.write("%d of %d requests had the part, %d of them reached workers, %d crashes", len(d.deadly), d.asked, len(d.reached), len(d.crashes))
	if len(d.crashes) == 0 {
		return nil
	}
	fifth := d.crashes[min(len(d.crashes), _fifth)-1]
	late := 0
	for _, at := range d.reached {
		if at.Sub(fifth) > _contact && len(d.crashes) >= _fifth {
			late++
		}
	}
	d.f.record.write("BUDGET: %d requests with the part reached workers later than contact_ms after the fifth crash, %d are allowed", late, _allowed)
	before, beforeBegan := d.count(time.Time{}, d.since)
	after, afterBegan := d.count(fifth.Add(2*_contact), time.Now())
	d.f.record.write("LOST: of the sound requests before the first one with the part, %d of %d began; from 2 x contact_ms after the fifth crash on, %d of %d", beforeBegan, before, afterBegan, after)
	if before < _least || after < _least || 2*afterBegan*before >= beforeBegan*after {
		return nil
	}

	return []string{fmt.Sprintf("%d of %d sound requests began, %d of %d before", afterBegan, after, beforeBegan, before)}
}

// count returns the number of sound requests sent in a time, and of those that began.
func (d *deadlyDay) count(from, to time.Time) (sent, began int) {
	for id, at := range d.sent {
		if at.Before(from) || !at.Before(to) {
			continue
		}
		sent++
		if d.began[id] {
			began++
		}
	}

	return sent, began
}
