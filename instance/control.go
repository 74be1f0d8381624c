package instance

import (
	"context"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/configuration"
	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/gateway"
	"papayastair.dev/papayastair/membership"
	"papayastair.dev/papayastair/order"
	"papayastair.dev/papayastair/peer"
	"papayastair.dev/papayastair/placement"
	"papayastair.dev/papayastair/quota"
	"papayastair.dev/papayastair/settings"
	"papayastair.dev/papayastair/wire"
	"papayastair.dev/papayastair/workspace"
)

const (
	_adapterMethod  = "Instance.Adapter"
	_adapterTimeout = time.Second
)

// newMembers makes the view of instances and backend servers.
func (i *Instance) newMembers() {
	i.members = &membership.Detector{
		Self:          i.self,
		Timer:         i.timer,
		Random:        newRandom(),
		Log:           i.log,
		PeerAddresses: i.cfg.PeerAddresses,
	}
	i.memberCarrier = membership.Connect(i.members, i.pool, i.platform.Store("Membership"))
	membership.Register(i.peers, i.members)
}

// newFollower makes the view of the configuration.
func (i *Instance) newFollower() {
	i.follower = &configuration.Follower{
		Name:          i.cfg.Name,
		Address:       i.self.PeerAddress,
		FailureDomain: i.cfg.FailureDomain,
		Timer:         i.timer,
		Random:        newRandom(),
		PeerAddresses: i.cfg.PeerAddresses,
		Peers:         i.members.Peers,
		Reach:         i.reach,
		OnSnapshot:    i.apply,
		Log:           i.log,
	}
	i.followCarrier = configuration.Carry(i.follower, i.pool,
		i.platform.Store("Configuration"), i.platform.Store("Status"))
	configuration.Register(i.peers, i.follower)
}

// newPlacement makes the parts that decide where copies stand and that order
// engines to follow.
func (i *Instance) newPlacement() {
	i.demand = newDemand()
	peer.Register(i.peers, _demandMethod, i.demand.answer)
	i.catalog = placement.NewCatalog(i.platform.Store("Placement"), i.id)
	i.planner = &placement.Manager{
		Name:     i.cfg.Name,
		Catalog:  i.catalog,
		Planner:  placement.NewPlanner(placement.Options{}),
		Members:  i.controllers,
		Fleet:    i.fleet,
		Presence: i.presence,
		Demand:   i.demand.total,
		Timer:    i.timer,
		Log:      i.log,
		Metrics:  i.registry,
	}
	i.orders = &order.Manager{
		Name:        i.cfg.Name,
		Incarnation: i.self.Incarnation,
		Store:       i.platform.Store("Order"),
		Catalog:     i.catalog,
		Send: func(ctx context.Context, server string, o wire.Order) (wire.OrderResult, error) {
			return i.engines.Send(ctx, i.addressOf(server), o)
		},
		Report: func(ctx context.Context, server string) (wire.LoadReport, error) {
			return i.engines.Report(ctx, i.addressOf(server))
		},
		Members: i.controllers,
		Fleet:   i.fleet,
		Timer:   i.timer,
		Log:     i.log,
		Metrics: i.registry,
	}
	peer.Register(i.peers, _adapterMethod, func(ask wire.AdapterAsk) (wire.AdapterAnswer, error) {
		return wire.AdapterAnswer{Accepted: i.orders.RequestAdapter(ask.Server, ask.Adapter)}, nil
	})
}

// apply puts a configuration in force.
func (i *Instance) apply(snapshot *settings.Snapshot) {
	i.directory.Store(&workspace.Directory{Snapshot: snapshot})
	limits := make([]quota.Limit, 0, len(snapshot.Workspaces))
	for _, w := range snapshot.Workspaces {
		limits = append(limits, quota.Limit{
			Workspace:           w.Name,
			RateTokensPerSecond: float64(w.RateTokensPerSecond),
			BurstTokens:         float64(w.BurstTokens),
		})
	}
	i.ledger.SetLimits(limits)
	servers := make([]wire.BackendServer, 0, len(snapshot.BackendServers))
	for _, server := range snapshot.BackendServers {
		servers = append(servers, server)
	}
	i.table.SetServers(servers)
	i.members.SetConfiguredServers(servers)
	i.gateway.CheckKeys()
}

// followMembers hands the present members to the parts that share work among
// them.
func (i *Instance) followMembers(time.Time) {
	members := i.members.Members()
	quotaMembers := make([]wire.QuotaMember, 0, len(members))
	complete := i.members.HasList()
	peers := make([]string, 0, len(members))
	for _, m := range members {
		// A leaving instance still serves, and needs its part until it ends.
		if m.Role != wire.MemberRoleEntry || m.Health == wire.FindingHealthFailed {
			continue
		}
		peers = append(peers, m.Name)
		complete = complete && m.Incarnation > 0
		quotaMembers = append(quotaMembers, wire.QuotaMember{
			Instance:    m.Name,
			Incarnation: m.Incarnation,
			Size:        max(m.Size, 1),
		})
	}
	// A table of shares without a member, or with one that hasn't been heard
	// of yet and so has no incarnation, would give its run nothing. Each listed
	// one is soon heard of, or failed.
	if complete {
		i.ledger.SetMembers(quotaMembers)
	}
	i.suspects.SetPeers(peers)
	i.queue.SetInstanceCount(len(peers))
	for server, share := range i.queue.Shares(i.table.Serving()) {
		i.table.SetShare(server, share)
	}
}

// followReports reads the load report of each engine into the routing table.
func (i *Instance) followReports(ctx context.Context, server wire.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, _reportPeriod)
	defer cancel()
	report, err := i.engines.Report(ctx, server.Address)
	if err != nil {
		i.members.ReportConnectionFailure(server.Name)
		i.answered.Delete(server.Name)

		return
	}
	i.answered.Store(server.Name, true)
	i.members.ReportServerState(server.Name, report.Leaving, report.AtUnixMilliseconds)
	i.table.Observe(report)
	i.queue.Wake(i.table.Models(server.Name))
}

// readReports reads the reports of all engines once.
func (i *Instance) readReports(ctx context.Context) {
	for _, server := range i.directory.Load().Snapshot.BackendServers {
		if server.Kind != wire.BackendServerKindEngine {
			continue
		}
		i.wg.Go(func() { i.followReports(ctx, server) })
	}
}

// askAdapter asks whoever gives orders to a backend server to load an
// adapter: the instance that is preferred for it, and where that doesn't hold
// the lease, all others.
func (i *Instance) askAdapter(server, adapter string) {
	if i.orders.RequestAdapter(server, adapter) {
		return
	}
	ask := wire.AdapterAsk{
		Server:  server,
		Adapter: adapter,
	}
	preferred := placement.Preferred(server, i.controllers())
	i.sendAdapterAsk(ask, func(name string) bool { return name == preferred }, func(accepted bool) {
		if !accepted {
			i.sendAdapterAsk(ask, func(name string) bool { return name != preferred }, func(bool) {})
		}
	})
}

// sendAdapterAsk asks the peers that match.
func (i *Instance) sendAdapterAsk(ask wire.AdapterAsk, match func(name string) bool, done func(accepted bool)) {
	asked := false
	for _, m := range i.members.Peers() {
		if !match(m.Name) {
			continue
		}
		asked = true
		peer.Go(i.pool, _adapterTimeout, m.PeerAddress, _adapterMethod, ask, func(answer wire.AdapterAnswer, err error) {
			done(err == nil && answer.Accepted)
		})
	}
	if !asked {
		done(false)
	}
}

// reach counts instances for the rule on requests with keys.
func (i *Instance) reach() configuration.Reach {
	alive, listed := i.members.CountInstances()

	return configuration.Reach{
		Alive:  alive,
		Listed: listed,
	}
}

// controllers are the instances that take part in control, this one included.
func (i *Instance) controllers() []wire.Member {
	controllers := []wire.Member{i.self}
	for _, m := range i.members.Members() {
		if m.Role == wire.MemberRoleEntry && m.IsUsable() && m.Name != i.cfg.Name {
			controllers = append(controllers, m.Member)
		}
	}

	return controllers
}

// fleet is what the settings in force say about models and engines.
func (i *Instance) fleet() placement.Fleet {
	snapshot := i.directory.Load().Snapshot
	fleet := placement.Fleet{
		Models:     make([]wire.Model, 0, len(snapshot.Models)),
		Adapters:   make([]wire.Adapter, 0, len(snapshot.Adapters)),
		Placements: make([]wire.Placement, 0, len(snapshot.Placements)),
		Servers:    make([]wire.BackendServer, 0, len(snapshot.BackendServers)),
	}
	for _, model := range snapshot.Models {
		fleet.Models = append(fleet.Models, model)
	}
	for _, adapter := range snapshot.Adapters {
		fleet.Adapters = append(fleet.Adapters, adapter)
	}
	for _, p := range snapshot.Placements {
		fleet.Placements = append(fleet.Placements, p)
	}
	for _, server := range snapshot.BackendServers {
		if server.Kind == wire.BackendServerKindEngine {
			fleet.Servers = append(fleet.Servers, server)
		}
	}

	return fleet
}

// presence is this instance's view of the engines. An engine that neither
// the platform nor a peer has spoken of counts as live while it answers here.
// A listed one that refuses connections is suspect until it speaks again, and
// never failed, since nobody probes it: its models are needed elsewhere.
func (i *Instance) presence() map[string]placement.Presence {
	presence := map[string]placement.Presence{}
	for _, server := range i.fleet().Servers {
		_, answers := i.answered.Load(server.Name)
		presence[server.Name] = placement.Presence{Live: answers}
	}
	for _, m := range i.members.Members() {
		if _, ok := presence[m.Name]; ok && (m.Listed || m.Leaving) {
			presence[m.Name] = placement.Presence{
				Live:    m.Health == wire.FindingHealthAlive,
				Leaving: m.Leaving,
			}
		}
	}

	return presence
}

// addressOf is the address of a backend server, or none.
func (i *Instance) addressOf(server string) string {
	return i.directory.Load().Snapshot.BackendServers[server].Address
}

// peerAddress is the peer address of an instance, or none.
func (i *Instance) peerAddress(name string) string {
	for _, m := range i.members.Peers() {
		if m.Name == name {
			return m.PeerAddress
		}
	}

	return ""
}

// logStart writes where the instance listens.
func (i *Instance) logStart() {
	i.log.Write(event.ProcessStarted,
		zap.String("CallerAddress", i.gateway.Address()),
		zap.String("PeerAddress", i.self.PeerAddress),
		zap.String("OperatorAddress", i.operator.address()),
		zap.String("FailureDomain", i.cfg.FailureDomain),
		zap.Int("Incarnation", i.self.Incarnation),
	)
}

// authenticate guards the look-up of keys: while withdrawals might be missed,
// no key is taken.
func (i *Instance) authenticate(key []byte) (gateway.Caller, bool) {
	if !i.follower.Keyed().Allowed {
		return gateway.Caller{}, false
	}

	return i.directory.Load().Authenticate(key)
}
