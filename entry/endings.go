package entry

import (
	"slices"
	"sync"
	"time"
)

const (
	// _lifeWindow is the time in which a server that ended can't have started again.
	_lifeWindow = 500 * time.Millisecond
	// _endingRetention is how long the end of an answer is remembered. A server that crashed
	// is back after some seconds, and refuses connections until then.
	_endingRetention = 2 * time.Second
	// _sameEnding is the time within which a crash ends all answers of a server, as seen
	// by one instance.
	_sameEnding = 10 * time.Millisecond
	// _maxEndings bounds the answers of one server that are remembered.
	_maxEndings = 64
)

// endings holds the answers that ended with their connections, as a crash of the server
// would have ended them. One is whole if the server answers a request that was sent after
// its end, within _lifeWindow. If the server refuses connections instead, it has ended, and
// the last of its answers may have been cut by that.
type endings struct {
	mu       sync.Mutex
	byServer map[string][]ending
}

// ending is the end of an answer to a request with traits.
type ending struct {
	at time.Time
	// ran is how long the request had run.
	ran    time.Duration
	traits []int
}

// add records the end of an answer of a server, the given time after its request was sent.
func (e *endings) add(server string, traits []int, ran time.Duration, now time.Time) {
	if len(traits) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byServer == nil {
		e.byServer = map[string][]ending{}
	}
	for id, kept := range e.byServer {
		if now.Sub(kept[len(kept)-1].at) > _endingRetention {
			delete(e.byServer, id)
		}
	}
	kept := e.byServer[server]
	if len(kept) >= _maxEndings {
		kept = slices.Delete(kept, 0, 1)
	}
	e.byServer[server] = append(kept, ending{
		at:     now,
		ran:    ran,
		traits: traits,
	})
}

// takeWhole returns and forgets the answers that are whole because the server has now
// answered a request that was sent at the time sentAt. Of older ones it can't be told, as the
// server may have started again since; they are only forgotten.
func (e *endings) takeWhole(server string, sentAt, now time.Time) []ending {
	e.mu.Lock()
	defer e.mu.Unlock()
	var whole, rest []ending
	for _, n := range e.byServer[server] {
		switch {
		case now.Sub(n.at) > _endingRetention:
		case n.at.Before(sentAt):
			if now.Sub(n.at) <= _lifeWindow {
				whole = append(whole, n)
			}
		default:
			rest = append(rest, n)
		}
	}
	if len(rest) == 0 {
		delete(e.byServer, server)
	} else {
		e.byServer[server] = rest
	}

	return whole
}

// takeCut forgets the answers of a server that refuses connections, and returns those that
// its crash may have cut: the last ones, if they are recent.
func (e *endings) takeCut(server string, now time.Time) []ending {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.byServer[server]
	delete(e.byServer, server)
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1].at
	if now.Sub(last) > _endingRetention {
		return nil
	}

	return slices.DeleteFunc(kept, func(n ending) bool { return last.Sub(n.at) > _sameEnding })
}
