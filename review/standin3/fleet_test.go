package standin3

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/standin"
)

const (
	_program  = "target/papayastair-entry"
	_host     = "review.example"
	_region   = "r"
	_grace    = 8 * time.Second
	_lease    = 3000 * time.Millisecond
	_thaw     = 300 * time.Millisecond
	_drain    = 2000 * time.Millisecond
	_apply    = 2000 * time.Millisecond
	_revoke   = 5000 * time.Millisecond
	_readyFor = 20 * time.Second
	_pollTime = 50 * time.Millisecond
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}

	return &record{
		file:  file,
		began: time.Now(),
	}, nil
}

// write adds a line with the time since the start.
func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that can't be written shows nothing; the exit code still does.
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// machine is a machine with one process of the system.
type machine struct {
	name string
	ip   string
	zone string
	path string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	log    *os.File
}

// fleet is the machines of the system with a store, on loopback addresses.
type fleet struct {
	dir      string
	record   *record
	platform *standin.Platform
	store    objectstore.Store
	machines []*machine
	// added counts all machines, also those that are gone.
	added   int
	version int

	mu sync.Mutex
	// all are the machines whose processes are to be ended.
	all []*machine
}

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "papayastair-review")
	if err != nil {
		return nil, err
	}
	platform, err := standin.NewPlatform(standin.PlatformConfig{Address: "127.0.0.1:0"})
	if err != nil {
		return nil, err
	}

	f := &fleet{
		dir:      dir,
		record:   rec,
		platform: platform,
		store:    platform.Store.Platform(),
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		f.kill()
		_ = os.RemoveAll(f.dir)
		os.Exit(_exitCouldNot)
	}()

	return f, nil
}

// kill ends all processes.
func (f *fleet) kill() {
	f.mu.Lock()
	all := slices.Clone(f.all)
	f.mu.Unlock()
	for _, m := range all {
		m.signal(syscall.SIGKILL)
		m.wait(_grace)
	}
}

// Close ends all processes and removes what they wrote.
func (f *fleet) Close() {
	f.kill()
	f.platform.Close()
	_ = os.RemoveAll(f.dir)
}

// add adds a machine, which isn't started.
func (f *fleet) add(name, zone string) *machine {
	f.added++
	m := &machine{
		name: name,
		ip:   fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%200, 1+os.Getpid()/200%250, f.added),
		zone: zone,
	}
	m.path = filepath.Join(f.dir, name+".toml")
	f.machines = append(f.machines, m)
	f.mu.Lock()
	f.all = append(f.all, m)
	f.mu.Unlock()

	return m
}

// writeSettings writes the settings file of a machine.
func (f *fleet) writeSettings(m *machine, zones []string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\nrole = \"entry\"\nmachine_class = \"edge\"\nserves = [\"edge\",\"registry\"]\n", m.name)
	fmt.Fprintf(&b, "ip = %q\nzone = %q\nregion = %q\nport_range = [7600,7615]\nbootstrap = true\n", m.ip, m.zone, _region)
	b.WriteString("discovery = \"platform\"\nentry = \"registry\"\nheartbeat_ms = 1200\n[zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = %q\n", z, _region)
	}
	fmt.Fprintf(&b, "[listen]\nfront = \"%s:8221\"\nready = \"%s:8224\"\ndirectory = \"%s:8220\"\n", m.ip, m.ip, m.ip)
	b.WriteString("[limits]\ncpu_share = 0.4\ncpus = 1\nram_mb = 284\nmax_fds = 4100\nnet_mbps = 1000.0\ndisk_mb = 0\n")
	fmt.Fprintf(&b, "[bounds]\ncontact_ms = 3000\ndrain_ms = %d\ngrace_s = %g\napply_ms = %d\nback_ms = 250\nstrict_revoke = true\nrevoke_ms = %d\n",
		_drain.Milliseconds(), _grace.Seconds(), _apply.Milliseconds(), _revoke.Milliseconds())
	fmt.Fprintf(&b, "retry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 56\nquota_window_s = 8\nquota_over = 0.1\nquota_slack = 7500\nrequire_fence = false\nlease_ms = %d\nthaw_ms = %d\nttl_max_s = 5\n",
		_lease.Milliseconds(), _thaw.Milliseconds())
	fmt.Fprintf(&b, "[infra]\naddr = %q\nform = \"objects\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\n", f.platform.Address)

	return os.WriteFile(m.path, []byte(b.String()), 0o600)
}

// start starts the process of a machine by the command of the deploy file.
func (m *machine) start() error {
	log, err := os.OpenFile(strings.TrimSuffix(m.path, ".toml")+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(_program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PAPAYASTAIR_BOOT=" + m.path}
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited, m.log = cmd, exited, log
	m.mu.Unlock()
	go func() {
		// How it ended doesn't matter; that it did does.
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()

	return nil
}

// signal sends a signal to the process that was started.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd == nil {
		return
	}
	select {
	case <-m.exited:
	default:
		// A process that has just ended needs no signal.
		_ = m.cmd.Process.Signal(s)
	}
}

// wait waits until the process has ended, and reports whether it has.
func (m *machine) wait(most time.Duration) bool {
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(most):
		return false
	}
}

// stop stops the process as the platform does: SIGTERM, and SIGKILL after grace_s.
func (m *machine) stop() {
	m.signal(syscall.SIGTERM)
	if !m.wait(_grace) {
		m.signal(syscall.SIGKILL)
		m.wait(time.Second)
	}
}

// isReady asks the machine whether it is ready.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + m.ip + ":8224/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()

	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready, and reports whether they are.
func (f *fleet) awaitReady() bool {
	for end := time.Now().Add(_readyFor); time.Now().Before(end); time.Sleep(_pollTime) {
		ready := 0
		for _, m := range f.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(f.machines) {
			return true
		}
	}

	return false
}

// portsFree reports whether the addresses of a machine can be listened on.
func (m *machine) portsFree() bool {
	for _, port := range []string{"8220", "8221", "8224", "7790"} {
		l, err := net.Listen("tcp", net.JoinHostPort(m.ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}

	return true
}

// declare writes a configuration, as the operator does.
func (f *fleet) declare(routes, services, tenants []any) error {
	f.version++
	value, err := json.Marshal(map[string]any{
		"version":  f.version,
		"routes":   routes,
		"services": services,
		"tenants":  tenants,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
	if err != nil {
		return err
	}
	ctx := context.Background()
	version := 0
	if o, err := f.store.Get(ctx, "config", "main"); err == nil {
		version = o.Version
	}
	_, err = f.store.Put(ctx, "config", "main", string(value), version)

	return err
}
