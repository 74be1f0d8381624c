package standin3

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

// _replacedAfter is the time after which a new machine comes for one that is gone.
const _replacedAfter = time.Second

// playNames replaces the machine that has given the last order by a new one at another
// address, to which the platform gives the same name. It returns the breaks of the rule ONE.
func playNames(rec *record, trouble bool) (breaks []string, err error) {
	f, err := newFleet(rec)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	engines, err := f.startSystem([]string{"colombo-a", "negombo"})
	if err != nil {
		return nil, err
	}
	defer closeAll(engines)
	c := f.newClients()
	c.run(12, 20*time.Millisecond)
	time.Sleep(_warmUp)
	var gone time.Time
	former := f.lastHolder(engines)
	if trouble && former != nil {
		gone = time.Now()
		former.signal(syscall.SIGKILL)
		former.wait(time.Second)
		rec.write("%s at %s has lost power for good", former.name, former.ip)
		f.machines = slices.DeleteFunc(f.machines, func(m *machine) bool { return m == former })
		time.Sleep(_replacedAfter)
		next := f.add(former.name, former.zone)
		if err := f.writeSettings(next, []string{"colombo-a", "negombo"}); err != nil {
			return nil, err
		}
		if err := next.start(); err != nil {
			return nil, err
		}
		rec.write("another machine is started at %s, with the name %s", next.ip, next.name)
	}
	time.Sleep(_afterAll)
	c.Close()
	for _, e := range engines {
		orders := e.taken()
		for i := range orders {
			if !gone.IsZero() && orders[i].At.After(gone) && orders[i].Holder == former.name {
				orders[i].Holder += " (the new machine)"
			}
		}
		breaks = append(breaks, judgeOrders(orders)...)
	}

	return breaks, nil
}

// lastHolder returns the machine that has given the last order.
func (f *fleet) lastHolder(engines []*engine) *machine {
	var last order
	for _, e := range engines {
		if orders := e.taken(); len(orders) > 0 && orders[len(orders)-1].At.After(last.At) {
			last = orders[len(orders)-1]
		}
	}
	for _, m := range f.machines {
		if m.name == last.Holder {
			return m
		}
	}

	return nil
}

// startSystem starts two workers in each zone, and four machines.
func (f *fleet) startSystem(zones []string) ([]*engine, error) {
	if err := f.declare([]any{liveRoute()}, []any{engineService(2, 8)}, []any{tenant()}); err != nil {
		return nil, err
	}
	engines := make([]*engine, 0, 2*len(zones))
	for i := range 2 * len(zones) {
		zone := zones[i/2]
		e, err := newEngine(engineConfig{
			ID:      fmt.Sprintf("i-%s-%d", zone, i),
			Service: _engines,
			Zone:    zone,
			Models:  []string{"m0", "m1"},
			Store:   f.store,
			Record:  f.record,
		})
		if err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}

	return engines, f.startMachines(zones)
}

// startMachines starts four machines and waits until they are ready.
func (f *fleet) startMachines(zones []string) error {
	for i := range 4 {
		zone := zones[(i+i/2)%len(zones)]
		m := f.add(fmt.Sprintf("edge-%s-%d", zone, i+1), zone)
		if !m.portsFree() {
			return fmt.Errorf("the ports of %s are in use", m.ip)
		}
		if err := f.writeSettings(m, zones); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
	}
	if !f.awaitReady() {
		return fmt.Errorf("the machines aren't ready after %s", _readyFor)
	}

	return nil
}

func closeAll(engines []*engine) {
	for _, e := range engines {
		e.Close()
	}
}

// newClients returns clients that ask for all adapters.
func (f *fleet) newClients() *clients {
	c := &clients{f: f}
	for model := range 2 {
		for adapter := range 8 {
			c.models = append(c.models, fmt.Sprintf("m%d/a%d", model, adapter+1))
		}
	}

	return c
}

// judgeOrders returns the orders to one worker that break the rule ONE: two holders take
// turns within lease_ms, or a lower fencing token comes after a higher one.
func judgeOrders(orders []order) []string {
	var breaks []string
	last := map[string]order{}
	highest := order{}
	for _, o := range orders {
		for holder, former := range last {
			if gap := o.At.Sub(former.At); holder != o.Holder && gap < _lease {
				breaks = append(breaks, fmt.Sprintf("%s: order of %s (fence %d) %.3f s after one of %s (fence %d)",
					o.Server, o.Holder, o.Fence, gap.Seconds(), former.Holder, former.Fence))
			}
		}
		if o.Fence < highest.Fence && o.Holder != highest.Holder {
			breaks = append(breaks, fmt.Sprintf("%s: fence %d of %s after %d of %s", o.Server, o.Fence, o.Holder, highest.Fence, highest.Holder))
		}
		if o.Fence > highest.Fence {
			highest = o
		}
		last[o.Holder] = o
	}
	slices.SortFunc(breaks, strings.Compare)

	return breaks
}
