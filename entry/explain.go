package entry

import (
	"cmp"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"papayastair.dev/papayastair/dispatch"
	"papayastair.dev/papayastair/hop"
	"papayastair.dev/papayastair/site"
)

// _placedFrom is the probability of a place from which a request counts as placed.
const _placedFrom = 0.5

// Query describes a request whose decision is explained.
type Query struct {
	// Route is the name of the route; if it is empty, Host and Path find the route.
	Route string
	Host  string
	Path  string
	// Target is the requested model, empty if there is none.
	Target site.Target
	// Workspace is the name of the caller's workspace, empty for a request without a key.
	Workspace string
	// Timeout is the time limit that the caller sets; 0 if it sets none.
	Timeout time.Duration
	// Tokens is the cost of the request under a limit that counts tokens; negative if the
	// caller doesn't give it.
	Tokens float64
}

// Values returns the query as parameters in the address of an explanation.
func (q Query) Values() url.Values {
	v := url.Values{}
	for name, value := range map[string]string{
		"route":     q.Route,
		"host":      q.Host,
		"path":      q.Path,
		"model":     q.Target.String(),
		"workspace": q.Workspace,
	} {
		if value != "" {
			v.Set(name, value)
		}
	}
	if q.Timeout > 0 {
		v.Set("deadline", strconv.FormatInt(q.Timeout.Milliseconds(), 10))
	}
	if q.Tokens >= 0 {
		v.Set("tokens", strconv.FormatFloat(q.Tokens, 'f', -1, 64))
	}

	return v
}

// parseQuery reads the parameters that Values writes.
func parseQuery(text string) (Query, error) {
	v, err := url.ParseQuery(text)
	if err != nil {
		return Query{}, eris.Wrap(err, "entry: parameters")
	}
	q := Query{
		Route:     v.Get("route"),
		Host:      v.Get("host"),
		Path:      v.Get("path"),
		Workspace: v.Get("workspace"),
		Tokens:    -1,
	}
	q.Target.Model, q.Target.Adapter, _ = strings.Cut(v.Get("model"), "/")
	if s := v.Get("deadline"); s != "" {
		ms, err := strconv.ParseUint(s, 10, 31)
		if err != nil {
			return Query{}, eris.Errorf("deadline %q is no number of milliseconds", s)
		}
		q.Timeout = time.Duration(ms) * time.Millisecond
	}
	if s := v.Get("tokens"); s != "" {
		// The comparison is false for what is no number, too.
		if q.Tokens, err = strconv.ParseFloat(s, 64); err != nil || !(q.Tokens >= 0 && q.Tokens <= 1e12) {
			return Query{}, eris.Errorf("tokens %q is no number of tokens", s)
		}
	}
	if q.Route == "" && (q.Host == "" || q.Path == "") {
		return Query{}, eris.New("neither route nor host and path are given")
	}

	return q, nil
}

// Explanation is what an instance would do with a request at this moment, and why. It is
// served as JSON.
type Explanation struct {
	// Problem names what the query asks for and the instance doesn't know, or what can't
	// be read. The other fields are empty then.
	Problem string `json:",omitempty"`
	// Name is the instance's name, and Leaving reports whether it is shutting down.
	Name    string
	Leaving bool
	// Version and Revision are those of the configuration in force; EvidenceAgeMS
	// is the time since it was last confirmed to be current, ServersAgeMS since the
	// backend servers' entries were.
	Version       int
	Revision      int
	EvidenceAgeMS int64
	ServersAgeMS  int64
	// KeysAllowed reports whether requests with keys are served: EvidenceAgeMS is at most
	// KeyEvidenceBoundMS.
	KeysAllowed        bool
	KeyEvidenceBoundMS int64
	// Route and Workspace are those of the request, nil if there is none.
	Route     *ExplainedRoute     `json:",omitempty"`
	Workspace *ExplainedWorkspace `json:",omitempty"`
	// DeadlineMS is the time for the request. Order is its priority among all, Precedence
	// that among the requests that compete for slots; 0 is the most urgent.
	DeadlineMS int64
	Order      int
	Precedence int
	// Limit is the decision of the workspace's limit; nil if it was not asked.
	Limit *ExplainedLimit `json:",omitempty"`
	// Targets are the services that the request may go to, empty if it is refused before.
	Targets []ExplainedTarget
	// Placed is the probability with which the request is sent to a backend server. If it
	// is below one half, Refusal is the likely answer.
	Placed  float64
	Refusal *ExplainedRefusal `json:",omitempty"`
}

// ExplainedRoute is the route of an explained request.
type ExplainedRoute struct {
	Name      string
	Host      string
	Prefix    string
	Kind      string
	Public    bool
	Rank      int
	GoalMS    int64
	TimeoutMS int64
	Regions   []string `json:",omitempty"`
}

// ExplainedWorkspace is the workspace of an explained request, without its keys.
type ExplainedWorkspace struct {
	Name string
	// Rank overrides the route's rank; negative for none.
	Rank          int
	RatePerSecond float64
	Burst         float64
	CountsTokens  bool
	Regions       []string `json:",omitempty"`
}

// ExplainedLimit is the decision of a workspace's limit. The figures but Cost are those of
// allowance.Decision.
type ExplainedLimit struct {
	OK         bool
	Cost       float64
	Level      float64
	ShareLevel float64
	Rate       float64
	Share      float64
	WaitMS     int64
}

// ExplainedTarget is the decision on a place at one service of a route.
type ExplainedTarget struct {
	// Service is the service's name, and Share the part of the route's requests that go
	// there.
	Service string
	Share   float64
	// Decision is that of the balancer at this moment.
	Decision dispatch.Explanation
	// Placed is the probability of a place before the request is refused. WaitMS is for how
	// long it waits for one before that, trying again every PauseMS; for a copy of its model
	// if Decision.Reason is "NoCopy".
	Placed  float64
	WaitMS  int64
	PauseMS int64
	// ServerWaitMS is the time after which a backend server that would have room now is
	// likely to accept a request; 0 if there is none.
	ServerWaitMS int64
	// LackingMS is for how long requests for the model have found no place here.
	LackingMS int64
	// Refusal is the answer if the request is not placed; nil if it surely is.
	Refusal *ExplainedRefusal `json:",omitempty"`
}

// ExplainedRefusal is the answer to a request that is not run.
type ExplainedRefusal struct {
	Status int
	Reason string
	// RetryAfterMS and MaxRetryAfterMS bound the Retry-After, which has a random part.
	RetryAfterMS    int64
	MaxRetryAfterMS int64
	// ClosesConnection reports whether the connection is closed after the answer.
	ClosesConnection bool
}

func newExplainedRefusal(f *refusal) *ExplainedRefusal {
	return &ExplainedRefusal{
		Status:           f.status,
		Reason:           f.reason,
		RetryAfterMS:     f.retry.Milliseconds(),
		MaxRetryAfterMS:  (f.retry + f.spread).Milliseconds(),
		ClosesConnection: f.closes,
	}
}

// handleExplain answers what would become of the request in the parameters.
func (e *Entry) handleExplain(r *hop.Request) {
	_, text, _ := strings.Cut(r.Head.Target, "?")
	q, err := parseQuery(text)
	if err != nil {
		answerJSON(r, 400, Explanation{Problem: err.Error()})

		return
	}
	explanation := e.Explain(q, time.Now())
	status := 200
	if explanation.Problem != "" {
		status = 404
	}
	answerJSON(r, status, explanation)
}

// Explain returns what would become of a request that arrived now, by the code that serves
// requests. It changes nothing and sends nothing. Held traits are not considered: they
// depend on the body of the request.
func (e *Entry) Explain(q Query, now time.Time) Explanation {
	out := Explanation{
		Name:               e.cfg.Settings.Name,
		Leaving:            e.leaving.Load(),
		EvidenceAgeMS:      min(e.evidence.age(), time.Hour).Milliseconds(),
		ServersAgeMS:       min(e.serverChanges.age(), time.Hour).Milliseconds(),
		KeysAllowed:        e.hasKeyEvidence(),
		KeyEvidenceBoundMS: e.maxKeyEvidenceAge().Milliseconds(),
	}
	j := &job{
		e:   e,
		r:   &hop.Request{Arrived: now},
		cfg: e.current.Load(),
		call: Call{
			Timeout: q.Timeout,
			Target:  q.Target,
			Tokens:  q.Tokens,
		},
	}
	var workspace *site.Workspace
	if j.cfg != nil {
		out.Version = j.cfg.Version
		out.Revision = j.cfg.Revision
		var problem string
		if workspace, problem = q.resolve(j.cfg); problem != "" {
			return Explanation{Problem: problem}
		}
	}
	f := j.check(q.Host, q.Path, func() *site.Workspace { return workspace })
	out.describe(j)
	if f == nil && j.workspace != nil {
		f = out.explainLimit(j, now)
	}
	if f != nil {
		out.Refusal = newExplainedRefusal(f)

		return out
	}
	out.Precedence = j.precedence(now)
	for _, share := range shareParts(j.route.Shares) {
		j.service = share.Service
		t := j.explainTarget(now)
		t.Share = share.Share
		out.Placed += t.Share * t.Placed
		out.Targets = append(out.Targets, t)
	}
	if out.Placed < _placedFrom {
		// The refusal of the service where it is most likely.
		worst := slices.MaxFunc(out.Targets, func(a, b ExplainedTarget) int {
			return cmp.Compare(a.Share*(1-a.Placed), b.Share*(1-b.Placed))
		})
		out.Refusal = worst.Refusal
	}

	return out
}

// resolve finds the workspace and, if the query names it, the host and path of the route.
// It returns what is not in the configuration.
func (q *Query) resolve(cfg *site.Configuration) (workspace *site.Workspace, problem string) {
	if q.Route != "" {
		i := slices.IndexFunc(cfg.Routes, func(r site.Route) bool { return r.Name == q.Route })
		if i < 0 {
			return nil, "no route named " + strconv.Quote(q.Route)
		}
		q.Host = cfg.Routes[i].Host
		q.Path = cfg.Routes[i].Prefix
	}
	if cfg.Route(q.Host, q.Path) == nil {
		return nil, "no route for host " + strconv.Quote(q.Host) + " and path " + strconv.Quote(q.Path)
	}
	if q.Workspace == "" {
		return nil, ""
	}
	i := slices.IndexFunc(cfg.Workspaces, func(w site.Workspace) bool { return w.Name == q.Workspace })
	if i < 0 {
		return nil, "no workspace named " + strconv.Quote(q.Workspace)
	}

	return &cfg.Workspaces[i], ""
}

// describe sets what is known of the request itself.
func (x *Explanation) describe(j *job) {
	if r := j.route; r != nil {
		x.Route = &ExplainedRoute{
			Name:      r.Name,
			Host:      r.Host,
			Prefix:    r.Prefix,
			Kind:      r.Kind.String(),
			Public:    r.Public,
			Rank:      r.Rank,
			GoalMS:    r.Goal.Milliseconds(),
			TimeoutMS: r.Timeout.Milliseconds(),
			Regions:   r.Regions,
		}
	}
	if w := j.workspace; w != nil {
		x.Workspace = &ExplainedWorkspace{
			Name:          w.Name,
			Rank:          w.Rank,
			RatePerSecond: w.RatePerSecond,
			Burst:         w.Burst,
			CountsTokens:  w.CountsTokens,
			Regions:       w.Regions,
		}
	}
	if !j.deadline.IsZero() {
		x.DeadlineMS = j.deadline.Sub(j.r.Arrived).Milliseconds()
		x.Order = j.order
	}
}

// explainLimit sets the decision of the workspace's limit, and returns the refusal if
// there is one.
func (x *Explanation) explainLimit(j *job, now time.Time) *refusal {
	cost := costOf(j.workspace, j.call)
	d := j.e.limiter.Check(j.workspace.Name, cost, now)
	x.Limit = &ExplainedLimit{
		OK:         d.OK,
		Cost:       cost,
		Level:      d.Level,
		ShareLevel: d.ShareLevel,
		Rate:       d.Rate,
		Share:      d.Share,
		WaitMS:     d.Wait.Milliseconds(),
	}
	if d.OK {
		return nil
	}

	return overLimit(d)
}

// explainTarget returns the decision on a place at the service of the job.
func (j *job) explainTarget(now time.Time) ExplainedTarget {
	d := j.e.balancer.Explain(j.placement(now), now)
	out := ExplainedTarget{
		Service:      j.service,
		Decision:     d,
		Placed:       d.Placed,
		ServerWaitMS: d.Wait.Milliseconds(),
	}
	if d.Placed >= 1 {
		return out
	}
	choice := dispatch.Choice{
		Reason:     d.Reason,
		Candidates: d.Serving,
		Wait:       d.Wait,
		ColdFull:   d.ColdFull,
		Acceptance: d.Acceptance,
	}
	until, pause := j.placeDeadline()
	left := until.Sub(now)
	switch {
	case j.waitsForPlace(choice, left, pause):
		out.Placed = 1 - (1-d.Placed)*missed(d.Acceptance, left, pause)
		out.WaitMS = left.Milliseconds()
		out.PauseMS = pause.Milliseconds()
	case choice.Reason == dispatch.ReasonNoCopy:
		out.WaitMS = max(j.copyDeadline().Sub(now), 0).Milliseconds()
		out.PauseMS = _needInterval.Milliseconds()
	}
	room, lacking := j.untilRoom(choice.Reason, j.e.shortages.lasting)
	out.LackingMS = lacking.Milliseconds()
	f := newRefusal(noPlace(choice.Reason))
	least, most := j.untilPlace(choice, room, 0), j.untilPlace(choice, room, 1)
	f.retry += least
	f.spread += most - least
	out.Refusal = newExplainedRefusal(f)

	return out
}

// shareParts returns the services of a route with the probabilities of pickShare.
func shareParts(shares []site.Share) []ExplainedTarget {
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	if len(shares) < 2 || total <= 0 {
		only := ExplainedTarget{Share: 1}
		if len(shares) > 0 {
			only.Service = shares[0].Service
		}

		return []ExplainedTarget{only}
	}
	var out []ExplainedTarget
	for _, s := range shares {
		if s.Weight > 0 {
			out = append(out, ExplainedTarget{
				Service: s.Service,
				Share:   float64(s.Weight) / float64(total),
			})
		}
	}

	return out
}
