package entry

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/dispatch"
	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/hop"
)

const (
	// _maxAnswerBytes is the maximum size of an answer that is read whole before
	// it is forwarded.
	_maxAnswerBytes = 16 << 20
	// _answerMemoryShare and _bodyMemoryShare are the shares of the process's memory
	// that answers read whole, and the bodies of requests, may hold together.
	// _defaultMemoryMB is the process's memory if the settings don't give it.
	_answerMemoryShare = 0.125
	_bodyMemoryShare   = 0.4
	_defaultMemoryMB   = 512
	_readBufferSize    = 16 << 10
	// _maxForeignAnswers is the number of answers to other requests that are
	// skipped on one connection before it is closed.
	_maxForeignAnswers = 2
)

var (
	errForeign  = errors.New("answer to another request")
	errUnsigned = errors.New("answer not signed by a backend server")
	errEncoded  = errors.New("answer with a content encoding")
)

// newMemory returns a limit of the given share of the memory of a process, which has
// processMB.
func newMemory(processMB int, share float64) *hop.MemoryLimit {
	if processMB == 0 {
		processMB = _defaultMemoryMB
	}

	return hop.NewMemoryLimit(int(float64(processMB<<20) * share))
}

// attempt is one try of a request at a backend server.
type attempt struct {
	j      *job
	choice dispatch.Choice
	conn   *hop.Conn
	reused bool
	// undelimited is set if the answer has no other end than that of the connection.
	undelimited bool
	run         *dispatch.Run
	sentAt      time.Time
	// firstLatency is the time from sending the request to the head of its answer,
	// or to the first event of a stream.
	firstLatency time.Duration
	// firstChunkAt and lastChunkAt are when the first and the latest events were
	// forwarded, chunks counts the writes of events to the caller, and maxGap is
	// the longest time between two.
	lastChunkAt  time.Time
	firstChunkAt time.Time
	chunks       int
	maxGap       time.Duration
}

// try sends the request to one backend server and forwards its answer.
func (j *job) try(choice dispatch.Choice) outcome {
	e := j.e
	a := &attempt{
		j:      j,
		choice: choice,
		run:    e.balancer.Begin(choice.Server.ID, j.call.Target, time.Now()),
	}
	if j.call.Target.Model != "" {
		e.demand.addRunning(j.demandKey(), 1)
		defer e.demand.addRunning(j.demandKey(), -1)
	}
	ended := false
	defer func() {
		if !ended {
			a.discard()
		}
	}()
	result, o, err := a.do()
	ended = true
	if a.conn != nil {
		j.r.OnDisconnect(nil)
	}
	if o != outcomeDone && j.r.IsDisconnected() {
		result = dispatch.ResultCanceled
		o = outcomeDone
		j.abandon()
	}
	e.balancer.End(a.run, result, a.unitDuration(), time.Now())
	if o == outcomeNotSent || result == dispatch.ResultNotLoaded {
		e.balancer.ReturnCold(choice.Cold)
	}
	switch {
	case result == dispatch.ResultOK && a.undelimited:
		e.endings.add(choice.Server.ID, j.traits, time.Since(a.sentAt), time.Now())
	case result == dispatch.ResultOK:
		e.quarantine.Completed(j.traits, 0)
	case result == dispatch.ResultFailed && isBroken(err):
		e.quarantine.Crashed(choice.Server.ID, j.traits, time.Since(a.sentAt), 0)
	case result == dispatch.ResultUnreachable && errors.Is(err, syscall.ECONNREFUSED):
		a.accuseEndings()
	}
	if o != outcomeDone {
		j.lastErr = err
		e.cfg.Log.Write(event.AttemptFailed, append(j.logFields(), zap.String("At", choice.Server.ID), zap.Int("Load", choice.Load),
			zap.Bool("MayHaveRun", o == outcomeMayHaveRun), zap.String("LastEventID", j.events.LastID()), zap.Bool("Resumable", j.events.IsResumable()), zap.Ints("Parts", j.call.Parts),
			j.e.serversAgeField(), zap.Error(err))...)
		metrics.GetOrRegisterCounter("Entry.AttemptFailed."+j.service, e.cfg.Registry).Inc(1)
	}

	return o
}

// isBroken reports whether an error means that the backend server's end of the
// connection was closed or reset, as it is when the server crashes.
func isBroken(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// discard closes the connection of a request whose handling panicked, so that the
// backend server stops working on it, and ends its count.
func (a *attempt) discard() {
	if a.conn != nil {
		a.conn.Close()
	}
	a.j.e.balancer.End(a.run, dispatch.ResultCanceled, 0, time.Now())
}

func (a *attempt) do() (dispatch.Result, outcome, error) {
	j := a.j
	pool := j.e.pool(a.choice.Server)
	conn, err := pool.Get(j.dialTimeout())
	if err != nil {
		return dispatch.ResultUnreachable, outcomeNotSent, err
	}
	a.conn = conn
	a.reused = conn.Reused
	j.r.OnDisconnect(conn.Close)
	if j.workspace != nil && !j.e.keysAllowed() {
		conn.Close()

		return dispatch.ResultNotRun, outcomeNotSent, eris.New("configuration not confirmed to be current")
	}
	out := j.outgoing(a.choice.Server.ID)
	if out.Timeout <= 0 {
		conn.Close()

		return dispatch.ResultCanceled, outcomeNotSent, eris.New("deadline passed before the request was sent")
	}
	if !j.e.balancer.ConfirmCold(a.choice.Cold) {
		conn.Close()

		return dispatch.ResultNotRun, outcomeNotSent, eris.New("cold backend server chosen too long ago")
	}
	conn.SetDeadline(j.deadline)
	defer context.AfterFunc(j.e.abortCtx, func() { conn.SetDeadline(time.Now()) })()
	a.sentAt = time.Now()
	j.sent++
	j.server = a.choice.Server.ID
	fields := j.e.cfg.Codec.Fields(j.r.Head, out)
	if err := conn.Send(j.r.Head, fields, j.r.Body, j.r.Framed); err != nil {
		conn.Close()

		return dispatch.ResultFailed, outcomeMayHaveRun, err
	}
	head, answer, err := a.readHead()
	if err != nil {
		conn.Close()

		return a.noAnswer(err)
	}
	if answer.ID == j.call.ID {
		j.e.advise(a.choice.Server.ID, answer)
		j.e.observeLoad(a.choice.Server.ID, answer)
		a.clearEndings()
	}
	a.undelimited = conn.EndsWithConnection()
	a.firstLatency = time.Since(a.sentAt)
	if !answer.Events {
		j.e.balancer.ResponseStarted(a.run)
	}

	return a.forward(head, answer)
}

// clearEndings clears what earlier answers of the server had in common with crashes, now
// that it has answered a request that was sent after their end.
func (a *attempt) clearEndings() {
	now := time.Now()
	for _, n := range a.j.e.endings.takeWhole(a.choice.Server.ID, a.sentAt, now) {
		a.j.e.quarantine.Completed(n.traits, now.Sub(n.at))
	}
}

// accuseEndings accuses the traits of the answers that the crash of the server may have cut,
// now that it refuses connections.
func (a *attempt) accuseEndings() {
	now := time.Now()
	for _, n := range a.j.e.endings.takeCut(a.choice.Server.ID, now) {
		a.j.e.quarantine.Crashed(a.choice.Server.ID, n.traits, n.ran, now.Sub(n.at))
	}
}

// dialTimeout returns the time limit for a new connection; it ends no later
// than the process.
func (j *job) dialTimeout() time.Duration {
	timeout := min(_dialTimeout, time.Until(j.deadline))
	if !j.e.leaving.Load() {
		return timeout
	}
	left, _ := j.e.timeLeft()

	return min(timeout, left)
}

// noAnswer returns the result of a request whose answer did not arrive whole.
func (a *attempt) noAnswer(err error) (dispatch.Result, outcome, error) {
	if time.Until(a.j.deadline) <= 0 && !a.j.r.Begun() {
		a.j.fail(504, "Timeout")
		if a.firstLatency > 0 && time.Since(a.sentAt) > 2*a.firstLatency {
			// The body took longer than the head: this is a failure of the backend
			// server.
			return dispatch.ResultFailed, outcomeDone, err
		}

		return dispatch.ResultCanceled, outcomeDone, err
	}

	return dispatch.ResultFailed, outcomeMayHaveRun, err
}

// readHead reads the head of the answer to this request. It skips late answers
// to earlier requests on the connection, and refusals that may belong to one.
func (a *attempt) readHead() (*hop.Head, Answer, error) {
	j := a.j
	for range _maxForeignAnswers + 1 {
		head, err := a.conn.ReadHead(j.r.Head.Method)
		if err != nil {
			return nil, Answer{}, err
		}
		answer := j.e.cfg.Codec.DecodeAnswer(head, a.choice.Server.ID)
		// On a kept connection, a refusal without an id may be an earlier one repeated.
		repeated := a.reused && (answer.NotRun || answer.NotHeld)
		if answer.ID == j.call.ID || answer.ID == "" && !answer.Signed && !repeated {
			return head, answer, nil
		}
		if err := a.conn.Discard(_maxAnswerBytes); err != nil {
			return nil, Answer{}, err
		}
	}

	return nil, Answer{}, errForeign
}

// forward forwards the answer to the caller, unless the backend server did not
// run the request or the answer is not usable.
func (a *attempt) forward(head *hop.Head, answer Answer) (dispatch.Result, outcome, error) {
	j, conn := a.j, a.conn
	if answer.NotRun || answer.NotHeld {
		err := a.drain()
		a.release(err == nil && answer.ID == j.call.ID)
		j.sent--
		if answer.NotHeld {
			if answer.Moved {
				j.e.balancer.MarkDraining(a.choice.Server.ID)
			}

			return dispatch.ResultNotLoaded, outcomeNotRun, eris.Errorf("status %d: target not held by the backend server", head.Status)
		}

		return dispatch.ResultNotRun, outcomeNotRun, eris.Errorf("status %d: request not run by the backend server", head.Status)
	}
	if !answer.Signed || answer.Encoded {
		conn.Close()
		err := errUnsigned
		if answer.Encoded {
			err = errEncoded
		}

		return dispatch.ResultFailed, outcomeMayHaveRun, err
	}
	if answer.Events && head.Status == 200 {
		return a.forwardEvents(head)
	}
	if j.r.Begun() {
		// The caller has received the beginning of a stream, which this answer
		// doesn't continue.
		err := a.drain()
		a.release(err == nil)

		return dispatch.ResultError, outcomeMayHaveRun, eris.Errorf("status %d when resuming a stream", head.Status)
	}

	return a.forwardWhole(head)
}

// forwardWhole reads the whole answer before it forwards any of it, so that a
// truncated answer never looks complete.
func (a *attempt) forwardWhole(head *hop.Head) (dispatch.Result, outcome, error) {
	j := a.j
	body, err := a.conn.ReadAll(_maxAnswerBytes, &j.memory)
	if err != nil {
		a.conn.Close()

		return a.noAnswer(err)
	}
	a.release(true)
	if head.Status >= 500 && j.canRetry() {
		j.fallback = &bufferedAnswer{
			status: head.Status,
			fields: head.EndToEnd(never),
			body:   body,
		}

		return dispatch.ResultError, outcomeMayHaveRun, eris.Errorf("status %d", head.Status)
	}
	j.r.Answer(head.Status, head.EndToEnd(never), body)
	a.logServed(head.Status)
	if head.Status >= 500 {
		return dispatch.ResultError, outcomeDone, nil
	}

	return dispatch.ResultOK, outcomeDone, nil
}

func never(string) bool { return false }

// bufferedAnswer is a backend server's answer that was read whole.
type bufferedAnswer struct {
	status int
	fields []hop.Field
	body   []byte
}

// drain discards the rest of an answer that is not forwarded, so that the
// connection can be reused. It waits no longer than a new connection may take.
func (a *attempt) drain() error {
	a.conn.SetDeadline(earlier(a.j.deadline, time.Now().Add(_dialTimeout)))
	if a.j.e.abortCtx.Err() != nil {
		a.conn.SetDeadline(time.Now())
	}

	return a.conn.Discard(_maxAnswerBytes)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}

// release returns the connection to the pool. A caller that disconnects no
// longer closes it.
func (a *attempt) release(matched bool) {
	a.j.r.OnDisconnect(nil)
	a.conn.Release(matched)
}

// logServed logs and counts a request that was answered.
func (a *attempt) logServed(status int) {
	j := a.j
	total := time.Since(j.r.Arrived)
	j.count("Served")
	metrics.GetOrRegisterTimer("Entry.Latency."+j.route.Kind.String(), j.e.cfg.Registry).Update(total)
	j.e.cfg.Log.Write(event.EntryServed, append(j.logFields(), zap.Int("Status", status), zap.Duration("First", a.sentAt.Sub(j.r.Arrived)+a.firstLatency),
		zap.Duration("Pause", a.maxGap), zap.Int("Load", a.choice.Load), zap.Float64("Acceptance", a.choice.Acceptance), zap.Bool("Avoided", a.choice.Avoided), zap.Int("Candidates", a.choice.Candidates), zap.Bool("Reused", a.reused), j.e.serversAgeField())...)
}

// forwardEvents forwards a stream of events, whole events at a time.
func (a *attempt) forwardEvents(head *hop.Head) (dispatch.Result, outcome, error) {
	j := a.j
	j.events.DiscardPartial()
	j.events.Reservation = &j.memory
	buf := make([]byte, _readBufferSize)
	began := false
	for {
		n, err := a.conn.ReadBody(buf)
		if n > 0 {
			whole, feedErr := j.events.Feed(buf[:n])
			if len(whole) > 0 {
				if !began {
					began = true
					a.firstLatency = time.Since(a.sentAt)
					j.e.balancer.ResponseStarted(a.run)
					a.beginEvents(head)
				}
				a.recordChunk()
				if !j.r.WriteChunk(whole) {
					a.conn.Close()
					j.abandon()

					return dispatch.ResultCanceled, outcomeDone, nil
				}
			}
			if feedErr != nil {
				a.conn.Close()

				return a.streamBroken(feedErr)
			}
		}
		if errors.Is(err, io.EOF) && a.undelimited && !began {
			// A stream without a length and without an event is no answer.
			err = io.ErrUnexpectedEOF
		}
		if errors.Is(err, io.EOF) && len(j.events.Partial()) == 0 {
			a.beginEvents(head)
			j.r.End(nil)
			a.release(true)
			a.logServed(head.Status)

			return dispatch.ResultOK, outcomeDone, nil
		}
		if err != nil {
			a.conn.Close()

			return a.streamBroken(err)
		}
	}
}

// recordChunk records that events are forwarded now, and the longest gap so
// far.
func (a *attempt) recordChunk() {
	now := time.Now()
	if a.chunks == 0 {
		a.firstChunkAt = now
	} else {
		a.maxGap = max(a.maxGap, now.Sub(a.lastChunkAt))
	}
	a.chunks++
	a.lastChunkAt = now
}

// unitDuration returns how long a unit of the answer took: the average time
// between the chunks of a stream, or the time to a plain answer; 0 if unknown.
func (a *attempt) unitDuration() time.Duration {
	const minChunks = 3
	switch {
	case a.chunks >= minChunks:
		return a.lastChunkAt.Sub(a.firstChunkAt) / time.Duration(a.chunks-1)
	case a.chunks == 0 && a.j.call.Target.Model == "":
		return a.firstLatency
	default:
		return 0
	}
}

// beginEvents starts the caller's answer with the head from this backend
// server, unless an earlier one has already begun it.
func (a *attempt) beginEvents(head *hop.Head) {
	if !a.j.r.Begun() {
		a.j.r.Begin(head.Status, head.Reason, head.EndToEnd(never))
	}
}

// streamBroken returns the result of a stream that broke off. The request
// continues at another backend server if the route allows that; otherwise the
// caller's answer is cut off.
func (a *attempt) streamBroken(err error) (dispatch.Result, outcome, error) {
	j := a.j
	j.lastErr = err
	if time.Until(j.deadline) <= 0 {
		j.fail(504, "Timeout")

		return dispatch.ResultCanceled, outcomeDone, err
	}
	if !j.route.CanResume && !j.r.IsDisconnected() {
		j.fail(502, "StreamBroken")

		return dispatch.ResultFailed, outcomeDone, err
	}

	return dispatch.ResultFailed, outcomeMayHaveRun, err
}
