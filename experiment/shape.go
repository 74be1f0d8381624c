package experiment

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"papayastair.dev/papayastair/wire"
)

const (
	// FirstTokenTarget is the longest time to the first token.
	FirstTokenTarget = 530 * time.Millisecond
	// GapTarget is the longest mean time between tokens.
	GapTarget = 78 * time.Millisecond

	_blockTokens = 64
	_burst       = 2 * time.Second
)

// ReadShape reads a shape from a JSON file.
func ReadShape(file string) (wire.Shape, error) {
	var shape wire.Shape
	data, err := os.ReadFile(file)
	if err != nil {
		return shape, eris.Wrapf(err, "experiment: read shape %s", file)
	}
	if err := json.Unmarshal(data, &shape); err != nil {
		return shape, eris.Wrapf(err, "experiment: parse shape %s", file)
	}

	return shape, nil
}

// Arrival is one request of a shape.
type Arrival struct {
	// ID is unique in the experiment.
	ID string
	// At is the time since the start.
	At time.Duration
	// Workspace is an index into the shape's workspaces.
	Workspace int
	// Instance is the entry instance.
	Instance int
	// Model and Adapter are what it calls.
	Model   string
	Adapter string
	// PrefixHashes are those of its prompt, one for each block.
	PrefixHashes []int
	// InputTokens and OutputTokens are its lengths.
	InputTokens  int
	OutputTokens int
}

// Arrivals are the requests of one workspace at a load, in order.
func Arrivals(shape *wire.Shape, workspace int, load float64) []Arrival {
	w := &shape.Workspaces[workspace]
	random := rand.New(rand.NewPCG(uint64(shape.Seed), uint64(workspace)+1))
	perSecond := work(shape, workspace, load) * Capacity(shape) / requestCost(shape, w)
	end := time.Duration(shape.WarmUpSeconds+shape.Seconds) * time.Second
	var arrivals []Arrival
	at := time.Duration(0)
	burstEnd := time.Duration(0)
	for {
		if w.Burstiness > 1 && at >= burstEnd {
			at += seconds(random.ExpFloat64() * _burst.Seconds() * float64(w.Burstiness-1))
			burstEnd = at + _burst
		}
		at += seconds(random.ExpFloat64() / (perSecond * float64(w.Burstiness)))
		if at >= end {
			return arrivals
		}
		if w.Burstiness > 1 && at >= burstEnd {
			at = burstEnd

			continue
		}
		arrivals = append(arrivals, arrival(shape, workspace, len(arrivals), at, random))
	}
}

func arrival(shape *wire.Shape, workspace, number int, at time.Duration, random *rand.Rand) Arrival {
	w := &shape.Workspaces[workspace]
	a := Arrival{
		ID:           fmt.Sprintf("%s-%d", w.Name, number),
		At:           at,
		Workspace:    workspace,
		Instance:     random.IntN(shape.Instances),
		Model:        w.Models[Rank(random, len(w.Models))],
		InputTokens:  w.PrefixTokens + Spread(random, w.InputTokens-w.PrefixTokens),
		OutputTokens: Spread(random, w.OutputTokens),
	}
	if len(w.Entry) > 0 {
		a.Instance = w.Entry[random.IntN(len(w.Entry))]
	}
	if w.Adapters > 0 {
		a.Adapter = fmt.Sprintf("%s-adapter-%d", a.Model, random.IntN(w.Adapters))
	}
	shared := 0
	if w.Prefixes > 0 {
		shared = w.PrefixTokens / _blockTokens
	}
	prefix := uint64(Rank(random, max(w.Prefixes, 1)))
	own := random.Uint64()
	for block := range a.InputTokens / _blockTokens {
		seed := uint64(workspace)<<40 | prefix<<20
		if block >= shared {
			seed = own
		}
		a.PrefixHashes = append(a.PrefixHashes, int((seed+uint64(block)+1)*0x9e3779b97f4a7c15))
	}

	return a
}

// Rank picks an index below n with a chance of the inverse of its rank, the
// first most often.
func Rank(random *rand.Rand, n int) int {
	total := 0.0
	for i := range n {
		total += 1 / float64(i+1)
	}
	x := random.Float64() * total
	for i := range n {
		x -= 1 / float64(i+1)
		if x < 0 {
			return i
		}
	}

	return n - 1
}

// Spread is a length with this mean, half of it fixed and half exponential,
// at least 1.
func Spread(random *rand.Rand, mean int) int {
	return max(1, int(float64(mean)*(0.5+0.5*random.ExpFloat64())))
}

// Capacity is the output tokens per second of all engines together, each with
// the largest batch that keeps the gap target while prompts of the shape's
// mix are read, no cache hits counted.
func Capacity(shape *wire.Shape) float64 {
	total := 0.0
	for i := range shape.Engines {
		total += engineCapacity(shape, &shape.Engines[i])
	}

	return total
}

// engineCapacity solves one engine: with n decoding, each output token takes
// its part of a step and its part of the reading of a prompt.
func engineCapacity(shape *wire.Shape, e *wire.ShapeEngine) float64 {
	reading := inputPerOutput(shape) / float64(e.PrefillTokensPerSecond)
	best := 0.0
	for n := 1; n <= e.Slots; n++ {
		step := float64(e.StepBaseMicroseconds+n*e.StepPerRequestMicroseconds) / 1e6
		perToken := step/float64(n) + reading
		if perToken*float64(n) <= GapTarget.Seconds() {
			best = math.Max(best, 1/perToken)
		}
	}

	return best
}

// inputPerOutput is the mix's prompt tokens for each output token at load 1.
func inputPerOutput(shape *wire.Shape) float64 {
	input, output := 0.0, 0.0
	for i := range shape.Workspaces {
		w := &shape.Workspaces[i]
		input += float64(w.LoadPerMille) * float64(w.InputTokens) / float64(w.InputTokens+w.OutputTokens)
		output += float64(w.LoadPerMille) * float64(w.OutputTokens) / float64(w.InputTokens+w.OutputTokens)
	}

	return input / output
}

// requestCost is the mean request's cost in output tokens of the mix: its
// tokens, divided by those that come with one output token of the mix.
func requestCost(shape *wire.Shape, w *wire.ShapeWorkspace) float64 {
	return float64(w.InputTokens+w.OutputTokens) / (1 + inputPerOutput(shape))
}

// work is a workspace's offered work at a load, as a part of the capacity.
func work(shape *wire.Shape, workspace int, load float64) float64 {
	steady, growing := 0.0, 0.0
	for i := range shape.Workspaces {
		if shape.Workspaces[i].Grows {
			growing += float64(shape.Workspaces[i].LoadPerMille) / 1000
		} else {
			steady += float64(shape.Workspaces[i].LoadPerMille) / 1000
		}
	}
	w := &shape.Workspaces[workspace]
	part := float64(w.LoadPerMille) / 1000
	if !w.Grows {
		return part
	}

	return part * math.Max(load-steady, 0) / growing
}

// withinShare says that a workspace asks for no more than its weight's part
// of the capacity.
func withinShare(shape *wire.Shape, workspace int, load float64) bool {
	weights := 0
	for i := range shape.Workspaces {
		weights += shape.Workspaces[i].Weight
	}

	return work(shape, workspace, load) <= float64(shape.Workspaces[workspace].Weight)/float64(weights)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
