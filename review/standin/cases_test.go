package standin

import (
	"fmt"
	"sync"
	"time"
)

const (
	_streamService = "drafting"
	_plainService  = "filing"
	_adapters      = 30
	_settleTime    = 4 * time.Second
	_maxBodyBytes  = 4194304
)

// configuration is what the operator writes: a stream that may not be resumed, plain requests
// that may run once, and one tenant.
func configuration() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{
				"name":        "r-draft",
				"host":        _host,
				"path_prefix": "/draft/",
				"kind":        "streaming",
				"timeout_ms":  12000,
				"goal_ms":     250,
				"priority":    1,
				"service":     _streamService,
				"attempts":    1,
				"public":      false,
				"sticky":      true,
				"can_resume":  false,
				"gap_aim_ms":  150,
			},
			{
				"name":        "r-file",
				"host":        _host,
				"path_prefix": "/file/",
				"kind":        "non_idempotent",
				"timeout_ms":  10000,
				"goal_ms":     1000,
				"priority":    2,
				"service":     _plainService,
				"attempts":    1,
				"public":      false,
				"sticky":      false,
				"can_resume":  false,
			},
		},
		"services": []map[string]any{
			{
				"name":        _streamService,
				"health_path": "/healthz",
				"max_conns":   1000,
				"protocol":    "h1",
				"tls":         false,
				"engine": map[string]any{
					"slots":       _workerSlots,
					"kv_capacity": 102006,
					"weights_mb":  200000,
					"lora_slots":  8,
					"loads_per_s": 1.9,
					"host_mb":     130000,
					"disk_mb":     380000,
					"models": []map[string]any{{
						"name":       _model,
						"weights_mb": 65100,
						"load_s":     5,
						"warm_s":     0.6,
						"disk_s":     1,
						"adapters":   _adapters,
						"lora_mb":    12,
					}},
				},
			},
			{
				"name":        _plainService,
				"health_path": "/healthz",
				"max_conns":   1000,
				"protocol":    "h1",
				"tls":         false,
			},
		},
		"limits": map[string]any{
			"max_header_bytes":  16384,
			"max_body_bytes":    _maxBodyBytes,
			"header_timeout_ms": 3000,
			"idle_timeout_ms":   15000,
		},
		"tenants": []map[string]any{{
			"name":         "tenant-a",
			"api_keys":     []string{_key},
			"priority":     1,
			"unit":         "token",
			"plain_tokens": 200,
			"rate_per_s":   81361,
			"burst":        81361,
		}},
	}
}

// outcome is what a client has got for a request.
type outcome struct {
	request request
	reply   reply
}

// outcomes collects them.
type outcomes struct {
	mu   sync.Mutex
	list []outcome
}

func (o *outcomes) add(r request, a reply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.list = append(o.list, outcome{
		request: r,
		reply:   a,
	})
}

func (o *outcomes) all() []outcome {
	o.mu.Lock()
	defer o.mu.Unlock()

	return append([]outcome(nil), o.list...)
}

// prompts returns the requests of a stream whose prompts begin with a part; the last part
// is the request's own.
func prompts(first string) func() request {
	n := 0

	return func() request {
		n++

		return request{
			path:     "/draft/a",
			prefix:   fmt.Sprintf("%s:103,91bd3f06:68,%x%06x:372", first, len(first), n),
			body:     fmt.Appendf(nil, "prompt %s %d", first, n),
			deadline: 12 * time.Second,
		}
	}
}

// firstOf returns when a kind of event was first seen for each request.
func firstOf(events []workerEvent, kind string) map[string]time.Time {
	out := map[string]time.Time{}
	for _, e := range events {
		if _, ok := out[e.ID]; e.Kind == kind && !ok {
			out[e.ID] = e.At
		}
	}

	return out
}
