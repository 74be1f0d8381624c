// Package hop carries HTTP/1.1 messages between callers and backend servers
// exactly as they came. Serve reads callers' requests; a Pool keeps the
// connections to one backend server. Neither decides anything, and neither
// ever sends a request again by itself.
//
// It reads and writes HTTP/1.1 itself because no library at hand does all of
// this: see a caller leave while its request waits or runs, without losing a
// pipelined request; refuse every message that two readers could frame in two
// ways; pass the target and the fields on byte by byte; and say after a
// failure whether any byte of the request had left.
//
// Files, in reading order: head.go parses, body.go reads bodies, server.go is
// the callers' side, backend.go the backend servers', events.go splits
// streams of events.
package hop
