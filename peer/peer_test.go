package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/goleak"

	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// startServer serves Echo, Refuse and Hang until release is closed.
func startServer(t *testing.T, address string, incarnation int, release chan struct{}) (*Server, metrics.Registry, string) {
	t.Helper()
	registry := metrics.NewRegistry()
	server := NewServer(wire.Hello{
		Name:        "server",
		Incarnation: incarnation,
	}, registry)
	Register(server, "Test.Echo", func(o wire.Object) (wire.Object, error) { return o, nil })
	Register(server, "Test.Refuse", func(wire.Object) (wire.Object, error) { return wire.Object{}, errors.New("no") })
	Register(server, "Test.Hang", func(o wire.Object) (wire.Object, error) {
		<-release

		return o, nil
	})
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(listener)

	return server, registry, listener.Addr().String()
}

func echo(p *Pool, address, method string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := Call[wire.Object, wire.Object](ctx, p, address, method, wire.Object{Value: "x"})

	return err
}

func TestCallCodesAndTraffic(t *testing.T) {
	release := make(chan struct{})
	server, registry, address := startServer(t, "127.0.0.1:0", 1, release)
	defer server.Close()
	defer close(release)
	clock := timer.New()
	defer clock.Close()
	sent := metrics.NewRegistry()
	pool := NewPool(wire.Hello{Name: "client"}, sent, clock)
	defer pool.Close()
	tests := []struct {
		name    string
		method  string
		timeout time.Duration
		want    Code
	}{
		{
			name:    "answered",
			method:  "Test.Echo",
			timeout: time.Minute,
			want:    "",
		},
		{
			name:    "refused by the peer",
			method:  "Test.Refuse",
			timeout: time.Minute,
			want:    CodeFailed,
		},
		{
			name:    "no such method",
			method:  "Test.None",
			timeout: time.Minute,
			want:    CodeFailed,
		},
		{
			name:    "no answer in time",
			method:  "Test.Hang",
			timeout: 50 * time.Millisecond,
			want:    CodeUnknown,
		},
		{
			name:    "answered over a new connection",
			method:  "Test.Echo",
			timeout: time.Minute,
			want:    "",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := echo(pool, address, tt.method, tt.timeout)
			if diff := cmp.Diff(tt.want, CodeOf(err)); diff != "" {
				t.Errorf("%v: code (-want +got):\n%s", err, diff)
			}
		})
	}
	for _, direction := range []string{"Messages", "Bytes"} {
		out := metrics.GetOrRegisterCounter("Peer."+direction+"Sent.Test.Echo", sent).Count()
		in := metrics.GetOrRegisterCounter("Peer."+direction+"Received.Test.Echo", registry).Count()
		if diff := cmp.Diff(out, in); diff != "" || out == 0 {
			t.Errorf("%s of Echo (-sent +received):\n%s", direction, diff)
		}
	}
}

func TestRestartedPeerIsToldApart(t *testing.T) {
	server, _, address := startServer(t, "127.0.0.1:0", 1, nil)
	clock := timer.NewVirtual(time.Unix(0, 0))
	pool := NewPool(wire.Hello{Name: "client"}, metrics.NewRegistry(), clock)
	defer pool.Close()
	var seen []int
	pool.OnConnect = func(_ string, hello wire.Hello) { seen = append(seen, hello.Incarnation) }
	if err := echo(pool, address, "Test.Echo", time.Minute); err != nil {
		t.Fatal(err)
	}
	server.Close()
	// The call on the broken connection has an unknown outcome and isn't
	// sent again; the next ones don't leave, and in the backoff aren't tried.
	if err := echo(pool, address, "Test.Echo", time.Minute); err == nil {
		t.Error("a call to a closed server was answered")
	}
	if err := echo(pool, address, "Test.Echo", time.Minute); CodeOf(err) != CodeNotSent {
		t.Errorf("refused connection: %v", err)
	}
	server, _, _ = startServer(t, address, 2, nil)
	defer server.Close()
	if err := echo(pool, address, "Test.Echo", time.Minute); CodeOf(err) != CodeNotSent {
		t.Errorf("call during the backoff: %v", err)
	}
	clock.Advance(_maxBackoff)
	if err := echo(pool, address, "Test.Echo", time.Minute); err != nil {
		t.Error(err)
	}
	if diff := cmp.Diff([]int{1, 2}, seen); diff != "" {
		t.Errorf("incarnations (-want +got):\n%s", diff)
	}
}

func TestCallsInFlightAreBounded(t *testing.T) {
	release := make(chan struct{})
	server, _, address := startServer(t, "127.0.0.1:0", 1, release)
	defer server.Close()
	clock := timer.New()
	defer clock.Close()
	pool := NewPool(wire.Hello{Name: "client"}, metrics.NewRegistry(), clock)
	defer pool.Close()
	outcomes := make(chan error, 2*_maxInFlight)
	for range 2 * _maxInFlight {
		Go(pool, time.Minute, address, "Test.Hang", wire.Object{}, func(_ wire.Object, err error) { outcomes <- err })
	}
	for range _maxInFlight {
		if err := <-outcomes; CodeOf(err) != CodeNotSent {
			t.Errorf("call over the bound: %v", err)
		}
	}
	close(release)
	for range _maxInFlight {
		if err := <-outcomes; err != nil {
			t.Errorf("call within the bound: %v", err)
		}
	}
}

// BenchmarkCall is the cost of a small call and its answer over loopback.
func BenchmarkCall(b *testing.B) {
	registry := metrics.NewRegistry()
	server := NewServer(wire.Hello{Name: "server"}, registry)
	Register(server, "Test.Echo", func(o wire.Object) (wire.Object, error) { return o, nil })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go server.Serve(listener)
	defer server.Close()
	clock := timer.New()
	defer clock.Close()
	pool := NewPool(wire.Hello{Name: "client"}, registry, clock)
	defer pool.Close()
	b.ReportAllocs()
	for b.Loop() {
		if err := echo(pool, listener.Addr().String(), "Test.Echo", time.Minute); err != nil {
			b.Fatal(err)
		}
	}
	bytes := metrics.GetOrRegisterCounter("Peer.BytesSent.Test.Echo", registry).Count()
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/op")
}
