package entry

import (
	"slices"
	"sync"
	"time"
)

const (
	// _lifeWindow is the time in which a server that ended can't have started again.
	_lifeWindow = 500 * time.Millisecond
	// _maxEndings bounds the answers of one server that are remembered.
	_maxEndings = 64
)

// endings holds the answers that ended with their connections, as a crash of the server
// would have ended them. One is whole if the server answers a request that was sent after
// its end, within _lifeWindow.
type endings struct {
	mu       sync.Mutex
	byServer map[string][]ending
}

// ending is the end of an answer to a request with traits.
type ending struct {
	at     time.Time
	traits []int
}

// add records the end of an answer of a server.
func (e *endings) add(server string, traits []int, now time.Time) {
	if len(traits) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.byServer == nil {
		e.byServer = map[string][]ending{}
	}
	for id, kept := range e.byServer {
		if now.Sub(kept[len(kept)-1].at) > _lifeWindow {
			delete(e.byServer, id)
		}
	}
	kept := e.byServer[server]
	if len(kept) >= _maxEndings {
		kept = slices.Delete(kept, 0, 1)
	}
	e.byServer[server] = append(kept, ending{
		at:     now,
		traits: traits,
	})
}

// takeWhole returns and forgets the answers that are whole because the server has now
// answered a request that was sent at the time sentAt.
func (e *endings) takeWhole(server string, sentAt, now time.Time) []ending {
	e.mu.Lock()
	defer e.mu.Unlock()
	var whole, rest []ending
	for _, n := range e.byServer[server] {
		switch {
		case now.Sub(n.at) > _lifeWindow:
		case n.at.Before(sentAt):
			whole = append(whole, n)
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
