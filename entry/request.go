package entry

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/dispatch"
	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/hop"
	"papayastair.dev/papayastair/site"
)

const (
	// _defaultLeft is how long a caller that doesn't say is taken to wait.
	_defaultLeft = 30 * time.Second
	// _copyPatience is for how many times a route's goal a request waits for a
	// model or adapter to be loaded, before it is refused: a caller who came
	// back would not be served sooner.
	_copyPatience = 2.0
	// _dialTimeout is how long a connection may take before another backend
	// server is tried.
	_dialTimeout = 250 * time.Millisecond
	// _maxTries bounds how many backend servers are asked in all, counting
	// those that did not run the request.
	_maxTries = 4
	// _needEvery is how often a waiting request renews its need.
	_needEvery = 100 * time.Millisecond
	// _leaveRetry is when a caller refused by an instance that ends should come
	// back, to another one.
	_leaveRetry = 50 * time.Millisecond
	// _retryLeast and _retrySpread are the time after which refused callers
	// are told to come back: spread, so that they don't come together.
	_retryLeast  = 200 * time.Millisecond
	_retrySpread = 500 * time.Millisecond
)

// job is one request on its way.
type job struct {
	e       *Entry
	r       *hop.Request
	call    Call
	cfg     *site.Configuration
	route   *site.Route
	who     *site.Workspace
	service string
	cost    float64
	// limit is when the request's time is over.
	limit time.Time
	rank  int
	// sent is how many backend servers it was passed on to.
	sent    int
	exclude []string
	// waited says that the request found no place once.
	waited  bool
	events  hop.Events
	lastErr error
	server  string
	// fallback is a backend server's own failure, passed on if no other
	// answer comes.
	fallback *wholeAnswer
	// memory is what its answers hold.
	memory hop.Share
}

// handle is the path of a request.
func (e *Entry) handle(r *hop.Request) {
	j := &job{
		e:    e,
		r:    r,
		call: e.cfg.Dialect.Decode(r.Head),
		cfg:  e.current.Load(),
		memory: hop.Share{
			Memory: e.memory,
		},
	}
	defer j.memory.Free()
	if !j.admit() {
		return
	}
	j.run()
}

// refuse answers that the request has not run.
func (j *job) refuse(status int, reason string, retry time.Duration, inputs ...zap.Field) {
	var fields []hop.Field
	if retry > 0 {
		fields = append(fields, hop.Field{
			Name:  "Retry-After",
			Value: strconv.FormatFloat(retry.Seconds(), 'f', 3, 64),
		})
	}
	fields = append(fields, hop.Field{
		Name:  "Content-Type",
		Value: "application/json",
	})
	j.r.Answer(status, fields, j.e.cfg.Dialect.EncodeRefusal(reason))
	j.count("Refused." + reason)
	log := append(j.logFields(), zap.Int("Status", status), zap.String("Reason", reason), zap.Duration("RetryAfter", retry), j.e.loggedAge())
	j.e.cfg.Log.Write(event.EntryRefused, append(log, inputs...)...)
}

// fail answers that the request ran or may have run.
func (j *job) fail(status int, reason string) {
	switch {
	case j.r.Begun():
		j.r.Cut()
		if j.e.ending.Err() != nil {
			j.logCut(true, j.lastErr)

			return
		}
	case j.fallback != nil:
		status = j.fallback.status
		j.r.Answer(status, j.fallback.fields, j.fallback.body)
	default:
		j.r.Answer(status, nil, j.e.cfg.Dialect.EncodeRefusal(reason))
	}
	j.count("Failed." + reason)
	j.e.cfg.Log.Write(event.EntryFailed, append(j.logFields(), zap.Int("Status", status), zap.String("Reason", reason), zap.NamedError("Cause", j.lastErr))...)
}

func (j *job) logFields() []zap.Field {
	fields := []zap.Field{
		zap.String("RequestID", j.call.ID),
		zap.Duration("After", time.Since(j.r.Arrived)),
		zap.Int("Sent", j.sent),
		zap.Int("Ordinal", j.r.Ordinal),
	}
	if j.route != nil {
		fields = append(fields, zap.String("Route", j.route.Name), zap.Int("Version", j.cfg.Version))
	}
	if j.who != nil {
		fields = append(fields, zap.String("Workspace", j.who.Name), zap.Float64("Tokens", j.cost))
	}
	if j.server != "" {
		fields = append(fields, zap.String("Server", j.server))
	}
	if j.call.Target.Model != "" {
		fields = append(fields, zap.Stringer("Target", j.call.Target))
	}

	return fields
}

// count counts an outcome by the route's kind.
func (j *job) count(outcome string) {
	kind := "None"
	if j.route != nil {
		kind = j.route.Kind.String()
	}
	metrics.GetOrRegisterCounter("Entry."+outcome+"."+kind, j.e.cfg.Registry).Inc(1)
}

// retryAfter is a time to come back, spread at random.
func retryAfter() time.Duration {
	return _retryLeast + rand.N(_retrySpread)
}

// admit finds the route and the workspace, and takes the request from the
// workspace's limit. It says false if the request was answered.
func (j *job) admit() bool {
	e := j.e
	if j.cfg == nil {
		j.refuse(503, "NoConfiguration", retryAfter())

		return false
	}
	if j.call.Malformed != "" {
		j.refuse(400, j.call.Malformed, 0)

		return false
	}
	j.route = j.cfg.Route(j.r.Head.Value("Host"), j.r.Head.Path())
	if j.route == nil {
		return j.unknown(404, "NoRoute")
	}
	if !j.route.Public {
		if j.who = j.cfg.Workspace(j.call.Key); j.who == nil {
			return j.unknown(401, "NoKey")
		}
		if !e.keysAllowed() {
			j.refuse(503, "KeyNotCurrent", retryAfter())

			return false
		}
	}
	j.setLimit()
	if !e.takes(j.limit) {
		j.refuseLeaving()

		return false
	}
	j.service = pickShare(j.route.Shares)
	if j.call.Target.Model != "" {
		e.demand.arrive(j.demandKey(), j.rank)
	}
	if j.who != nil {
		j.cost = costOf(j.who, j.call)
		if d := e.book.Take(j.who.Name, j.cost, time.Now()); !d.OK {
			j.refuse(429, "OverLimit", d.Wait, zap.Float64("Level", d.Level), zap.Float64("Own", d.Own),
				zap.Float64("Rate", d.Rate), zap.Float64("Part", d.Part))

			return false
		}
	}
	e.board.CountRequest(j.service, time.Now())

	return true
}

// refuseLeaving sends a caller to another instance, as this one ends.
func (j *job) refuseLeaving() {
	j.r.CloseAfter()
	j.refuse(503, "Leaving", _leaveRetry)
}

// unknown refuses what the configuration doesn't have. One that may be old is
// no proof.
func (j *job) unknown(status int, reason string) bool {
	if j.e.isCurrent() {
		j.refuse(status, reason, 0)
	} else {
		j.refuse(503, reason+"NotCurrent", retryAfter())
	}

	return false
}

func (j *job) setLimit() {
	stay := j.call.Left
	if stay <= 0 {
		stay = _defaultLeft
	}
	if j.route.Timeout > 0 {
		stay = min(stay, j.route.Timeout)
	}
	j.limit = j.r.Arrived.Add(stay)
	j.rank = j.route.Rank
	if j.who != nil && j.who.Rank >= 0 {
		j.rank = j.who.Rank
	}
}

func (j *job) demandKey() demandKey {
	return demandKey{
		service: j.service,
		target:  j.call.Target,
	}
}

// costOf is what a request takes from its workspace's limit.
func costOf(w *site.Workspace, call Call) float64 {
	switch {
	case !w.CountsTokens:
		return 1
	case call.Tokens < 0:
		return w.PlainTokens
	default:
		return call.Tokens
	}
}

// pickShare picks a service by weight.
func pickShare(shares []site.Share) string {
	if len(shares) == 0 {
		return ""
	}
	if len(shares) == 1 {
		return shares[0].Service
	}
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	n := rand.IntN(max(total, 1))
	for _, s := range shares {
		if n -= s.Weight; n < 0 {
			return s.Service
		}
	}

	return shares[0].Service
}

// verdict is how one try ended.
type verdict int

const (
	// verdictDone means that the caller has its answer, or has left.
	verdictDone verdict = iota
	// verdictNotRun means that the backend server has not run the request.
	verdictNotRun
	// verdictNotSent means that nothing of the request has left.
	verdictNotSent
	// verdictMayHaveRun means that it ran or may have run, without an answer
	// for the caller.
	verdictMayHaveRun
)

// run tries backend servers until one has answered or none may be tried.
func (j *job) run() {
	e := j.e
	ran := false
	for tries := 1; ; tries++ {
		if j.r.HasLeft() {
			j.leave()

			return
		}
		choice, ok := j.choose(ran)
		if !ran && !e.takes(j.limit) {
			j.giveBack()
			j.refuseLeaving()

			return
		}
		if !ok {
			j.noPlace(choice, ran)

			return
		}
		v := j.try(choice)
		switch v {
		case verdictDone:
			return
		case verdictNotRun, verdictNotSent:
		case verdictMayHaveRun:
			ran = true
			if !j.mayRepeat() {
				j.fail(502, "NoAnswer")

				return
			}
		}
		j.exclude = append(j.exclude, choice.Server.ID)
		// What never left is no repeat for any backend server.
		if tries >= _maxTries || v != verdictNotSent && !e.board.AllowRetry(j.service, time.Now()) {
			j.giveUp(ran, "NoRetry")

			return
		}
	}
}

// mayRepeat says whether a request that may have run may be sent again.
func (j *job) mayRepeat() bool {
	if j.sent >= max(j.route.Attempts, 1) || time.Until(j.limit) <= 0 || j.e.ending.Err() != nil {
		return false
	}
	if j.route.Kind == site.KindStream && j.r.Begun() && j.events.LastID == "" {
		return false
	}

	return j.route.Repeats()
}

// choose picks a backend server. If none holds the target, it waits for the
// steward to have it loaded, as long as the answer can still be in time. One
// that ran can't be had elsewhere and waits until the process ends.
func (j *job) choose(ran bool) (dispatch.Choice, bool) {
	e := j.e
	patience := j.patience()
	for {
		changed := e.waitChannel()
		now := time.Now()
		choice := e.board.Choose(dispatch.Ask{
			Service:       j.service,
			Target:        j.call.Target,
			Rank:          j.rank,
			FailureDomain: e.cfg.Settings.FailureDomain,
			Exclude:       j.exclude,
		}, now)
		if choice.Server != nil {
			return choice, true
		}
		if j.call.Target.Model != "" && !j.waited {
			j.waited = true
			e.demand.wait(j.demandKey())
		}
		if choice.Reason != dispatch.ReasonNoCopy || !now.Before(patience) {
			return choice, false
		}
		if e.ending.Err() != nil || !ran && !e.takes(j.limit) {
			return choice, false
		}
		e.need(j.service, j.call.Target)
		wait := time.NewTimer(min(_needEvery, patience.Sub(now)))
		select {
		case <-changed:
		case <-wait.C:
		case <-e.ending.Done():
		case <-j.r.Left():
			wait.Stop()

			return choice, false
		}
		wait.Stop()
	}
}

// patience is until when the request waits for a copy.
func (j *job) patience() time.Time {
	goal := j.route.Goal
	if goal <= 0 {
		goal = time.Second
	}
	until := j.r.Arrived.Add(time.Duration(_copyPatience * float64(goal)))
	if until.After(j.limit) {
		return j.limit
	}

	return until
}

// noPlace ends a request for which no backend server is left.
func (j *job) noPlace(choice dispatch.Choice, ran bool) {
	if j.r.HasLeft() {
		j.leave()

		return
	}
	j.giveUp(ran, "NoPlace."+string(choice.Reason))
}

// giveUp answers truly: not run, or unknown.
func (j *job) giveUp(ran bool, reason string) {
	if ran {
		j.fail(502, reason)

		return
	}
	j.giveBack()
	j.refuse(503, reason, retryAfter())
}

// giveBack returns to the workspace's limit what a request took that hasn't run.
func (j *job) giveBack() {
	if j.who != nil {
		j.e.book.Return(j.who.Name, j.cost)
	}
}

// leave ends a request whose caller has gone.
func (j *job) leave() {
	begun := j.r.Begun()
	cause := j.r.LeftCause()
	j.r.Cut()
	if j.sent == 0 {
		j.giveBack()
	}
	if errors.Is(cause, net.ErrClosed) {
		j.logCut(begun, cause)

		return
	}
	j.count("Left")
	j.e.cfg.Log.Write(event.EntryLeft, j.endFields(begun, cause)...)
}

// logCut logs a connection that the process ended because it ends itself.
func (j *job) logCut(begun bool, cause error) {
	j.count("Cut")
	j.e.cfg.Log.Write(event.EntryCut, j.endFields(begun, cause)...)
}

func (j *job) endFields(begun bool, cause error) []zap.Field {
	return append(j.logFields(), zap.Bool("Begun", begun), zap.Bool("Leaving", j.e.leaving.Load()), zap.NamedError("Cause", cause))
}

// outgoing is what the backend server is told.
func (j *job) outgoing(server string) Outgoing {
	out := Outgoing{
		Left:        time.Until(j.limit),
		Server:      server,
		Rank:        -1,
		LastEventID: j.call.LastEventID,
	}
	if j.call.Target.Model != "" {
		out.Rank = j.rank
	}
	if j.who != nil {
		out.Workspace = j.who.Name
	}
	if j.events.LastID != "" {
		out.LastEventID = j.events.LastID
	}

	return out
}
