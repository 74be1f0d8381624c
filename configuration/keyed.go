package configuration

import (
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
)

// _maxEvidenceAge is how long an instance trusts what it knows of keys
// without news.
const _maxEvidenceAge = 3 * time.Second

// Reach counts entry instances.
type Reach struct {
	// Alive are those believed alive, this one among them.
	Alive int
	// Listed are those of the platform's list, this one among them.
	Listed int
}

// Keyed says whether requests with keys may be served.
type Keyed struct {
	// Allowed is the decision.
	Allowed bool
	// Reason is one of the Keyed constants.
	Reason string
	// EvidenceAge is the time since the version in force was known to be the
	// newest.
	EvidenceAge time.Duration
	// Reach is what the rule counted.
	Reach Reach
}

// Reasons of Keyed.
const (
	// KeyedFresh means that the version in force was the newest moments ago.
	KeyedFresh = "Fresh"
	// KeyedStoreOutage means that most instances are in touch and none of
	// them can read the store either: nothing is missed that others know.
	KeyedStoreOutage = "StoreOutage"
	// KeyedNone means that no configuration is in force yet.
	KeyedNone = "NoConfiguration"
	// KeyedAlone means that the instance is cut off from the store and from
	// most instances: keys may have been withdrawn without its knowledge.
	KeyedAlone = "Alone"
	// KeyedBehind means that the instance knows of a newer version and can't
	// get its contents.
	KeyedBehind = "Behind"
)

// Keyed decides whether requests with keys may be served now. Without any
// answer from the store or a peer for 3 s, an instance refuses them; with
// answers from peers only, it serves them as long as a strict majority of the
// listed instances seems alive.
func (f *Follower) Keyed() Keyed {
	reach := f.Reach()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Timer.Now()
	k := Keyed{
		EvidenceAge: now.Sub(f.evidence.servedAsOf),
		Reach:       reach,
	}
	if now.Sub(f.evidence.heard) > _maxEvidenceAge {
		k.Reach.Alive = 1
	}
	behind := f.pending.Version > 0 && f.problem == "" && now.Sub(f.pendingSince) > _maxEvidenceAge
	switch {
	case f.inForce.Version == 0:
		k.Reason = KeyedNone
	case k.EvidenceAge <= _maxEvidenceAge:
		k.Allowed, k.Reason = true, KeyedFresh
	case behind:
		k.Reason = KeyedBehind
	case 2*k.Reach.Alive > k.Reach.Listed:
		k.Allowed, k.Reason = true, KeyedStoreOutage
	default:
		k.Reason = KeyedAlone
	}
	k.Allowed = k.Allowed || f.Unguarded.Alone
	f.logKeyed(k)

	return k
}

// logKeyed writes a line when the decision changes.
func (f *Follower) logKeyed(k Keyed) {
	if f.refusing == !k.Allowed {
		return
	}
	f.refusing = !k.Allowed
	kind := event.KeyedAllowed
	if f.refusing {
		kind = event.KeyedRefused
	}
	f.Log.Write(kind,
		zap.String("Reason", k.Reason),
		zap.Duration("EvidenceAge", k.EvidenceAge),
		zap.Int("Alive", k.Reach.Alive),
		zap.Int("Listed", k.Reach.Listed))
}
