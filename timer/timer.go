// Package timer is the clock of a process. Parts subscribe to a Service and
// are called when their time comes; none of them reads the machine's clock
// by itself. A virtual Service, made with NewVirtual, runs the same parts in
// virtual time: a test moves it with Advance, and the calls come in one
// order, which depends on nothing but the subscriptions.
package timer

import (
	"container/heap"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Service calls subscribers at their times. Calls of one Service never
// overlap: a subscriber must return soon, and hands longer work to a
// goroutine of its own. Use New or NewVirtual.
type Service struct {
	mu      sync.Mutex
	virtual bool
	now     time.Time
	queue   subscriptionQueue
	next    uint64
	wake    chan struct{}
	done    chan struct{}
	once    sync.Once
	wg      conc.WaitGroup
}

// Subscription is one part's wish to be called.
type Subscription struct {
	service *Service
	at      time.Time
	period  time.Duration
	order   uint64
	index   int
	call    func(now time.Time)
}

// New returns a service that follows the machine's clock.
func New() *Service {
	s := &Service{
		wake: make(chan struct{}, 1),
		done: make(chan struct{}),
	}
	s.wg.Go(s.run)

	return s
}

// NewVirtual returns a service whose time starts at start and moves only by
// Advance.
func NewVirtual(start time.Time) *Service {
	return &Service{
		virtual: true,
		now:     start,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
}

// Now is the current time. Of a service made with New it carries a monotonic
// reading.
func (s *Service) Now() time.Time {
	if !s.virtual {
		return time.Now()
	}
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.now
}

// Every calls fn after each period, which must be positive, until the
// subscription is stopped. Periods missed by a paused process are skipped.
func (s *Service) Every(period time.Duration, fn func(now time.Time)) *Subscription {
	return s.subscribe(period, period, fn)
}

// After calls fn once, after d.
func (s *Service) After(d time.Duration, fn func(now time.Time)) *Subscription {
	return s.subscribe(d, 0, fn)
}

// Stop ends the subscription. A call that runs already is not waited for.
func (sub *Subscription) Stop() {
	s := sub.service
	s.mu.Lock()
	defer s.mu.Unlock()
	sub.period = 0
	if sub.index >= 0 {
		heap.Remove(&s.queue, sub.index)
	}
}

// Advance moves the time of a virtual service forward by d, and calls in the
// caller's goroutine each subscriber whose time comes, in the order of their
// times and, at one time, of their subscription.
func (s *Service) Advance(d time.Duration) {
	s.mu.Lock()
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		s.now = s.queue[0].at
		s.callFirst()
	}
	s.now = end
	s.mu.Unlock()
}

// Close stops all calls and waits for one that runs. It must not be called
// from a subscriber.
func (s *Service) Close() {
	s.once.Do(func() { close(s.done) })
	s.wg.Wait()
}

func (s *Service) subscribe(d, period time.Duration, fn func(now time.Time)) *Subscription {
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	sub := &Subscription{
		service: s,
		at:      now.Add(d),
		period:  period,
		order:   s.next,
		call:    fn,
	}
	heap.Push(&s.queue, sub)
	select {
	case s.wake <- struct{}{}:
	default:
	}

	return sub
}

// callFirst calls the first subscriber, with mu held before and after, but
// not during the call.
func (s *Service) callFirst() {
	sub := s.queue[0]
	heap.Pop(&s.queue)
	now := s.now
	s.mu.Unlock()
	sub.call(now)
	s.mu.Lock()
	if sub.period <= 0 {
		return
	}
	sub.at = sub.at.Add(sub.period)
	if sub.at.Before(now) {
		sub.at = now.Add(sub.period)
	}
	heap.Push(&s.queue, sub)
}

func (s *Service) run() {
	const idle = time.Hour
	alarm := time.NewTimer(idle)
	defer alarm.Stop()
	for {
		alarm.Reset(s.callDue(idle))
		select {
		case <-s.done:
			return
		case <-s.wake:
		case <-alarm.C:
		}
	}
}

// callDue calls all subscribers whose time has come and returns how long to
// wait for the next, at most idle.
func (s *Service) callDue(idle time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.queue) > 0 {
		select {
		case <-s.done:
			return 0
		default:
		}
		s.now = time.Now()
		if wait := s.queue[0].at.Sub(s.now); wait > 0 {
			return min(wait, idle)
		}
		s.callFirst()
	}

	return idle
}

// subscriptionQueue is a heap by time, then by order of subscription.
type subscriptionQueue []*Subscription

func (q subscriptionQueue) Len() int {
	return len(q)
}

func (q subscriptionQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}

	return q[i].at.Before(q[j].at)
}

func (q subscriptionQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index = i
	q[j].index = j
}

// Push is for container/heap.
func (q *subscriptionQueue) Push(x any) {
	sub, ok := x.(*Subscription)
	if !ok {
		panic("timer: push of another type")
	}
	sub.index = len(*q)
	*q = append(*q, sub)
}

// Pop is for container/heap.
func (q *subscriptionQueue) Pop() any {
	old := *q
	sub := old[len(old)-1]
	sub.index = -1
	*q = old[:len(old)-1]

	return sub
}
