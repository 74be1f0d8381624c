package entry

import (
	"time"

	"papayastair.dev/papayastair/hop"
	"papayastair.dev/papayastair/site"
)

// Call is the decoded head of a caller's request.
type Call struct {
	// ID is the caller's id of this attempt.
	ID string
	// Key is the caller's key, empty if there is none.
	Key string
	// Timeout is the time limit that the caller sets; 0 if it sets none.
	Timeout time.Duration
	// Target is the requested model, empty if there is none.
	Target site.Target
	// Tokens is the cost of the request under a limit that counts tokens; negative
	// if the caller doesn't give it.
	Tokens float64
	// Parts identify the parts of the prompt that other requests may share.
	Parts []int
	// LastEventID is the event after which a stream resumes, empty to start at its
	// beginning.
	LastEventID string
	// Malformed is the reason why the request is refused; empty if it is
	// well-formed.
	Malformed string
}

// Outgoing holds the values to set on a request to a backend server.
type Outgoing struct {
	// Timeout is the time that remains for the answer.
	Timeout time.Duration
	// Server is the id of the only backend server that may run the request.
	Server string
	// Workspace is the name of the caller's workspace, empty on public routes.
	Workspace string
	// Rank is the request's priority, 0 for the most urgent; negative to set none.
	Rank int
	// LastEventID is the event after which a stream resumes, empty to start at its
	// beginning.
	LastEventID string
}

// Answer is the decoded head of a backend server's answer.
type Answer struct {
	// ID is the request's id as echoed by the backend server.
	ID string
	// Signed reports whether a backend server signed the answer.
	Signed bool
	// NotRun reports whether the request has not run and will not.
	NotRun bool
	// NotHeld reports whether the request was refused because the backend server
	// is not the intended one or doesn't hold the target. The request has not run.
	NotHeld bool
	// Moved reports whether another backend server has taken over the address.
	Moved bool
	// Encoded reports whether the body was changed in transit.
	Encoded bool
	// Events reports whether the body is a stream of events.
	Events bool
	// Advice is what the backend server asks of its callers.
	Advice site.Advice
	// Load is the backend server's load; nil if the answer doesn't give it, or if it
	// can't be read, in which case LoadUnreadable is set.
	Load           *site.ServerLoad
	LoadUnreadable bool
}

// Codec decodes and encodes the messages of callers, backend servers and the
// store.
type Codec struct {
	// Decode decodes the head of a caller's request.
	Decode func(h *hop.Head) Call
	// Fields returns the header fields of the request to a backend server.
	Fields func(h *hop.Head, out Outgoing) []hop.Field
	// DecodeAnswer decodes the head of an answer; server is the id of the backend
	// server that was asked.
	DecodeAnswer func(h *hop.Head, server string) Answer
	// DecodeConfiguration decodes a configuration.
	DecodeConfiguration func(value string) (*site.Configuration, error)
	// RedactConfiguration replaces the keys in a configuration by digests, so that it
	// can be sent to other instances. DecodeConfiguration accepts the result.
	RedactConfiguration func(value string) (string, error)
	// DecodeServer decodes a backend server's entry.
	DecodeServer func(id, value string) (site.BackendServer, error)
	// ConfigurationKind and ConfigurationName identify the configuration's object
	// in the store; ServerKind is the kind of the backend servers' entries, and
	// EvacuationKind that of the evacuations, which have the names of failure domains.
	ConfigurationKind string
	ConfigurationName string
	ServerKind        string
	EvacuationKind    string
	// ReadyPath and LocatePath are the paths of the readiness and locate
	// endpoints.
	ReadyPath  string
	LocatePath string
	// DecodeLocate decodes a locate request.
	DecodeLocate func(h *hop.Head) LocateRequest
	// EncodeLocate encodes a locate answer; callers may keep the addresses for
	// ttl.
	EncodeLocate func(addresses []string, ttl time.Duration) []byte
	// EncodeRefusal encodes the body of a refusal.
	EncodeRefusal func(reason string) []byte
}

// LocateRequest is a caller's request for addresses to connect to.
type LocateRequest struct {
	// Host is the host that the caller wants to reach.
	Host string
	// FailureDomain is the caller's failure domain.
	FailureDomain string
}
