package attempt

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strconv"

	"papayastair.dev/papayastair/service"
	"papayastair.dev/papayastair/wire"
)

const _digestBytes = 16

// Call identifies a non-idempotent call.
type Call struct {
	// Workspace is the caller's workspace.
	Workspace string
	// IdempotencyKey is the caller's, the same for each repeat.
	IdempotencyKey string
	// BodyHash is a digest of what is asked, for example by Digest. A call
	// whose key was used with another one is refused.
	BodyHash string
}

// Digest is a digest of the parts of a request, in their order.
func Digest(parts ...[]byte) string {
	h := sha256.New()
	for _, part := range parts {
		h.Write(strconv.AppendInt(nil, int64(len(part)), 10))
		h.Write([]byte{':'})
		h.Write(part)
	}

	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:_digestBytes])
}

// recordKey is the key of a call's record.
func (c Call) recordKey() string {
	return Digest([]byte(c.Workspace), []byte(c.IdempotencyKey))
}

// keyNumber is a number out of a record's key, evenly spread.
func keyNumber(key string) uint64 {
	// A key that is no digest has the number of what can be decoded.
	digest, _ := base64.RawURLEncoding.DecodeString(key)
	var b [8]byte
	copy(b[:], digest)

	return binary.BigEndian.Uint64(b[:])
}

// Kind says what became of a call.
type Kind string

// Kinds of outcomes.
const (
	// KindRun means that the call must run now, by the outcome's ticket.
	KindRun Kind = "Run"
	// KindDone means that the call ran just now, with the outcome's answer.
	KindDone Kind = "Done"
	// KindSaved means that an earlier call ran, with the outcome's answer.
	KindSaved Kind = "Saved"
	// KindUnknown means that the call, or an earlier one with its key, may
	// have run or be running.
	KindUnknown Kind = "Unknown"
	// KindNotRun means that this call has not run and never will. Where its
	// record could not be read, an earlier call with its key may have run.
	KindNotRun Kind = "NotRun"
	// kindStored ends operations that have no outcome for a caller.
	kindStored Kind = "Stored"
	// KindMismatch means that the key was used with another request. This
	// call has not run and never will.
	KindMismatch Kind = "Mismatch"
)

// Outcome is what became of a call.
type Outcome struct {
	// Kind says which of the other fields are set.
	Kind Kind
	// Answer is set with KindDone and KindSaved.
	Answer Answer
	// Reason is for people, with the other kinds.
	Reason string
	// Ticket is set with KindRun.
	Ticket *Ticket
}

// Answer is the answer of a call.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Headers are those worth keeping.
	Headers []service.Header
	// Body is the body.
	Body []byte
	// BodyKept is false when the body of a saved answer was too large to be
	// kept. The call ran, with Status.
	BodyKept bool
}

// stored is the form of an answer in a record. A body over limit bytes is
// left out.
func (a Answer) stored(limit int) wire.AttemptAnswer {
	stored := wire.AttemptAnswer{
		Status:   a.Status,
		BodyKept: len(a.Body) <= limit,
	}
	for _, header := range a.Headers {
		stored.Headers = append(stored.Headers, wire.AttemptHeader{
			Name:  header.Name,
			Value: header.Value,
		})
	}
	if stored.BodyKept {
		stored.Body = base64.StdEncoding.EncodeToString(a.Body)
	}

	return stored
}

// savedOutcome gives out a stored answer.
func savedOutcome(stored wire.AttemptAnswer) Outcome {
	answer := Answer{
		Status:   stored.Status,
		BodyKept: stored.BodyKept,
	}
	for _, header := range stored.Headers {
		answer.Headers = append(answer.Headers, service.Header{
			Name:  header.Name,
			Value: header.Value,
		})
	}
	body, err := base64.StdEncoding.DecodeString(stored.Body)
	if err != nil {
		answer.BodyKept = false
	}
	answer.Body = body

	return Outcome{
		Kind:   KindSaved,
		Answer: answer,
	}
}

func notRun(reason string) Outcome {
	return Outcome{
		Kind:   KindNotRun,
		Reason: reason,
	}
}

func unknown(reason string) Outcome {
	return Outcome{
		Kind:   KindUnknown,
		Reason: reason,
	}
}
