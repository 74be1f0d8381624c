// Package objectstore is the way to the platform's object API, the only place
// where the system agrees on anything or keeps anything. Store is the seam:
// Client makes one over HTTP, and tests take one from package standin.
//
// A conditional write whose reply is lost has an unknown outcome. Retrying
// it blindly proves nothing: a conflict may be another's write or one's own.
// Values therefore carry a wire.Writer, and the writer reads the object again
// to learn whose write took effect.
package objectstore

import (
	"context"
	"errors"
	"fmt"

	"papayastair.dev/papayastair/wire"
)

// Store is access to the object API. All functions are safe for concurrent
// use and return an *Error when they fail. Versions of objects and lists are those of
// Version: they never go back, also when the store is restored from a copy. A write
// conditional on a version of an earlier epoch fails with CodeConflict, or with
// CodeUnknown if the store took it for one of its own epoch.
type Store struct {
	// Get reads one object. CodeNotFound if it doesn't exist.
	Get func(ctx context.Context, kind, name string) (wire.Object, error)
	// List reads all objects of a kind.
	List func(ctx context.Context, kind string) (wire.ObjectList, error)
	// ListStale reads all objects of a kind as they were at some time within the
	// last seconds, at a lower price than List; nil if the store can't.
	ListStale func(ctx context.Context, kind string) (wire.ObjectList, error)
	// Put writes an object whose current version must be version; 0 means
	// that it must not exist. It returns the object's new version.
	Put func(ctx context.Context, kind, name, value string, version int) (int, error)
	// Delete removes an object whose current version must be version.
	Delete func(ctx context.Context, kind, name string, version int) error
	// Watch waits until objects of a kind have changed after a revision of
	// the store and returns the changed ones, deleted ones with an empty
	// value. An answer without objects means that the wait ended. CodeGone
	// means that the revision is too old, or of an earlier epoch: list again.
	Watch func(ctx context.Context, kind string, after int) (wire.ObjectList, error)
}

// Code says what became of a call.
type Code string

// Codes of failed calls.
const (
	// CodeNotFound means that the object doesn't exist.
	CodeNotFound Code = "NotFound"
	// CodeConflict means that the object has another version, and nothing
	// was written by this call.
	CodeConflict Code = "Conflict"
	// CodeNotRun means that the call had no effect: it did not leave, or the
	// platform refused it.
	CodeNotRun Code = "NotRun"
	// CodeUnknown means that the call may have taken effect.
	CodeUnknown Code = "Unknown"
	// CodeGone means that a watch's revision is too old.
	CodeGone Code = "Gone"
)

// Error is the failure of one call.
type Error struct {
	// Op is the operation: get, list, put, delete or watch.
	Op string
	// Kind and Name name the object.
	Kind string
	Name string
	// Code says what became of the call.
	Code Code
	// Version is the object's current version with CodeConflict, and with CodeNotFound
	// the lowest one of the store's epoch. It is 0 if unknown.
	Version int
	// Reason is for people.
	Reason string
}

// Error names the operation, the object and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("objectstore: %s %s/%s: %s: %s", e.Op, e.Kind, e.Name, e.Code, e.Reason)
}

// CodeOf is the code of an error of this package; CodeUnknown for others and
// empty for nil.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}

	return CodeUnknown
}
