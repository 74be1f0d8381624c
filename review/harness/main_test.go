package harness

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a script.
const (
	_exitHeld   = 0
	_exitBroken = 1
	_exitNotRun = 2
)

// _instances is the number of instances of a small deployment.
const _instances = 6

// context is what a scenario works with.
type context struct {
	rec     *record
	store   *store
	fleet   *fleet
	workers []*worker
	network string
	// tainted is the account of the scenario tainted.
	tainted *taint
	// trouble is set unless the disruption is left out.
	trouble bool
}

// scenarios are the cases by name. Each reports whether its rule was broken.
var scenarios = map[string]func(c *context) (broken bool, err error){
	"restored": playRestored,
	"spoiled":  playSpoiled,
	"tainted":  playTainted,
}

// _longest is the longest time of a run, after which it ends as one that couldn't run.
const _longest = 110 * time.Second

// TestMain plays a case instead of tests if one is named.
func TestMain(m *testing.M) {
	if os.Getenv("HARNESS_SCENARIO") == "" {
		os.Exit(m.Run())
	}
	os.Exit(play(os.Getenv("HARNESS_SCENARIO"), os.Getenv("HARNESS_FOLDER")))
}

func play(name, folder string) int {
	scenario := scenarios[name]
	if scenario == nil {
		fmt.Fprintln(os.Stderr, "no such scenario:", name)

		return _exitNotRun
	}
	rec, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return _exitNotRun
	}
	defer rec.close()
	broken, err := playScenario(rec, scenario)
	switch {
	case err != nil:
		rec.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)

		return _exitNotRun
	case broken:
		rec.note("the rule was broken")

		return _exitBroken
	default:
		rec.note("the rule held")

		return _exitHeld
	}
}

func playScenario(rec *record, scenario func(c *context) (bool, error)) (broken bool, err error) {
	network, err := freeNetwork(os.Getpid())
	if err != nil {
		return false, err
	}
	s, err := newStore(network+".8", rec)
	if err != nil {
		return false, err
	}
	defer s.close()
	f, err := newFleet(_instances, network, s.address, rec)
	if err != nil {
		return false, err
	}
	defer f.close(os.Getenv("HARNESS_LOGS"))
	c := &context{
		rec:     rec,
		store:   s,
		fleet:   f,
		network: network,
		trouble: os.Getenv("TROUBLE") != "0",
	}
	rec.note("trouble: %t", c.trouble)
	defer func() {
		for _, w := range c.workers {
			w.close()
		}
	}()

	return c.playInTime(scenario)
}

// outcome is the result of a scenario.
type outcome struct {
	broken bool
	err    error
}

// playInTime plays a scenario until its end, a signal or _longest.
func (c *context) playInTime(scenario func(c *context) (bool, error)) (broken bool, err error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan outcome, 1)
	go func() {
		broken, err := scenario(c)
		done <- outcome{
			broken: broken,
			err:    err,
		}
	}()
	select {
	case o := <-done:
		return o.broken, o.err
	case <-signals:
		return false, errors.New("ended by a signal")
	case <-time.After(_longest):
		return false, errors.New("out of time")
	}
}

// newWorker adds a worker, which is to be started.
func (c *context) newWorker(id, service, zone string, slots int) *worker {
	w := &worker{
		id:      id,
		service: service,
		zone:    zone,
		slots:   slots,
		store:   c.store,
		rec:     c.rec,
	}
	c.workers = append(c.workers, w)

	return w
}

// clients runs n clients, each of which calls ask at an interval with the number of its
// request, without waiting for the answer. The result stops them and waits.
func (c *context) clients(n int, interval time.Duration, ask func(client, request int)) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for client := range n {
		wg.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-ticker.C:
				}
				wg.Go(func() { ask(client, i) })
			}
		})
	}

	return func() {
		close(done)
		wg.Wait()
	}
}
