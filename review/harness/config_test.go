package harness

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

// engineService returns a service of model workers.
func engineService(name string, models ...string) map[string]any {
	list := make([]map[string]any, 0, len(models))
	for _, m := range models {
		list = append(list, map[string]any{
			"name":       m,
			"weights_mb": 65100,
			"load_s":     2.6,
			"adapters":   0,
			"lora_mb":    12,
			"warm_s":     0.6,
			"disk_s":     1.0,
		})
	}
	out := plainService(name)
	out["max_conns"] = 290
	out["engine"] = map[string]any{
		"slots":       48,
		"kv_capacity": 123621,
		"weights_mb":  200000,
		"lora_slots":  5,
		"loads_per_s": 2.2,
		"models":      list,
	}

	return out
}

// streamRoute returns a streaming route as that of live drafts.
func streamRoute(name, service string) map[string]any {
	return route(name, "streaming", service, map[string]any{
		"timeout_ms": 12000,
		"goal_ms":    250,
		"priority":   1,
		"gap_aim_ms": 150,
		"sticky":     true,
	})
}
