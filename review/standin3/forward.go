package main

import (
	"io"
	"net"
	"sync"
)

// forward is an address that leads to another one.
type forward struct {
	address  string
	to       string
	listener net.Listener
	wg       sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

func newForward(to string) (*forward, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &forward{
		address:  listener.Addr().String(),
		to:       to,
		listener: listener,
		conns:    map[net.Conn]bool{},
	}
	p.wg.Add(1)
	go p.accept()

	return p, nil
}

// Close closes the address and its connections, and waits. It may be called twice.
func (p *forward) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	p.closed = true
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *forward) accept() {
	defer p.wg.Done()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			p.carry(c)
		}()
	}
}

// keep notes a connection, and reports whether it may be used.
func (p *forward) keep(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()

		return false
	}
	p.conns[c] = true

	return true
}

func (p *forward) drop(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// carry copies both ways until one side ends.
func (p *forward) carry(c net.Conn) {
	if !p.keep(c) {
		return
	}
	defer p.drop(c)
	to, err := net.Dial("tcp", p.to)
	if err != nil || !p.keep(to) {
		return
	}
	defer p.drop(to)
	var both sync.WaitGroup
	both.Add(2)
	for _, pair := range [][2]net.Conn{{c, to}, {to, c}} {
		go func() {
			defer both.Done()
			// How it ends doesn't matter: the other side learns that it has.
			_, _ = io.Copy(pair[0], pair[1])
			_ = pair[0].Close()
			_ = pair[1].Close()
		}()
	}
	both.Wait()
}
