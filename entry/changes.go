package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/wire"
)

const (
	// _changesTold is for how long a change is told: three bulletins, so that
	// a lost one leaves no gap.
	_changesTold = 700 * time.Millisecond
	// _changesSilence is after how long without a word of a reader the store is
	// asked.
	_changesSilence = 1500 * time.Millisecond
)

// serverChanges shares what the store says of backend servers' entries: a few
// instances read it, and tell the others what has changed.
type serverChanges struct {
	mu sync.Mutex
	// upTo is up to which revision all changes are known, after from which on
	// those in recent are all there were.
	after  int
	upTo   int
	recent []change
	// told are what a reader said last, at toldAt.
	told   wire.ServerChanges
	toldAt time.Time
	news   chan struct{}
}

type change struct {
	entry wire.ServerEntry
	at    time.Time
}

func newServerChanges() *serverChanges {
	return &serverChanges{news: make(chan struct{})}
}

// share lets the store's watch wait for the words of others, unless reads says
// that this instance is to read for them.
func (c *serverChanges) share(store objectstore.Store, reads func() bool) objectstore.Store {
	list, watch := store.List, store.Watch
	store.List = func(ctx context.Context, kind string) (wire.ObjectList, error) {
		l, err := list(ctx, kind)
		if err == nil {
			c.restart(l.Version)
		}

		return l, err
	}
	store.Watch = func(ctx context.Context, kind string, after int) (wire.ObjectList, error) {
		if l, ok, err := c.wait(ctx, kind, after, reads); ok || err != nil {
			return l, err
		}
		// Changes that come together are read together.
		if err := objectstore.Sleep(ctx, _entryGather); err != nil {
			return wire.ObjectList{}, err
		}
		l, err := watch(ctx, kind, after)
		if err == nil {
			c.note(after, l)
		}

		return l, err
	}

	return store
}

// wait waits for the changes after a revision to be told. It says false if the
// store is to be asked.
func (c *serverChanges) wait(ctx context.Context, kind string, after int, reads func() bool) (wire.ObjectList, bool, error) {
	for !reads() {
		c.mu.Lock()
		news, told, left := c.news, c.told, _changesSilence-time.Since(c.toldAt)
		c.mu.Unlock()
		if left <= 0 || told.After > after {
			return wire.ObjectList{}, false, nil
		}
		if told.UpTo > after {
			l := answer(kind, told, after)
			c.note(after, l)

			return l, true, nil
		}
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
			timer.Stop()

			return wire.ObjectList{}, false, ctx.Err()
		case <-news:
		case <-timer.C:
		}
		timer.Stop()
	}

	return wire.ObjectList{}, false, nil
}

// answer is what the store would have answered.
func answer(kind string, told wire.ServerChanges, after int) wire.ObjectList {
	l := wire.ObjectList{Version: told.UpTo}
	for _, e := range told.Entries {
		if e.Told > after {
			l.Objects = append(l.Objects, wire.Object{
				Kind:    kind,
				Name:    e.Server,
				Version: e.Revision,
				Value:   e.Value,
			})
		}
	}

	return l
}

// restart begins anew after a list.
func (c *serverChanges) restart(revision int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.after, c.upTo, c.recent = revision, revision, nil
}

// note keeps an answer, to tell it.
func (c *serverChanges) note(after int, l wire.ObjectList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after != c.upTo {
		c.after, c.recent = after, nil
	}
	c.upTo = l.Version
	now := time.Now()
	changed := map[string]bool{}
	for _, o := range l.Objects {
		changed[o.Name] = true
	}
	// Of several changes of one entry the last says all.
	c.recent = slices.DeleteFunc(c.recent, func(r change) bool { return changed[r.entry.Server] })
	for _, o := range l.Objects {
		c.recent = append(c.recent, change{
			entry: wire.ServerEntry{
				Server:   o.Name,
				Revision: o.Version,
				Told:     l.Version,
				Value:    o.Value,
			},
			at: now,
		})
	}
}

// tell is what has changed lately.
func (c *serverChanges) tell(now time.Time) wire.ServerChanges {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := 0
	for old < len(c.recent) && now.Sub(c.recent[old].at) > _changesTold {
		c.after = max(c.after, c.recent[old].entry.Told)
		old++
	}
	c.recent = c.recent[old:]
	out := wire.ServerChanges{
		After: c.after,
		UpTo:  c.upTo,
	}
	for _, r := range c.recent {
		out.Entries = append(out.Entries, r.entry)
	}

	return out
}

// heard takes what a reader told, whose own view was fresh.
func (c *serverChanges) heard(told wire.ServerChanges, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.toldAt = now
	if told.UpTo < c.told.UpTo {
		return
	}
	c.told = told
	close(c.news)
	c.news = make(chan struct{})
}
