package standin3

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	_deadline = 4 * time.Second
	_key      = "review-key-1"
)

// clients are the callers: they ask where to connect, and send requests until they are
// stopped.
type clients struct {
	f      *fleet
	models []string
	// prefix returns the parts of the prompt of a request; nil for two small ones. ended is
	// called with the id of each request that was sent; it may be nil.
	prefix func(id string) string
	ended  func(id, result string, sent time.Time)
	// patience is the time after which a client gives up a stream.
	patience time.Duration
	stop     chan struct{}
	wg       sync.WaitGroup
	sent     atomic.Int64
	served   atomic.Int64
	other    sync.Map
}

// run starts n clients, each with a pause between its requests.
func (c *clients) run(n int, pause time.Duration) {
	c.stop = make(chan struct{})
	if c.patience == 0 {
		c.patience = _deadline
	}
	for i := range n {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			c.client(i, pause)
		}()
	}
}

// Close stops the clients and waits.
func (c *clients) Close() {
	close(c.stop)
	c.wg.Wait()
	counts := map[string]int64{}
	c.other.Range(func(k, v any) bool {
		status, isText := k.(string)
		n, isCount := v.(*atomic.Int64)
		if isText && isCount {
			counts[status] = n.Load()
		}

		return true
	})
	c.f.record.write("clients: %d sent, %d served, others %v", c.sent.Load(), c.served.Load(), counts)
}

func (c *clients) client(number int, pause time.Duration) {
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	defer transport.CloseIdleConnections()
	client := &http.Client{
		Transport: transport,
		Timeout:   c.patience,
	}
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(pause):
		}
		model := c.models[rand.IntN(len(c.models))]
		id, sent := fmt.Sprintf("%04x%08x", number, i), time.Now()
		result := c.request(client, id, model)
		c.sent.Add(1)
		if c.ended != nil {
			c.ended(id, result, sent)
		}
		if result == "" {
			c.served.Add(1)

			continue
		}
		n, _ := c.other.LoadOrStore(result, &atomic.Int64{})
		if count, ok := n.(*atomic.Int64); ok {
			count.Add(1)
		}
	}
}

// request sends one request, and returns what came instead of a whole answer.
func (c *clients) request(client *http.Client, id, model string) string {
	address := c.resolve(client)
	if address == "" {
		return "no address"
	}
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/live/x", strings.NewReader("prompt"))
	if err != nil {
		return "request"
	}
	r.Host = _host
	r.Header.Set(_headerID, id)
	r.Header.Set("X-Model", model)
	r.Header.Set("X-Token-Count", "100,30")
	r.Header.Set("X-Prompt-Prefix", "5c1e07a2:50,"+id+":50")
	if c.prefix != nil {
		r.Header.Set("X-Prompt-Prefix", c.prefix(id))
	}
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(_deadline.Milliseconds(), 10))
	r.Header.Set("X-Key", _key)
	resp, err := client.Do(r)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	switch {
	case resp.StatusCode != http.StatusOK:
		return strconv.Itoa(resp.StatusCode)
	case err != nil || strings.Count(string(body), "data: event") != _events:
		return "broken off"
	}

	return ""
}

// resolve asks the machines where to connect.
func (c *clients) resolve(client *http.Client) string {
	for range 3 {
		m := c.f.machines[rand.IntN(len(c.f.machines))]
		resp, err := client.Get("http://" + m.ip + ":8220/api/resolve?name=" + _host + "&region=" + _region + "&zone=" + m.zone)
		if err != nil {
			continue
		}
		var answer struct {
			Addrs []string `json:"addrs"`
		}
		err = json.NewDecoder(resp.Body).Decode(&answer)
		_ = resp.Body.Close()
		if err == nil && len(answer.Addrs) > 0 {
			return answer.Addrs[rand.IntN(len(answer.Addrs))]
		}
	}

	return ""
}
