// Package hop forwards HTTP/1.1 messages between callers and backend servers
// unchanged. Serve reads requests from callers; a Pool holds the connections to
// one backend server. The package makes no routing decisions and never retries
// a request.
//
// It implements HTTP/1.1 itself because no available library does all of the
// following: detect that a caller has disconnected while its request waits or
// runs, without losing a pipelined request; reject every message that two
// parsers could frame differently; forward the target and the header fields
// byte for byte; and report after a failure whether any byte of the request was
// sent.
//
// Files, in reading order: head.go parses message heads, body.go reads bodies,
// server.go serves callers, backend.go connects to backend servers, events.go
// splits streams of server-sent events.
package hop
