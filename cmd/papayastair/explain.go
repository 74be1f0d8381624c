package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"papayastair.dev/papayastair/entry"
	"papayastair.dev/papayastair/site"
)

// explainCommand asks instances what would become of a request. It sends nothing else.
type explainCommand struct {
	Entry     []string      `required:"" help:"The IP:port of an entry instance's metrics address; repeatable."`
	Route     string        `xor:"route" help:"The name of the route."`
	Host      string        `xor:"route" help:"The host of the request, with --path instead of --route."`
	Path      string        `help:"The path of the request."`
	Model     string        `help:"The requested model, or MODEL/ADAPTER."`
	Workspace string        `help:"The name of the caller's workspace, not a key; empty for a request without a key."`
	Deadline  time.Duration `help:"The time limit that the caller sets."`
	Tokens    float64       `default:"-1" help:"The cost under a limit that counts tokens; negative if the caller doesn't give it."`
	JSON      bool          `name:"json" help:"Print JSON, as --output json does."`
}

// instanceExplanation is the explanation of one instance.
type instanceExplanation struct {
	Instance    string
	Explanation entry.Explanation
}

// Run prints the explanations of all instances. It fails if one of them would refuse the
// request or doesn't know the route or workspace.
func (c explainCommand) Run(out output) error {
	if c.Route == "" && (c.Host == "" || c.Path == "") {
		return &exitError{
			code: _exitUsage,
			err:  eris.New("neither --route nor --host and --path are given"),
		}
	}
	q := entry.Query{
		Route:     c.Route,
		Host:      c.Host,
		Path:      c.Path,
		Workspace: c.Workspace,
		Timeout:   c.Deadline,
		Tokens:    c.Tokens,
	}
	q.Target.Model, q.Target.Adapter, _ = strings.Cut(c.Model, "/")
	out.json = out.json || c.JSON
	var explanations []instanceExplanation
	var texts []string
	refused, unknown := []string{}, []string{}
	for _, address := range c.Entry {
		e, err := explain(address, q)
		if err != nil {
			unknown = append(unknown, err.Error())

			continue
		}
		if e.Refusal != nil {
			refused = append(refused, e.Name+": "+e.Refusal.Reason)
		}
		explanations = append(explanations, instanceExplanation{
			Instance:    address,
			Explanation: e,
		})
		texts = append(texts, explanationText(e, q.Target))
	}
	if len(explanations) > 0 {
		if err := out.print(explanations, strings.Join(texts, "\n")); err != nil {
			return err
		}
	}
	if len(unknown) > 0 {
		return &exitError{
			code: _exitUsage,
			err:  eris.New(strings.Join(unknown, "; ")),
		}
	}
	if len(refused) > 0 {
		return &exitError{
			code: _exitFailure,
			err:  eris.Errorf("refused at %s", strings.Join(refused, "; ")),
		}
	}

	return nil
}

// explain asks one instance.
func explain(address string, q entry.Query) (entry.Explanation, error) {
	client := http.Client{Timeout: _httpTimeout}
	resp, err := client.Get("http://" + address + "/explain?" + q.Values().Encode())
	if err != nil {
		return entry.Explanation{}, eris.Wrapf(err, "unknown instance %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	var e entry.Explanation
	err = json.NewDecoder(resp.Body).Decode(&e)
	switch {
	case err == nil && e.Problem != "":
		return e, eris.Errorf("%s: %s", address, e.Problem)
	case resp.StatusCode != http.StatusOK:
		return e, eris.Errorf("unknown instance %s: %s", address, resp.Status)
	}

	return e, eris.Wrapf(err, "unknown instance %s", address)
}

// explanationText returns an explanation for people.
func explanationText(e entry.Explanation, target site.Target) string {
	var b strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	line("%s: %s", e.Name, outcomeText(e))
	line("  configuration: version %d, revision %d, confirmed %s ago; servers' entries %s ago", e.Version, e.Revision, ms(e.EvidenceAgeMS), ms(e.ServersAgeMS))
	line("  keys: allowed %t, up to an age of %s", e.KeysAllowed, ms(e.KeyEvidenceBoundMS))
	if r := e.Route; r != nil {
		line("  route: %s (%s%s), %s, public %t, rank %d, goal %s%s", r.Name, r.Host, r.Prefix, r.Kind, r.Public, r.Rank, ms(r.GoalMS), regionsText(r.Regions))
	}
	if w := e.Workspace; w != nil {
		line("  workspace: %s, rank %d, limit %g/s, burst %g%s", w.Name, w.Rank, w.RatePerSecond, w.Burst, regionsText(w.Regions))
	}
	if l := e.Limit; l != nil {
		line("  limit: admitted %t, cost %g, level %.1f, share level %.1f, rate %.1f/s, share %.3f", l.OK, l.Cost, l.Level, l.ShareLevel, l.Rate, l.Share)
	}
	if e.DeadlineMS > 0 {
		line("  deadline %s, order %d, precedence %d", ms(e.DeadlineMS), e.Order, e.Precedence)
	}
	for _, t := range e.Targets {
		b.WriteString(targetText(t, target))
	}

	return strings.TrimSuffix(b.String(), "\n")
}

// outcomeText returns what becomes of the request.
func outcomeText(e entry.Explanation) string {
	if e.Refusal == nil {
		return fmt.Sprintf("would be placed, probability %.2f", e.Placed)
	}
	f := e.Refusal
	text := fmt.Sprintf("would be refused: %d %s", f.Status, f.Reason)
	if f.MaxRetryAfterMS > 0 {
		text += ", Retry-After " + ms(f.RetryAfterMS)
	}
	if f.MaxRetryAfterMS > f.RetryAfterMS {
		text += " to " + ms(f.MaxRetryAfterMS)
	}
	if f.ClosesConnection {
		text += ", closes the connection"
	}

	return text
}

// targetText returns the decision on a place at a service, with all candidates.
func targetText(t entry.ExplainedTarget, target site.Target) string {
	var b strings.Builder
	d := t.Decision
	name := t.Service
	if target.Model != "" {
		name += " for " + target.String()
	}
	_, _ = fmt.Fprintf(&b, "  service %s, share %.2f: placed now %.2f, in time %.2f", name, t.Share, d.Placed, t.Placed)
	if d.Reason != "" {
		_, _ = fmt.Fprintf(&b, ", else %s", d.Reason)
	}
	if d.Acceptance > 0 {
		_, _ = fmt.Fprintf(&b, ", acceptance %.2f", d.Acceptance)
	}
	if t.WaitMS > 0 {
		_, _ = fmt.Fprintf(&b, ", waits %s, tries every %s", ms(t.WaitMS), ms(t.PauseMS))
	}
	if t.LackingMS > 0 {
		_, _ = fmt.Fprintf(&b, ", lacking for %s", ms(t.LackingMS))
	}
	b.WriteString("\n")
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "    SERVER\tCHANCE\tEXCLUDED\tLOAD\tMAX\tOWN\tOTHERS\tCHANGE\tUNSEEN\tHEADER\tWEIGHT\tCOUNTS AGE\tHEADER AGE\tRATIO\tPACE\tSCORE\tSTATE")
	for _, c := range d.Candidates {
		score := c.Score
		if d.Scarce {
			score = c.Weight
		}
		_, _ = fmt.Fprintf(w, "    %s\t%.2f\t%s\t%.1f\t%.1f\t%g\t%g\t%.1f\t%.1f\t%g\t%.2f\t%s\t%s\t%.2f\t%.2f\t%.2f\t%s\n", c.ID, c.Probability, c.Excluded, c.Load, c.MaxLoad,
			c.Own, c.Others, c.OthersChange, c.Unseen, c.Header, c.HeaderWeight, ms(c.CountsAgeMS), ms(c.HeaderAgeMS), c.LatencyRatio, c.Pace, score, stateText(c.Draining, c.Evacuated, c.Avoided, c.Limited, c.ColdMS, c.PausedMS))
	}
	_ = w.Flush()

	return b.String()
}

// stateText returns the states of a backend server.
func stateText(draining, evacuated, avoided, limited bool, coldMS, pausedMS int64) string {
	var out []string
	for _, s := range []struct {
		name string
		is   bool
	}{
		{
			name: "draining",
			is:   draining,
		},
		{
			name: "evacuated",
			is:   evacuated,
		},
		{
			name: "avoided",
			is:   avoided,
		},
		{
			name: "limited",
			is:   limited,
		},
		{
			name: "cold " + ms(coldMS),
			is:   coldMS > 0,
		},
		{
			name: "paused " + ms(pausedMS),
			is:   pausedMS > 0,
		},
	} {
		if s.is {
			out = append(out, s.name)
		}
	}

	return strings.Join(out, ", ")
}

func regionsText(regions []string) string {
	if len(regions) == 0 {
		return ""
	}

	return ", regions " + strings.Join(regions, " ")
}

// ms returns a time in milliseconds for people; negative is none.
func ms(n int64) string {
	if n < 0 {
		return "-"
	}

	return (time.Duration(n) * time.Millisecond).String()
}
