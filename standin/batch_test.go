package standin

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestBatchSlowsAndCaches holds the times of tokens against the model's
// formula: a step lasts its base, a share for each decoded request, and the
// reading of prompts; a prompt in the cache is read for one token only.
func TestBatchSlowsAndCaches(t *testing.T) {
	start := time.Unix(0, 0)
	b := NewBatch(BatchConfig{
		Slots:                  2,
		StepBase:               10 * time.Millisecond,
		StepPerRequest:         time.Millisecond,
		PrefillTokensPerSecond: 1000,
		BlockTokens:            10,
		CacheBlocks:            2,
	})
	request := func(id string, hashes ...int) BatchRequest {
		return BatchRequest{
			ID:           id,
			Model:        "m",
			PrefixHashes: hashes,
			InputTokens:  20,
			OutputTokens: 2,
		}
	}
	b.Start(start, request("a", 1, 2))
	b.Start(start, request("b", 1, 2))
	b.Start(start, request("c", 3, 4))
	got := map[string]time.Duration{}
	for _, token := range b.Advance(start.Add(time.Second)) {
		if token.Last {
			got[token.ID] = token.At.Sub(start)
		}
	}
	// a reads its prompt in 30 ms and ends at 42. b joins at 30 and reads the one
	// token that the cache leaves. c takes a's slot at 42, and its prompt makes
	// b end at 42+10+1+20; then c ends alone after 11 ms more.
	want := map[string]time.Duration{
		"a": 42 * time.Millisecond,
		"b": 73 * time.Millisecond,
		"c": 84 * time.Millisecond,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("ends (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{0, 20}, []int{b.CachedTokens("m", []int{1, 2}), b.CachedTokens("m", []int{3, 4})}); diff != "" {
		t.Errorf("cached tokens (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(6, len(b.TakeCacheEvents())); diff != "" {
		t.Errorf("cache events (-want +got):\n%s", diff)
	}
	crash := request("d", 3)
	crash.Crash = true
	b.Start(start.Add(time.Second), crash)
	tokens := b.Advance(start.Add(time.Minute))
	if diff := cmp.Diff([]any{0, true}, []any{len(tokens), b.Crashed()}); diff != "" {
		t.Errorf("tokens and crash (-want +got):\n%s", diff)
	}
}
