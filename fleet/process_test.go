package fleet_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// _binary is the built command; TestMain sets it.
var _binary string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "papayastair")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	_binary = filepath.Join(dir, "papayastair")
	build := exec.Command("go", "build", "-o", _binary, "../cmd/papayastair")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)

		return 1
	}

	return m.Run()
}

// process is one running command.
type process struct {
	name    string
	cmd     *exec.Cmd
	address addresses
	done    chan struct{}
	once    sync.Once
}

// addresses is the line that each process prints when it listens.
type addresses struct {
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
}

// start runs the command and waits until it listens.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{
		name: name,
		cmd:  exec.Command(_binary, args...),
		done: make(chan struct{}),
	}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stderr = os.Stderr
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.kill)
	lines := bufio.NewScanner(stdout)
	printed := make(chan string, 1)
	go func() {
		lines.Scan()
		printed <- lines.Text()
		_, _ = io.Copy(io.Discard, stdout)
		_ = p.cmd.Wait()
		close(p.done)
	}()
	line := <-printed
	if err := json.Unmarshal([]byte(line), &p.address); err != nil {
		t.Fatalf("%s printed %q: %v", name, line, err)
	}

	return p
}

func (p *process) kill() {
	p.once.Do(func() { _ = p.cmd.Process.Kill() })
	<-p.done
}

// stop asks for a graceful shutdown and returns a channel that closes when
// the process has ended.
func (p *process) stop() <-chan struct{} {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)

	return p.done
}

func (p *process) freeze() {
	_ = p.cmd.Process.Signal(syscall.SIGSTOP)
}

func (p *process) thaw() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
}

// writeJSON writes a value into a file of the test's and returns its name.
func writeJSON(t *testing.T, name string, value any) string {
	t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, body, 0o600); err != nil {
		t.Fatal(err)
	}

	return file
}

// getJSON reads a value from a stand-in or an operators' address.
func getJSON(t *testing.T, url string, value any) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(value); err != nil {
		t.Fatalf("%s: %v", url, err)
	}
}

// put sends a body to a stand-in.
func put(t *testing.T, url, body string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("put %s: %s", url, resp.Status)
	}
}

// eventually asks until ok is true, at most for a minute, which only a
// process that hangs takes.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	const (
		tries = 1200
		pause = 50 * time.Millisecond
	)
	for range tries {
		if ok() {
			return
		}
		time.Sleep(pause)
	}
	t.Fatalf("never happened: %s", what)
}
