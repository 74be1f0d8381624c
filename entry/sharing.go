package entry

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/exchange"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const (
	// _storePatience is how long an instance waits for the store to answer with an
	// announced version before it asks another instance. A read on a silent connection is
	// repeated before that.
	_storePatience = 300 * time.Millisecond
	// _partPatience is the time without a new part after which another instance is asked.
	_partPatience = 250 * time.Millisecond
	// _answerInterval is the shortest time between two answers to the same instance.
	_answerInterval = 250 * time.Millisecond
	// _requestCheckInterval is the interval of checks whether to ask, while a version is
	// missing.
	_requestCheckInterval = 20 * time.Millisecond
	// _maxPartBytes keeps a part with its bulletin well below the size of a datagram, and
	// _maxParts bounds what a receiver holds.
	_maxPartBytes = 30 << 10
	_maxParts     = 64
	// _maxTransfers bounds the unfinished answers that are held.
	_maxTransfers = 4
	// _maxConfigurationBytes bounds the value of a configuration after decompression.
	_maxConfigurationBytes = 8 << 20
	// _partBytesPerSecond is the rate at which an instance sends parts, to all instances
	// together: that of the smallest links. A receiver's socket buffer holds only a few
	// parts at once.
	_partBytesPerSecond = 1 << 20
	// _maxQueuedAnswers bounds the answers that wait to be sent. An instance that gets
	// none asks another one.
	_maxQueuedAnswers = 16
)

// configurationRequests decides when this instance asks another one for the
// configuration, and which, and assembles the answers. It uses neither the network nor a
// clock.
type configurationRequests struct {
	domain string
	// pick returns a random number below n.
	pick func(n int) int
	// missing is set while a newer version than that in force is announced, and
	// missingSince the time since when.
	missing      bool
	missingSince time.Duration
	// failed is set if the store's last answer since then was a failure; answeredAt is the
	// time of the last one that was not.
	failed     bool
	answeredAt time.Duration
	// askedAt is the time of the last request, and partAt that of the last new part.
	asked   bool
	askedAt time.Duration
	partAt  time.Duration
	// tried are the instances that are not asked again before the others, and transfers
	// the answers of those that were asked last.
	tried     map[string]bool
	transfers map[string]*transfer
}

// transfer is the answer of one instance, as far as it has arrived. Parts of different
// instances are not combined: they may have been compressed differently.
type transfer struct {
	askedAt  time.Duration
	version  int
	revision int
	parts    [][]byte
	arrived  int
}

// receivedConfiguration is a configuration whose parts have all arrived.
type receivedConfiguration struct {
	from     string
	version  int
	revision int
	parts    int
	data     []byte
	askedAt  time.Duration
}

// recordRead notes the outcome of a read of the store. A history that the store has
// dropped is no failure: a list follows.
func (r *configurationRequests) recordRead(queriedAt time.Duration, err error, now time.Duration) {
	switch {
	case !r.missing || objectstore.CodeOf(err) == objectstore.CodeGone:
	case err != nil:
		r.failed = true
	case queriedAt >= r.missingSince:
		r.failed = false
		r.answeredAt = now
	}
}

// due reports whether another instance has to be asked now, given the versions in force
// and announced.
func (r *configurationRequests) due(inForce, newest int, now time.Duration) bool {
	if newest <= inForce {
		r.missing = false
		r.transfers = nil

		return false
	}
	if !r.missing {
		*r = configurationRequests{
			domain:       r.domain,
			pick:         r.pick,
			missing:      true,
			missingSince: now,
			answeredAt:   now,
			tried:        map[string]bool{},
			transfers:    map[string]*transfer{},
		}
	}
	if !r.failed && now-r.answeredAt < _storePatience {
		return false
	}

	return !r.asked || now-max(r.askedAt, r.partAt) >= _partPatience
}

// choose returns the name of the instance to ask for a version, empty if there is none,
// and records it as asked. Instances that are known to have an older version are not
// asked. The first choice is random, so that instances that lost the store together ask
// different ones; after it, those that are known to have the version come first.
func (r *configurationRequests) choose(instances []exchange.Instance, wanted int, now time.Duration) string {
	candidates := slices.DeleteFunc(slices.Clone(instances), func(i exchange.Instance) bool {
		return !i.Alive || i.Leaving || i.Version != 0 && i.Version < wanted
	})
	if len(candidates) == 0 {
		return ""
	}
	rank := func(i exchange.Instance) int {
		n := 0
		if r.tried[i.Name] {
			n += 4
		}
		if r.asked && i.Version == 0 {
			n += 2
		}
		if i.FailureDomain != r.domain {
			n++
		}

		return n
	}
	best := rank(slices.MinFunc(candidates, func(a, b exchange.Instance) int { return cmp.Compare(rank(a), rank(b)) }))
	candidates = slices.DeleteFunc(candidates, func(i exchange.Instance) bool { return rank(i) > best })
	name := candidates[r.pick(len(candidates))].Name
	if r.tried[name] {
		clear(r.tried)
	}
	r.tried[name] = true
	r.asked = true
	r.askedAt = now
	r.startTransfer(name, now)

	return name
}

// startTransfer expects the answer of an instance, in place of the one that was asked for
// longest ago if there are too many.
func (r *configurationRequests) startTransfer(name string, now time.Duration) {
	if r.transfers[name] == nil {
		r.transfers[name] = &transfer{}
	}
	r.transfers[name].askedAt = now
	if len(r.transfers) <= _maxTransfers {
		return
	}
	oldest := name
	for other, t := range r.transfers {
		if t.askedAt < r.transfers[oldest].askedAt {
			oldest = other
		}
	}
	delete(r.transfers, oldest)
}

// receive adds a part. It returns the configuration when its last part has arrived. Parts
// from instances that were not asked, and of versions that are not newer than that in
// force, are ignored.
func (r *configurationRequests) receive(from string, p wire.ConfigurationPart, inForce int, now time.Duration) (receivedConfiguration, bool) {
	t := r.transfers[from]
	if t == nil || p.Version <= inForce || p.Count < 1 || p.Count > _maxParts || p.Index < 0 || p.Index >= p.Count ||
		len(p.Data) == 0 || len(p.Data) > _maxPartBytes {
		return receivedConfiguration{}, false
	}
	order := cmp.Or(cmp.Compare(p.Version, t.version), cmp.Compare(p.Revision, t.revision))
	if order < 0 {
		return receivedConfiguration{}, false
	}
	if order > 0 || len(t.parts) != p.Count {
		*t = transfer{
			askedAt:  t.askedAt,
			version:  p.Version,
			revision: p.Revision,
			parts:    make([][]byte, p.Count),
		}
	}
	if t.parts[p.Index] != nil {
		return receivedConfiguration{}, false
	}
	t.parts[p.Index] = p.Data
	t.arrived++
	r.partAt = now
	if t.arrived < p.Count {
		return receivedConfiguration{}, false
	}
	delete(r.transfers, from)

	return receivedConfiguration{
		from:     from,
		version:  p.Version,
		revision: p.Revision,
		parts:    p.Count,
		data:     slices.Concat(t.parts...),
		askedAt:  t.askedAt,
	}, true
}

// configurationAnswers decides whether an instance that asks is answered.
type configurationAnswers struct {
	// answered holds the times of the last answers, by instance.
	answered map[string]time.Duration
}

// refusal returns the reason why a request is not answered; if it is empty, the request
// is recorded as answered.
func (a *configurationAnswers) refusal(from string, wanted, version int, now time.Duration) string {
	for name, at := range a.answered {
		if now-at >= _answerInterval {
			delete(a.answered, name)
		}
	}
	if version < wanted {
		return "Older"
	}
	if _, ok := a.answered[from]; ok {
		return "TooSoon"
	}
	a.answered[from] = now

	return ""
}

// splitConfiguration returns the parts of a configuration's redacted value.
func splitConfiguration(value string, version, revision int) ([]wire.ConfigurationPart, error) {
	if len(value) > _maxConfigurationBytes {
		return nil, eris.Errorf("entry: configuration of %d bytes", len(value))
	}
	data := s2.EncodeBetter(nil, []byte(value))
	count := (len(data) + _maxPartBytes - 1) / _maxPartBytes
	if count > _maxParts {
		return nil, eris.Errorf("entry: configuration of %d parts", count)
	}
	parts := make([]wire.ConfigurationPart, 0, count)
	for chunk := range slices.Chunk(data, _maxPartBytes) {
		parts = append(parts, wire.ConfigurationPart{
			Version:  version,
			Revision: revision,
			Index:    len(parts),
			Count:    count,
			Data:     chunk,
		})
	}

	return parts, nil
}

// value returns the configuration's redacted value.
func (r receivedConfiguration) value() (string, error) {
	if n, err := s2.DecodedLen(r.data); err != nil || n > _maxConfigurationBytes {
		return "", eris.Errorf("entry: configuration of %d bytes: decoded length %d: %v", len(r.data), n, err)
	}
	value, err := s2.Decode(nil, r.data)

	return string(value), eris.Wrap(err, "entry: decompress configuration")
}

// configurationSharing is the state of the exchange of configurations with other
// instances.
type configurationSharing struct {
	redact func(value string) (string, error)
	// applying is held while a configuration is put in force: the store's reader and
	// requestConfigurations both do.
	applying sync.Mutex
	// received holds a configuration until requestConfigurations applies it, and queue the
	// names of instances until sendConfigurations answers them.
	received chan receivedConfiguration
	queue    chan string

	mu       sync.Mutex
	requests configurationRequests
	answers  configurationAnswers
	// latest is the highest version of the store's answers.
	latest int
	// version and stored are the configuration in force as it was read; parts is what is
	// sent of it, nil until the first request.
	version int
	stored  wire.Object
	parts   []wire.ConfigurationPart
}

func newConfigurationSharing(domain string, redact func(value string) (string, error)) *configurationSharing {
	return &configurationSharing{
		redact:   redact,
		received: make(chan receivedConfiguration, 1),
		queue:    make(chan string, _maxQueuedAnswers),
		requests: configurationRequests{
			domain: domain,
			pick:   rand.IntN,
		},
		answers: configurationAnswers{
			answered: map[string]time.Duration{},
		},
	}
}

// observe returns the store with reads whose outcomes are recorded. An answer that may
// be old is none, but its failure is one.
func (s *configurationSharing) observe(store objectstore.Store) objectstore.Store {
	list, listStale, watch := store.List, store.ListStale, store.Watch
	store.List = func(ctx context.Context, kind string) (wire.ObjectList, error) {
		queriedAt := timer.Elapsed()
		l, err := list(ctx, kind)
		s.recordRead(queriedAt, l.Version, err)

		return l, err
	}
	if listStale != nil {
		store.ListStale = func(ctx context.Context, kind string) (wire.ObjectList, error) {
			l, err := listStale(ctx, kind)
			if err != nil {
				s.recordRead(timer.Elapsed(), 0, err)
			}

			return l, err
		}
	}
	store.Watch = func(ctx context.Context, kind string, after int) (wire.ObjectList, error) {
		queriedAt := timer.Elapsed()
		l, err := watch(ctx, kind, after)
		s.recordRead(queriedAt, l.Version, err)

		return l, err
	}

	return store
}

// recordRead notes the outcome of a read of the store. An answer that is older than one
// before counts as a failure.
func (s *configurationSharing) recordRead(queriedAt time.Duration, version int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && version < s.latest {
		err = eris.New("entry: old answer")
	}
	if err == nil {
		s.latest = version
	}
	s.requests.recordRead(queriedAt, err, timer.Elapsed())
}

// storeLacks reports whether the store has answered, without an object of this version,
// with a state that is as new as it. Only one that was restored from a copy does.
func (s *configurationSharing) storeLacks(version int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return version <= s.latest
}

// setStored notes the configuration in force as it was read.
func (s *configurationSharing) setStored(version int, object wire.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
	s.stored = object
	s.parts = nil
}

// currentParts returns the parts of the configuration in force. They are made at the
// first request: few configurations are ever asked for.
func (s *configurationSharing) currentParts() ([]wire.ConfigurationPart, error) {
	s.mu.Lock()
	version, stored, parts := s.version, s.stored, s.parts
	s.mu.Unlock()
	if parts != nil {
		return parts, nil
	}
	value, err := s.redact(stored.Value)
	if err != nil {
		return nil, err
	}
	if parts, err = splitConfiguration(value, version, stored.Version); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version == version && s.stored.Version == stored.Version {
		s.parts = parts
	}

	return parts, nil
}

// handleSharing handles what a bulletin says of the exchange of configurations.
func (e *Entry) handleSharing(b *wire.Bulletin) {
	if b.ConfigurationWanted > 0 {
		e.queueAnswer(b.Name, b.ConfigurationWanted)
	}
	if b.ConfigurationPart != nil {
		e.receivePart(b.Name, *b.ConfigurationPart)
	}
}

// queueAnswer has a request of another instance answered if it is to be.
func (e *Entry) queueAnswer(from string, wanted int) {
	s := e.sharing
	s.mu.Lock()
	reason := s.answers.refusal(from, wanted, s.version, timer.Elapsed())
	s.mu.Unlock()
	if reason == "" {
		select {
		case s.queue <- from:
			return
		default:
			reason = "Busy"
		}
	}
	e.logSent(from, wanted, 0, reason)
}

func (e *Entry) logSent(to string, version, parts int, reason string) {
	e.cfg.Log.Write(event.ConfigurationSent, zap.String("To", to), zap.Int("Version", version), zap.Int("Parts", parts), zap.String("Reason", reason))
}

// sendConfigurations answers the instances in the queue, one after the other.
func (e *Entry) sendConfigurations() {
	for {
		select {
		case <-e.ctx.Done():
			return
		case to := <-e.sharing.queue:
			e.sendConfiguration(to)
		}
	}
}

func (e *Entry) sendConfiguration(to string) {
	defer e.cfg.Log.Recover("SendConfiguration", zap.String("To", to))
	parts, err := e.sharing.currentParts()
	if err != nil {
		e.logSent(to, 0, 0, err.Error())

		return
	}
	for i := range parts {
		part := &parts[i]
		if !e.hub.SendNote(to, func(b *wire.Bulletin) { b.ConfigurationPart = part }) {
			e.logSent(to, part.Version, i, "Gone")

			return
		}
		pause := time.Duration(len(part.Data)) * time.Second / _partBytesPerSecond
		if objectstore.Sleep(e.ctx, pause) != nil {
			return
		}
	}
	metrics.GetOrRegisterCounter("Entry.ConfigurationSent", e.cfg.Registry).Inc(1)
	e.logSent(to, parts[0].Version, len(parts), "")
}

// receivePart handles a part of a configuration.
func (e *Entry) receivePart(from string, part wire.ConfigurationPart) {
	cfg := e.current.Load()
	if cfg == nil {
		return
	}
	s := e.sharing
	s.mu.Lock()
	received, ok := s.requests.receive(from, part, cfg.Version, timer.Elapsed())
	s.mu.Unlock()
	if !ok {
		return
	}
	select {
	case s.received <- received:
	default:
		// Another one waits to be applied; if that has no effect, it is asked for again.
	}
}

// requestConfigurations asks other instances for the configuration, as
// configurationRequests decides, and applies their answers.
func (e *Entry) requestConfigurations() {
	for e.ctx.Err() == nil {
		newer := e.newerVersionChannel()
		e.askForConfiguration()
		var check <-chan time.Time
		if e.current.Load() == nil || e.missesVersion() {
			check = time.After(_requestCheckInterval)
		}
		select {
		case <-e.ctx.Done():
		case <-newer:
		case <-check:
		case received := <-e.sharing.received:
			e.applyReceived(received)
		}
	}
}

// askForConfiguration asks another instance for the configuration if that is due.
func (e *Entry) askForConfiguration() {
	defer e.cfg.Log.Recover("AskForConfiguration")
	cfg := e.current.Load()
	if cfg == nil {
		return
	}
	s := e.sharing
	now, newest := timer.Elapsed(), int(e.newestVersion.Load())
	s.mu.Lock()
	due := s.requests.due(cfg.Version, newest, now)
	s.mu.Unlock()
	if !due {
		return
	}
	instances := e.hub.Instances()
	s.mu.Lock()
	to := s.requests.choose(instances, newest, now)
	missingFor, failed := now-s.requests.missingSince, s.requests.failed
	s.mu.Unlock()
	if to == "" {
		return
	}
	e.hub.SendNote(to, func(b *wire.Bulletin) { b.ConfigurationWanted = newest })
	metrics.GetOrRegisterCounter("Entry.ConfigurationAsked", e.cfg.Registry).Inc(1)
	e.cfg.Log.Write(event.ConfigurationAsked, zap.String("Name", to), zap.Int("Version", newest), zap.Int("InForce", cfg.Version),
		zap.Duration("MissingFor", missingFor), zap.Bool("StoreFailed", failed), e.evidenceAgeField())
}

// applyReceived puts a received configuration in force. It has the revision that it had
// in the store, and is no evidence that it is current.
func (e *Entry) applyReceived(r receivedConfiguration) {
	defer e.cfg.Log.Recover("ApplyReceived", zap.String("From", r.from))
	value, err := r.value()
	metrics.GetOrRegisterCounter("Entry.ConfigurationReceived", e.cfg.Registry).Inc(1)
	e.cfg.Log.Write(event.ConfigurationReceived, zap.String("From", r.from), zap.Int("Version", r.version), zap.Int("Revision", r.revision),
		zap.Int("Parts", r.parts), zap.Duration("SinceAsked", timer.Elapsed()-r.askedAt), zap.Error(err))
	if err != nil {
		return
	}
	e.applyConfiguration(wire.Object{
		Kind:    e.cfg.Codec.ConfigurationKind,
		Name:    e.cfg.Codec.ConfigurationName,
		Version: r.revision,
		Value:   value,
	}, r.from)
}
