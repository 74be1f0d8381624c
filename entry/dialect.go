package entry

import (
	"time"

	"papayastair.dev/papayastair/hop"
	"papayastair.dev/papayastair/site"
)

// Call is a request's head, decoded once.
type Call struct {
	// ID is the caller's id of this attempt.
	ID string
	// Key is the caller's key, empty for none.
	Key string
	// Left is how long the caller will wait; 0 if it doesn't say.
	Left time.Duration
	// Target is the model that is asked for, empty for none.
	Target site.Target
	// Tokens is what the request counts against a limit in tokens; negative
	// if it doesn't say.
	Tokens float64
	// LastEventID is where a stream is to go on, empty for its beginning.
	LastEventID string
	// Malformed says why the request is refused; empty if it is proper.
	Malformed string
}

// Outgoing is what is set on a request to a backend server.
type Outgoing struct {
	// Left is the time that the backend server has.
	Left time.Duration
	// Server is the id of the only backend server that may run it.
	Server string
	// Workspace is whom it runs for, empty on public routes.
	Workspace string
	// Rank is its urgency, 0 first; negative for none.
	Rank int
	// LastEventID is where a stream is to go on, empty for its beginning.
	LastEventID string
}

// Answer is the head of a backend server's answer, decoded once.
type Answer struct {
	// ID is the request's id as the backend server echoes it.
	ID string
	// Sealed says that a backend server signed it.
	Sealed bool
	// NotRun says that the request has not run and will not.
	NotRun bool
	// NotHeld says that the backend server isn't the one meant or doesn't
	// hold the target. The request has not run.
	NotHeld bool
	// Moved says that another backend server has the address.
	Moved bool
	// Encoded says that the body was changed on the way.
	Encoded bool
	// Events says that the body is a stream of events.
	Events bool
}

// Dialect translates the messages of callers and backend servers.
type Dialect struct {
	// Decode reads a caller's request.
	Decode func(h *hop.Head) Call
	// Fields makes the fields of the request to a backend server.
	Fields func(h *hop.Head, out Outgoing) []hop.Field
	// DecodeAnswer reads a backend server's answer; server is the one asked.
	DecodeAnswer func(h *hop.Head, server string) Answer
	// DecodeConfiguration reads a configuration.
	DecodeConfiguration func(value string) (*site.Configuration, error)
	// DecodeServer reads a backend server's entry.
	DecodeServer func(id, value string) (site.BackendServer, error)
	// ConfigurationKind and ConfigurationName name the configuration's object,
	// ServerKind the backend servers' entries.
	ConfigurationKind string
	ConfigurationName string
	ServerKind        string
	// ReadyPath and LocatePath are the calls that are served.
	ReadyPath  string
	LocatePath string
	// DecodeLocate reads the question where to connect.
	DecodeLocate func(h *hop.Head) LocateQuestion
	// EncodeLocate makes the answer.
	EncodeLocate func(addresses []string, ttl time.Duration) []byte
	// EncodeRefusal makes the body of a refusal.
	EncodeRefusal func(reason string) []byte
}

// LocateQuestion is a caller's question where to connect.
type LocateQuestion struct {
	// Host is the host that it wants to reach.
	Host string
	// FailureDomain is where it is.
	FailureDomain string
}
