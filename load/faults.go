package load

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"papayastair.dev/papayastair/connection"
	"papayastair.dev/papayastair/fleet"
	"papayastair.dev/papayastair/instance"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/wire"
)

const (
	_stopTimeout = time.Minute
	_killTimeout = 2 * time.Second
)

// checkFaults says which fault of an experiment has no target.
func checkFaults(f *fleet.Fleet, faults []wire.ExperimentFault) error {
	for _, fault := range faults {
		known := true
		switch fault.Kind {
		case wire.ExperimentFaultKindEngineKilled:
			_, known = f.Engines[fault.Target]
		case wire.ExperimentFaultKindInstanceStopped, wire.ExperimentFaultKindInstanceClosed:
			known = findInstance(f, fault.Target) != nil
		case wire.ExperimentFaultKindStoreDown:
		}
		if !known {
			return fmt.Errorf("load: fault %s has no target %q", fault.Kind, fault.Target)
		}
	}

	return nil
}

// startFaults carries out the faults at their times. What it starts is joined
// by wg.
func startFaults(ctx context.Context, wg *conc.WaitGroup, f *fleet.Fleet, faults []wire.ExperimentFault, start time.Time) {
	for _, fault := range faults {
		wg.Go(func() {
			at := start.Add(time.Duration(fault.AtSeconds) * time.Second)
			if objectstore.Sleep(ctx, time.Until(at)) == nil {
				fail(ctx, f, fault)
			}
		})
	}
}

func fail(ctx context.Context, f *fleet.Fleet, fault wire.ExperimentFault) {
	switch fault.Kind {
	case wire.ExperimentFaultKindEngineKilled:
		kill(f.Engines[fault.Target])
	case wire.ExperimentFaultKindStoreDown:
		f.Platform.Store.SetFaults(standin.StoreFaults{Down: true})
		// The store comes back also when the run ends early.
		_ = objectstore.Sleep(ctx, time.Duration(fault.Seconds)*time.Second)
		f.Platform.Store.SetFaults(standin.StoreFaults{})
	case wire.ExperimentFaultKindInstanceStopped:
		stop, cancel := context.WithTimeout(ctx, _stopTimeout)
		defer cancel()
		findInstance(f, fault.Target).Shutdown(stop)
	case wire.ExperimentFaultKindInstanceClosed:
		findInstance(f, fault.Target).Close()
	}
}

// kill has an engine crash over a request, which cuts its connections as the
// death of a process does. An engine that serves no model is closed.
func kill(e *standin.Engine) {
	client := connection.NewClient(_killTimeout)
	for _, r := range e.Accelerators().Report(time.Now()).Residents {
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		req.SetRequestURI("http://" + e.Address() + "/v1/completions")
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.Set("X-Priority", string(wire.PriorityUrgent))
		req.SetBodyString(fmt.Sprintf(`{"model":%q,"prompt":"crash this engine","max_tokens":1}`, r.Model))
		err := client.Do(req, resp)
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
		if err != nil {
			break
		}
	}
	e.Close()
}

// findInstance is an instance by name, or nil.
func findInstance(f *fleet.Fleet, name string) *instance.Instance {
	for _, in := range f.Instances {
		if in.Self().Name == name {
			return in
		}
	}

	return nil
}
