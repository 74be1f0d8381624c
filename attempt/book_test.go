package attempt

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc/pool"

	"papayastair.dev/papayastair/peer"
	"papayastair.dev/papayastair/platform"
	"papayastair.dev/papayastair/service"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

// newBook starts a book as an instance has it. owner gives the peer address
// of a shard's owner.
func newBook(t *testing.T, name, store string, listener net.Listener, owner func(shard int) string) *Book {
	t.Helper()
	clock := timer.New()
	client := platform.NewClient(store, metrics.NewRegistry())
	hello := wire.Hello{Name: name}
	peers := peer.NewPool(hello, metrics.NewRegistry(), clock)
	server := peer.NewServer(hello, metrics.NewRegistry())
	book := New(Config{
		Instance:    name,
		Incarnation: 1,
		Timer:       clock,
		Store:       client.Store("Attempt"),
		Forward:     ForwardTo(peers, owner),
		Shards:      3,
		// Long enough for a slow machine; nothing here waits for it.
		BeginTimeout: time.Minute,
	})
	Register(server, book)
	served := make(chan struct{})
	go func() {
		defer close(served)
		server.Serve(listener)
	}()
	t.Cleanup(func() {
		server.Close()
		<-served
		book.Close()
		peers.Close()
		client.Close()
		clock.Close()
	})

	return book
}

// TestBooksOverHTTP sends each of a number of calls to three books at once,
// before a store and a service that lose replies. The service's account must
// show at most one run for each key, and none for a request that was told
// NotRun.
func TestBooksOverHTTP(t *testing.T) {
	store, err := standin.NewPlatform(standin.PlatformConfig{Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	printer, err := standin.NewService(standin.ServiceConfig{Address: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(printer.Close)
	services := service.NewClient()
	defer services.Close()
	listeners, books := make([]net.Listener, 3), make([]*Book, 3)
	for i := range listeners {
		if listeners[i], err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
	}
	for i := range books {
		books[i] = newBook(t, fmt.Sprint("instance-", i), store.Address, listeners[i], func(shard int) string {
			if shard == i {
				return ""
			}

			return listeners[shard].Addr().String()
		})
	}

	phases := []struct {
		name    string
		store   standin.StoreFaults
		service standin.ServiceFaults
		// allowed are the kinds of outcomes that may come, if not all.
		allowed []Kind
	}{
		{
			name:    "healthy",
			allowed: []Kind{KindDone, KindSaved, KindUnknown},
		},
		{
			name:  "store replies lost",
			store: standin.StoreFaults{LoseReplies: true},
		},
		{
			name:    "service replies lost",
			service: standin.ServiceFaults{LoseReplies: true},
			allowed: []Kind{KindUnknown},
		},
		{
			name:    "store down",
			store:   standin.StoreFaults{Down: true},
			allowed: []Kind{KindNotRun},
		},
	}
	for _, phase := range phases {
		store.Store.SetFaults(phase.store)
		printer.SetFaults(phase.service)
		told := pool.NewWithResults[Kind]()
		notRun := make(chan string, 100)
		for k := range 10 {
			for i, book := range books {
				told.Go(func() Kind {
					id := fmt.Sprintf("%s-%d-%d", phase.name, k, i)
					key := fmt.Sprint(phase.name, k)
					outcome := book.Do(t.Context(), Call{
						Workspace:      "kandy",
						IdempotencyKey: key,
						BodyHash:       Digest([]byte("badge")),
					}, func(ctx context.Context) service.Outcome {
						return services.Do(ctx, service.Call{
							Address:        printer.Address,
							Method:         http.MethodPost,
							Path:           "/print",
							Body:           []byte("badge " + key),
							RequestID:      id,
							IdempotencyKey: key,
							NonIdempotent:  true,
						})
					})
					if outcome.Kind == KindNotRun {
						notRun <- id
					}
					if outcome.Answer.Status != 0 && string(outcome.Answer.Body) != "badge "+key {
						t.Errorf("%s: answer %q", id, outcome.Answer.Body)
					}

					return outcome.Kind
				})
			}
		}
		for _, kind := range told.Wait() {
			if phase.allowed != nil && !slices.Contains(phase.allowed, kind) {
				t.Errorf("%s: outcome %s, allowed %v", phase.name, kind, phase.allowed)
			}
		}
		close(notRun)
		runs, ids := map[string]int{}, map[string]bool{}
		for _, run := range printer.Runs() {
			runs[run.IdempotencyKey]++
			ids[run.RequestID] = true
		}
		for key, n := range runs {
			if n > 1 {
				t.Errorf("%s: %s ran %d times", phase.name, key, n)
			}
		}
		for id := range notRun {
			if ids[id] {
				t.Errorf("%s: %s was told NotRun and ran", phase.name, id)
			}
		}
	}
	store.Store.SetFaults(standin.StoreFaults{})
	if n := len(printer.Runs()); n < 20 {
		t.Errorf("%d runs, want all 10 of two phases at least", n)
	}
}

// TestSavedAnswers reads answers back at another book: whole, too large to be
// kept, and for another request with the same key.
func TestSavedAnswers(t *testing.T) {
	store := standin.NewStore()
	clock := timer.New()
	defer clock.Close()
	open := func(name string) *Book {
		return New(Config{
			Instance:       name,
			Timer:          clock,
			Store:          store.Platform(),
			MaxAnswerBytes: 8,
		})
	}
	tests := []struct {
		name   string
		body   string
		repeat string
		want   Outcome
	}{
		{
			name:   "whole",
			body:   "printed",
			repeat: "hash",
			want: Outcome{
				Kind: KindSaved,
				Answer: Answer{
					Status:   http.StatusCreated,
					Body:     []byte("printed"),
					BodyKept: true,
				},
			},
		},
		{
			name:   "too large",
			body:   "printed twice",
			repeat: "hash",
			want: Outcome{
				Kind: KindSaved,
				Answer: Answer{
					Status: http.StatusCreated,
					Body:   []byte{},
				},
			},
		},
		{
			name:   "another request",
			body:   "printed",
			repeat: "other",
			want: Outcome{
				Kind:   KindMismatch,
				Reason: "the key was used with another request",
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			call := Call{
				Workspace:      "kandy",
				IdempotencyKey: test.name,
				BodyHash:       "hash",
			}
			first := open("first")
			ran := first.Do(t.Context(), call, func(context.Context) service.Outcome {
				return service.Outcome{
					Kind:   service.KindDone,
					Status: http.StatusCreated,
					Body:   []byte(test.body),
				}
			})
			first.Close()
			if ran.Kind != KindDone || string(ran.Answer.Body) != test.body {
				t.Errorf("first: %v", ran)
			}
			second := open("second")
			defer second.Close()
			call.BodyHash = test.repeat
			got := second.Do(t.Context(), call, func(context.Context) service.Outcome {
				t.Error("second run")

				return service.Outcome{}
			})
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("repeat (-want +got):\n%s", diff)
			}
		})
	}
}
