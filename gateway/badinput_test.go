package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"papayastair.dev/papayastair/engine"
	"papayastair.dev/papayastair/gateway"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const (
	_key       = "caller-key"
	_bodyLimit = 4096
)

// bench is a gateway before one stand-in engine, with parts that let all pass
// and count the places that are held.
type bench struct {
	gateway *gateway.Gateway
	engine  *standin.Engine
	address string
	held    atomic.Int64
	// onReserve is called while a request has its key checked and isn't
	// registered yet.
	onReserve func()
	valid     atomic.Bool
}

func newBench(t *testing.T, step time.Duration) *bench {
	t.Helper()
	server := wire.BackendServer{
		Name:  "engine",
		Slots: 8,
		Accelerators: []wire.Accelerator{{
			Name:        "0",
			MemoryBytes: 1,
		}},
	}
	e, err := standin.NewEngine(standin.EngineConfig{
		Server:  server,
		Address: "127.0.0.1:0",
		Batch: standin.BatchConfig{
			StepBase:               step,
			PrefillTokensPerSecond: 1e9,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	e.Accelerators().Apply(wire.Order{
		ID:          "1",
		Action:      wire.OrderActionLoad,
		Model:       "model",
		Accelerator: "0",
		MemoryBytes: 1,
	}, time.Now().Add(-time.Hour))
	e.Account().Forbid(_key)
	b := &bench{
		engine:  e,
		address: e.Address(),
	}
	b.valid.Store(true)
	clock := timer.New()
	t.Cleanup(clock.Close)
	b.gateway, err = gateway.New(gateway.Config{
		Instance:       "i",
		Address:        "127.0.0.1:0",
		BodyLimitBytes: _bodyLimit,
		MaxStreams:     16,
		Timer:          clock,
		Registry:       metrics.NewRegistry(),
		Parts:          b.parts(),
	})
	if err != nil {
		t.Fatal(err)
	}
	b.gateway.Serve()
	t.Cleanup(b.gateway.Close)

	return b
}

func (b *bench) parts() gateway.Parts {
	return gateway.Parts{
		Authenticate: func(key []byte) (gateway.Caller, bool) {
			return gateway.Caller{Workspace: "w"}, string(key) == _key
		},
		IsValid:   func(gateway.Caller) bool { return b.valid.Load() },
		KnowsKeys: func() bool { return true },
		Find: func(_ gateway.Caller, name string) (gateway.Target, gateway.Access) {
			if name == "foreign" {
				return gateway.Target{}, gateway.AccessForbidden
			}
			if name != "model" {
				return gateway.Target{}, gateway.AccessUnknown
			}

			return gateway.Target{Model: name}, gateway.AccessAllowed
		},
		Models:   func(gateway.Caller) []string { return []string{"model"} },
		Priority: func(gateway.Caller, wire.Priority) wire.Priority { return wire.PriorityLive },
		Reserve: func(context.Context, gateway.Work) *gateway.Refusal {
			if b.onReserve != nil {
				b.onReserve()
			}

			return nil
		},
		Settle: func(gateway.Work, int) {},
		Acquire: func(context.Context, gateway.Work) (gateway.Slot, *gateway.Refusal) {
			b.held.Add(1)

			return gateway.Slot{
				Server:  "engine",
				Address: b.address,
				First:   func() {},
				Done:    func(gateway.Result) { b.held.Add(-1) },
			}, nil
		},
		Complete:   engine.NewClient().Complete,
		Route:      func(string) (wire.Route, bool) { return wire.Route{}, false },
		AcceptsNew: func() bool { return true },
	}
}

func TestBadInput(t *testing.T) {
	tests := []struct {
		name   string
		key    string
		header string
		body   string
		status int
		code   string
	}{
		{
			name:   "no key",
			body:   `{"model":"model"}`,
			status: http.StatusUnauthorized,
			code:   "invalid_api_key",
		},
		{
			name:   "wrong key",
			key:    "x" + _key,
			body:   `{"model":"model"}`,
			status: http.StatusUnauthorized,
			code:   "invalid_api_key",
		},
		{
			name:   "broken JSON",
			key:    _key,
			body:   `{"model":`,
			status: http.StatusBadRequest,
			code:   "invalid_json",
		},
		{
			name:   "not an object",
			key:    _key,
			body:   `["model"]`,
			status: http.StatusBadRequest,
			code:   "invalid_json",
		},
		{
			name:   "unknown model",
			key:    _key,
			body:   `{"model":"none"}`,
			status: http.StatusNotFound,
			code:   "model_not_found",
		},
		{
			name:   "another workspace's model",
			key:    _key,
			body:   `{"model":"foreign"}`,
			status: http.StatusNotFound,
			code:   "model_not_found",
		},
		{
			name:   "impossible length",
			key:    _key,
			body:   `{"model":"model","max_tokens":0}`,
			status: http.StatusBadRequest,
			code:   "invalid_max_tokens",
		},
		{
			name:   "key in the body",
			key:    _key,
			body:   `{"model":"model","prompt":"` + _key + `"}`,
			status: http.StatusBadRequest,
			code:   "key_in_body",
		},
		{
			name:   "key in the body, escaped",
			key:    _key,
			body:   `{"model":"model","prompt":["\u0063aller-key"]}`,
			status: http.StatusBadRequest,
			code:   "key_in_body",
		},
		{
			name:   "body over the limit",
			key:    _key,
			body:   `{"model":"model","prompt":"` + strings.Repeat("x", _bodyLimit) + `"}`,
			status: http.StatusRequestEntityTooLarge,
			code:   "refused",
		},
		{
			name:   "header bomb",
			key:    _key,
			header: strings.Repeat("x", 1<<16),
			body:   `{"model":"model"}`,
			status: http.StatusRequestHeaderFieldsTooLarge,
			code:   "refused",
		},
	}
	b := newBench(t, time.Millisecond)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, body := b.post(t, tt.key, tt.header, tt.body)
			if diff := cmp.Diff(tt.status, status); diff != "" {
				t.Errorf("status (-want +got):\n%s%s", diff, body)
			}
			if !strings.Contains(body, `"code":"`+tt.code+`"`) || !strings.Contains(body, `"outcome":"NotRun"`) {
				t.Errorf("answer: %s", body)
			}
		})
	}
	if figures := b.engine.Account().Figures(); len(figures.Runs) != 0 || figures.Leaks != 0 {
		t.Errorf("the engine saw %+v", figures)
	}
}

// post sends a request and returns the status and the body.
func (b *bench) post(t *testing.T, key, header, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+b.gateway.Address()+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if header != "" {
		req.Header.Set("X-Bomb", header)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}

	return resp.StatusCode, string(answer)
}

// open starts a stream and reads its first line.
func (b *bench) open(t *testing.T, tokens int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", b.gateway.Address())
	if err != nil {
		t.Fatal(err)
	}
	body := fmt.Sprintf(`{"model":"model","prompt":"p","stream":true,"max_tokens":%d}`, tokens)
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", _key, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReaderSize(conn, 16).ReadString('\n'); err != nil {
		t.Fatal(err)
	}

	return conn
}

// waitFree waits until no place is held; a place that is never freed runs
// into the test's time limit.
func (b *bench) waitFree() {
	for b.held.Load() > 0 || b.engine.Running() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestCallerWhoLeaves frees the place of a caller that closes its connection
// in the middle of a stream.
func TestCallerWhoLeaves(t *testing.T) {
	b := newBench(t, time.Millisecond)
	leaver := b.open(t, 1000000)
	_ = leaver.Close()
	b.waitFree()
}

// TestSlowReader frees the place of a caller that stops reading.
func TestSlowReader(t *testing.T) {
	b := newBench(t, 10*time.Microsecond)
	reader := b.open(t, 1000000)
	defer func() { _ = reader.Close() }()
	b.waitFree()
}

// TestWithdrawnKey ends an open stream when its key is no longer granted.
func TestWithdrawnKey(t *testing.T) {
	b := newBench(t, time.Millisecond)
	conn := b.open(t, 1000000)
	defer func() { _ = conn.Close() }()
	b.valid.Store(false)
	b.gateway.CheckKeys()
	// The stream's last event says why it ended; without it the read runs into
	// the test's time limit.
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		if strings.Contains(lines.Text(), `"code":"key_withdrawn"`) {
			break
		}
	}
	b.waitFree()
}

// TestKeyWithdrawnBeforeRegistration withdraws a key between the look-up and
// the registration of a request, when CheckKeys can't find the request.
func TestKeyWithdrawnBeforeRegistration(t *testing.T) {
	b := newBench(t, time.Millisecond)
	b.onReserve = func() {
		b.valid.Store(false)
		b.gateway.CheckKeys()
	}
	status, body := b.post(t, _key, "", `{"model":"model","max_tokens":2}`)
	if status != http.StatusUnauthorized || !strings.Contains(body, `"outcome":"NotRun"`) {
		t.Errorf("status %d: %s", status, body)
	}
	if figures := b.engine.Account().Figures(); len(figures.Runs) != 0 {
		t.Errorf("the engine ran %v", figures.Runs)
	}
}
