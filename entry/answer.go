package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/dispatch"
	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/hop"
)

const (
	// _maxAnswer bounds an answer that is read whole before it is passed on.
	_maxAnswer = 16 << 20
	// _memoryPart is the part of the process's memory that answers which are read
	// whole may hold together, and _memoryDefault the memory of a process that
	// isn't told of any.
	_memoryPart    = 8
	_memoryDefault = 512
	_readSize      = 16 << 10
	// _foreignAnswers is how many answers to other requests are passed over on
	// one connection before it is given up.
	_foreignAnswers = 2
)

var (
	errForeign = errors.New("answer to another request")
	errSeal    = errors.New("answer without a signature")
	errEncoded = errors.New("answer with a coding")
)

// newMemory is the memory for answers in a process that has so many MB.
func newMemory(processMB int) *hop.Memory {
	if processMB == 0 {
		processMB = _memoryDefault
	}

	return hop.NewMemory(processMB << 20 / _memoryPart)
}

// attempt is a request at one backend server.
type attempt struct {
	j      *job
	choice dispatch.Choice
	conn   *hop.Conn
	reused bool
	run    *dispatch.Run
	sentAt time.Time
	first  time.Duration
	// lastPiece is when the last event went on, and pause the longest time
	// between two.
	lastPiece  time.Time
	firstPiece time.Time
	pieces     int
	pause      time.Duration
}

// try sends the request to one backend server and passes its answer on.
func (j *job) try(choice dispatch.Choice) verdict {
	e := j.e
	a := &attempt{
		j:      j,
		choice: choice,
		run:    e.board.Begin(choice.Server.ID, j.call.Target, time.Now()),
	}
	if j.call.Target.Model != "" {
		e.demand.run(j.demandKey(), 1)
		defer e.demand.run(j.demandKey(), -1)
	}
	result, v, err := a.do()
	if a.conn != nil {
		j.r.OnLeave(nil)
	}
	if v != verdictDone && j.r.HasLeft() {
		result = dispatch.ResultLeft
		v = verdictDone
		j.leave()
	}
	e.board.End(a.run, result, a.pace(), time.Now())
	if v != verdictDone {
		j.lastErr = err
		e.cfg.Log.Write(event.AttemptFailed, append(j.logFields(), zap.String("At", choice.Server.ID), zap.Int("Load", choice.Load),
			zap.Bool("MayHaveRun", v == verdictMayHaveRun), zap.String("LastEventID", j.events.LastID), zap.Error(err))...)
		metrics.GetOrRegisterCounter("Entry.AttemptFailed."+j.service, e.cfg.Registry).Inc(1)
	}

	return v
}

func (a *attempt) do() (dispatch.Result, verdict, error) {
	j := a.j
	pool := j.e.pool(a.choice.Server)
	conn, err := pool.Get(j.dialTime())
	if err != nil {
		return dispatch.ResultUnreachable, verdictNotSent, err
	}
	a.conn = conn
	a.reused = conn.Reused
	j.r.OnLeave(conn.Close)
	if j.who != nil && !j.e.keysAllowed() {
		conn.Close()

		return dispatch.ResultNotRun, verdictNotSent, eris.New("configuration not shown to be current")
	}
	out := j.outgoing(a.choice.Server.ID)
	if out.Left <= 0 {
		conn.Close()

		return dispatch.ResultLeft, verdictNotSent, eris.New("no time left")
	}
	conn.SetDeadline(j.limit)
	defer context.AfterFunc(j.e.ending, func() { conn.SetDeadline(time.Now()) })()
	a.sentAt = time.Now()
	j.sent++
	j.server = a.choice.Server.ID
	fields := j.e.cfg.Dialect.Fields(j.r.Head, out)
	if err := conn.Send(j.r.Head, fields, j.r.Body, j.r.Framed); err != nil {
		conn.Close()

		return dispatch.ResultFailed, verdictMayHaveRun, err
	}
	head, answer, err := a.readHead()
	if err != nil {
		conn.Close()

		return a.noAnswer(err)
	}
	a.first = time.Since(a.sentAt)
	if !answer.Events {
		j.e.board.First(a.run)
	}

	return a.pass(head, answer)
}

// dialTime is how long a connection may take: no longer than the process lives.
func (j *job) dialTime() time.Duration {
	most := min(_dialTimeout, time.Until(j.limit))
	if !j.e.leaving.Load() {
		return most
	}
	left, _ := j.e.endsIn()

	return min(most, left)
}

// noAnswer is the outcome of a request that got no answer.
func (a *attempt) noAnswer(err error) (dispatch.Result, verdict, error) {
	if time.Until(a.j.limit) <= 0 && !a.j.r.Begun() {
		a.j.fail(504, "Timeout")
		if a.first > 0 && time.Since(a.sentAt) > 2*a.first {
			// The rest of the answer took longer than its beginning.
			return dispatch.ResultFailed, verdictDone, err
		}

		return dispatch.ResultLeft, verdictDone, err
	}

	return dispatch.ResultFailed, verdictMayHaveRun, err
}

// readHead reads the head of the request's own answer. A late answer to an
// earlier request on the connection may stand before it.
func (a *attempt) readHead() (*hop.Head, Answer, error) {
	j := a.j
	for range _foreignAnswers + 1 {
		head, err := a.conn.ReadHead(j.r.Head.Method)
		if err != nil {
			return nil, Answer{}, err
		}
		answer := j.e.cfg.Dialect.DecodeAnswer(head, a.choice.Server.ID)
		if answer.ID == j.call.ID || answer.ID == "" && !answer.Sealed {
			return head, answer, nil
		}
		if err := a.conn.Discard(_maxAnswer); err != nil {
			return nil, Answer{}, err
		}
	}

	return nil, Answer{}, errForeign
}

// pass passes an answer on, if it is one.
func (a *attempt) pass(head *hop.Head, answer Answer) (dispatch.Result, verdict, error) {
	j, conn := a.j, a.conn
	if answer.NotRun || answer.NotHeld {
		err := a.drain()
		a.release(err == nil && answer.ID == j.call.ID)
		j.sent--
		if answer.NotHeld {
			if answer.Moved {
				j.e.board.Leave(a.choice.Server.ID)
			}

			return dispatch.ResultNotHeld, verdictNotRun, eris.Errorf("status %d, not held", head.Status)
		}

		return dispatch.ResultNotRun, verdictNotRun, eris.Errorf("status %d, not run", head.Status)
	}
	if !answer.Sealed || answer.Encoded {
		conn.Close()
		err := errSeal
		if answer.Encoded {
			err = errEncoded
		}

		return dispatch.ResultFailed, verdictMayHaveRun, err
	}
	if answer.Events && head.Status == 200 {
		return a.passEvents(head)
	}
	if j.r.Begun() {
		// The caller has the beginning of a stream, which this doesn't continue.
		err := a.drain()
		a.release(err == nil)

		return dispatch.ResultError, verdictMayHaveRun, eris.Errorf("status %d in the middle of a stream", head.Status)
	}

	return a.passWhole(head)
}

// passWhole reads the whole answer before any of it is passed on, so that one
// that breaks off never looks complete.
func (a *attempt) passWhole(head *hop.Head) (dispatch.Result, verdict, error) {
	j := a.j
	body, err := a.conn.ReadAll(_maxAnswer, &j.memory)
	if err != nil {
		a.conn.Close()

		return a.noAnswer(err)
	}
	a.release(true)
	if head.Status >= 500 && j.mayRepeat() {
		j.fallback = &wholeAnswer{
			status: head.Status,
			fields: head.EndToEnd(never),
			body:   body,
		}

		return dispatch.ResultError, verdictMayHaveRun, eris.Errorf("status %d", head.Status)
	}
	j.r.Answer(head.Status, head.EndToEnd(never), body)
	a.served(head.Status)
	if head.Status >= 500 {
		return dispatch.ResultError, verdictDone, nil
	}

	return dispatch.ResultOK, verdictDone, nil
}

func never(string) bool { return false }

// wholeAnswer is a backend server's answer that was read whole.
type wholeAnswer struct {
	status int
	fields []hop.Field
	body   []byte
}

// drain reads the rest of an answer that nobody gets, so that the connection can
// be used again. It waits no longer than for a new one.
func (a *attempt) drain() error {
	a.conn.SetDeadline(earlier(a.j.limit, time.Now().Add(_dialTimeout)))
	if a.j.e.ending.Err() != nil {
		a.conn.SetDeadline(time.Now())
	}

	return a.conn.Discard(_maxAnswer)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}

// release keeps the connection, out of the reach of the caller's leaving.
func (a *attempt) release(ours bool) {
	a.j.r.OnLeave(nil)
	a.conn.Release(ours)
}

// served logs and counts a request with an answer.
func (a *attempt) served(status int) {
	j := a.j
	total := time.Since(j.r.Arrived)
	j.count("Served")
	metrics.GetOrRegisterTimer("Entry.Latency."+j.route.Kind.String(), j.e.cfg.Registry).Update(total)
	j.e.cfg.Log.Write(event.EntryServed, append(j.logFields(), zap.Int("Status", status), zap.Duration("First", a.sentAt.Sub(j.r.Arrived)+a.first),
		zap.Duration("Pause", a.pause), zap.Int("Load", a.choice.Load), zap.Bool("Avoided", a.choice.Avoided), zap.Int("Candidates", a.choice.Candidates), zap.Bool("Reused", a.reused))...)
}

// passEvents passes a stream on, event by event.
func (a *attempt) passEvents(head *hop.Head) (dispatch.Result, verdict, error) {
	j := a.j
	j.events.Drop()
	j.events.Memory = &j.memory
	buf := make([]byte, _readSize)
	began := false
	for {
		n, err := a.conn.Next(buf)
		if n > 0 {
			whole, bad := j.events.Feed(buf[:n])
			if len(whole) > 0 {
				if !began {
					began = true
					a.first = time.Since(a.sentAt)
					j.e.board.First(a.run)
					a.beginEvents(head)
				}
				a.notePause()
				if !j.r.Piece(whole) {
					a.conn.Close()
					j.leave()

					return dispatch.ResultLeft, verdictDone, nil
				}
			}
			if bad != nil {
				a.conn.Close()

				return a.broken(bad)
			}
		}
		if errors.Is(err, io.EOF) && len(j.events.Rest()) == 0 {
			a.beginEvents(head)
			j.r.End(nil)
			a.release(true)
			a.served(head.Status)

			return dispatch.ResultOK, verdictDone, nil
		}
		if err != nil {
			a.conn.Close()

			return a.broken(err)
		}
	}
}

// notePause keeps the longest pause between events.
func (a *attempt) notePause() {
	now := time.Now()
	if a.pieces == 0 {
		a.firstPiece = now
	} else {
		a.pause = max(a.pause, now.Sub(a.lastPiece))
	}
	a.pieces++
	a.lastPiece = now
}

// pace is how long a unit of the answer took.
func (a *attempt) pace() time.Duration {
	const leastPieces = 3
	switch {
	case a.pieces >= leastPieces:
		return a.lastPiece.Sub(a.firstPiece) / time.Duration(a.pieces-1)
	case a.pieces == 0 && a.j.call.Target.Model == "":
		return a.first
	default:
		return 0
	}
}

// beginEvents begins the caller's answer, with the head of the first backend
// server that had an event for it.
func (a *attempt) beginEvents(head *hop.Head) {
	if !a.j.r.Begun() {
		a.j.r.Begin(head.Status, head.Reason, head.EndToEnd(never))
	}
}

// broken is the outcome of a stream that broke off: it goes on elsewhere if it
// may, else the caller sees it cut.
func (a *attempt) broken(err error) (dispatch.Result, verdict, error) {
	j := a.j
	j.lastErr = err
	if time.Until(j.limit) <= 0 {
		j.fail(504, "Timeout")

		return dispatch.ResultLeft, verdictDone, err
	}
	if !j.route.CanResume && !j.r.HasLeft() {
		j.fail(502, "StreamBroken")

		return dispatch.ResultFailed, verdictDone, err
	}

	return dispatch.ResultFailed, verdictMayHaveRun, err
}
