// Package peer carries messages between instances: net/rpc with gob of the
// generated wire types, over TCP.
//
// A Server serves functions under names; Register adds them before Serve. A
// Pool keeps one connection to each peer that is called, reconnects with
// backoff, bounds the calls in flight, and never sends a call twice by
// itself: an *Error says whether the call may have left. Both sides open a
// connection with a wire.Hello, so that a peer that was restarted or
// replaced is told apart.
//
// Traffic is counted by method, in bytes and messages, under
// Peer.<BytesSent|BytesReceived|MessagesSent|MessagesReceived>.<method>.
package peer
