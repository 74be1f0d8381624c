package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const (
	_dialTimeout = time.Second
	_maxInFlight = 64
	_minBackoff  = 200 * time.Millisecond
	_maxBackoff  = 5 * time.Second
)

// Pool calls other instances by their peer addresses. Use NewPool.
type Pool struct {
	// OnConnect, if set before the first call, is told of each new connection
	// and who answered there.
	OnConnect func(address string, hello wire.Hello)

	hello    wire.Hello
	registry metrics.Registry
	timer    *timer.Service
	ctx      context.Context
	cancel   context.CancelFunc
	wg       conc.WaitGroup

	mu    sync.Mutex
	links map[string]*link
}

// NewPool returns a pool that introduces itself with hello, whose Protocol is
// filled in, and counts its traffic in registry.
func NewPool(hello wire.Hello, registry metrics.Registry, clock *timer.Service) *Pool {
	ctx, cancel := context.WithCancel(context.Background())

	return &Pool{
		hello:    hello,
		registry: registry,
		timer:    clock,
		ctx:      ctx,
		cancel:   cancel,
		links:    map[string]*link{},
	}
}

// Call calls a method of the instance at an address and waits for the answer
// until ctx ends. It fails with an *Error. While a peer can't be connected
// to, calls fail at once until its backoff has passed.
func Call[A, R any](ctx context.Context, p *Pool, address, method string, args A) (R, error) {
	reply := new(R)
	err := p.call(ctx, address, method, &args, reply)
	if err != nil {
		// The reply may still be written to by a late answer.
		return *new(R), err
	}

	return *reply, nil
}

// Go is Call in a goroutine of the pool, with a timeout, which hands the
// outcome to done. After Close done is not called any more.
func Go[A, R any](p *Pool, timeout time.Duration, address, method string, args A, done func(R, error)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	p.wg.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, timeout)
		defer cancel()
		reply, err := Call[A, R](ctx, p, address, method, args)
		if p.ctx.Err() == nil {
			done(reply, err)
		}
	})
}

// Close ends all connections and waits for the calls in flight, which fail.
func (p *Pool) Close() {
	p.mu.Lock()
	p.cancel()
	for _, l := range p.links {
		l.shut()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *Pool) call(ctx context.Context, address, method string, args, reply any) error {
	fail := func(code Code, err error) error {
		return &Error{
			Method:  method,
			Address: address,
			Code:    code,
			Reason:  err.Error(),
		}
	}
	l, err := p.link(address)
	if err != nil {
		return fail(CodeNotSent, err)
	}
	if !l.enter() {
		return fail(CodeNotSent, errors.New("too many calls in flight"))
	}
	defer l.leave()
	s, err := l.connect(ctx, p)
	if err != nil {
		return fail(CodeNotSent, err)
	}
	received := s.codec.received.Load()
	call := s.client.Go(method+_suffix, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		if s.codec.received.Load() == received {
			// Nothing came since the call left: the peer or the way is gone.
			l.drop(s)
		}

		return fail(CodeUnknown, ctx.Err())
	}
	var refused rpc.ServerError
	switch {
	case call.Error == nil:
		return nil
	case errors.As(call.Error, &refused):
		return fail(CodeFailed, refused)
	default:
		l.drop(s)

		return fail(CodeUnknown, call.Error)
	}
}

func (p *Pool) link(address string) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.ctx.Err(); err != nil {
		return nil, err
	}
	l, ok := p.links[address]
	if !ok {
		l = newLink(address)
		p.links[address] = l
	}

	return l, nil
}

// link is the way to one address: at most one connection at a time.
type link struct {
	address string
	// inFlight bounds the calls.
	inFlight chan struct{}
	// dialing is held by the goroutine that connects.
	dialing chan struct{}
	backoff *backoff.ExponentialBackOff
	retryAt time.Time

	mu      sync.Mutex
	session *session
}

// session is one connection of a link.
type session struct {
	codec  *clientCodec
	client *rpc.Client
}

func newLink(address string) *link {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = _minBackoff
	retry.MaxInterval = _maxBackoff

	return &link{
		address:  address,
		inFlight: make(chan struct{}, _maxInFlight),
		dialing:  make(chan struct{}, 1),
		backoff:  retry,
	}
}

func (l *link) enter() bool {
	select {
	case l.inFlight <- struct{}{}:
		return true
	default:
		return false
	}
}

func (l *link) leave() {
	<-l.inFlight
}

// connect returns the open connection, or makes one.
func (l *link) connect(ctx context.Context, p *Pool) (*session, error) {
	if s := l.current(); s != nil {
		return s, nil
	}
	select {
	case l.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-l.dialing }()
	if s := l.current(); s != nil {
		return s, nil
	}
	now := p.timer.Now()
	if now.Before(l.retryAt) {
		return nil, eris.Errorf("not reachable, next try in %s", l.retryAt.Sub(now))
	}
	s, hello, err := l.dial(ctx, p)
	if err != nil {
		l.retryAt = now.Add(l.backoff.NextBackOff())

		return nil, err
	}
	l.backoff.Reset()
	l.mu.Lock()
	l.session = s
	l.mu.Unlock()
	if p.ctx.Err() != nil {
		l.shut()
	}
	if p.OnConnect != nil {
		p.OnConnect(l.address, hello)
	}

	return s, nil
}

func (l *link) dial(ctx context.Context, p *Pool) (*session, wire.Hello, error) {
	dialer := net.Dialer{Timeout: _dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, wire.Hello{}, eris.Wrap(err, "peer: dial")
	}
	c := newConnection(conn, p.registry)
	hello, err := c.greet(p.hello)
	if err != nil {
		_ = conn.Close()

		return nil, wire.Hello{}, err
	}
	codec := &clientCodec{connection: c}

	return &session{
		codec:  codec,
		client: rpc.NewClientWithCodec(codec),
	}, hello, nil
}

func (l *link) current() *session {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.session
}

// drop closes a connection that is of no more use.
func (l *link) drop(s *session) {
	l.mu.Lock()
	if l.session == s {
		l.session = nil
	}
	l.mu.Unlock()
	_ = s.client.Close()
}

// shut closes the connection, if there is one.
func (l *link) shut() {
	if s := l.current(); s != nil {
		l.drop(s)
	}
}
