package settings

import (
	"regexp"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// validHost is a name or IP number as a request's Host header gives it, in
// lower case and without a port. It is compared as text.
var validHost = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)

// hostRoute is a route under one host; the host is empty for services that
// name none.
type hostRoute struct{ host, key string }

func (r *reader) hosts(b *branch, v *yaml.Node) {
	if v.Kind != yaml.SequenceNode || len(v.Content) == 0 {
		r.addf(b.path, keyHosts, v, "must be a list of names")
		return
	}
	var names []string
	for _, item := range v.Content {
		switch {
		case item.Kind != yaml.ScalarNode || !validHost.MatchString(item.Value):
			r.addf(b.path, keyHosts, item, "%q is not a name in lower case without a port", item.Value)
		case slices.Contains(names, item.Value):
			r.addf(b.path, keyHosts, item, "%q stands twice", item.Value)
		default:
			names = append(names, item.Value)
		}
	}
	slices.Sort(names)
	b.own[keyHosts] = value{parsed: names, text: strings.Join(names, " "), at: r.at(v)}
}

// hosts returns the names that the branch gives itself.
func (b *branch) hosts() []string {
	v, ok := b.own[keyHosts]
	if !ok {
		return nil
	}
	return v.parsed.([]string)
}

// service checks that no other service has the same route under a common host.
func (c *checker) service(b *branch, s scope) {
	hosts := b.hosts()
	if len(hosts) == 0 {
		hosts = []string{""}
	}
	for _, host := range hosts {
		for _, route := range s.routes() {
			c.route(b, hostRoute{host: host, key: routeKey(route.Method, route.Prefix)})
		}
	}
}

func (c *checker) route(b *branch, r hostRoute) {
	other, taken := c.routed[r]
	if !taken {
		c.routed[r] = b.path
		return
	}
	host := "no host"
	if r.host != "" {
		host = "host " + r.host
	}
	route := strings.TrimPrefix(r.key, routeKeyPrefix)
	c.addf(b.at, b, keyRoutes, "%s with %s belongs to service %q already", route, host, other)
}
