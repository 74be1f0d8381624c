package standin

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"papayastair.dev/papayastair/objectstore"
)

// Headers that the stand-ins and the system use.
const (
	_headerIdempotencyKey = "Idempotency-Key"
	_headerRequestID      = "X-Request-Id"
)

// ServiceConfig is what a Service starts with.
type ServiceConfig struct {
	// Name is returned in the header X-Service of each answer.
	Name string
	// Address is the IP:port to listen on; port 0 takes a free one.
	Address string
}

// ServiceFaults are the switches of a Service's failures. The zero value is
// a healthy service.
type ServiceFaults struct {
	// LoseReplies runs each call and closes its connection without an answer.
	LoseReplies bool
	// Crash closes the connection of each call without running it.
	Crash bool
	// DelayBefore waits before a call runs, in nanoseconds in JSON.
	DelayBefore time.Duration
	// DelayAfter waits between the run and the answer.
	DelayAfter time.Duration
	// Status answers with this status; 0 means 200.
	Status int
}

// Run is one call that a Service ran.
type Run struct {
	// Method, Path and Query are of the request.
	Method string
	Path   string
	Query  string
	// IdempotencyKey and RequestID are from the request's headers.
	IdempotencyKey string
	RequestID      string
	// Headers are all headers as received.
	Headers []RunHeader
	// Body is the request's body.
	Body string
}

// RunHeader is one header of a Run.
type RunHeader struct {
	// Name and Value are as received.
	Name  string
	Value string
}

// Service is a plain service that runs each call by echoing its body and
// writing it down. Any path is a call, but for these:
//
//	GET /runs                  the calls that ran
//	GET /faults, PUT /faults   ServiceFaults in JSON
//
// An answer carries the request's X-Request-Id and the header X-Service.
type Service struct {
	// Address is the IP:port that it listens on.
	Address string

	name   string
	server *server

	mu     sync.Mutex
	faults ServiceFaults
	runs   []Run
}

// NewService listens and serves until Close.
func NewService(cfg ServiceConfig) (*Service, error) {
	s := &Service{name: cfg.Name}
	srv, err := newServer(cfg.Address, s.handle)
	if err != nil {
		return nil, err
	}
	s.server = srv
	s.Address = srv.address

	return s, nil
}

// Close ends what waits, and waits until all connections are closed.
func (s *Service) Close() {
	s.server.close()
}

// SetFaults replaces the failures.
func (s *Service) SetFaults(faults ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Faults are the failures in force.
func (s *Service) Faults() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.faults
}

// Runs are the calls that ran so far, in their order.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()

	return append([]Run{}, s.runs...)
}

func (s *Service) handle(ctx context.Context, r *fasthttp.RequestCtx) {
	switch string(r.Path()) {
	case "/runs":
		reply(r, fasthttp.StatusOK, s.Runs())
	case "/faults":
		s.handleFaults(r)
	default:
		s.handleCall(ctx, r)
	}
}

func (s *Service) handleFaults(r *fasthttp.RequestCtx) {
	if r.IsPut() {
		var faults ServiceFaults
		if err := json.Unmarshal(r.PostBody(), &faults); err != nil {
			r.Error(err.Error(), fasthttp.StatusBadRequest)

			return
		}
		s.SetFaults(faults)
	}
	reply(r, fasthttp.StatusOK, s.Faults())
}

func (s *Service) handleCall(ctx context.Context, r *fasthttp.RequestCtx) {
	faults := s.Faults()
	if faults.Crash || objectstore.Sleep(ctx, faults.DelayBefore) != nil {
		drop(r)

		return
	}
	s.record(r)
	if faults.LoseReplies || objectstore.Sleep(ctx, faults.DelayAfter) != nil {
		drop(r)

		return
	}
	if faults.Status != 0 {
		r.SetStatusCode(faults.Status)
	}
	r.Response.Header.Set("X-Service", s.name)
	r.Response.Header.SetBytesV(_headerRequestID, r.Request.Header.Peek(_headerRequestID))
	r.SetContentTypeBytes(r.Request.Header.ContentType())
	r.SetBody(r.PostBody())
}

// record writes a call down as run.
func (s *Service) record(r *fasthttp.RequestCtx) {
	run := Run{
		Method:         string(r.Method()),
		Path:           string(r.Path()),
		Query:          string(r.URI().QueryString()),
		IdempotencyKey: string(r.Request.Header.Peek(_headerIdempotencyKey)),
		RequestID:      string(r.Request.Header.Peek(_headerRequestID)),
		Body:           string(r.PostBody()),
	}
	for name, value := range r.Request.Header.All() {
		run.Headers = append(run.Headers, RunHeader{
			Name:  string(name),
			Value: string(value),
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run)
}
