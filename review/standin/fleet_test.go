package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	_zone          = "zone-a"
	_otherZone     = "zone-b"
	_entryProgram  = "target/papayastair-entry"
	_restartDelay  = 300 * time.Millisecond
	_readyTimeout  = 15 * time.Second
	_startTries    = 20
	_metricsPort   = 7790
	_portsPerRange = 2
	// _longest is shorter than the two minutes that a case may take.
	_longest = 117 * time.Second
)

// The bounds of the users' small deployments.
const (
	_contact = 3 * time.Second
	_grace   = 8 * time.Second
	_ramMB   = 284
)

// _settings is the settings file of a machine.
const _settings = `node = %q
role = "entry"
machine_class = "edge"
serves = ["edge","registry"]
ip = %q
zone = %q
region = "region-a"
port_range = [%d,%d]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","tenants","quota","platform"]
[zones]
zone-a = "region-a"
zone-b = "region-a"
[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpu_share = 0.4
cpus = 1
ram_mb = %d
max_fds = 4100
net_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_s = 2
contact_ms = %d
ack_ms = 4000
sync_s = 4
drain_ms = 2000
grace_s = %d
loss_slack_ms = 200
apply_ms = 2000
back_ms = 250
stretch_max_ms = 5000
strict_revoke = true
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 56
quota_window_s = 8
quota_over = 0.1
quota_slack = 7500
recovery_s = 12
pass_ms = 120
again_s = 0
require_fence = false
lease_ms = 3000
thaw_ms = 300
ceiling_window_s = 5
ceiling_over = 1.1
ttl_max_s = 5
[infra]
addr = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// entryProcess is one machine of the system.
type entryProcess struct {
	name      string
	ip        string
	front     string
	ready     string
	directory string
	settings  string
	log       *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
	// disturbed are the times of all starts and signals.
	disturbed []time.Time
	ended     chan struct{}
}

// fleet is a small deployment: the store, workers and entry processes.
type fleet struct {
	record   *record
	platform *platform
	folder   string
	entries  []*entryProcess
	workers  []*workerProcess

	mu     sync.Mutex
	events []workerEvent
}

// startFleet starts the store with a configuration, and n entry processes.
func startFleet(r *record, n int, configuration map[string]any) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	p, err := startPlatform()
	if err != nil {
		return nil, err
	}
	f := &fleet{
		record:   r,
		platform: p,
		folder:   folder,
	}
	f.closeOnSignal()
	if err := p.put("config", "main", configuration); err != nil {
		return nil, err
	}
	for i := range n {
		e, err := f.newEntry(fmt.Sprintf("edge-a-%d", i+1), []string{_zone, _otherZone}[i%2])
		if err != nil {
			return f, err
		}
		f.entries = append(f.entries, e)
		if err := e.start(); err != nil {
			return f, err
		}
	}

	return f, nil
}

// closeOnSignal ends all processes if the case is ended from outside or takes too long.
func (f *fleet) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(_longest):
		}
		f.record.say("ended before its time")
		f.close()
		f.record.close()
		os.Exit(_exitNotRun)
	}()
}

// close ends all processes.
func (f *fleet) close() {
	for _, e := range f.entries {
		e.stop(syscall.SIGKILL)
	}
	for _, w := range f.workers {
		w.end()
	}
	f.platform.close()
	_ = os.RemoveAll(f.folder)
}

// freeIP returns a loopback address on which the port for metrics is free.
func freeIP() (string, error) {
	for range _startTries {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(200), rand.IntN(250), 1+rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, _metricsPort))
		if err != nil {
			continue
		}

		return ip, l.Close()
	}

	return "", errors.New("no free loopback address")
}

// freePorts returns free TCP ports of an address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		a, ok := l.Addr().(*net.TCPAddr)
		if !ok {
			return nil, errors.New("no TCP address")
		}
		ports = append(ports, a.Port)
	}

	return ports, nil
}

func (f *fleet) newEntry(name, zone string) (*entryProcess, error) {
	const listens = 4
	ip, err := freeIP()
	if err != nil {
		return nil, err
	}
	ports, err := freePorts(ip, listens+_portsPerRange)
	if err != nil {
		return nil, err
	}
	at := func(i int) string { return fmt.Sprintf("%s:%d", ip, ports[i]) }
	e := &entryProcess{
		name:      name,
		ip:        ip,
		front:     at(0),
		ready:     at(1),
		directory: at(2),
		settings:  filepath.Join(f.folder, name+".toml"),
	}
	text := fmt.Sprintf(_settings, name, ip, zone, ports[listens], ports[listens+1], e.front, e.ready, at(3), e.directory,
		_ramMB, _contact.Milliseconds(), int(_grace.Seconds()), f.platform.address)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	e.log, err = os.Create(filepath.Join(f.folder, name+".log"))

	return e, err
}

// start starts the process, and again after each end until stop.
func (e *entryProcess) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return nil
	}
	cmd := exec.Command(_entryProgram)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PAPAYASTAIR_BOOT=" + e.settings}
	cmd.Stdout = e.log
	cmd.Stderr = e.log
	if err := cmd.Start(); err != nil {
		return err
	}
	e.cmd = cmd
	e.disturbed = append(e.disturbed, time.Now())
	ended := make(chan struct{})
	e.ended = ended
	go func() {
		// The state says how it ended, which is up to the case.
		_ = cmd.Wait()
		close(ended)
		time.Sleep(_restartDelay)
		// A machine that can't be started again is missing for the rest of the case.
		_ = e.start()
	}()

	return nil
}

// signal sends a signal to the process.
func (e *entryProcess) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disturbed = append(e.disturbed, time.Now())
	// A process that has ended needs no signal.
	_ = e.cmd.Process.Signal(s)
}

// restartInTurn sends SIGTERM to one machine after the other. The platform starts each
// again when it has ended.
func (f *fleet) restartInTurn(gap time.Duration) {
	for _, e := range f.entries {
		f.record.say("SIGTERM to %s", e.name)
		e.signal(syscall.SIGTERM)
		time.Sleep(gap)
	}
}

// stop ends the process for good and waits for its end.
func (e *entryProcess) stop(s syscall.Signal) {
	e.mu.Lock()
	e.stopped = true
	ended := e.ended
	e.mu.Unlock()
	if ended == nil {
		return
	}
	e.signal(s)
	<-ended
}

// pid returns the id of the process.
func (e *entryProcess) pid() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.cmd.Process.Pid
}

// inTouchAt reports whether the process had run undisturbed for the time that the rules ask
// for before a moment.
func (e *entryProcess) inTouchAt(at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, disturbed := range e.disturbed {
		if !disturbed.After(at) && at.Sub(disturbed) <= _contact {
			return false
		}
	}

	return true
}

// awaitReady waits until all entry processes say that they are ready.
func (f *fleet) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(_readyTimeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range f.entries {
			a, err := client.Get("http://" + e.ready + "/api/ready")
			if err != nil {
				continue
			}
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.entries) {
			return nil
		}
	}

	return errors.New("the entry processes are not ready")
}

// workerProcess is a worker that is started again after a crash.
type workerProcess struct {
	fleet *fleet
	cfg   workerConfig
	// back is the time from a crash to the next start; 0 for none.
	back   time.Duration
	starts int

	mu    sync.Mutex
	cmd   *exec.Cmd
	id    string
	ended bool
	// exited is closed when the process has been waited for.
	exited chan struct{}
}

// startWorkers starts n worker processes and waits until they listen.
func (f *fleet) startWorkers(n int, cfg workerConfig, back time.Duration) error {
	for i := range n {
		cfg.id = "w" + string(rune('a'+i))
		if err := f.startWorker(cfg, back); err != nil {
			return err
		}
	}

	return nil
}

// startWorker starts a worker process and waits until it listens.
func (f *fleet) startWorker(cfg workerConfig, back time.Duration) error {
	cfg.store = f.platform.address
	cfg.address = "127.0.0.1:0"
	if cfg.zone == "" {
		cfg.zone = _zone
	}
	w := &workerProcess{
		fleet: f,
		cfg:   cfg,
		back:  back,
	}
	f.workers = append(f.workers, w)

	return w.start()
}

// prepare starts workers, waits until the entry processes are ready and gives them time to
// find each other and the workers.
func (f *fleet) prepare(n int, cfg workerConfig, back time.Duration) (*clients, error) {
	if err := f.startWorkers(n, cfg, back); err != nil {
		return nil, err
	}
	if err := f.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(_settleTime)

	return startClients(f), nil
}

func (w *workerProcess) start() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return nil
	}
	w.starts++
	cfg := w.cfg
	cfg.id = fmt.Sprintf("%s-%d", w.cfg.id, w.starts)
	cmd := exec.Command(self, cfg.args()...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	w.cmd = cmd
	w.id = cfg.id
	exited := make(chan struct{})
	w.exited = exited
	listening := make(chan struct{})
	go func() {
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			var e workerEvent
			if json.Unmarshal(lines.Bytes(), &e) != nil {
				continue
			}
			if e.Kind == "Listening" {
				close(listening)
			}
			w.fleet.observe(cfg.id, e)
		}
		_ = cmd.Wait()
		close(exited)
		w.fleet.record.write("worker %s ended", cfg.id)
		if w.back > 0 {
			time.Sleep(w.back)
			_ = w.start()
		}
	}()
	select {
	case <-listening:
		return nil
	case <-time.After(_readyTimeout):
		return errors.New("a worker doesn't listen")
	}
}

// kill kills the process. It comes back if that is how it was started.
func (w *workerProcess) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cmd != nil {
		_ = w.cmd.Process.Kill()
	}
}

// end kills the process for good and waits for its end.
func (w *workerProcess) end() {
	w.mu.Lock()
	w.ended = true
	exited := w.exited
	w.mu.Unlock()
	w.kill()
	if exited != nil {
		<-exited
	}
}

// observe records what a worker has seen.
func (f *fleet) observe(worker string, e workerEvent) {
	e.Worker = worker
	f.mu.Lock()
	f.events = append(f.events, e)
	f.mu.Unlock()
	if e.Kind != "Listening" {
		f.record.writeAt(e.At, "worker %s %s %s prefix %s bytes %d holder %s fence %d", worker, strings.ToLower(e.Kind), e.ID, e.Prefix, e.Bytes, e.Holder, e.Fence)
	}
}

// seen returns what the workers have seen so far.
func (f *fleet) seen() []workerEvent {
	f.mu.Lock()
	defer f.mu.Unlock()

	return append([]workerEvent(nil), f.events...)
}
