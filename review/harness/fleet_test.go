package harness

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of an instance, on a loopback address of its own. The last is the one that the
// deploy file names.
const (
	_portDirectory = 18220
	_portFront     = 18221
	_portReady     = 18224
	_portControl   = 18229
	_portPeers     = 17600
	_portMetrics   = 7790
)

// _startTimeout is how long instances may take until they are ready.
const _startTimeout = 15 * time.Second

var (
	errNotReady  = errors.New("instances are not ready")
	errClosed    = errors.New("the case has ended")
	errNoProgram = errors.New("target/papayastair-entry is missing: run the build of the deploy file")
)

// _program is the command of the deploy file.
const _program = "target/papayastair-entry"

// _zones are the failure domains of a small deployment.
var _zones = []string{"zone-a", "zone-b", "zone-c"}

// instance is a process of the system.
type instance struct {
	name string
	ip   string
	zone string
	// settings is the path of its settings file.
	settings string
	logs     string
	rec      *record
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	// closed is set once no process may start any more.
	closed bool
}

// fleet holds the instances of a deployment.
type fleet struct {
	folder    string
	instances []*instance
}

// newFleet writes the settings of n instances, which use the store.
func newFleet(n int, network, storeAddress string, rec *record) (*fleet, error) {
	if _, err := os.Stat(_program); err != nil {
		return nil, errNoProgram
	}
	folder, err := os.MkdirTemp("", "review-harness-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder}
	for i := range n {
		p := &instance{
			name: fmt.Sprintf("edge-%d", i+1),
			ip:   fmt.Sprintf("%s.%d", network, i+10),
			zone: _zones[i%len(_zones)],
			rec:  rec,
		}
		p.settings = filepath.Join(folder, p.name+".toml")
		p.logs = filepath.Join(folder, p.name+".log")
		if err := os.WriteFile(p.settings, []byte(p.settingsText(network, storeAddress)), 0o600); err != nil {
			return nil, err
		}
		f.instances = append(f.instances, p)
	}

	return f, nil
}

// settingsText returns settings as the platform writes them for a small deployment.
func (p *instance) settingsText(network, storeAddress string) string {
	return fmt.Sprintf(`node = "%[1]s"
role = "entry"
machine_class = "edge"
serves = ["edge","registry"]
ip = "%[2]s"
zone = "%[3]s"
region = "region-1"
port_range = [%[4]d,%[5]d]
seeds = ["%[6]s.10:%[7]d"]
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","tenants","quota","platform"]
[zones]
zone-a = "region-1"
zone-b = "region-1"
zone-c = "region-1"
[listen]
front = "%[2]s:%[8]d"
ready = "%[2]s:%[9]d"
control = "%[2]s:%[7]d"
directory = "%[2]s:%[10]d"
[limits]
cpu_share = 0.4
cpus = 1
ram_mb = 284
max_fds = 4100
net_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_s = 2
contact_ms = 3000
ack_ms = 4000
sync_s = 4
drain_ms = 2000
grace_s = 8
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
addr = "%[11]s"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, p.name, p.ip, p.zone, _portPeers, _portPeers+15, network, _portControl, _portFront, _portReady, _portDirectory, storeAddress)
}

// front is the address for clients.
func (p *instance) front() string {
	return fmt.Sprintf("%s:%d", p.ip, _portFront)
}

// start starts the process.
func (p *instance) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return errClosed
	}
	logs, err := os.OpenFile(p.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(_program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PAPAYASTAIR_BOOT=" + p.settings}
	cmd.Stdout = logs
	cmd.Stderr = logs
	if err := cmd.Start(); err != nil {
		return errors.Join(err, logs.Close())
	}
	done := make(chan struct{})
	go func() {
		err := cmd.Wait()
		_ = logs.Close()
		p.rec.note("%s has ended: %v", p.name, err)
		close(done)
	}()
	p.cmd = cmd
	p.done = done
	p.rec.note("%s starts", p.name)

	return nil
}

// signal sends a signal to the process.
func (p *instance) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rec.note("%s gets %s", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// kill ends the process and waits.
func (p *instance) kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-done
}

// isReady asks as the platform does.
func (p *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/ready", p.ip, _portReady))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()

	return resp.StatusCode == http.StatusOK
}

// start starts all instances.
func (f *fleet) start() error {
	for _, p := range f.instances {
		if err := p.start(); err != nil {
			return err
		}
	}

	return nil
}

// awaitReady waits until all instances are ready.
func (f *fleet) awaitReady() error {
	for until := time.Now().Add(_startTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, p := range f.instances {
			if p.isReady() {
				ready++
			}
		}
		if ready == len(f.instances) {
			return nil
		}
	}

	return errNotReady
}

// close ends all processes. Their logs stay if keep names a folder.
func (f *fleet) close(keep string) {
	for _, p := range f.instances {
		p.mu.Lock()
		p.closed = true
		p.mu.Unlock()
		p.kill()
	}
	if keep != "" {
		_ = os.MkdirAll(keep, 0o700)
		for _, p := range f.instances {
			if data, err := os.ReadFile(p.logs); err == nil {
				_ = os.WriteFile(filepath.Join(keep, p.name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(f.folder)
}

// freeNetwork returns the first three numbers of loopback addresses on which the ports of
// an instance are free.
func freeNetwork(seed int) (string, error) {
	const tries = 200
	for i := range tries {
		n := (seed + i*37) % 60000
		network := fmt.Sprintf("127.%d.%d", 20+n/256%200, n%256)
		if isFree(network + ".10") {
			return network, nil
		}
	}

	return "", errors.New("no free loopback addresses")
}

func isFree(ip string) bool {
	for _, port := range []int{_portDirectory, _portFront, _portReady, _portPeers, _portMetrics} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}

	return true
}
