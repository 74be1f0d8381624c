package standin

import (
	"math"
	"time"

	"papayastair.dev/papayastair/wire"
)

// BatchConfig describes the speed and the cache of one engine.
type BatchConfig struct {
	// Slots is the largest batch.
	Slots int
	// StepBase is the duration of a step that decodes nothing.
	StepBase time.Duration
	// StepPerRequest is added to a step for each request that it decodes.
	StepPerRequest time.Duration
	// PrefillTokensPerSecond is the speed of reading prompts.
	PrefillTokensPerSecond float64
	// ChunkTokens is the most prompt tokens read in one step; 0 means 2048.
	ChunkTokens int
	// BlockTokens is the length of one block of the prefix cache; 0 means 64.
	BlockTokens int
	// CacheBlocks is how many blocks the prefix cache holds.
	CacheBlocks int
}

// BatchRequest is one request to a Batch.
type BatchRequest struct {
	// ID is unique among the requests of a Batch.
	ID string
	// Priority orders the requests that wait for a slot.
	Priority wire.Priority
	// Model is the model, for the prefix cache.
	Model string
	// PrefixHashes are the hashes of the prompt's prefixes of one, two, three
	// and so on blocks.
	PrefixHashes []int
	// InputTokens is the length of the prompt, at least 1.
	InputTokens int
	// OutputTokens is how many tokens it generates, at least 1.
	OutputTokens int
	// Delay holds the request before its prompt is read, for an adapter's load.
	Delay time.Duration
	// Crash ends the engine in the step that reads the last of the prompt.
	Crash bool
}

// BatchToken is one token of one request.
type BatchToken struct {
	// ID is the request's.
	ID string
	// Index counts the tokens of the request from 0.
	Index int
	// Last says that the request has ended.
	Last bool
	// At is when the token came.
	At time.Time
}

// Batch models one engine with continuous batching. It works in steps: each
// step reads some prompt tokens and decodes one token for every request whose
// prompt is read, so that all become slower as the batch grows. It is plain
// data with the time passed in: call Advance at the time of Next, and after a
// Start ask Next again. It is not safe for concurrent use. Use NewBatch.
type Batch struct {
	cfg     BatchConfig
	waiting []*batchEntry
	running []*batchEntry
	// stepEnd is when the step in progress ends; zero while idle.
	stepEnd time.Time
	crash   bool
	crashed bool
	cache   prefixCache
}

type batchEntry struct {
	request   BatchRequest
	ready     time.Time
	unread    int
	chunk     int
	generated int
	decodes   bool
}

// NewBatch returns an idle engine with an empty cache.
func NewBatch(cfg BatchConfig) *Batch {
	if cfg.ChunkTokens == 0 {
		cfg.ChunkTokens = 2048
	}
	if cfg.BlockTokens == 0 {
		cfg.BlockTokens = 64
	}

	return &Batch{
		cfg: cfg,
		cache: prefixCache{
			capacity: cfg.CacheBlocks,
			used:     map[prefixKey]int{},
		},
	}
}

// Start hands a request to the engine at the time now.
func (b *Batch) Start(now time.Time, request BatchRequest) {
	request.InputTokens = max(request.InputTokens, 1)
	request.OutputTokens = max(request.OutputTokens, 1)
	entry := &batchEntry{
		request: request,
		ready:   now.Add(request.Delay),
	}
	b.insertWaiting(entry)
	if b.stepEnd.IsZero() {
		b.beginStep(now)
	}
}

// Cancel ends a request without more tokens. An unknown ID does nothing.
func (b *Batch) Cancel(id string) {
	b.waiting = removeEntry(b.waiting, id)
	b.running = removeEntry(b.running, id)
}

// Next is when the step in progress ends. It reports false while the engine
// is idle or crashed.
func (b *Batch) Next() (time.Time, bool) {
	return b.stepEnd, !b.stepEnd.IsZero() && !b.crashed
}

// Advance ends all steps that end by now and returns their tokens in order.
func (b *Batch) Advance(now time.Time) []BatchToken {
	var tokens []BatchToken
	for {
		end, ok := b.Next()
		if !ok || end.After(now) {
			return tokens
		}
		tokens = b.endStep(end, tokens)
		b.beginStep(end)
	}
}

// Crashed says that a request has crashed the engine; it makes no more steps.
func (b *Batch) Crashed() bool {
	return b.crashed
}

// Running is the number of requests in the batch.
func (b *Batch) Running() int {
	return len(b.running)
}

// Waiting is the number of requests that wait for a slot.
func (b *Batch) Waiting() int {
	return len(b.waiting)
}

// CachedTokens is how much of a prompt with these prefixes the cache holds.
func (b *Batch) CachedTokens(model string, hashes []int) int {
	return b.cache.longest(model, hashes) * b.cfg.BlockTokens
}

// TakeCacheEvents returns the cache events since the last call, in order.
func (b *Batch) TakeCacheEvents() []wire.CacheEvent {
	events := b.cache.events
	b.cache.events = nil

	return events
}

// CacheSequence is the sequence of the newest cache event.
func (b *Batch) CacheSequence() int {
	return b.cache.sequence
}

// insertWaiting keeps the queue in the order of priority, then of arrival.
func (b *Batch) insertWaiting(entry *batchEntry) {
	at := len(b.waiting)
	for at > 0 && priorityRank(b.waiting[at-1].request.Priority) > priorityRank(entry.request.Priority) {
		at--
	}
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[at+1:], b.waiting[at:])
	b.waiting[at] = entry
}

// beginStep fills free slots, shares the chunk of prompt tokens out and sets
// the end of the step.
func (b *Batch) beginStep(now time.Time) {
	b.fillSlots(now)
	if len(b.running) == 0 {
		b.stepEnd = b.firstReady()

		return
	}
	decoding := 0
	for _, entry := range b.running {
		entry.decodes = entry.unread == 0
		if entry.decodes {
			decoding++
		}
	}
	read := b.shareChunk()
	prefill := time.Duration(float64(read) / b.cfg.PrefillTokensPerSecond * float64(time.Second))
	b.stepEnd = now.Add(b.cfg.StepBase + time.Duration(decoding)*b.cfg.StepPerRequest + prefill)
}

// shareChunk lets the prompts of higher priorities be read first, up to the
// chunk of one step, and returns the tokens to read.
func (b *Batch) shareChunk() int {
	const ranks = 3
	read := 0
	b.crash = false
	for rank := range ranks {
		for _, entry := range b.running {
			if entry.decodes || priorityRank(entry.request.Priority) != rank {
				continue
			}
			entry.chunk = min(entry.unread, b.cfg.ChunkTokens-read)
			read += entry.chunk
			if entry.request.Crash && entry.chunk == entry.unread {
				b.crash = true
			}
		}
	}

	return read
}

func (b *Batch) fillSlots(now time.Time) {
	kept := b.waiting[:0]
	for _, entry := range b.waiting {
		if len(b.running) >= b.cfg.Slots || entry.ready.After(now) {
			kept = append(kept, entry)

			continue
		}
		cached := b.CachedTokens(entry.request.Model, entry.request.PrefixHashes)
		entry.unread = max(entry.request.InputTokens-cached, 1)
		b.running = append(b.running, entry)
	}
	b.waiting = kept
}

// firstReady is when the first waiting request may begin; zero if none waits.
func (b *Batch) firstReady() time.Time {
	var first time.Time
	for _, entry := range b.waiting {
		if first.IsZero() || entry.ready.Before(first) {
			first = entry.ready
		}
	}

	return first
}

func (b *Batch) endStep(now time.Time, tokens []BatchToken) []BatchToken {
	if b.crash {
		b.crashed = true

		return tokens
	}
	kept := b.running[:0]
	for _, entry := range b.running {
		if !entry.decodes {
			entry.unread -= entry.chunk
			entry.chunk = 0
			if entry.unread > 0 {
				kept = append(kept, entry)

				continue
			}
			b.cache.add(entry.request.Model, entry.request.PrefixHashes)
		}
		last := entry.generated+1 == entry.request.OutputTokens
		tokens = append(tokens, BatchToken{
			ID:    entry.request.ID,
			Index: entry.generated,
			Last:  last,
			At:    now,
		})
		entry.generated++
		if !last {
			kept = append(kept, entry)
		}
	}
	b.running = kept

	return tokens
}

func removeEntry(entries []*batchEntry, id string) []*batchEntry {
	kept := entries[:0]
	for _, entry := range entries {
		if entry.request.ID != id {
			kept = append(kept, entry)
		}
	}

	return kept
}

func priorityRank(priority wire.Priority) int {
	switch priority {
	case wire.PriorityUrgent:
		return 0
	case wire.PriorityBatch:
		return 2
	default:
		return 1
	}
}

// prefixCache keeps the most recently used blocks of prompts, up to its
// capacity, and notes an event of each change.
type prefixCache struct {
	capacity int
	clock    int
	used     map[prefixKey]int
	sequence int
	events   []wire.CacheEvent
}

type prefixKey struct {
	model string
	hash  int
}

// longest is how many of the prefixes, from the first, are present.
func (c *prefixCache) longest(model string, hashes []int) int {
	for i, hash := range hashes {
		if _, ok := c.used[prefixKey{model: model, hash: hash}]; !ok {
			return i
		}
	}

	return len(hashes)
}

func (c *prefixCache) add(model string, hashes []int) {
	for _, hash := range hashes[:min(len(hashes), c.capacity)] {
		key := prefixKey{
			model: model,
			hash:  hash,
		}
		if _, ok := c.used[key]; !ok {
			if len(c.used) >= c.capacity {
				c.evictOldest()
			}
			c.note(key, true)
		}
		c.clock++
		c.used[key] = c.clock
	}
}

func (c *prefixCache) evictOldest() {
	oldest := math.MaxInt
	var victim prefixKey
	for key, clock := range c.used {
		if clock < oldest {
			oldest = clock
			victim = key
		}
	}
	delete(c.used, victim)
	c.note(victim, false)
}

func (c *prefixCache) note(key prefixKey, present bool) {
	c.sequence++
	c.events = append(c.events, wire.CacheEvent{
		Sequence:   c.sequence,
		Model:      key.model,
		PrefixHash: key.hash,
		Present:    present,
	})
}
