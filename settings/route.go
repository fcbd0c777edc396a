package settings

import (
	"net/http"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/peridotlock/peridotlock/fleet"
)

// routeKeyPrefix is the prefix of the keys of routes.
const routeKeyPrefix = keyRoutes + " "

// anyMethod is the method in the key of a route that matches all methods.
const anyMethod = "*"

var (
	routeMethods = []string{
		"", http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
		http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
	routeClasses = []fleet.RequestClass{fleet.Idempotent, fleet.NonIdempotent, fleet.Watch}
)

// routeKey returns the key by which routes merge, such as "routes GET /v1".
func routeKey(method, prefix string) string {
	if method == "" {
		method = anyMethod
	}
	return routeKeyPrefix + method + " " + prefix
}

func (r *reader) readRoutes(b *branch, v *yaml.Node) {
	if v.Kind != yaml.SequenceNode {
		r.addf(b.path, keyRoutes, v, "must be a list of routes")
		return
	}
	for _, item := range v.Content {
		r.readRoute(b, item)
	}
}

func (r *reader) readRoute(b *branch, n *yaml.Node) {
	if n.Kind != yaml.MappingNode {
		r.addf(b.path, keyRoutes, n, "a route must be a mapping")
		return
	}
	before := len(r.findings)
	route := r.readRouteFields(b, n)
	r.checkRoute(b, n, route)
	if len(r.findings) > before {
		return
	}
	key := routeKey(route.Method, route.Prefix)
	if b.has(key) {
		r.addf(b.path, keyRoutes, n, "%s stands twice", strings.TrimPrefix(key, routeKeyPrefix))
		return
	}
	b.own[key] = value{parsed: route, text: string(route.Class), pos: r.positionOf(n)}
}

func (r *reader) readRouteFields(b *branch, n *yaml.Node) Route {
	var route Route
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		if seen[k.Value] {
			r.addf(b.path, keyRoutes, k, "%s stands twice", k.Value)
		}
		seen[k.Value] = true
		if v.Kind != yaml.ScalarNode {
			r.addf(b.path, keyRoutes, v, "%s must be a single value", k.Value)
			continue
		}
		switch k.Value {
		case "prefix":
			route.Prefix = v.Value
		case "method":
			route.Method = v.Value
		case "class":
			route.Class = fleet.RequestClass(v.Value)
		default:
			r.addf(b.path, keyRoutes, k, "unknown key %q", k.Value)
		}
	}
	return route
}

func (r *reader) checkRoute(b *branch, n *yaml.Node, route Route) {
	if !strings.HasPrefix(route.Prefix, "/") || strings.ContainsAny(route.Prefix, " \t\n") {
		r.addf(b.path, keyRoutes, n, "prefix %q must start with / and contain no whitespace", route.Prefix)
	}
	if !slices.Contains(routeMethods, route.Method) {
		r.addf(b.path, keyRoutes, n, "unknown method %q", route.Method)
	}
	if !slices.Contains(routeClasses, route.Class) {
		r.addf(b.path, keyRoutes, n, "unknown class %q", route.Class)
	}
}
