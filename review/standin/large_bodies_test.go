package standin

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryGuard ends a process that holds more than ram_mb, as the platform does.
type memoryGuard struct {
	fleet *fleet
	stop  chan struct{}

	mu    sync.Mutex
	kills map[string]int
	peaks map[string]int
}

func startMemoryGuard(f *fleet) *memoryGuard {
	g := &memoryGuard{
		fleet: f,
		stop:  make(chan struct{}),
		kills: map[string]int{},
		peaks: map[string]int{},
	}
	for _, e := range f.entries {
		go g.watch(e)
	}

	return g
}

// watch looks at a process every few milliseconds.
func (g *memoryGuard) watch(e *entryProcess) {
	const interval = 5 * time.Millisecond
	for {
		select {
		case <-g.stop:
			return
		case <-time.After(interval):
		}
		mb := residentMB(e.pid())
		g.mu.Lock()
		g.peaks[e.name] = max(g.peaks[e.name], mb)
		if mb > _ramMB {
			g.kills[e.name]++
		}
		g.mu.Unlock()
		if mb > _ramMB {
			g.fleet.record.say("%s holds %d MB, more than ram_mb, and is killed", e.name, mb)
			e.signal(syscall.SIGKILL)
			time.Sleep(2 * _restartDelay)
		}
	}
}

// largeBodies: many clients come at once, with bodies of the largest size that the limits
// allow. The platform kills a process that holds more than ram_mb; on two machines and three times
// on each that is a fault (Fault).
func largeBodies(r *record, trouble bool) (bool, error) {
	const (
		machines = 2
		workers  = 4
		usual    = 44
		// burst is in tenths, as in the site file.
		burst     = 27
		waves     = 5
		pause     = 6 * time.Second
		upload    = 2 * time.Second
		allowed   = 2
		different = 2
	)
	atOnce := usual
	if trouble {
		atOnce = usual * burst / 10
	}
	f, err := startFleet(r, machines, configuration())
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return false, err
	}
	c, err := f.prepare(workers, workerConfig{
		service: _plainService,
		first:   50 * time.Millisecond,
	}, 0)
	if err != nil {
		return false, err
	}
	guard := startMemoryGuard(f)
	var got outcomes
	body := bytes.Repeat([]byte("x"), _maxBodyBytes)
	for i := range waves {
		r.say("wave %d: %d clients at once, with bodies of %d bytes", i+1, atOnce, len(body))
		for range atOnce {
			c.send(request{
				path:     "/file/a",
				body:     body,
				upload:   upload,
				deadline: 10 * time.Second,
			}, got.add)
		}
		time.Sleep(pause)
	}
	c.stop()
	close(guard.stop)
	statuses := map[int]int{}
	for _, o := range got.all() {
		statuses[o.reply.status]++
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	r.say("killed %v, most memory %v MB, answers by status (0: none) %v", guard.kills, guard.peaks, statuses)
	over := 0
	for _, kills := range guard.kills {
		if kills > allowed {
			over++
		}
	}

	return over >= different, nil
}

// residentMB returns the memory that a process holds; 0 if it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	kb, err := strconv.Atoi(fields[0])
	if err != nil {
		return 0
	}

	return kb >> 10
}
