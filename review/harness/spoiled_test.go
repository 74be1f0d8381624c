package harness

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the scenario spoiled. One of three workers is faulty, where the site file has a
// share of 0.35, and spoils each 50th of its answers, a share of 0.02 at most.
const (
	_faulty        = 1
	_spoiledEach   = 50
	_pieces        = 24
	_piecesAtOnce  = 4
	_pieceInterval = 20 * time.Millisecond
	_spells        = 3
	_spellTime     = 5 * time.Second
	_spellPause    = 3 * time.Second
)

// spoiler decides which answers of a faulty worker are spoiled.
type spoiler struct {
	mu      sync.Mutex
	rng     *rand.Rand
	answers int
	// active is set during a spell.
	active atomic.Bool
}

// place returns the number of the event whose id the worker spoils, 0 for none.
func (s *spoiler) place(first int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.active.Load() {
		return 0
	}
	if s.answers++; s.answers%_spoiledEach != 0 || first >= _pieces {
		return 0
	}

	return first + s.rng.IntN(_pieces-first)
}

// answerPieces runs a request and answers it with a stream of _pieces events, of which it
// sends _piecesAtOnce together. It goes on behind Last-Event-Id.
func (w *worker) answerPieces(s *spoiler) func(out http.ResponseWriter, r *http.Request) {
	return func(out http.ResponseWriter, r *http.Request) {
		w.begin(r)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		spoiled := s.place(last + 1)
		out.Header().Set("Content-Type", "text/event-stream")
		out.Header().Set("X-Weight-Versions", "1")
		flusher, ok := out.(http.Flusher)
		if !ok {
			return
		}
		for from := last + 1; from <= _pieces; from += _piecesAtOnce {
			var b strings.Builder
			for i := from; i < from+_piecesAtOnce && i <= _pieces; i++ {
				id := i
				if i == spoiled {
					id = i + 90
					w.rec.note("%s spoils the id of piece %d of %s", w.id, i, r.Header.Get("X-Request-Id"))
				}
				fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, i)
			}
			if _, err := out.Write([]byte(b.String())); err != nil {
				return
			}
			flusher.Flush()
			time.Sleep(_piecesAtOnce * _pieceInterval)
		}
	}
}

// piecesOf returns the numbers of the pieces in a stream.
func piecesOf(body string) []int {
	var out []int
	for line := range strings.SplitSeq(body, "\n") {
		if text, ok := strings.CutPrefix(line, "data: piece "); ok {
			n, _ := strconv.Atoi(text)
			out = append(out, n)
		}
	}

	return out
}

// isBroken reports whether the pieces that a client got are not those from the first on,
// or not all though the stream ended as complete.
func isBroken(got []int, complete bool) bool {
	for i, n := range got {
		if n != i+1 {
			return true
		}
	}

	return complete && len(got) != _pieces
}

// playSpoiled checks that clients get each piece of a stream once and in order, while some
// workers hand out wrong bytes.
func playSpoiled(c *context) (broken bool, err error) {
	bulk := streamRoute("bulk", "models")
	bulk["timeout_ms"] = 15000
	bulk["goal_ms"] = 3000
	bulk["attempts"] = 2
	bulk["can_resume"] = true
	c.store.put("config", "main", configuration(1, []map[string]any{bulk}, []map[string]any{engineService("models", "m-1")}, "key"))
	const workers = 3
	var faulty []*spoiler
	for i := range workers {
		w := c.newWorker(fmt.Sprintf("w-%d", i+1), "models", _zones[i%len(_zones)], 48)
		w.models = []string{"m-1"}
		spoils := &spoiler{rng: rand.New(rand.NewPCG(uint64(i), 1))}
		if c.trouble && i < _faulty {
			faulty = append(faulty, spoils)
		}
		w.work = w.answerPieces(spoils)
		if err := w.start(c.network + ".9"); err != nil {
			return false, err
		}
	}
	if err := c.fleet.start(); err != nil {
		return false, err
	}
	if err := c.fleet.awaitReady(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	wrong, whole, cut := 0, 0, 0
	stop := c.clients(len(c.fleet.instances), 100*time.Millisecond, func(client, n int) {
		id := fmt.Sprintf("q-%d-%d", client, n)
		a := send(c.fleet.instances[client].front(), modelRequest(id, "/bulk/x", "m-1", "key"))
		got := piecesOf(a.body)
		c.rec.note("client %d sent %s: status %d, pieces %v, error %v", client, id, a.status, got, a.err)
		mu.Lock()
		defer mu.Unlock()
		switch complete := a.err == nil; {
		case a.status != http.StatusOK:
		case isBroken(got, complete):
			wrong++
			c.rec.note("BROKEN: %s, as complete: %t", id, complete)
		case complete:
			whole++
		default:
			cut++
		}
	})
	for range _spells {
		time.Sleep(_spellPause)
		for _, f := range faulty {
			f.active.Store(true)
		}
		c.rec.note("a spell begins: %d of %d workers spoil answers", len(faulty), workers)
		time.Sleep(_spellTime)
		for _, f := range faulty {
			f.active.Store(false)
		}
		c.rec.note("a spell ends")
	}
	stop()
	c.rec.note("%d streams lack pieces or have them twice, %d are whole, %d were cut", wrong, whole, cut)

	return wrong > 0, nil
}
