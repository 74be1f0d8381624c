package placement

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/wire"
)

const (
	_kind          = "ModelPlacement"
	_updateRetries = 2
)

// Catalog mirrors the objects that say where the copies of each model stand,
// and updates them. It is safe for concurrent use. Use NewCatalog.
type Catalog struct {
	store    objectstore.Store
	writerID string

	mu       sync.Mutex
	objects  map[string]entry
	revision int
	sequence int
	changes  int
	loaded   bool
}

// entry is one mirrored object.
type entry struct {
	version int
	copies  []wire.Copy
}

// Place is a copy together with its model.
type Place struct {
	Model string
	wire.Copy
}

// NewCatalog returns an empty catalog. writerID must be unique for each start
// of a process.
func NewCatalog(store objectstore.Store, writerID string) *Catalog {
	return &Catalog{
		store:    store,
		writerID: writerID,
		objects:  map[string]entry{},
	}
}

// Refresh reads all objects.
func (c *Catalog) Refresh(ctx context.Context) error {
	list, err := c.store.List(ctx, _kind)
	if err != nil {
		return eris.Wrap(err, "placement: read the catalog")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if list.Version < c.revision {
		return nil
	}
	listed := map[string]bool{}
	for _, object := range list.Objects {
		listed[object.Name] = true
		if object.Version > c.objects[object.Name].version {
			c.take(object)
		}
	}
	for model, e := range c.objects {
		if !listed[model] && e.version <= list.Version {
			delete(c.objects, model)
		}
	}
	c.revision = list.Version
	c.loaded = true

	return nil
}

// Follow waits for changes of the objects once and takes them in.
func (c *Catalog) Follow(ctx context.Context) error {
	c.mu.Lock()
	after, loaded := c.revision, c.loaded
	c.mu.Unlock()
	if !loaded {
		return c.Refresh(ctx)
	}
	list, err := c.store.Watch(ctx, _kind, after)
	if objectstore.CodeOf(err) == objectstore.CodeGone {
		return c.Refresh(ctx)
	}
	if err != nil {
		return eris.Wrap(err, "placement: watch the catalog")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, object := range list.Objects {
		c.take(object)
	}
	c.revision = max(c.revision, list.Version)

	return nil
}

// Loaded reports whether the objects have been read at least once.
func (c *Catalog) Loaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.loaded
}

// Changes counts the changes of the mirror, so that a reader can tell whether
// there were any.
func (c *Catalog) Changes() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.changes
}

// Copies are the copies of one model.
func (c *Catalog) Copies(model string) []wire.Copy {
	c.mu.Lock()
	defer c.mu.Unlock()

	return slices.Clone(c.objects[model].copies)
}

// All are the copies of all models, by model.
func (c *Catalog) All() map[string][]wire.Copy {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make(map[string][]wire.Copy, len(c.objects))
	for model, e := range c.objects {
		all[model] = slices.Clone(e.copies)
	}

	return all
}

// On are the copies on one backend server, ordered by model.
func (c *Catalog) On(server string) []Place {
	c.mu.Lock()
	defer c.mu.Unlock()
	var places []Place
	for model, e := range c.objects {
		for _, item := range e.copies {
			if item.Server == server {
				places = append(places, Place{
					Model: model,
					Copy:  item,
				})
			}
		}
	}
	slices.SortFunc(places, func(a, b Place) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), compareCopies(a.Copy, b.Copy))
	})

	return places
}

// Update changes the copies of a model by a conditional update. change gets
// the present copies and returns the new ones, or false to leave them; it may
// be called again when another instance was faster. Update reports whether
// the object was written. After a lost reply it reads the object again to
// learn whose write took effect.
func (c *Catalog) Update(ctx context.Context, model string, change func([]wire.Copy) ([]wire.Copy, bool)) (bool, error) {
	for range _updateRetries {
		c.mu.Lock()
		e := c.objects[model]
		copies, ok := change(slices.Clone(e.copies))
		c.sequence++
		sequence := c.sequence
		c.mu.Unlock()
		if !ok {
			return false, nil
		}
		written, err := c.write(ctx, model, copies, e.version, sequence)
		if written || err != nil {
			return written, err
		}
	}

	return false, eris.Errorf("placement: update %s: others keep changing it", model)
}

// write returns false without an error when another write came first; the
// mirror is then up to date.
func (c *Catalog) write(ctx context.Context, model string, copies []wire.Copy, version, sequence int) (bool, error) {
	slices.SortFunc(copies, compareCopies)
	value, err := json.Marshal(wire.ModelPlacement{
		WriterID:       c.writerID,
		WriterSequence: sequence,
		Model:          model,
		Copies:         copies,
	})
	if err != nil {
		return false, eris.Wrapf(err, "placement: encode %s", model)
	}
	newVersion, err := c.store.Put(ctx, _kind, model, string(value), version)
	switch objectstore.CodeOf(err) {
	case "":
		c.mu.Lock()
		defer c.mu.Unlock()
		c.take(wire.Object{
			Kind:    _kind,
			Name:    model,
			Version: newVersion,
			Value:   string(value),
		})

		return true, nil
	case objectstore.CodeConflict, objectstore.CodeUnknown:
		return c.reread(ctx, model, sequence)
	default:
		return false, eris.Wrapf(err, "placement: update %s", model)
	}
}

// reread reads one object and reports whether it holds this catalog's write
// with the given sequence.
func (c *Catalog) reread(ctx context.Context, model string, sequence int) (bool, error) {
	object, err := c.store.Get(ctx, _kind, model)
	if objectstore.CodeOf(err) == objectstore.CodeNotFound {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.objects, model)

		return false, nil
	}
	if err != nil {
		return false, eris.Wrapf(err, "placement: read %s", model)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	value := c.take(object)

	return value.WriterID == c.writerID && value.WriterSequence == sequence, nil
}

// take mirrors an object unless the mirror holds a newer one. The lock is
// held.
func (c *Catalog) take(object wire.Object) wire.ModelPlacement {
	var value wire.ModelPlacement
	if object.Version < c.objects[object.Name].version {
		return value
	}
	c.changes++
	if object.Value == "" {
		delete(c.objects, object.Name)

		return value
	}
	if err := json.Unmarshal([]byte(object.Value), &value); err != nil {
		// Another program's object; the next update of the model replaces it.
		value = wire.ModelPlacement{}
	}
	c.objects[object.Name] = entry{
		version: object.Version,
		copies:  value.Copies,
	}

	return value
}

func compareCopies(a, b wire.Copy) int {
	return cmp.Or(
		cmp.Compare(a.Server, b.Server),
		cmp.Compare(a.Accelerator, b.Accelerator),
		cmp.Compare(a.Version, b.Version),
	)
}
