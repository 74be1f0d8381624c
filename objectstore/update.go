package objectstore

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"papayastair.dev/papayastair/wire"
)

const (
	_firstBackoff = 20 * time.Millisecond
	_maxBackoff   = 2 * time.Second
)

// NewBackoff returns the waits between tries of calls to the platform: from
// 20 ms, growing to 2 s, each changed at random by half, so that instances
// that failed together don't come again together.
func NewBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = _firstBackoff
	b.MaxInterval = _maxBackoff

	return b
}

// Sleep waits for d or until ctx ends, whose error it returns.
func Sleep(ctx context.Context, d time.Duration) error {
	alarm := time.NewTimer(d)
	defer alarm.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-alarm.C:
		return nil
	}
}

// Writer numbers the writes of one process.
type Writer struct {
	id   string
	last atomic.Int64
}

// NewWriter returns a writer; id must be unique for each start of a process.
func NewWriter(id string) *Writer {
	return &Writer{id: id}
}

// Next identifies one write to the object's version base.
func (w *Writer) Next(base int) wire.Write {
	return wire.Write{
		WriterID: w.id,
		Sequence: int(w.last.Add(1)),
		Base:     base,
	}
}

// UpdateConfig is what Update works with.
type UpdateConfig struct {
	// Store is the way to the object.
	Store Store
	// Kind and Name name the object. It must never be deleted: a name that
	// is used again makes a late first write look like the new one's.
	Kind string
	Name string
	// Writer numbers the writes.
	Writer *Writer
	// Change makes the value that replaces current, whose Version is 0 when
	// there is no object. The value must hold write where Trail finds it. An
	// error ends the update. Change runs again when another write came
	// first, and must then look at the current value anew.
	Change func(current wire.Object, write wire.Write) (string, error)
	// Trail returns the latest writes that a value holds. The longer it is,
	// the more overwrites by others can pass before an outcome stays unknown.
	Trail func(value string) ([]wire.Write, error)
	// Sleep waits between tries; nil means Sleep of this package.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Update changes an object by read, change and conditional write, and tries
// again until a write of its own took effect or ctx ends. It returns the
// object as it wrote it.
//
// A write whose reply was lost is settled by reading the object again. Of
// the writes that replace one version exactly one takes effect, so the
// write in the trail with the same Base tells which it was. As long as the
// object still has that version the write may be on its way; the next try
// replaces the same version and so decides between the two.
//
// The error's code is CodeNotRun when no write took effect or ever will, and
// CodeUnknown when one may have: the object could not be read in time, or its
// trail doesn't reach back far enough.
func Update(ctx context.Context, cfg UpdateConfig) (wire.Object, error) {
	u := update{
		cfg:     cfg,
		sleep:   cfg.Sleep,
		backoff: NewBackoff(),
	}
	if u.sleep == nil {
		u.sleep = Sleep
	}

	return u.run(ctx)
}

// update is one run of Update. doubt are the writes of unknown outcome; all
// of them replace one version.
type update struct {
	cfg     UpdateConfig
	sleep   func(ctx context.Context, d time.Duration) error
	backoff *backoff.ExponentialBackOff
	doubt   []wire.Write
	highest int
}

func (u *update) run(ctx context.Context) (wire.Object, error) {
	for {
		object, done, err := u.try(ctx)
		if done || err != nil {
			return object, err
		}
		if err := u.sleep(ctx, u.backoff.NextBackOff()); err != nil {
			return wire.Object{}, u.fail(err.Error())
		}
	}
}

// try reads the object, settles what is in doubt, and writes once.
func (u *update) try(ctx context.Context) (wire.Object, bool, error) {
	current, ok := u.read(ctx)
	if !ok {
		return wire.Object{}, false, nil
	}
	if done, err := u.settle(current); done || err != nil {
		return current, done, err
	}
	write := u.cfg.Writer.Next(current.Version)
	value, err := u.cfg.Change(current, write)
	if err != nil {
		if len(u.doubt) > 0 {
			return wire.Object{}, false, u.fail(err.Error())
		}

		return wire.Object{}, false, err
	}
	version, err := u.cfg.Store.Put(ctx, u.cfg.Kind, u.cfg.Name, value, current.Version)
	switch CodeOf(err) {
	case "":
		return wire.Object{
			Kind:    u.cfg.Kind,
			Name:    u.cfg.Name,
			Version: version,
			Value:   value,
		}, true, nil
	case CodeUnknown:
		u.doubt = append(u.doubt, write)
	case CodeConflict, CodeNotRun, CodeNotFound, CodeGone:
	}

	return wire.Object{}, false, nil
}

// read reads the object, and leaves out an answer older than one before.
func (u *update) read(ctx context.Context) (wire.Object, bool) {
	current, err := u.cfg.Store.Get(ctx, u.cfg.Kind, u.cfg.Name)
	if code := CodeOf(err); code != "" && code != CodeNotFound {
		return wire.Object{}, false
	}
	if current.Version < u.highest {
		return wire.Object{}, false
	}
	u.highest = current.Version

	return current, true
}

// settle finds out what became of the writes in doubt. It reports whether
// one of them took effect.
func (u *update) settle(current wire.Object) (bool, error) {
	if len(u.doubt) == 0 || u.doubt[0].Base == current.Version {
		return false, nil
	}
	trail, err := u.cfg.Trail(current.Value)
	if err != nil {
		return false, u.fail(err.Error())
	}
	for _, write := range trail {
		if write.Base != u.doubt[0].Base {
			continue
		}
		for _, own := range u.doubt {
			if write == own {
				return true, nil
			}
		}
		u.doubt = nil

		return false, nil
	}

	return false, u.fail("the trail doesn't reach back to the write")
}

// fail is the error of an update that ends without a write known to have
// taken effect.
func (u *update) fail(reason string) error {
	code := CodeNotRun
	if len(u.doubt) > 0 {
		code = CodeUnknown
	}

	return &Error{
		Op:      "update",
		Kind:    u.cfg.Kind,
		Name:    u.cfg.Name,
		Code:    code,
		Version: u.highest,
		Reason:  reason,
	}
}
