package entry

import (
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/allowance"
	"papayastair.dev/papayastair/dispatch"
	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/hop"
	"papayastair.dev/papayastair/routing"
	"papayastair.dev/papayastair/site"
)

const (
	// _defaultTimeout is the time limit of a request whose caller sets none.
	_defaultTimeout = 30 * time.Second
	// _copyWaitFactor, multiplied by the route's latency goal, is how long a
	// request waits for a model or adapter to be loaded before it is refused.
	// Refusing it earlier would not help: a caller that retried would not be
	// served sooner.
	_copyWaitFactor = 2.0
	// _placeWaitShare, multiplied by the route's latency goal, is how long a request
	// waits for a slot while all are taken. The rest is for its first event.
	_placeWaitShare = 0.5
	// _placeTries is the number of tries within a latency goal, of which _placeWaitShare
	// are made, and _minPlacePause and
	// _maxPlacePause bound the pause between two of them. The load of the backend servers
	// isn't known more often than the shortest pause.
	_placeTries    = 8
	_minPlacePause = 30 * time.Millisecond
	_maxPlacePause = 250 * time.Millisecond
	// _maxMissed is the highest probability of finding no slot with which a request
	// waits for one. Above it, waiting is more often in vain than not.
	_maxMissed = 0.5
	// _returnShare is the part of its remaining time that a caller waits at most before it
	// comes back, and _maxReturn the most that the lack of slots adds to Retry-After. A
	// random part of that, from _minReturnPart to all of it, is used, so that refused
	// callers don't all come back at once.
	_returnShare   = 1.0 / 3
	_maxReturn     = time.Second
	_minReturnPart = 0.5
	// _routeRanks is the number of ranks of routes that are told apart within a rank of
	// workspaces. Higher ones count as the last.
	_routeRanks = 3
	// _dialTimeout is the time limit for a new connection before another backend
	// server is tried.
	_dialTimeout = 250 * time.Millisecond
	// _maxTries is the maximum number of backend servers tried for a request,
	// including those that did not run it.
	_maxTries = 4
	// _needInterval is the interval at which a waiting request renews its need for
	// a target.
	_needInterval = 100 * time.Millisecond
	// _leavingRetryAfter is the Retry-After sent by an instance that is shutting
	// down; the retry goes to another instance.
	_leavingRetryAfter = 50 * time.Millisecond
	// _minRetryAfter and _retryAfterSpread determine the Retry-After of other
	// refusals, which is random so that refused callers don't all retry at once.
	_minRetryAfter    = 200 * time.Millisecond
	_retryAfterSpread = 500 * time.Millisecond
)

// job is the state of one request.
type job struct {
	e         *Entry
	r         *hop.Request
	call      Call
	cfg       *site.Configuration
	route     *site.Route
	workspace *site.Workspace
	service   string
	cost      float64
	// deadline is when the time for the request ends.
	deadline time.Time
	rank     int
	// order is the priority of the request among all, 0 for the most urgent: by its rank
	// and then by that of its route, as a workspace's rank is one for all its routes.
	order int
	// sent counts the backend servers that the request was sent to, except those
	// that answered that they did not run it.
	sent    int
	exclude []string
	// waitCounted is set once the request has been counted as waiting.
	waitCounted bool
	events      hop.Events
	// traits are the parts of the prompt and the fingerprint of the request, from the
	// most common to the most specific.
	traits  []int
	lastErr error
	server  string
	// fallback is a backend server's error answer, forwarded if no other answer
	// follows.
	fallback *bufferedAnswer
	// memory accounts for the memory that the request's answers hold.
	memory hop.Reservation
}

// handle serves one request.
func (e *Entry) handle(r *hop.Request) {
	j := &job{
		e:    e,
		r:    r,
		call: e.cfg.Codec.Decode(r.Head),
		cfg:  e.current.Load(),
		memory: hop.Reservation{
			Limit: e.memory,
		},
	}
	// Without a complete answer the connection is closed, which promises nothing.
	defer e.cfg.Log.Recover("Request", zap.String("RequestID", j.call.ID))
	defer j.memory.Release()
	if !j.admit() {
		return
	}
	j.run()
}

// logUnread logs a request that was answered without being read.
func (e *Entry) logUnread(status int, err error) {
	if errors.Is(err, hop.ErrNoMemory) {
		metrics.GetOrRegisterCounter("Entry.Refused.NoMemory.None", e.cfg.Registry).Inc(1)
		e.cfg.Log.Write(event.EntryNoMemory, zap.Int("Status", status), zap.Int("Busy", e.busy()))

		return
	}
	e.cfg.Log.Write(event.EntryMalformed, zap.Int("Status", status), zap.Error(err))
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
	j.r.Answer(status, fields, j.e.cfg.Codec.EncodeRefusal(reason))
	j.count("Refused." + reason)
	log := append(j.logFields(), zap.Int("Status", status), zap.String("Reason", reason), zap.Duration("RetryAfter", retry), j.e.evidenceAgeField())
	j.e.cfg.Log.Write(event.EntryRefused, append(log, inputs...)...)
}

// fail ends a request that ran or may have run: it cuts off an answer that has
// begun, and otherwise sends the fallback or an error.
func (j *job) fail(status int, reason string) {
	switch {
	case j.r.Begun():
		j.r.Abort()
		if j.e.abortCtx.Err() != nil {
			j.logCut(true, j.lastErr)

			return
		}
	case j.fallback != nil:
		status = j.fallback.status
		j.r.Answer(status, j.fallback.fields, j.fallback.body)
	default:
		j.r.Answer(status, nil, j.e.cfg.Codec.EncodeRefusal(reason))
	}
	j.count("Failed." + reason)
	j.e.cfg.Log.Write(event.EntryFailed, append(j.logFields(), zap.Int("Status", status), zap.String("Reason", reason), zap.Ints("Parts", j.call.Parts),
		zap.NamedError("Cause", j.lastErr))...)
}

func (j *job) logFields() []zap.Field {
	fields := []zap.Field{
		zap.String("RequestID", j.call.ID),
		zap.Duration("After", time.Since(j.r.Arrived)),
		zap.Int("Sent", j.sent),
		zap.Int("Order", j.order),
		zap.Int("Ordinal", j.r.Ordinal),
	}
	if j.route != nil {
		fields = append(fields, zap.String("Route", j.route.Name), zap.Int("Version", j.cfg.Version))
	}
	if j.workspace != nil {
		fields = append(fields, zap.String("Workspace", j.workspace.Name), zap.Float64("Tokens", j.cost))
	}
	if j.server != "" {
		fields = append(fields, zap.String("Server", j.server))
	}
	if j.call.Target.Model != "" {
		fields = append(fields, zap.Stringer("Target", j.call.Target))
	}

	return fields
}

// count increments the counter of an outcome for the route's kind.
func (j *job) count(result string) {
	kind := "None"
	if j.route != nil {
		kind = j.route.Kind.String()
	}
	metrics.GetOrRegisterCounter("Entry."+result+"."+kind, j.e.cfg.Registry).Inc(1)
}

// retryAfter returns a random Retry-After for a refusal.
func retryAfter() time.Duration {
	return _minRetryAfter + rand.N(_retryAfterSpread)
}

// refusal is an answer that says that the request has not run.
type refusal struct {
	status int
	reason string
	// retry is the shortest Retry-After, and spread the length of its random part.
	retry  time.Duration
	spread time.Duration
	// closes reports whether the connection is closed, so that the caller leaves this
	// instance, and lacksEvidence whether the reason is that keys are not allowed.
	closes        bool
	lacksEvidence bool
	inputs        []zap.Field
}

// newRefusal returns a refusal with status 503 and a random Retry-After.
func newRefusal(reason string) *refusal {
	return &refusal{
		status: 503,
		reason: reason,
		retry:  _minRetryAfter,
		spread: _retryAfterSpread,
	}
}

// refuseWith answers that the request has not run.
func (j *job) refuseWith(f *refusal) {
	if f.closes {
		j.r.CloseAfter()
	}
	retry := f.retry
	if f.spread > 0 {
		retry += rand.N(f.spread)
	}
	j.refuse(f.status, f.reason, retry, f.inputs...)
}

// admit finds the route and the workspace and charges the request to the
// workspace's limit. It reports false if the request has been answered.
func (j *job) admit() bool {
	e := j.e
	f := j.check(j.r.Head.Value("Host"), j.r.Head.Path(), func() *site.Workspace { return j.cfg.Workspace(j.call.Key) })
	if f != nil {
		if f.lacksEvidence {
			e.keysAllowed()
		}
		j.refuseWith(f)

		return false
	}
	j.service = pickShare(j.route.Shares)
	if j.workspace != nil {
		j.cost = costOf(j.workspace, j.call)
		if d := e.limiter.Admit(j.workspace.Name, j.cost, time.Now()); !d.OK {
			j.refuseWith(overLimit(d))

			return false
		}
	}
	e.balancer.CountRequest(j.service, time.Now())
	if j.call.Target.Model != "" {
		e.demand.addArrival(j.demandKey(), j.rank)
	}

	return true
}

// check finds the route and the workspace, and returns the refusal of a request that can't
// be served whatever the load; nil if there is none. It changes nothing but the job.
func (j *job) check(host, path string, workspace func() *site.Workspace) *refusal {
	e := j.e
	switch {
	case j.cfg == nil:
		return newRefusal("NoConfiguration")
	case !e.held.known.Load():
		return newRefusal("NoHeldTraits")
	case j.call.Malformed != "":
		return &refusal{
			status: 400,
			reason: j.call.Malformed,
		}
	}
	if j.route = j.cfg.Route(host, path); j.route == nil {
		return e.unknown(404, "NoRoute")
	}
	if !j.route.Public {
		if j.workspace = workspace(); j.workspace == nil {
			if !e.isCurrent() && !e.hasKeyEvidence() {
				return e.keyNotCurrent("NoKeyNotCurrent")
			}

			return e.unknown(401, "NoKey")
		}
		if !e.hasKeyEvidence() {
			return e.keyNotCurrent("KeyNotCurrent")
		}
	}
	j.setDeadline()
	if !e.accepts(j.deadline) {
		return leavingRefusal()
	}

	return nil
}

// overLimit returns the refusal of a request that exceeds its workspace's limit.
func overLimit(d allowance.Decision) *refusal {
	return &refusal{
		status: 429,
		reason: "OverLimit",
		retry:  d.Wait,
		inputs: []zap.Field{
			zap.Float64("Level", d.Level), zap.Float64("Own", d.ShareLevel), zap.Float64("Rate", d.Rate),
			zap.Float64("Part", d.Share),
		},
	}
}

// leavingRefusal returns the refusal of a request because this instance is shutting down.
// The connection is closed so that the caller connects to another one.
func leavingRefusal() *refusal {
	return &refusal{
		status: 503,
		reason: "Leaving",
		retry:  _leavingRetryAfter,
		closes: true,
	}
}

// unknown returns the refusal of a request whose route or key is not in the
// configuration. If the configuration may be outdated it has status 503 and a
// Retry-After instead of status.
func (e *Entry) unknown(status int, reason string) *refusal {
	if !e.isCurrent() {
		return newRefusal(reason + "NotCurrent")
	}

	return &refusal{
		status: status,
		reason: reason,
	}
}

// keyNotCurrent returns the refusal of a request with a key because there is no evidence
// that the configuration is current. An instance that hears from no other one is likely to
// be cut off: its callers are told to leave, and to come back when they no longer keep the
// addresses that led them here.
func (e *Entry) keyNotCurrent(reason string) *refusal {
	f := newRefusal(reason)
	f.lacksEvidence = true
	if !e.hub.HasLivePeer() {
		f.closes = true
		f.retry = e.ttl()
	}

	return f
}

func (j *job) setDeadline() {
	timeout := j.call.Timeout
	if timeout <= 0 {
		timeout = _defaultTimeout
	}
	if j.route.Timeout > 0 {
		timeout = min(timeout, j.route.Timeout)
	}
	j.deadline = j.r.Arrived.Add(timeout)
	j.rank = j.route.Rank
	if j.workspace != nil && j.workspace.Rank >= 0 {
		j.rank = j.workspace.Rank
	}
	j.order = min(max(j.rank, 0)*_routeRanks+min(max(j.route.Rank, 0), _routeRanks-1), dispatch.Precedences-2)
}

// loadRank returns the rank that determines how far backend servers are filled with
// requests like this one: that of the route, as the rank of a workspace is one for all its
// routes and would let its bulk requests into the slots kept free for urgent ones. Those of
// a most urgent workspace still don't count as bulk.
func (j *job) loadRank() int {
	if j.rank == 0 {
		return min(j.route.Rank, 1)
	}

	return j.route.Rank
}

func (j *job) demandKey() demandKey {
	return demandKey{
		service: j.service,
		target:  j.call.Target,
	}
}

// costOf returns the cost of a request under its workspace's limit.
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

// pickShare picks a service at random, by weight.
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

// outcome is how one try ended.
type outcome int

const (
	// outcomeDone means that the caller has its answer, or has disconnected.
	outcomeDone outcome = iota
	// outcomeNotRun means that the backend server did not run the request.
	outcomeNotRun
	// outcomeNotSent means that no byte of the request was sent.
	outcomeNotSent
	// outcomeMayHaveRun means that the request ran or may have run, without an
	// answer for the caller.
	outcomeMayHaveRun
)

// run tries backend servers until one has answered or no other may be tried.
func (j *job) run() {
	e := j.e
	workspace := ""
	if j.workspace != nil {
		workspace = j.workspace.Name
	}
	j.traits = slices.Concat(j.call.Parts, []int{routing.Fingerprint(workspace, j.r.Head.Target, j.r.Body)})
	if j.route.CanResume {
		j.events.StartAfter(j.call.LastEventID)
	}
	ran := false
	for tries := 1; ; tries++ {
		if j.r.IsDisconnected() {
			j.abandon()

			return
		}
		if trait, left := e.quarantine.Find(j.traits); left > 0 {
			j.quarantine(trait, left, ran)

			return
		}
		choice, ok := j.chooseServer(ran)
		if !ran && !e.accepts(j.deadline) {
			j.refund()
			j.refuseWith(leavingRefusal())

			return
		}
		if !ok {
			j.failUnplaced(choice, ran)

			return
		}
		result := j.try(choice)
		switch result {
		case outcomeDone:
			return
		case outcomeNotRun, outcomeNotSent:
		case outcomeMayHaveRun:
			ran = true
			if !j.canRetry() {
				j.fail(502, "NoAnswer")

				return
			}
		}
		j.exclude = append(j.exclude, choice.Server.ID)
		// A try that sent nothing is not a repeat for any backend server and costs no
		// retry.
		if tries >= _maxTries || result != outcomeNotSent && !e.balancer.AllowRetry(j.service, time.Now()) {
			j.giveUp(ran, "NoRetry")

			return
		}
	}
}

// canRetry reports whether a request that may have run may be sent again.
func (j *job) canRetry() bool {
	if j.sent >= max(j.route.Attempts, 1) || time.Until(j.deadline) <= 0 || j.e.abortCtx.Err() != nil {
		return false
	}
	if j.route.Kind == site.KindStream && !j.events.IsResumable() {
		return false
	}

	return j.route.IsRepeatable()
}

// chooseServer picks a backend server. If none has a free slot, it tries again as
// long as that is likely to help. If none holds the target, it waits for the
// steward to have it loaded, as long as the answer can still be in time. A
// request that has been run (ran) can't be retried at another instance, so it
// waits until the process exits, even when new requests are no longer accepted.
func (j *job) chooseServer(ran bool) (dispatch.Choice, bool) {
	e := j.e
	copyDeadline := j.copyDeadline()
	placeDeadline, pause := j.placeDeadline()
	for {
		changed := e.boardChangedChannel()
		now := time.Now()
		choice := e.balancer.Choose(j.placement(now), now)
		if choice.Server != nil {
			return choice, true
		}
		if j.call.Target.Model != "" && !j.waitCounted {
			j.waitCounted = true
			e.demand.addWaiting(j.demandKey())
		}
		if left := placeDeadline.Sub(now); j.waitsForPlace(choice, left, pause) && j.mayWait(ran) {
			j.sleep(min(pause, left))
			// Each try counts, as the demand is what finds no slots.
			e.demand.addArrival(j.demandKey(), j.rank)

			continue
		}
		if choice.Reason != dispatch.ReasonNoCopy || !now.Before(copyDeadline) {
			return choice, false
		}
		if j.call.Target.Model != "" {
			e.shortages.note(j.service+"|"+j.call.Target.Model, now)
		}
		if e.abortCtx.Err() != nil || !ran && !e.accepts(j.deadline) {
			return choice, false
		}
		e.requestTarget(j.service, j.call.Target)
		wait := time.NewTimer(min(_needInterval, copyDeadline.Sub(now)))
		select {
		case <-changed:
		case <-wait.C:
		case <-e.abortCtx.Done():
		case <-j.r.Disconnected():
			wait.Stop()

			return choice, false
		}
		wait.Stop()
	}
}

// mayWait reports whether the request may wait for a slot at this instance. One that has
// been run can't be served by another instance.
func (j *job) mayWait(ran bool) bool {
	return !j.r.IsDisconnected() && j.e.abortCtx.Err() == nil && (ran || j.e.accepts(j.deadline))
}

// sleep waits for d, or until the caller disconnects or requests are aborted.
func (j *job) sleep(d time.Duration) {
	wait := time.NewTimer(d)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-j.e.abortCtx.Done():
	case <-j.r.Disconnected():
	}
}

// placement returns the request to place on a backend server.
func (j *job) placement(now time.Time) dispatch.Request {
	return dispatch.Request{
		Service:       j.service,
		Target:        j.call.Target,
		Rank:          j.loadRank(),
		Precedence:    j.precedence(now),
		FailureDomain: j.e.cfg.Settings.FailureDomain,
		Exclude:       j.exclude,
		Regions:       j.regions(),
	}
}

// regions returns the lists of regions in which the request may run.
func (j *job) regions() [][]string {
	if j.workspace == nil {
		return [][]string{j.route.Regions}
	}

	return [][]string{j.route.Regions, j.workspace.Regions}
}

// copyDeadline returns the time until which the request waits for a copy of its
// target.
func (j *job) copyDeadline() time.Time {
	goal := j.route.Goal
	if goal <= 0 {
		goal = time.Second
	}
	until := j.r.Arrived.Add(time.Duration(_copyWaitFactor * float64(goal)))
	if until.After(j.deadline) {
		return j.deadline
	}

	return until
}

// precedence returns the precedence of the request among those that compete for scarce
// slots. What can still meet its latency goal comes before what can't: a late answer is
// as late a moment later. The goal counts from the first try of a caller: one that was
// refused before has less time left than the route allows, and has waited for the rest.
func (j *job) precedence(now time.Time) int {
	age := now.Sub(j.r.Arrived)
	if j.route.Timeout > 0 && j.call.Timeout > 0 {
		age += max(j.route.Timeout-j.call.Timeout, 0)
	}
	if j.route.Goal > 0 && age > j.route.Goal {
		return dispatch.Precedences - 1
	}

	return j.order
}

// placeDeadline returns the time until which the request waits for a place, and the
// pause between two tries.
func (j *job) placeDeadline() (time.Time, time.Duration) {
	if j.call.Target.Model == "" || j.route.Goal <= 0 {
		return time.Time{}, 0
	}
	until := j.r.Arrived.Add(time.Duration(_placeWaitShare * float64(j.route.Goal)))

	return earlier(until, j.deadline), min(max(j.route.Goal/_placeTries, _minPlacePause), _maxPlacePause)
}

// waitsForPlace reports whether the request waits for a place for the time left.
func (j *job) waitsForPlace(choice dispatch.Choice, left, pause time.Duration) bool {
	return choice.Reason == dispatch.ReasonFull && likely(choice.Acceptance, left, pause)
}

// likely reports whether a request that is placed with the given probability at each try
// is likely enough to be placed within the time left. Without a known probability, which
// is then 0, it isn't.
func likely(acceptance float64, left, pause time.Duration) bool {
	return left > 0 && pause > 0 && missed(acceptance, left, pause) <= _maxMissed
}

// missed returns the probability with which a request that is placed with the given
// probability at each try is not placed within the time left.
func missed(acceptance float64, left, pause time.Duration) float64 {
	return math.Pow(1-min(acceptance, 1), float64(left/pause))
}

// failUnplaced ends a request for which no backend server is left.
func (j *job) failUnplaced(choice dispatch.Choice, ran bool) {
	if j.r.IsDisconnected() {
		j.abandon()

		return
	}
	if ran {
		j.fail(502, noPlace(choice.Reason))

		return
	}
	if choice.ColdFull {
		metrics.GetOrRegisterCounter("Entry.ColdWaits", j.e.cfg.Registry).Inc(1)
	}
	room, lacking := j.untilRoom(choice.Reason, j.e.shortages.note)
	j.refund()
	retry := retryAfter() + j.untilPlace(choice, room, rand.Float64())
	j.refuse(503, noPlace(choice.Reason), retry, zap.Duration("Lacking", lacking), zap.Duration("ServerWait", choice.Wait),
		zap.Int("Candidates", choice.Candidates), zap.Float64("Acceptance", choice.Acceptance))
}

// untilRoom returns the time until there is likely room for the request, beside the
// random part of Retry-After, and for how long its model has lacked room: the result of
// lack, which may also record that it does.
func (j *job) untilRoom(reason dispatch.Reason, lack func(model string, now time.Time) time.Duration) (room, lacking time.Duration) {
	model := j.call.Target.Model
	engine := j.e.engine(j.service)
	if model == "" || engine == nil || reason == dispatch.ReasonNoHome {
		return 0, 0
	}
	now := time.Now()
	lacking = lack(j.service+"|"+model, now)
	if reason == dispatch.ReasonNoCopy && j.call.Target.Adapter != "" && j.e.balancer.HasCopy(j.service, model, now) {
		// The copies have no free place for another adapter at the moment.
		return 0, lacking
	}

	return untilRoom(lacking, engine.Models[model].ColdLoad, reason != dispatch.ReasonNoCopy), lacking
}

// noPlace returns the reason in the refusal of a request without a backend server.
func noPlace(reason dispatch.Reason) string {
	return "NoPlace." + string(reason)
}

// untilPlace returns the Retry-After of a request without a backend server, beside its
// random part. room is the time until there is likely room, and random is between 0 and 1.
func (j *job) untilPlace(choice dispatch.Choice, room time.Duration, random float64) time.Duration {
	return max(room, choice.Wait, j.untilReturn(choice, random))
}

// untilReturn returns the time after which a request that was refused for lack of slots
// should come back: later the scarcer they are, within the part of its time that a caller
// waits. random is between 0 and 1.
func (j *job) untilReturn(choice dispatch.Choice, random float64) time.Duration {
	if choice.Reason != dispatch.ReasonFull || j.call.Target.Model == "" {
		return 0
	}
	longest := min(_returnShare*float64(time.Until(j.deadline)), float64(_maxReturn))
	part := _minReturnPart + (1-_minReturnPart)*random

	return time.Duration(longest * (1 - min(choice.Acceptance, 1)) * part)
}

// quarantine ends a request that would crash backend servers.
func (j *job) quarantine(trait int, left time.Duration, ran bool) {
	if ran {
		j.fail(502, "Quarantined")

		return
	}
	j.refund()
	j.refuse(503, "Quarantined", left, zap.Int("Trait", trait))
}

// giveUp ends the request, as of unknown outcome if it ran or may have run,
// else as not run.
func (j *job) giveUp(ran bool, reason string) {
	if ran {
		j.fail(502, reason)

		return
	}
	j.refund()
	j.refuse(503, reason, retryAfter())
}

// refund returns the cost of a request that has not run to its workspace's
// limit.
func (j *job) refund() {
	if j.workspace != nil {
		j.e.limiter.Refund(j.workspace.Name, j.cost)
	}
}

// abandon ends a request whose caller has disconnected, or whose connection
// this process has closed.
func (j *job) abandon() {
	begun := j.r.Begun()
	cause := j.r.DisconnectCause()
	j.r.Abort()
	if j.sent == 0 {
		j.refund()
	}
	if errors.Is(cause, net.ErrClosed) {
		j.logCut(begun, cause)

		return
	}
	j.count("Left")
	j.e.cfg.Log.Write(event.EntryLeft, j.endFields(begun, cause)...)
}

// logCut logs and counts a connection that was closed because the process
// exits.
func (j *job) logCut(begun bool, cause error) {
	j.count("Cut")
	j.e.cfg.Log.Write(event.EntryCut, j.endFields(begun, cause)...)
}

func (j *job) endFields(begun bool, cause error) []zap.Field {
	return append(j.logFields(), zap.Bool("Begun", begun), zap.Bool("Leaving", j.e.leaving.Load()), zap.NamedError("Cause", cause))
}

// outgoing returns the values to set on the request to a backend server.
func (j *job) outgoing(server string) Outgoing {
	out := Outgoing{
		Timeout:     time.Until(j.deadline),
		Server:      server,
		Rank:        -1,
		LastEventID: j.call.LastEventID,
	}
	if j.call.Target.Model != "" {
		out.Rank = j.order
	}
	if j.workspace != nil {
		out.Workspace = j.workspace.Name
	}
	if j.events.LastID() != "" {
		out.LastEventID = j.events.LastID()
	}

	return out
}
