package entry

import (
	"sync"
	"time"
)

// _shortageGap is the time without a request that finds no place after which a
// shortage is over.
const _shortageGap = time.Second

// shortages tracks for how long requests for a model have found no place at a backend
// server. It is safe for concurrent use.
type shortages struct {
	mu    sync.Mutex
	spans map[string]span
}

// span is the time from the first to the last request that found no place.
type span struct {
	first time.Time
	last  time.Time
}

func newShortages() *shortages {
	return &shortages{spans: map[string]span{}}
}

// note records a request for the model that finds no place, and returns the time for
// which there has been none.
func (s *shortages) note(model string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	for m, p := range s.spans {
		if now.Sub(p.last) > _shortageGap {
			delete(s.spans, m)
		}
	}
	p, ok := s.spans[model]
	if !ok {
		p.first = now
	}
	p.last = now
	s.spans[model] = p

	return now.Sub(p.first)
}

// lasting returns the time for which there has been no place for the model, as note would
// if a request had found none now. It records nothing.
func (s *shortages) lasting(model string, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.spans[model]; ok && now.Sub(p.last) <= _shortageGap {
		return now.Sub(p.first)
	}

	return 0
}

// untilRoom returns the time after which there is likely room for a model that has
// lacked it for some time. A model without a copy has one after a load. Else there
// are more copies after as long again, or after a load at the latest.
func untilRoom(lacking, load time.Duration, hasCopy bool) time.Duration {
	if !hasCopy && lacking < load {
		return load - lacking
	}

	return min(lacking, load)
}
