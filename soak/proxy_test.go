package soak_test

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// mode is what a proxy does to what passes.
type mode int

const (
	modePass mode = iota
	// modeDelay passes everything late.
	modeDelay
	// modeReset resets connections, open and new.
	modeReset
	// modeSilence keeps connections open and passes nothing.
	modeSilence
	// modeDeaf passes requests and no answers.
	modeDeaf
	modes
)

func (m mode) String() string {
	return [...]string{"pass", "delay", "reset", "silence", "deaf"}[m]
}

const _delay = 300 * time.Millisecond

// proxy is a loopback link to one address that can be harmed.
type proxy struct {
	address string
	target  string
	// server is the backend server that it leads to, if any.
	server   string
	listener net.Listener
	mu       sync.Mutex
	mode     mode
	// changed is closed when the mode changes.
	changed chan struct{}
	conns   map[net.Conn]struct{}
	closed  bool
	wg      sync.WaitGroup
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{
		address:  listener.Addr().String(),
		target:   target,
		listener: listener,
		changed:  make(chan struct{}),
		conns:    map[net.Conn]struct{}{},
	}
	p.wg.Add(1)
	go p.accept()
	t.Cleanup(p.close)

	return p
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.set(modeReset)
	p.wg.Wait()
}

// set changes what happens to what passes from now on.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m != modeReset {
		return
	}
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) state() (m mode, changed chan struct{}, closed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.mode, p.changed, p.closed
}

func (p *proxy) accept() {
	defer p.wg.Done()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if m, _, _ := p.state(); m == modeReset {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()

			continue
		}
		p.wg.Add(1)
		go p.link(c)
	}
}

func (p *proxy) link(c net.Conn) {
	defer p.wg.Done()
	defer p.forget(c)
	p.keep(c)
	up, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer p.forget(up)
	p.keep(up)
	done := make(chan struct{})
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		defer close(done)
		p.copy(up, c, false)
		p.forget(up)
	}()
	p.copy(c, up, true)
	p.forget(c)
	p.forget(up)
	<-done
}

func (p *proxy) keep(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *proxy) forget(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
	_ = c.Close()
}

// copy passes bytes until one side ends. What was held back while the link was
// harmed passes when it heals.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for n > 0 {
			m, changed, closed := p.state()
			if closed || m == modeReset {
				return
			}
			if m == modeSilence || m == modeDeaf && answers {
				<-changed

				continue
			}
			if m == modeDelay {
				time.Sleep(_delay)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}

			break
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
				}
			}

			return
		}
	}
}
