package standin_test

import (
	"context"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/platform"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/wire"
)

func newPlatform(t *testing.T, cfg standin.PlatformConfig) (*standin.Platform, objectstore.Store) {
	t.Helper()
	cfg.Address = "127.0.0.1:0"
	p, err := standin.NewPlatform(cfg)
	if err != nil {
		t.Fatal(err)
	}
	client := platform.NewClient(p.Address, metrics.NewRegistry())
	t.Cleanup(p.Close)
	t.Cleanup(client.Close)

	return p, client.Store("Test")
}

// TestClientOutcomes holds the client's outcomes against the server's under
// each failure. A step's version is relative to the first object's.
func TestClientOutcomes(t *testing.T) {
	p, store := newPlatform(t, standin.PlatformConfig{})
	ctx := t.Context()
	first, err := store.Put(ctx, "Thing", "a/b c", "1", 0)
	if err != nil {
		t.Fatal(err)
	}
	short := func() context.Context {
		ctx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		t.Cleanup(cancel)

		return ctx
	}
	put := func(ctx context.Context, value string, version int) error {
		_, err := store.Put(ctx, "Thing", "a/b c", value, version)

		return err
	}
	tests := []struct {
		name   string
		faults standin.StoreFaults
		call   func() error
		want   objectstore.Code
		value  string
	}{
		{
			name:  "conflict",
			call:  func() error { return put(ctx, "2", first+7) },
			want:  objectstore.CodeConflict,
			value: "1",
		},
		{
			name:   "down",
			faults: standin.StoreFaults{Down: true},
			call:   func() error { return put(ctx, "2", first) },
			want:   objectstore.CodeNotRun,
			value:  "1",
		},
		{
			name:  "too large",
			call:  func() error { return put(ctx, strings.Repeat("x", 1<<20+1), first) },
			want:  objectstore.CodeNotRun,
			value: "1",
		},
		{
			name:   "slow",
			faults: standin.StoreFaults{Latency: time.Hour},
			call: func() error {
				_, err := store.Get(short(), "Thing", "a/b c")

				return err
			},
			want:  objectstore.CodeUnknown,
			value: "1",
		},
		{
			name:   "reply lost",
			faults: standin.StoreFaults{LoseReplies: true},
			call:   func() error { return put(ctx, "2", first) },
			want:   objectstore.CodeUnknown,
			value:  "2",
		},
		{
			name: "not found",
			call: func() error {
				_, err := store.Get(ctx, "Thing", "other")

				return err
			},
			want:  objectstore.CodeNotFound,
			value: "2",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p.Store.SetFaults(test.faults)
			got := objectstore.CodeOf(test.call())
			p.Store.SetFaults(standin.StoreFaults{})
			object, err := store.Get(ctx, "Thing", "a/b c")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]string{string(test.want), test.value}, []string{string(got), object.Value}); diff != "" {
				t.Errorf("code and value (-want +got):\n%s", diff)
			}
		})
	}
}

// TestClientWatch resumes a watch across deletes, an empty wait, stale reads
// and a store that is down.
func TestClientWatch(t *testing.T) {
	p, store := newPlatform(t, standin.PlatformConfig{})
	ctx := t.Context()
	one, err := store.Put(ctx, "Thing", "a", "1", 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Put(ctx, "Other", "a", "1", 0); err != nil {
		t.Fatal(err)
	}
	list, err := store.List(ctx, "Thing")
	if err != nil {
		t.Fatal(err)
	}
	want := wire.ObjectList{
		Version: one + 1,
		Objects: []wire.Object{{
			Kind:    "Thing",
			Name:    "a",
			Version: one,
			Value:   "1",
		}},
	}
	if diff := cmp.Diff(want, list); diff != "" {
		t.Errorf("list (-want +got):\n%s", diff)
	}

	waiting := make(chan wire.ObjectList, 1)
	go func() {
		changes, _ := store.Watch(ctx, "Thing", list.Version)
		waiting <- changes
	}()
	if err := store.Delete(ctx, "Thing", "a", one); err != nil {
		t.Fatal(err)
	}
	want = wire.ObjectList{
		Version: one + 2,
		Objects: []wire.Object{{
			Kind:    "Thing",
			Name:    "a",
			Version: one + 2,
			Value:   "",
		}},
	}
	if diff := cmp.Diff(want, <-waiting); diff != "" {
		t.Errorf("watch (-want +got):\n%s", diff)
	}

	p.Store.SetFaults(standin.StoreFaults{Stale: true})
	if _, err := store.Put(ctx, "Thing", "b", "2", 0); err != nil {
		t.Fatal(err)
	}
	if _, err := store.Get(ctx, "Thing", "b"); objectstore.CodeOf(err) != objectstore.CodeNotFound {
		t.Errorf("stale read of a new object: %v", err)
	}
	p.Store.SetFaults(standin.StoreFaults{Down: true})
	if _, err := store.Watch(ctx, "Thing", one+2); objectstore.CodeOf(err) != objectstore.CodeNotRun {
		t.Errorf("watch of a store that is down: %v", err)
	}
	p.Store.SetFaults(standin.StoreFaults{})
	changes, err := store.Watch(ctx, "Thing", one+2)
	if err != nil || len(changes.Objects) != 1 {
		t.Errorf("resumed watch: %v, %v", changes, err)
	}
}

// TestClientClose ends a watch that waits.
func TestClientClose(t *testing.T) {
	p, err := standin.NewPlatform(standin.PlatformConfig{Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	client := platform.NewClient(p.Address, metrics.NewRegistry())
	ended := make(chan error)
	go func() {
		_, err := client.Store("Test").Watch(t.Context(), "Thing", 0)
		ended <- err
	}()
	for p.Store.Calls()["watch"] == 0 {
		runtime.Gosched()
	}
	client.Close()
	if err := <-ended; objectstore.CodeOf(err) != objectstore.CodeUnknown {
		t.Errorf("watch ended with %v", err)
	}
}

// TestPlatformRates counts calls and refuses those over the rates.
func TestPlatformRates(t *testing.T) {
	p, store := newPlatform(t, standin.PlatformConfig{WritesPerSecond: 0.001})
	ctx := t.Context()
	if _, err := store.Put(ctx, "Thing", "a", "1", 0); err != nil {
		t.Fatal(err)
	}
	if _, err := store.Put(ctx, "Thing", "b", "1", 0); objectstore.CodeOf(err) != objectstore.CodeNotRun {
		t.Errorf("write over the rate: %v", err)
	}
	want := map[string]int{"put": 1, "refused": 1}
	if diff := cmp.Diff(want, p.Store.Calls()); diff != "" {
		t.Errorf("calls (-want +got):\n%s", diff)
	}
}

// TestServiceFaults runs calls under each failure and reads the accounts.
func TestServiceFaults(t *testing.T) {
	s, err := standin.NewService(standin.ServiceConfig{
		Name:    "printer",
		Address: "127.0.0.1:0",
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	tests := []struct {
		name   string
		faults standin.ServiceFaults
		runs   int
		fails  bool
	}{
		{
			name: "healthy",
			runs: 1,
		},
		{
			name:   "reply lost",
			faults: standin.ServiceFaults{LoseReplies: true},
			runs:   1,
			fails:  true,
		},
		{
			name:   "crash",
			faults: standin.ServiceFaults{Crash: true},
			fails:  true,
		},
	}
	client := fasthttp.Client{MaxIdemponentCallAttempts: 1}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s.SetFaults(test.faults)
			before := len(s.Runs())
			req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + s.Address + "/print?copies=1")
			req.Header.SetMethod(fasthttp.MethodPost)
			req.Header.Set("Idempotency-Key", test.name)
			req.SetBodyString("badge")
			err := client.Do(req, resp)
			runs := s.Runs()[before:]
			if len(runs) != test.runs || (err != nil) != test.fails {
				t.Fatalf("%d runs, error %v", len(runs), err)
			}
			if test.runs == 1 && (runs[0].IdempotencyKey != test.name || runs[0].Body != "badge" || runs[0].Path != "/print") {
				t.Errorf("run %v", runs[0])
			}
			if !test.fails && string(resp.Body()) != "badge" {
				t.Errorf("answer %q", resp.Body())
			}
		})
	}
}
