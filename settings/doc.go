// Package settings reads and checks what operators write: the settings of a
// process and the subtrees of the shared hierarchy.
//
// ParseProcess and ParseSubtree check one file against its JSON Schema and
// fill in the schema's defaults. Resolve merges subtrees into a Snapshot, the
// form that a serving process works with, and checks what no single file
// shows: names that are declared twice, references to nothing, models that
// fit nowhere. All of them return every problem found, not only the first.
//
// # Inheritance
//
// A subtree's parent is the nearest declared subtree whose path is a prefix
// of its own; paths between them need not be declared. Each scalar of a
// workspace that is zero or empty is taken from the Defaults of the subtree
// that declares the workspace, then from those of its parents, nearest first.
// If none states it, the rate is a problem, the burst is one second's rate,
// the priority is Live and the weight is 1. Nothing else is inherited.
//
// # References
//
// A subtree may refer to what it declares itself and to what its ancestors
// declare, and to nothing else. A team therefore depends on no other team,
// and only an ancestor can take away what it uses.
package settings
