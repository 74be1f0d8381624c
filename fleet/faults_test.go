package fleet_test

import (
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/wire"
)

// faults are those of one round of a schedule; the zero value is none.
type faults struct {
	Store   standin.StoreFaults
	Service standin.ServiceFaults
	// Killed, Frozen and CutOff are instances; those cut off don't reach the
	// platform.
	Killed []int
	Frozen []int
	CutOff []int
}

// drawFaults draws one fault of the store, one of the service and one of an
// instance.
func drawFaults(random *rand.Rand, instances int) faults {
	const slow = 200 * time.Millisecond
	at := []int{random.IntN(instances)}
	choices := []func(f *faults){
		func(f *faults) { f.Store.Down = true },
		func(f *faults) { f.Store.LoseReplies = true },
		func(f *faults) { f.Store.Latency = slow },
		func(f *faults) { f.CutOff = []int{random.IntN(instances)} },
		func(f *faults) { f.Service.LoseReplies = true },
		func(f *faults) { f.Service.DelayBefore = slow },
		func(f *faults) { f.Service.DelayAfter = slow },
		func(f *faults) { f.Service.Crash = true },
		func(f *faults) { f.Killed = at },
		func(f *faults) { f.Frozen = at },
	}
	var drawn faults
	choices[random.IntN(4)](&drawn)
	choices[4+random.IntN(4)](&drawn)
	choices[8+random.IntN(2)](&drawn)

	return drawn
}

// inject brings faults about.
func (s *system) inject(t *testing.T, f faults) {
	t.Helper()
	s.setStoreFaults(t, f.Store)
	for _, service := range s.services {
		put(t, "http://"+service.address.CallerAddress+"/faults", encode(t, f.Service))
	}
	for _, i := range f.CutOff {
		s.links[i].setCut(true)
	}
	for _, i := range f.Frozen {
		s.instances[i].freeze()
	}
	for _, i := range f.Killed {
		s.instances[i].kill()
	}
}

// heal ends faults, and starts killed instances again.
func (s *system) heal(t *testing.T, f faults) {
	t.Helper()
	for _, i := range f.Frozen {
		s.instances[i].thaw()
	}
	for _, i := range f.Killed {
		s.restartInstance(t, i)
	}
	for _, i := range f.CutOff {
		s.links[i].setCut(false)
	}
	s.inject(t, faults{})
}

func (s *system) setStoreFaults(t *testing.T, f standin.StoreFaults) {
	t.Helper()
	put(t, "http://"+s.platform.address.CallerAddress+"/faults", encode(t, f))
}

// restartInstance kills an instance, if it still runs, and starts it at the
// same addresses. It knows its peers from its settings.
func (s *system) restartInstance(t *testing.T, i int) {
	t.Helper()
	old := s.instances[i]
	old.kill()
	peers := make([]string, 0, len(s.instances))
	for _, p := range slices.Concat(s.instances[:i], s.instances[i+1:]) {
		peers = append(peers, p.address.PeerAddress)
	}
	s.instances[i] = start(t, old.name, "serve", writeJSON(t, "settings.json", wire.ProcessSettings{
		Name:             old.name,
		Region:           "lk-west",
		FailureDomain:    "lk-west-" + string("abc"[i%3]),
		Size:             1,
		CallerAddress:    old.address.CallerAddress,
		PeerAddress:      old.address.PeerAddress,
		OperatorAddress:  old.address.OperatorAddress,
		PlatformAddress:  s.links[i].address,
		BodyLimitBytes:   1 << 20,
		MaxStreams:       4096,
		LocateTTLSeconds: 1,
		PeerAddresses:    peers,
		LogFile:          logFile(t, i),
		LogLevel:         "info",
	}))
}

// keepLogs keeps the instances' logs in one directory, which it returns.
func keepLogs(t *testing.T) string {
	t.Helper()
	const variable = "PAPAYASTAIR_TEST_LOGS"
	if os.Getenv(variable) == "" {
		t.Setenv(variable, t.TempDir())
	}

	return os.Getenv(variable)
}
