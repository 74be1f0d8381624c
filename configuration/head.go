package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/wire"
)

// Kinds and names of objects in the store.
const (
	// KindHead is the kind of the head, an object of its own.
	KindHead = "Head"
	// HeadName is the name of the head.
	HeadName = "head"
	// KindSubtree is the kind of contents, whose names are their digests.
	KindSubtree = "Subtree"
	// KindStatus is the kind of what instances tell operators.
	KindStatus = "Status"
)

// _maxRecent is how many changes a head remembers.
const _maxRecent = 16

// Accepted is an accepted configuration: its head and its index.
type Accepted struct {
	wire.Head
	wire.Index
}

// Digest is the name of a content: its SHA-256 in hexadecimal.
func Digest(content string) string {
	sum := sha256.Sum256([]byte(content))

	return hex.EncodeToString(sum[:])
}

// decodeHead reads the head out of its object. An object that doesn't exist
// is a head of version 0.
func decodeHead(object wire.Object, err error) (wire.Head, error) {
	var head wire.Head
	if objectstore.CodeOf(err) == objectstore.CodeNotFound {
		return head, nil
	}
	if err != nil {
		return head, err
	}
	err = json.Unmarshal([]byte(object.Value), &head)

	return head, eris.Wrap(err, "configuration: decode head")
}

// encode returns the JSON of a head or an index.
func encode[T wire.Head | wire.Index](value T) string {
	content, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("configuration: encode: %v", err))
	}

	return string(content)
}

// decodeIndex reads an index out of its content.
func decodeIndex(content string) (wire.Index, error) {
	var index wire.Index
	err := json.Unmarshal([]byte(content), &index)

	return index, eris.Wrap(err, "configuration: decode index")
}

// refOf returns the reference to the subtree at a path; an empty one if
// there is none.
func refOf(head Accepted, path string) wire.SubtreeRef {
	i, ok := slices.BinarySearchFunc(head.Subtrees, path, func(ref wire.SubtreeRef, path string) int {
		return strings.Compare(ref.Path, path)
	})
	if !ok {
		return wire.SubtreeRef{}
	}

	return head.Subtrees[i]
}

// lastChange is the newest remembered change of a path, or one without a
// writer that names the version since which the path is as it is.
func lastChange(head Accepted, path string) wire.HeadChange {
	for _, change := range slices.Backward(head.Recent) {
		if slices.Contains(change.Paths, path) {
			return change
		}
	}

	return wire.HeadChange{Version: refOf(head, path).Since}
}

// changeBy returns the remembered change of a writer.
func changeBy(head wire.Head, writer wire.Writer) (wire.HeadChange, bool) {
	i := slices.IndexFunc(head.Recent, func(change wire.HeadChange) bool { return change.Writer == writer })
	if i < 0 {
		return wire.HeadChange{}, false
	}

	return head.Recent[i], true
}
