// Package workspace answers who a caller is and what it may use, out of the
// configuration in force. A Directory belongs to one snapshot; a process
// takes a new one for each configuration.
package workspace

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"

	"papayastair.dev/papayastair/gateway"
	"papayastair.dev/papayastair/settings"
	"papayastair.dev/papayastair/wire"
)

// Directory looks up callers, models and routes. It is safe for concurrent
// use and never changes.
type Directory struct {
	// Snapshot is the configuration.
	Snapshot *settings.Snapshot
}

// HashKey is the form in which a key is kept: its SHA-256 in hexadecimal.
func HashKey(key []byte) string {
	sum := sha256.Sum256(key)

	return hex.EncodeToString(sum[:])
}

// Authenticate finds the caller of a key. The look-up is by hash, so its time
// tells nothing about the keys; the last comparison is in constant time.
func (d Directory) Authenticate(key []byte) (gateway.Caller, bool) {
	hash := HashKey(key)
	granted, ok := d.Snapshot.Keys[hash]
	if !ok || subtle.ConstantTimeCompare([]byte(hash), []byte(granted.Hash)) != 1 {
		return gateway.Caller{}, false
	}

	return gateway.Caller{
		Workspace: granted.Workspace,
		KeyName:   granted.Name,
		KeyHash:   granted.Hash,
	}, true
}

// IsValid says whether a caller's key is still granted for its workspace.
func (d Directory) IsValid(caller gateway.Caller) bool {
	granted, ok := d.Snapshot.Keys[caller.KeyHash]

	return ok && granted.Workspace == caller.Workspace
}

// Find looks up a model or adapter by the name that callers use.
func (d Directory) Find(caller gateway.Caller, name string) (gateway.Target, gateway.Access) {
	target := gateway.Target{Model: name}
	if adapter, ok := d.Snapshot.Adapters[name]; ok {
		target = gateway.Target{
			Model:   adapter.Model,
			Adapter: adapter.Name,
		}
	}
	if _, ok := d.Snapshot.Models[target.Model]; !ok {
		return gateway.Target{}, gateway.AccessUnknown
	}
	if !slices.Contains(d.Snapshot.Workspaces[caller.Workspace].Models, name) {
		return gateway.Target{}, gateway.AccessForbidden
	}

	return target, gateway.AccessAllowed
}

// Models lists what a caller's workspace may use.
func (d Directory) Models(caller gateway.Caller) []string {
	return slices.Sorted(slices.Values(d.Snapshot.Workspaces[caller.Workspace].Models))
}

// Priority is the priority of a caller's request: the one asked for, but not
// higher than the workspace's.
func (d Directory) Priority(caller gateway.Caller, asked wire.Priority) wire.Priority {
	highest := d.Snapshot.Workspaces[caller.Workspace].Priority
	if highest == wire.PriorityBlank {
		highest = wire.PriorityLive
	}
	if rank(asked) > rank(highest) {
		return asked
	}

	return highest
}

// Route finds the plain service of a path.
func (d Directory) Route(path string) (wire.Route, bool) {
	route, ok := d.Snapshot.Routes[path]

	return route, ok
}

// rank orders priorities from the highest, 1; it is 0 for none.
func rank(priority wire.Priority) int {
	switch priority {
	case wire.PriorityUrgent:
		return 1
	case wire.PriorityLive:
		return 2
	case wire.PriorityBatch:
		return 3
	default:
		return 0
	}
}
