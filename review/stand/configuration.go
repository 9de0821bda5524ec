//go:build review

package stand

// Object is a JSON object.
type Object = map[string]any

// Route returns a route in the platform's format.
func Route(name, prefix, kind, service, timeout, target string, priority int) Object {
	return Object{
		"name": name, "prefix": prefix, "kind": kind, "service": service, "timeout": timeout, "target_latency": target,
		"priority": priority, "max_attempts": 2, "public": false,
	}
}

// Configuration returns a configuration with one host. The limits are those of the pages'
// example.
func Configuration(version, host string, services map[string]int, tenants []Object, routes ...Object) Object {
	var all []Object
	for name, connections := range services {
		all = append(all, Object{"name": name, "health_path": "/health", "max_connections": connections, "protocol": "h1", "tls": false})
	}
	return Object{
		"version": version, "services": all, "tenants": tenants,
		"limits":        Object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"virtual_hosts": []Object{{"host": host, "paths": routes}},
	}
}
