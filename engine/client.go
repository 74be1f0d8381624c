// Package engine is the way to model engines: OpenAI-style completions over
// HTTP with server-sent events, cancel and resume of streams, load reports,
// cache events, and orders to load or unload models and adapters.
//
// Beyond the usual interface an engine is expected to take the header
// X-Request-Id and to echo it as the id of each chunk, to take X-Priority,
// and to take X-Resume-From, the number of tokens that the caller has
// already: generation is seeded, so that any engine with the model continues
// the same text after them.
package engine

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"papayastair.dev/papayastair/connection"
)

const (
	_streamIdle  = 30 * time.Second
	_callTimeout = 2 * time.Second
	_streamEnd   = "[DONE]"
)

// Headers of the engines' interface.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderPriority   = "X-Priority"
	HeaderResumeFrom = "X-Resume-From"
	HeaderOutcome    = "X-Outcome"
)

// errCanceled closes the connection of a stream that is given up.
var errCanceled = errors.New("canceled")

// _parsers keep their memory from one stream to the next.
var _parsers fastjson.ParserPool

// Client calls engines. Use NewClient. It is safe for concurrent use.
type Client struct {
	streams *fasthttp.Client
	calls   *fasthttp.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{
		streams: connection.NewStreamClient(_streamIdle),
		calls:   connection.NewClient(_callTimeout),
	}
}

// Completion is one request for a completion.
type Completion struct {
	// Address is the engine's IP:port.
	Address string
	// Path is /v1/completions or /v1/chat/completions.
	Path string
	// RequestID is the id that all chunks of the answer must carry.
	RequestID string
	// Priority is Urgent, Live or Batch.
	Priority string
	// ResumeFrom is the number of tokens to leave out at the beginning.
	ResumeFrom int
	// Body is the request in JSON, with stream set.
	Body []byte
}

// Outcome says whether a failed call ran.
type Outcome string

// Outcomes of failed calls.
const (
	// OutcomeNotRun means that the engine has not started the request.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeUnknown means that the engine may have worked on the request.
	OutcomeUnknown Outcome = "Unknown"
	// OutcomeTimeout means that the engine may have worked on the request and
	// fell silent with its connection open.
	OutcomeTimeout Outcome = "Timeout"
	// OutcomeMismatch means that an answer belonged to another request.
	OutcomeMismatch Outcome = "Mismatch"
)

// Error is the failure of a call to an engine.
type Error struct {
	// Op is the operation, for example complete.
	Op string
	// Address is the engine's IP:port.
	Address string
	// Outcome says whether the call ran.
	Outcome Outcome
	// Status is the HTTP status, or 0 without an answer.
	Status int
	// Unreachable says that no connection could be made.
	Unreachable bool
	// Reason is for people.
	Reason string
}

// Error names the operation, the engine and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("engine: %s at %s: %s: %s", e.Op, e.Address, e.Outcome, e.Reason)
}

// OutcomeOf is the outcome of an error of this package; Unknown for others.
func OutcomeOf(err error) Outcome {
	var e *Error
	if errors.As(err, &e) {
		return e.Outcome
	}

	return OutcomeUnknown
}

// IsUnreachable reports whether an error of this package says that no
// connection could be made.
func IsUnreachable(err error) bool {
	var e *Error

	return errors.As(err, &e) && e.Unreachable
}

// Chunk is one chunk of an answer. Raw is valid until the next one.
type Chunk struct {
	// Raw is the chunk's JSON.
	Raw string
	// Text is the text that it adds.
	Text string
	// FinishReason is set in the last chunk that brings text.
	FinishReason string
	// Tokens is the number of tokens generated so far, those before a resume
	// included; 0 when the engine doesn't tell.
	Tokens int
	// PromptTokens is the number of the prompt's tokens, in the usage chunk.
	PromptTokens int
	// CompletionTokens is the number of generated tokens, in the usage chunk.
	CompletionTokens int
}

// Stream is an answer that is being generated. Close it.
type Stream struct {
	completion Completion
	status     int
	body       fasthttp.ReadCloserWithError
	parser     *fastjson.Parser
}

// Complete sends a request and returns its answer when the engine has
// accepted it. Without a stream the error is an *Error.
func (c *Client) Complete(completion Completion) (*Stream, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + completion.Address + completion.Path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(HeaderRequestID, completion.RequestID)
	req.Header.Set(HeaderPriority, completion.Priority)
	if completion.ResumeFrom > 0 {
		req.Header.Set(HeaderResumeFrom, strconv.Itoa(completion.ResumeFrom))
	}
	req.SetBodyRaw(completion.Body)
	if err := c.streams.Do(req, resp); err != nil {
		fasthttp.ReleaseResponse(resp)

		return nil, &Error{
			Op:          "complete",
			Address:     completion.Address,
			Outcome:     outcomeOfSend(err),
			Unreachable: isUnreachable(err),
			Reason:      err.Error(),
		}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, refusal("complete", completion.Address, resp)
	}

	body, ok := resp.BodyStream().(fasthttp.ReadCloserWithError)
	if !ok {
		panic("engine: a streamed body that can't be closed")
	}

	return &Stream{
		completion: completion,
		status:     resp.StatusCode(),
		body:       body,
		parser:     _parsers.Get(),
	}, nil
}

// Each calls fn with each chunk until the answer ends or fn returns false. It
// returns nil only when the answer is complete.
func (s *Stream) Each(fn func(chunk Chunk) bool) error {
	ended := false
	for event, err := range sse.Read(s.body, nil) {
		if err != nil {
			return s.fail(outcomeOfRead(err), err.Error())
		}
		if ended {
			return s.fail(OutcomeMismatch, "data after the end")
		}
		// The loop goes on after the end, because only a body that was read
		// completely leaves its connection fit for the next request.
		ended = event.Data == _streamEnd
		if ended {
			continue
		}
		chunk, err := s.parse(event.Data)
		if err != nil {
			return err
		}
		if !fn(chunk) {
			return s.fail(OutcomeUnknown, "canceled")
		}
	}

	if !ended {
		return s.fail(OutcomeUnknown, io.ErrUnexpectedEOF.Error())
	}

	return nil
}

// Cancel ends the stream from another goroutine: its connection is closed,
// which tells the engine to stop.
func (s *Stream) Cancel() {
	// The error is that of a connection which is being given up.
	_ = s.body.CloseWithError(errCanceled)
}

// Close releases the stream after Each has returned, once. A connection whose
// answer was not read to its end is closed and not used again.
func (s *Stream) Close() {
	_ = s.body.CloseWithError(nil)
	_parsers.Put(s.parser)
}

func (s *Stream) parse(data string) (Chunk, error) {
	value, err := s.parser.Parse(data)
	if err != nil {
		return Chunk{}, s.fail(OutcomeUnknown, err.Error())
	}
	if id := value.GetStringBytes("id"); string(id) != s.completion.RequestID {
		return Chunk{}, s.fail(OutcomeMismatch, fmt.Sprintf("chunk of request %q", id))
	}
	chunk := Chunk{
		Raw:              data,
		Tokens:           value.GetInt("tokens"),
		PromptTokens:     value.GetInt("usage", "prompt_tokens"),
		CompletionTokens: value.GetInt("usage", "completion_tokens"),
	}
	if choices := value.GetArray("choices"); len(choices) > 0 {
		chunk.FinishReason = string(choices[0].GetStringBytes("finish_reason"))
		text := choices[0].GetStringBytes("text")
		if text == nil {
			text = choices[0].GetStringBytes("delta", "content")
		}
		chunk.Text = string(text)
	}

	return chunk, nil
}

func (s *Stream) fail(outcome Outcome, reason string) *Error {
	return &Error{
		Op:      "stream",
		Address: s.completion.Address,
		Outcome: outcome,
		Status:  s.status,
		Reason:  reason,
	}
}

// outcomeOfSend tells a request that never left from one that may have run.
func outcomeOfSend(err error) Outcome {
	if isUnreachable(err) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return OutcomeNotRun
	}

	return outcomeOfRead(err)
}

func isUnreachable(err error) bool {
	var op *net.OpError

	return errors.As(err, &op) && op.Op == "dial" || errors.Is(err, fasthttp.ErrDialTimeout)
}

// outcomeOfRead tells a silent engine from a lost connection.
func outcomeOfRead(err error) Outcome {
	var timeout net.Error
	if errors.Is(err, fasthttp.ErrTimeout) || errors.As(err, &timeout) && timeout.Timeout() {
		return OutcomeTimeout
	}

	return OutcomeUnknown
}

// refusal reads an answer that is not a stream, and releases it.
func refusal(op, address string, resp *fasthttp.Response) *Error {
	defer fasthttp.ReleaseResponse(resp)
	failure := &Error{
		Op:      op,
		Address: address,
		Outcome: OutcomeUnknown,
		Status:  resp.StatusCode(),
		Reason:  string(resp.Body()),
	}
	if string(resp.Header.Peek(HeaderOutcome)) == string(OutcomeNotRun) {
		failure.Outcome = OutcomeNotRun
	}

	return failure
}
