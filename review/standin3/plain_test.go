package standin3

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

const (
	_printdesk    = "printdesk"
	_contact      = 3000 * time.Millisecond
	_plainPause   = 20 * time.Millisecond
	_plainTimeout = 600 * time.Millisecond
)

// statusRoute returns the declaration of a public route to a service.
func statusRoute(service string) map[string]any {
	return map[string]any{
		"name": "status", "host": _host, "path_prefix": "/status/", "kind": "idempotent", "timeout_ms": 600, "goal_ms": 100,
		"priority": 2, "service": service, "attempts": 2, "public": true,
	}
}

// askPlain sends requests to one machine until stop is closed.
func (f *fleet) askPlain(number int, stop chan struct{}) {
	m := f.machines[number]
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(_plainPause):
		}
		r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:8221/status/%d", m.ip, rand.IntN(100)), nil)
		if err != nil {
			return
		}
		id := fmt.Sprintf("%04x%08x", number, i)
		r.Host = _host
		r.Header.Set(_headerID, id)
		r.Header.Set("X-Deadline-Ms", strconv.FormatInt(_plainTimeout.Milliseconds(), 10))
		resp, err := client.Do(r)
		if err != nil {
			f.record.write("%s sent to %s: %v", id, m.name, err)

			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		f.record.write("%s sent to %s: %d %s %v", id, m.name, resp.StatusCode, body, err)
	}
}
