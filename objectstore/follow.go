package objectstore

import (
	"context"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/wire"
)

// FollowConfig is what Follow works with. The functions are called from the
// goroutine of Follow, one at a time.
type FollowConfig struct {
	// Store is the way to the objects.
	Store Store
	// Kind is the kind to follow.
	Kind string
	// Changed is called for each object that is new or has a higher version
	// than before; an empty value means that it was deleted.
	Changed func(object wire.Object)
	// Current is called after each answer of the store that was not older
	// than one before, with the revision that all Changed calls so far
	// reflect. It is evidence of freshness, also when nothing changed. It
	// may be nil.
	Current func(revision int)
	// Log takes the events.
	Log *event.Log
	// Sleep waits between tries; nil means Sleep of this package.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Follow lists the objects of a kind and watches them until ctx ends. It
// never goes back: an answer older than one before is left out. A watch that
// the store can't resume any more is replaced by a list, and objects missing
// there are reported as deleted.
func Follow(ctx context.Context, cfg FollowConfig) {
	f := follower{
		cfg:   cfg,
		known: map[string]int{},
		sleep: cfg.Sleep,
	}
	if f.sleep == nil {
		f.sleep = Sleep
	}
	f.run(ctx)
}

// follower is one run of Follow. known are the versions of the objects that
// exist, revision is the highest revision seen.
type follower struct {
	cfg      FollowConfig
	sleep    func(ctx context.Context, d time.Duration) error
	known    map[string]int
	revision int
	listed   bool
}

func (f *follower) run(ctx context.Context) {
	waits := NewBackoff()
	for ctx.Err() == nil {
		if f.step(ctx) {
			waits.Reset()

			continue
		}
		if f.sleep(ctx, waits.NextBackOff()) != nil {
			return
		}
	}
}

// step makes one call and reports whether its answer was of use.
func (f *follower) step(ctx context.Context) bool {
	defer f.cfg.Log.Recover("Follow", zap.String("Kind", f.cfg.Kind))
	call := f.cfg.Store.Watch
	if !f.listed {
		call = func(ctx context.Context, kind string, _ int) (wire.ObjectList, error) {
			return f.cfg.Store.List(ctx, kind)
		}
	}
	list, err := call(ctx, f.cfg.Kind, f.revision)
	if CodeOf(err) == CodeGone {
		f.listed = false
	}
	if err != nil {
		f.cfg.Log.Write(event.PlatformFollowFailed, zap.String("Kind", f.cfg.Kind), zap.Int("Revision", f.revision), zap.Error(err))

		return false
	}
	if list.Version < f.revision {
		f.cfg.Log.Write(event.PlatformAnswerOld, zap.String("Kind", f.cfg.Kind), zap.Int("Revision", f.revision), zap.Int("Answer", list.Version))

		return false
	}
	f.take(list)

	return true
}

// take reports an answer's objects.
func (f *follower) take(list wire.ObjectList) {
	if !f.listed {
		f.dropMissing(list)
	}
	for _, object := range list.Objects {
		// A deletion may bear the version of the object's last change.
		known := f.known[object.Name]
		if object.Version < known || object.Version == known && object.Value != "" {
			continue
		}
		f.known[object.Name] = object.Version
		if object.Value == "" {
			delete(f.known, object.Name)
		}
		f.cfg.Changed(object)
	}
	f.revision = list.Version
	f.listed = true
	if f.cfg.Current != nil {
		f.cfg.Current(f.revision)
	}
}

// dropMissing reports known objects that a list doesn't hold as deleted.
func (f *follower) dropMissing(list wire.ObjectList) {
	listed := make(map[string]bool, len(list.Objects))
	for _, object := range list.Objects {
		listed[object.Name] = true
	}
	for name := range f.known {
		if listed[name] {
			continue
		}
		delete(f.known, name)
		f.cfg.Changed(wire.Object{
			Kind:    f.cfg.Kind,
			Name:    name,
			Version: list.Version,
			Value:   "",
		})
	}
}
