// Package service is the way to plain services: one HTTP call, sent at most
// once, whose outcome is a value. A Client never sends a request again by
// itself. No secret of a caller leaves with a call: headers that carry
// credentials or belong to one connection are dropped, and a call that holds
// the caller's key anywhere else is refused before it leaves.
package service

import (
	"bytes"
	"context"
	"errors"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"papayastair.dev/papayastair/connection"
)

const (
	_maxAnswerBytes = 4 << 20
	_maxTimeout     = 5 * time.Minute
)

// Headers that a client sets itself.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// _dropped are headers that never leave: those of one connection, those that
// carry credentials, and those that the client sets itself. In lower case.
var _dropped = []string{
	"authorization", "connection", "content-length", "cookie", "expect", "host", "idempotency-key",
	"keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer",
	"transfer-encoding", "upgrade", "x-api-key", "x-request-id",
}

// _kept are the headers of an answer that are handed on, in lower case.
var _kept = []string{"content-type", "content-language", "etag", "last-modified", "location", "retry-after"}

// Header is one header.
type Header struct {
	// Name is the header's name, in any case.
	Name string
	// Value is its value.
	Value string
}

// Call is one call of a plain service.
type Call struct {
	// Address is the service's IP:port.
	Address string
	// Method, Path and Query are of the request; Path is decoded, Query is
	// not.
	Method string
	Path   string
	Query  string
	// Headers are handed on, but for those that never leave.
	Headers []Header
	// Body is the request's body.
	Body []byte
	// RequestID identifies the call at the service.
	RequestID string
	// IdempotencyKey is the caller's; it may be empty.
	IdempotencyKey string
	// NonIdempotent sends the call over a connection of its own, so that
	// none that the service has just closed makes its outcome unknown.
	NonIdempotent bool
	// CallerKey is the caller's key, which must not leave.
	CallerKey []byte
}

// Kind says what became of a call.
type Kind string

// Kinds of outcomes.
const (
	// KindDone means that the service answered.
	KindDone Kind = "Done"
	// KindNotRun means that no byte of the call left, and none will.
	KindNotRun Kind = "NotRun"
	// KindUnknown means that the call may have run.
	KindUnknown Kind = "Unknown"
)

// Outcome is what became of a call. It shares no memory with the client.
type Outcome struct {
	// Kind says whether there is an answer.
	Kind Kind
	// Status, Headers and Body are the answer's, with KindDone.
	Status  int
	Headers []Header
	Body    []byte
	// Reason is for people, with the other kinds.
	Reason string
}

// Header is the value of a header of the answer, or empty.
func (o Outcome) Header(name string) string {
	for _, header := range o.Headers {
		if strings.EqualFold(header.Name, name) {
			return header.Value
		}
	}

	return ""
}

// Client calls plain services. Use NewClient. It is safe for concurrent use.
type Client struct {
	pooled *fasthttp.Client
	single *fasthttp.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{
		pooled: newHTTP(),
		single: newHTTP(),
	}
}

func newHTTP() *fasthttp.Client {
	client := connection.NewClient(_maxTimeout)
	client.MaxResponseBodySize = _maxAnswerBytes
	client.DisablePathNormalizing = true

	return client
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

// Do sends a call once and waits for its answer until the deadline of ctx, at
// most 5 minutes. A ctx that ends earlier doesn't end a call that has left,
// whose answer is still worth knowing. A connection that failed or timed out
// is closed; another request's answer closes all idle connections.
func (c *Client) Do(ctx context.Context, call Call) Outcome {
	if err := ctx.Err(); err != nil {
		return notRun(err.Error())
	}
	if call.holdsKey() {
		return notRun("the call holds the caller's key")
	}
	timeout := _maxTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if timeout <= 0 {
		return notRun("no time left")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	call.fill(req)
	client := c.pooled
	if call.NonIdempotent {
		client = c.single
		req.SetConnectionClose()
	}
	if err := client.DoTimeout(req, resp, timeout); err != nil {
		return failed(err)
	}

	echo := resp.Header.Peek(HeaderRequestID)
	if len(echo) > 0 && string(echo) != call.RequestID {
		client.CloseIdleConnections()

		return unknown("the answer belongs to another request")
	}

	return read(resp)
}

// failed is the outcome of a call without an answer.
func failed(err error) Outcome {
	if connection.NotSent(err) {
		return notRun(err.Error())
	}
	reason := err.Error()
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		reason = "the answer is too large"
	}

	return unknown(reason)
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

// fill makes the request.
func (call Call) fill(req *fasthttp.Request) {
	target := url.URL{
		Scheme:   "http",
		Host:     call.Address,
		Path:     call.Path,
		RawQuery: call.Query,
	}
	req.SetRequestURI(target.String())
	req.Header.SetMethod(call.Method)
	for _, header := range call.Headers {
		if call.isForwarded(header) {
			req.Header.Add(header.Name, header.Value)
		}
	}
	if call.RequestID != "" {
		req.Header.Set(HeaderRequestID, call.RequestID)
	}
	if call.IdempotencyKey != "" {
		req.Header.Set(HeaderIdempotencyKey, call.IdempotencyKey)
	}
	req.SetBodyRaw(call.Body)
}

// isForwarded says whether a header leaves. Headers named by Connection
// belong to the connection.
func (call Call) isForwarded(header Header) bool {
	if slices.Contains(_dropped, strings.ToLower(header.Name)) {
		return false
	}
	for _, other := range call.Headers {
		if !strings.EqualFold(other.Name, "Connection") {
			continue
		}
		for name := range strings.SplitSeq(other.Value, ",") {
			if strings.EqualFold(strings.TrimSpace(name), header.Name) {
				return false
			}
		}
	}

	return len(call.CallerKey) == 0 || !strings.Contains(header.Value, string(call.CallerKey))
}

// holdsKey says whether the caller's key would leave with the call, plain or
// percent-encoded in the query or the body.
func (call Call) holdsKey() bool {
	if len(call.CallerKey) == 0 {
		return false
	}
	parts := [][]byte{
		[]byte(call.Path),
		[]byte(call.Query),
		[]byte(call.RequestID),
		[]byte(call.IdempotencyKey),
		call.Body,
	}
	for _, part := range parts {
		if bytes.Contains(part, call.CallerKey) {
			return true
		}
		if bytes.ContainsRune(part, '%') && bytes.Contains(decoded(part), call.CallerKey) {
			return true
		}
	}

	return false
}

// decoded undoes percent-encoding as far as it is one.
func decoded(part []byte) []byte {
	var args fasthttp.Args
	args.ParseBytes(part)
	var all []byte
	for name, value := range args.All() {
		all = append(all, name...)
		all = append(all, '=')
		all = append(all, value...)
		all = append(all, '&')
	}

	return all
}

// read copies an answer out of the client's buffers.
func read(resp *fasthttp.Response) Outcome {
	outcome := Outcome{
		Kind:   KindDone,
		Status: resp.StatusCode(),
		Body:   bytes.Clone(resp.Body()),
	}
	for name, value := range resp.Header.All() {
		if slices.Contains(_kept, strings.ToLower(string(name))) {
			outcome.Headers = append(outcome.Headers, Header{
				Name:  string(name),
				Value: string(value),
			})
		}
	}

	return outcome
}
