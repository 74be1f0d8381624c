package instance

import (
	"bytes"
	"net"

	"github.com/gofiber/fiber/v3"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/configuration"
	"papayastair.dev/papayastair/locate"
	"papayastair.dev/papayastair/membership"
	"papayastair.dev/papayastair/wire"
)

// operator is the operators' interface: health, readiness, metrics, status.
type operator struct {
	app      *fiber.App
	listener net.Listener
	wg       conc.WaitGroup
}

// Status is what an instance tells operators.
type Status struct {
	// Instance, FailureDomain and Incarnation are the instance's.
	Instance      string
	FailureDomain string
	Incarnation   int
	// Running is the number of requests that are being worked on.
	Running int
	// Leaving says that a graceful shutdown has begun.
	Leaving bool
	// Configuration, Members and Placement are its views.
	Configuration configuration.Status
	Members       membership.Status
	Placement     []wire.ModelPlacement
	// GivesOrdersTo are the backend servers whose lease it holds.
	GivesOrdersTo []string
	// Planner says that it plans the placement.
	Planner bool
}

func (i *Instance) newOperator() (*operator, error) {
	listener, err := net.Listen("tcp", i.cfg.OperatorAddress)
	if err != nil {
		return nil, eris.Wrapf(err, "instance: listen for operators on %s", i.cfg.OperatorAddress)
	}
	o := &operator{
		app:      fiber.New(fiber.Config{AppName: "papayastair-operator"}),
		listener: listener,
	}
	o.app.Get("/health", func(c fiber.Ctx) error { return c.SendString("ok") })
	o.app.Get("/ready", func(c fiber.Ctx) error {
		if !i.follower.Keyed().Allowed {
			return c.Status(fiber.StatusServiceUnavailable).SendString(i.follower.Keyed().Reason)
		}

		return c.SendString("ready")
	})
	o.app.Get("/metrics", func(c fiber.Ctx) error {
		var body bytes.Buffer
		metrics.WriteJSONOnce(i.registry, &body)
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)

		return c.Send(body.Bytes())
	})
	o.app.Get("/status", func(c fiber.Ctx) error { return c.JSON(i.Status()) })
	o.wg.Go(func() {
		// The error is that of a closed listener.
		_ = o.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	})

	return o, nil
}

func (o *operator) address() string {
	return o.listener.Addr().String()
}

func (o *operator) close() {
	_ = o.app.Shutdown()
	o.wg.Wait()
}

// Status is what the instance tells operators.
func (i *Instance) Status() Status {
	s := Status{
		Instance:      i.cfg.Name,
		FailureDomain: i.cfg.FailureDomain,
		Incarnation:   i.self.Incarnation,
		Running:       i.gateway.Running(),
		Leaving:       i.drain.State() != locate.StateServing,
		Configuration: i.follower.Status(),
		Members:       i.members.Status(),
		Planner:       i.planner.IsPlanner(),
	}
	for model, copies := range i.catalog.All() {
		s.Placement = append(s.Placement, wire.ModelPlacement{
			Model:  model,
			Copies: copies,
		})
	}
	for _, server := range i.fleet().Servers {
		if i.orders.Holds(server.Name) {
			s.GivesOrdersTo = append(s.GivesOrdersTo, server.Name)
		}
	}

	return s
}
