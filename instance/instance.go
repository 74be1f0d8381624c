// Package instance puts one serving process together: it makes the parts,
// connects them by function fields and closes them in order. It decides
// nothing itself.
//
// Files, in reading order: instance.go is the life of the process, control.go
// the part it takes in the fleet (membership, configuration, placement,
// orders), demand.go what the planner knows of demand, request.go the path of
// a request, service.go that of a call of a plain service, locate.go where callers
// should go, operator.go the operators' interface.
package instance

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/admission"
	"papayastair.dev/papayastair/attempt"
	"papayastair.dev/papayastair/configuration"
	"papayastair.dev/papayastair/engine"
	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/gateway"
	"papayastair.dev/papayastair/locate"
	"papayastair.dev/papayastair/membership"
	"papayastair.dev/papayastair/order"
	"papayastair.dev/papayastair/peer"
	"papayastair.dev/papayastair/placement"
	"papayastair.dev/papayastair/platform"
	"papayastair.dev/papayastair/quota"
	"papayastair.dev/papayastair/ring"
	"papayastair.dev/papayastair/routing"
	"papayastair.dev/papayastair/service"
	"papayastair.dev/papayastair/settings"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
	"papayastair.dev/papayastair/workspace"
)

const (
	_memberPeriod = 250 * time.Millisecond
	_reportPeriod = 500 * time.Millisecond
)

// Instance is one serving process. Use New.
type Instance struct {
	cfg       wire.ProcessSettings
	id        string
	self      wire.Member
	timer     *timer.Service
	log       *event.Log
	registry  metrics.Registry
	platform  *platform.Client
	directory atomic.Pointer[workspace.Directory]

	peerListener net.Listener
	peers        *peer.Server
	pool         *peer.Pool

	members       *membership.Detector
	memberCarrier *membership.Transport
	follower      *configuration.Follower
	followCarrier *configuration.Carrier
	catalog       *placement.Catalog
	planner       *placement.Manager
	orders        *order.Manager
	demand        *demand
	// answered are the backend servers whose last report came.
	answered sync.Map

	ledger   *quota.Ledger
	reserved sync.Map
	// kept are the adapters in use, with the time of the last word of it.
	kept     sync.Map
	table    *routing.Table
	suspects *routing.Suspects
	queue    *admission.Queue
	book     *attempt.Book
	chooser  *locate.Chooser
	drain    *locate.Drain
	drained  chan struct{}

	engines  *engine.Client
	services *service.Client
	gateway  *gateway.Gateway
	operator *operator

	ctx  context.Context
	stop context.CancelFunc
	wg   conc.WaitGroup
	once sync.Once
}

// New starts an instance. It serves requests as soon as it has a
// configuration in force. On an error what was started is closed.
func New(cfg wire.ProcessSettings) (*Instance, error) {
	log, err := event.Open(cfg.LogFile, string(cfg.LogLevel), cfg.Name)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", cfg.PeerAddress)
	if err != nil {
		return nil, eris.Wrapf(err, "instance: listen for peers on %s", cfg.PeerAddress)
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		cfg:          cfg,
		id:           uuid.NewString(),
		timer:        timer.New(),
		log:          log,
		registry:     metrics.NewRegistry(),
		peerListener: listener,
		engines:      engine.NewClient(),
		services:     service.NewClient(),
		ctx:          ctx,
		stop:         cancel,
	}
	i.platform = platform.NewClient(cfg.PlatformAddress, i.registry)
	i.directory.Store(&workspace.Directory{Snapshot: &settings.Snapshot{}})
	if err := i.listen(); err != nil {
		cancel()
		i.timer.Close()
		_ = listener.Close()

		return nil, err
	}
	i.start()

	return i, nil
}

// Self is the instance's entry for the platform's list.
func (i *Instance) Self() wire.Member {
	return i.self
}

// CallerAddress is the IP:port that callers connect to.
func (i *Instance) CallerAddress() string {
	return i.self.CallerAddress
}

// OperatorAddress is the IP:port of the operators' interface.
func (i *Instance) OperatorAddress() string {
	return i.operator.address()
}

// Close ends the instance at once and waits for its goroutines.
func (i *Instance) Close() {
	i.once.Do(func() {
		i.gateway.Close()
		i.stop()
		i.queue.Close()
		i.planner.Close()
		i.orders.Close()
		i.ledger.Close()
		i.follower.Stop()
		i.followCarrier.Close()
		i.members.Stop()
		i.memberCarrier.Close()
		i.book.Close()
		i.peers.Close()
		i.wg.Wait()
		i.pool.Close()
		i.timer.Close()
		i.services.Close()
		i.operator.close()
		i.log.Write(event.ProcessStopped)
		i.log.Close()
	})
}

// listen opens the callers' and operators' addresses, makes all parts and
// lets peers call them.
func (i *Instance) listen() error {
	i.self = wire.Member{
		Name:          i.cfg.Name,
		Role:          wire.MemberRoleEntry,
		State:         wire.MemberStateLive,
		Region:        i.cfg.Region,
		FailureDomain: i.cfg.FailureDomain,
		Size:          max(i.cfg.Size, 1),
		PeerAddress:   i.peerListener.Addr().String(),
		Incarnation:   int(i.timer.Now().UnixMilli()),
	}
	hello := wire.Hello{
		Name:        i.cfg.Name,
		Incarnation: i.self.Incarnation,
	}
	i.peers = peer.NewServer(hello, i.registry)
	i.pool = peer.NewPool(hello, i.registry, i.timer)
	var err error
	i.gateway, err = gateway.New(gateway.Config{
		Instance:       i.cfg.Name,
		Address:        i.cfg.CallerAddress,
		BodyLimitBytes: i.cfg.BodyLimitBytes,
		MaxStreams:     i.cfg.MaxStreams,
		Timer:          i.timer,
		Log:            i.log,
		Registry:       i.registry,
		Parts:          i.parts(),
	})
	if err != nil {
		return err
	}
	i.self.CallerAddress = i.gateway.Address()
	i.newMembers()
	i.newLocate()
	i.newLedger()
	i.newRouting()
	i.newBook()
	i.newPlacement()
	i.newFollower()
	i.operator, err = i.newOperator()
	if err != nil {
		i.gateway.Close()
	}

	return err
}

// start lets peers in and begins all duties.
func (i *Instance) start() {
	i.wg.Go(func() { i.peers.Serve(i.peerListener) })
	i.members.Start()
	i.follower.Start()
	i.planner.Start()
	i.orders.Start()
	i.timer.Every(_memberPeriod, i.followMembers)
	i.timer.Every(_demandReportEvery, i.reportDemand)
	i.timer.Every(_demandPeriod, i.demand.roll)
	i.every(_reportPeriod, i.readReports)
	i.every(_demandPeriod, i.gatherDemand)
	i.gateway.Serve()
	i.logStart()
}

// every runs a duty that may wait in a goroutine of its own, after each
// period, until the instance closes. A period that the duty is late for is
// left out.
func (i *Instance) every(period time.Duration, duty func(ctx context.Context)) {
	ticks := ring.New[time.Time](1)
	i.timer.Every(period, func(now time.Time) { ticks.TryPush(now) })
	i.wg.Go(func() {
		for {
			if _, ok := ticks.Pop(i.ctx); !ok {
				return
			}
			duty(i.ctx)
		}
	})
}

// parts connects the gateway to what it calls.
func (i *Instance) parts() gateway.Parts {
	return gateway.Parts{
		Authenticate: i.authenticate,
		KnowsKeys:    func() bool { return i.follower.Keyed().Allowed },
		IsValid:      func(caller gateway.Caller) bool { return i.directory.Load().IsValid(caller) },
		Find: func(caller gateway.Caller, name string) (gateway.Target, gateway.Access) {
			return i.directory.Load().Find(caller, name)
		},
		Models: func(caller gateway.Caller) []string { return i.directory.Load().Models(caller) },
		Priority: func(caller gateway.Caller, asked wire.Priority) wire.Priority {
			return i.directory.Load().Priority(caller, asked)
		},
		Route:       func(path string) (wire.Route, bool) { return i.directory.Load().Route(path) },
		Reserve:     i.reserve,
		Settle:      i.settle,
		Acquire:     i.acquire,
		Complete:    i.engines.Complete,
		CallService: i.callService,
		Locate:      i.locate,
		AcceptsNew:  func() bool { return i.drain.AcceptsNew() },
	}
}

// newRandom is a source for choices that need no secrecy.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
