// Package workspace authenticates callers and authorizes their requests by the
// configuration in force. A Directory belongs to one snapshot; a process creates
// a new one for each configuration.
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

// HashKey returns the stored form of a key, its SHA-256 in hexadecimal.
func HashKey(key []byte) string {
	sum := sha256.Sum256(key)

	return hex.EncodeToString(sum[:])
}

// Authenticate returns the caller that owns a key. The lookup is by hash, so that
// its timing reveals nothing about the keys; the final comparison takes constant
// time.
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

// IsValid reports whether a caller's key is still granted to its workspace.
func (d Directory) IsValid(caller gateway.Caller) bool {
	granted, ok := d.Snapshot.Keys[caller.KeyHash]

	return ok && granted.Workspace == caller.Workspace
}

// Find returns the target of a model or adapter name, and whether the caller may
// use it.
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

// Models returns the sorted names of the models and adapters that a caller's
// workspace may use.
func (d Directory) Models(caller gateway.Caller) []string {
	return slices.Sorted(slices.Values(d.Snapshot.Workspaces[caller.Workspace].Models))
}

// Priority returns the priority of a caller's request: the requested one, capped
// at that of the workspace.
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

// Route returns the route to a plain service at a path.
func (d Directory) Route(path string) (wire.Route, bool) {
	route, ok := d.Snapshot.Routes[path]

	return route, ok
}

// rank returns the order of a priority, 1 for the highest, and 0 for none.
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
