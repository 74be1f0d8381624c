// Package entry serves the routes that operators declare on the users'
// platform: it finds a request's route and workspace, keeps the workspace's
// limits, chooses a backend server, and passes the answer back as it comes.
//
//	e, err := entry.New(entry.Config{...})
//	e.Leave() // finish what runs, then
//	e.Close()
//
// What the messages are called is not known here: Dialect translates them.
//
// Files, in reading order: settings.go and dialect.go are what the platform
// must supply, entry.go the life of the process, follow.go what it learns from
// the store, tell.go what instances tell each other, request.go the path of a
// request, answer.go the ways a backend server's answer goes back, locate.go
// where callers should go.
package entry
