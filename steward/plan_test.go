package steward

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/site"
)

// smallFleet is a shard of servers with room for two models each.
func smallFleet(held ...[]string) *planner {
	e := &site.Engine{
		Slots:     32,
		WeightsMB: 100,
		Models:    map[string]site.Model{},
	}
	for i := range 5 {
		e.Models[modelName(i)] = site.Model{
			Name:      modelName(i),
			WeightsMB: 45,
		}
	}
	p := &planner{
		engine:    e,
		demands:   map[string]*demand{},
		now:       time.Unix(1000, 0),
		mayCold:   true,
		shards:    2,
		elsewhere: map[string][]int{},
	}
	for i, models := range held {
		l := newLedger(site.BackendServer{ID: fmt.Sprint("s", i)})
		l.known = true
		for _, m := range models {
			l.adapters[m] = map[string]bool{}
		}
		p.servers = append(p.servers, l)
	}

	return p
}

// TestNext is the table of what one shard changes next.
func TestNext(t *testing.T) {
	tests := []struct {
		name      string
		held      [][]string
		requests  map[string]float64
		elsewhere map[string][]int
		want      string
	}{
		{
			name:     "a model that can't be reached goes into free memory",
			held:     [][]string{{"m00", "m01"}, {"m02", "m03"}, {"m00"}},
			requests: map[string]float64{"m04": 1},
			want:     "load m04 on s2",
		},
		{
			name:     "the idle copy of a model with several yields to a busy model",
			held:     [][]string{{"m00", "m01"}, {"m00", "m02"}, {"m03", "m04"}},
			requests: map[string]float64{"m03": 60},
			elsewhere: map[string][]int{
				"m01": {0, 1},
				"m02": {0, 1},
				"m04": {0, 1},
				"m00": {0, 1},
			},
			want: "unload m00 on s0 for m03",
		},
		{
			name:     "an idle model's last copy yields to a busy model that has none",
			held:     [][]string{{"m00", "m01"}, {"m02", "m03"}},
			requests: map[string]float64{"m00": 3, "m01": 3, "m02": 3, "m03": 0, "m04": 24},
			want:     "unload m03 on s1 for m04",
		},
		{
			name:     "a busy model with a copy takes no last one",
			held:     [][]string{{"m00", "m01"}, {"m02", "m03"}},
			requests: map[string]float64{"m00": 60},
			elsewhere: map[string][]int{
				"m04": {0, 1},
			},
			want: "nothing",
		},
		{
			name:     "one that is needed elsewhere isn't unloaded here too",
			held:     [][]string{{"m00", "m01"}, {"m02", "m04"}},
			requests: map[string]float64{"m00": 60},
			elsewhere: map[string][]int{
				"m01": {0, 1},
				"m02": {0, 1},
				"m03": {0, 1},
				"m04": {0, 1},
			},
			want: "keeps one of each in one of two shards",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			play := func(shard int) (step, string) {
				p := smallFleet(tt.held...)
				p.shard = shard
				for m, counts := range tt.elsewhere {
					p.elsewhere[m] = []int{counts[0], counts[1]}
					if shard == 1 {
						p.elsewhere[m] = []int{counts[1], counts[0]}
					}
				}
				for m, r := range tt.requests {
					d := p.demand(m)
					// Twice, so that there is no trend.
					for range 200 {
						d.take(Want{Requests: r}, p.now)
					}
				}
				st, ok := p.next()
				switch {
				case !ok:
					return st, "nothing"
				case st.load:
					return st, fmt.Sprintf("load %s on %s", st.model, st.server.entry.ID)
				default:
					return st, fmt.Sprintf("unload %s on %s for %s", st.model, st.server.entry.ID, st.room)
				}
			}
			st, got := play(0)
			if tt.want != "keeps one of each in one of two shards" {
				if diff := cmp.Diff(tt.want, got); diff != "" {
					t.Errorf("step (-want +got):\n%s", diff)
				}

				return
			}
			// The same fleet seen from the other shard: they must not both unload
			// the same model.
			other, _ := play(1)
			if st.server != nil && other.server != nil && !st.load && !other.load && st.model == other.model {
				t.Errorf("both shards unload %s", st.model)
			}
		})
	}
}
