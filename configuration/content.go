package configuration

import (
	"cmp"
	"context"
	"slices"

	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/wire"
)

const (
	_keepVersions = 32
	// _maxDeleted bounds the contents deleted by one commit.
	_maxDeleted = 8
)

// Contents are written before a head names them and deleted after no head
// does, by operators that don't see each other. What keeps a content that
// one operator deletes and another brings back at the same time:
//
//   - who deletes reads the object's version, then takes the content off the
//     index's Superseded list, and then deletes that version of the object;
//   - who brings a content back that its head doesn't name writes the object
//     anew, which gives it another version, before it updates the head.
//
// If the taking off comes first, the other operator has either seen it, and
// its new version of the object defeats the deletion or follows it; or its
// update of the head fails, and it begins again.

// storeContents puts the contents that a head doesn't name into the store.
func (c *commit) storeContents(ctx context.Context, head Accepted) error {
	for _, content := range ordered(c.wanted) {
		digest := digestOf(content)
		if digest == "" || names(head, digest) {
			continue
		}
		if _, err := c.storeContent(ctx, digest, content); err != nil {
			return err
		}
	}

	return nil
}

// storeContent writes a content anew, whether it is there or not, and returns
// its object.
func (c *commit) storeContent(ctx context.Context, digest, content string) (wire.Object, error) {
	object, err := c.applier.Store.Get(ctx, KindSubtree, digest)
	if err != nil && objectstore.CodeOf(err) != objectstore.CodeNotFound {
		return object, err
	}
	if c.applier.TrustStored && err == nil {
		return object, nil
	}
	version, err := c.applier.Store.Put(ctx, KindSubtree, digest, content, object.Version)

	return wire.Object{
		Kind:    KindSubtree,
		Name:    digest,
		Version: version,
		Value:   content,
	}, err
}

// storeIndex writes the index of a configuration and names it in its head.
func (c *commit) storeIndex(ctx context.Context, next *Accepted) (wire.Object, error) {
	content := encode(next.Index)
	next.IndexDigest = Digest(content)

	return c.storeContent(ctx, next.IndexDigest, content)
}

// takeOld takes some old contents off the Superseded list of a head that is
// to be written, and returns their objects.
func (c *commit) takeOld(ctx context.Context, next *Accepted) ([]wire.Object, error) {
	keep := cmp.Or(c.applier.KeepVersions, _keepVersions)
	var old []wire.Object
	for len(old) < _maxDeleted && len(next.Superseded) > 0 && next.Superseded[0].Since+keep <= next.Version {
		object, err := c.applier.Store.Get(ctx, KindSubtree, next.Superseded[0].Digest)
		if err != nil && objectstore.CodeOf(err) != objectstore.CodeNotFound {
			return nil, err
		}
		old = append(old, object)
		next.Superseded = next.Superseded[1:]
	}

	return old, nil
}

// delete deletes contents that were taken off. One that fails stays in the
// store for good, and does no harm.
func (c *commit) delete(ctx context.Context, old []wire.Object) {
	for _, object := range old {
		if object.Version > 0 {
			_ = c.applier.Store.Delete(ctx, KindSubtree, object.Name, object.Version)
		}
	}
}

// superseded is the list of a head that follows another.
func superseded(head, next Accepted) []wire.SupersededContent {
	list := slices.Clone(head.Superseded)
	if head.IndexDigest != "" {
		list = append(list, wire.SupersededContent{
			Digest: head.IndexDigest,
			Since:  next.Version,
		})
	}
	for _, ref := range head.Subtrees {
		list = append(list, wire.SupersededContent{
			Digest: ref.Digest,
			Since:  next.Version,
		})
	}

	return slices.DeleteFunc(list, func(s wire.SupersededContent) bool { return names(next, s.Digest) })
}

// names reports whether a head has a subtree with a content.
func names(head Accepted, digest string) bool {
	return slices.ContainsFunc(head.Subtrees, func(ref wire.SubtreeRef) bool { return ref.Digest == digest })
}
