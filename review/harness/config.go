package main

// route returns a route of the configuration.
func route(name, kind, service string, fields map[string]any) map[string]any {
	out := map[string]any{
		"name":        "r-" + name,
		"host":        _host,
		"path_prefix": "/" + name + "/",
		"kind":        kind,
		"timeout_ms":  1000,
		"goal_ms":     150,
		"priority":    2,
		"service":     service,
		"attempts":    1,
		"public":      false,
		"sticky":      false,
		"can_resume":  false,
	}
	for k, v := range fields {
		out[k] = v
	}

	return out
}

// configuration returns the operator's configuration.
func configuration(version int, routes, services []map[string]any, keys ...string) map[string]any {
	return map[string]any{
		"version":  version,
		"routes":   routes,
		"services": services,
		"limits": map[string]any{
			"max_header_bytes":  16384,
			"max_body_bytes":    4194304,
			"header_timeout_ms": 3000,
			"idle_timeout_ms":   15000,
		},
		"tenants": []map[string]any{{
			"name":         "tenant-1",
			"api_keys":     keys,
			"priority":     1,
			"unit":         "token",
			"plain_tokens": 1,
			"rate_per_s":   1000000,
			"burst":        1000000,
		}},
	}
}

// plainService returns a service without engines.
func plainService(name string) map[string]any {
	return map[string]any{
		"name":        name,
		"health_path": "/healthz",
		"max_conns":   96,
		"protocol":    "h1",
		"tls":         false,
	}
}
