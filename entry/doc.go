// Package entry implements the entry process: it serves the routes that
// operators declare on the users' platform. For each request it finds the route
// and the workspace, enforces the workspace's limits, chooses a backend server,
// and forwards the answer as it arrives.
//
//	e, err := entry.New(entry.Config{...})
//	e.Leave() // drain the running requests, then
//	e.Close()
//
// The package does not depend on the platform's message formats; Codec
// translates them.
//
// Files, in reading order: settings.go and codec.go declare the values that
// package platform supplies, entry.go is the life cycle of the process,
// follow.go watches the store, evacuation.go keeps the evacuated failure domains,
// changes.go shares the store's changes between instances, bulletin.go composes and
// applies bulletins, request.go is the path of a request, answer.go forwards a
// backend server's answer, locate.go serves readiness and the addresses for
// callers, status.go metrics and status.
package entry
