// Package caller is a client of papayastair's callers' interface, as the
// load tool, the demo and the tests use it. It measures what a caller sees,
// and resumes an answer at another instance when its own is cut off.
package caller

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/tmaxmax/go-sse"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"papayastair.dev/papayastair/connection"
)

const (
	_streamIdle  = 60 * time.Second
	_streamEnd   = "[DONE]"
	_codeLeaving = "leaving"
	_codeClosing = "instance_closes"
)

// Client sends requests. Use New. It is safe for concurrent use.
type Client struct {
	http *fasthttp.Client
}

// New returns a client.
func New() *Client {
	return &Client{http: connection.NewStreamClient(_streamIdle)}
}

// Request is one completion to ask for.
type Request struct {
	// Key is the caller's key.
	Key string
	// RequestID is the caller's id; empty takes a new one.
	RequestID string
	// Model is a model or adapter.
	Model string
	// Prompt is the text to complete.
	Prompt string
	// MaxTokens is the length of the answer.
	MaxTokens int
	// Priority is Urgent, Live, Batch or empty.
	Priority string
	// Timeout is how long the first token may take; 0 leaves it to the system.
	Timeout time.Duration
	// OnToken, if set, is called after each token with the number so far, and
	// returns false to leave.
	OnToken func(n int) bool
}

// Answer is what came of a request.
type Answer struct {
	// RequestID is the caller's id of the request.
	RequestID string
	// Status is the last HTTP status; 0 if there was no answer.
	Status int
	// Outcome is Done, NotRun or Unknown; empty if the connection broke.
	Outcome string
	// Code is the error's code.
	Code string
	// RetryAfter is from the answer's header.
	RetryAfter time.Duration
	// Text is the answer.
	Text string
	// Tokens is the number of tokens that came.
	Tokens int
	// Gaps counts tokens that were left out or came twice.
	Gaps int
	// FirstToken is the time from sending to the first token.
	FirstToken time.Duration
	// MeanGap is the mean time between tokens.
	MeanGap time.Duration
	// Took is the time from sending to the end.
	Took time.Duration
	// Instances is the number of instances that the answer came from.
	Instances int
	// Failure is the error of a broken connection, for people.
	Failure string
}

// Complete asks the first of the instances for a completion, and where its
// answer breaks off, the next ones for the rest.
func (c *Client) Complete(instances []string, request Request) Answer {
	if request.RequestID == "" {
		request.RequestID = uuid.NewString()
	}
	began := time.Now()
	answer := Answer{RequestID: request.RequestID}
	var text strings.Builder
	for _, address := range instances {
		if c.try(address, request, &answer, &text, began) {
			break
		}
	}
	answer.Text = text.String()
	answer.Took = time.Since(began)
	if answer.Tokens > 1 {
		answer.MeanGap = (answer.Took - answer.FirstToken) / time.Duration(answer.Tokens-1)
	}

	return answer
}

// Locate asks an instance which one to use; place is a failure domain.
func (c *Client) Locate(address, failureDomain string, into any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/v1/locate?failure_domain=" + failureDomain)
	if err := c.http.Do(req, resp); err != nil {
		return err
	}

	return json.Unmarshal(resp.Body(), into)
}

// try asks one instance and reports whether the answer is final.
func (c *Client) try(address string, request Request, answer *Answer, text *strings.Builder, began time.Time) bool {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	fill(req, address, request, answer.Tokens)
	answer.Instances++
	if err := c.http.Do(req, resp); err != nil {
		answer.Failure = err.Error()

		return false
	}
	answer.Status = resp.StatusCode()
	answer.Failure = ""
	answer.Code = ""
	answer.Outcome = ""
	if answer.Status != fasthttp.StatusOK {
		answer.refused(resp)

		// A leaving instance hasn't run the request and names no other; the
		// caller's next one will do.
		return answer.Code != _codeLeaving
	}
	left := false
	err := read(resp, func(value *fastjson.Value) bool {
		left = !answer.take(value, request, text, began)

		return !left
	})
	if answer.Code == _codeClosing {
		// What came stays; the rest may come from the next instance.
		answer.Outcome = ""
	}
	if err != "" && !left {
		answer.Failure = err
		resp.SetConnectionClose()
	}
	// The error is that of a connection which is given up.
	_ = resp.CloseBodyStream()

	return left || answer.Outcome != ""
}

func fill(req *fasthttp.Request, address string, request Request, have int) {
	req.SetRequestURI("http://" + address + "/v1/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer "+request.Key)
	req.Header.Set("X-Request-Id", request.RequestID)
	if request.Priority != "" {
		req.Header.Set("X-Priority", request.Priority)
	}
	if request.Timeout > 0 {
		req.Header.Set("X-Timeout-Milliseconds", strconv.FormatInt(request.Timeout.Milliseconds(), 10))
	}
	if have > 0 {
		req.Header.Set("Last-Event-Id", strconv.Itoa(have))
	}
	var arena fastjson.Arena
	body := arena.NewObject()
	body.Set("model", arena.NewString(request.Model))
	body.Set("prompt", arena.NewString(request.Prompt))
	body.Set("max_tokens", arena.NewNumberInt(request.MaxTokens))
	body.Set("stream", arena.NewTrue())
	req.SetBody(body.MarshalTo(nil))
}

// refused reads an error.
func (a *Answer) refused(resp *fasthttp.Response) {
	body := resp.Body()
	a.Outcome = string(resp.Header.Peek("X-Outcome"))
	a.Code = fastjson.GetString(body, "error", "code")
	if seconds, err := strconv.Atoi(string(resp.Header.Peek("Retry-After"))); err == nil {
		a.RetryAfter = time.Duration(seconds) * time.Second
	}
}

// read hands each event of a stream to fn, and returns why the stream ended
// before its end; a stream that ended as it should returns nothing.
func read(resp *fasthttp.Response, fn func(value *fastjson.Value) bool) string {
	var parser fastjson.Parser
	ended := false
	for event, err := range sse.Read(resp.BodyStream(), nil) {
		if err != nil {
			return err.Error()
		}
		if event.Data == _streamEnd {
			ended = true

			continue
		}
		value, err := parser.Parse(event.Data)
		if err != nil {
			return err.Error()
		}
		if !fn(value) {
			return "left"
		}
	}
	if !ended {
		return "the stream broke off"
	}

	return ""
}

// take adds one event to the answer, and reports whether to go on.
func (a *Answer) take(value *fastjson.Value, request Request, text *strings.Builder, began time.Time) bool {
	if value.Exists("error") {
		a.Outcome = string(value.GetStringBytes("error", "outcome"))
		a.Code = string(value.GetStringBytes("error", "code"))

		return true
	}
	choices := value.GetArray("choices")
	if len(choices) == 0 {
		return true
	}
	a.Tokens++
	if n := value.GetInt("tokens"); n > 0 && n != a.Tokens {
		a.Gaps++
	}
	if a.Tokens == 1 {
		a.FirstToken = time.Since(began)
	}
	text.Write(choices[0].GetStringBytes("text"))
	if len(choices[0].GetStringBytes("finish_reason")) > 0 {
		a.Outcome = "Done"
	}

	return request.OnToken == nil || request.OnToken(a.Tokens)
}
