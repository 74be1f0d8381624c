package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"papayastair.dev/papayastair/membership"
	"papayastair.dev/papayastair/peer"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

// connected is one instance's control over real connections.
type connected struct {
	clock    *timer.Service
	registry metrics.Registry
	server   *peer.Server
	pool     *peer.Pool
	detector *membership.Detector
	follower *Follower
	members  *membership.Transport
	carrier  *Carrier
}

func connect(self wire.Member, listener net.Listener, store *standin.Store) *connected {
	hello := wire.Hello{
		Name:        self.Name,
		Incarnation: self.Incarnation,
	}
	c := &connected{
		clock:    timer.New(),
		registry: metrics.NewRegistry(),
	}
	c.server = peer.NewServer(hello, c.registry)
	c.pool = peer.NewPool(hello, c.registry, c.clock)
	c.detector = &membership.Detector{
		Self:   self,
		Timer:  c.clock,
		Random: rand.New(rand.NewPCG(rand.Uint64(), 1)),
	}
	c.follower = &Follower{
		Name:          self.Name,
		Address:       self.PeerAddress,
		FailureDomain: self.FailureDomain,
		Timer:         c.clock,
		Random:        rand.New(rand.NewPCG(rand.Uint64(), 1)),
		Peers:         c.detector.Peers,
		Reach: func() Reach {
			alive, listed := c.detector.CountInstances()

			return Reach{
				Alive:  alive,
				Listed: listed,
			}
		},
	}
	membership.Register(c.server, c.detector)
	Register(c.server, c.follower)
	c.members = membership.Connect(c.detector, c.pool, store.Platform())
	c.carrier = Carry(c.follower, c.pool, store.Platform(), store.Platform())
	go c.server.Serve(listener)
	c.detector.Start()
	c.follower.Start()

	return c
}

func (c *connected) close() {
	c.follower.Stop()
	c.detector.Stop()
	c.clock.Close()
	c.members.Close()
	c.carrier.Close()
	c.pool.Close()
	c.server.Close()
}

// sent sums the counters of what the instance has sent.
func (c *connected) sent(what string) int64 {
	total := int64(0)
	c.registry.Each(func(name string, metric any) {
		if counter, ok := metric.(metrics.Counter); ok && strings.HasPrefix(name, "Peer."+what+"Sent.") {
			total += counter.Count()
		}
	})

	return total
}

// TestConnected brings a change into force over real connections.
func TestConnected(t *testing.T) {
	instances, store := connectAll(t, 6)
	apply(t, store, 1)
	waitFor(instances, 1)
	apply(t, store, 2)
	waitFor(instances, 2)
	for _, c := range instances {
		if k := c.follower.Keyed(); !k.Allowed {
			t.Errorf("%s refuses: %+v", c.follower.Name, k)
		}
		c.close()
	}
}

// BenchmarkConnected is the control of n instances over loopback connections
// in one process, for 20 s with a change each 5 s, once all know all.
func BenchmarkConnected(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			instances, store := connectAll(b, n)
			apply(b, store, 1)
			waitFor(instances, 1)
			// Until each has probed all, connections are new and carry types.
			time.Sleep(time.Duration(n+5) * time.Second)
			before, bytes, messages := cpu(), total(instances, "Bytes"), total(instances, "Messages")
			began := time.Now()
			version := 1
			for range 4 {
				time.Sleep(5 * time.Second)
				version++
				apply(b, store, version)
			}
			waitFor(instances, version)
			each := time.Since(began).Seconds() * float64(n)
			var memory runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&memory)
			b.ReportMetric(float64(total(instances, "Bytes")-bytes)/each, "sent-B/s/instance")
			b.ReportMetric(float64(total(instances, "Messages")-messages)/each, "sent-msg/s/instance")
			b.ReportMetric(100*(cpu()-before).Seconds()/each, "%core/instance")
			b.ReportMetric(float64(memory.HeapInuse+memory.StackInuse)/float64(n)/1024, "KiB/instance")
			for _, c := range instances {
				c.close()
			}
		})
	}
}

func connectAll(tb testing.TB, n int) ([]*connected, *standin.Store) {
	tb.Helper()
	store := standin.NewStore()
	listeners := make([]net.Listener, 0, n)
	members := make([]wire.Member, 0, n)
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		self := wire.Member{
			Name:          fmt.Sprintf("i%03d", i),
			Role:          wire.MemberRoleEntry,
			State:         wire.MemberStateLive,
			Region:        "r",
			FailureDomain: fmt.Sprintf("d%d", i%3),
			Size:          1,
			PeerAddress:   listener.Addr().String(),
			Incarnation:   1,
		}
		value, err := json.Marshal(self)
		if err != nil {
			tb.Fatal(err)
		}
		if _, err := store.Platform().Put(context.Background(), membership.KindMember, self.Name, string(value), 0); err != nil {
			tb.Fatal(err)
		}
		listeners = append(listeners, listener)
		members = append(members, self)
	}
	instances := make([]*connected, 0, n)
	for i, self := range members {
		instances = append(instances, connect(self, listeners[i], store))
	}

	return instances, store
}

func apply(tb testing.TB, store *standin.Store, rate int) {
	tb.Helper()
	operator := &Applier{
		Store:    store.Platform(),
		WriterID: fmt.Sprintf("operator%d", rate),
		Sleep:    func(_ context.Context, d time.Duration) { time.Sleep(d) },
	}
	plan, err := operator.Plan(context.Background(), pair(rate))
	if err != nil {
		tb.Fatal(err)
	}
	if _, err := operator.Commit(context.Background(), plan); err != nil {
		tb.Fatal(err)
	}
}

// waitFor waits until a version is in force on all instances.
func waitFor(instances []*connected, version int) {
	for _, c := range instances {
		for {
			if s := c.follower.Snapshot(); s != nil && s.Version >= version {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func total(instances []*connected, what string) int64 {
	sum := int64(0)
	for _, c := range instances {
		sum += c.sent(what)
	}

	return sum
}

// cpu is the processor time that the process has used.
func cpu() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
