package settings

import (
	"regexp"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// validHost matches a host name or IP address as in a Host header, in lower case
// and without a port. Hosts are compared as text.
var validHost = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?$`)

// hostRoute is a route of one host; the host is empty for services without hosts.
type hostRoute struct{ host, key string }

func (r *reader) readHosts(b *branch, v *yaml.Node) {
	if v.Kind != yaml.SequenceNode || len(v.Content) == 0 {
		r.addf(b.path, keyHosts, v, "must be a list of host names")
		return
	}
	var names []string
	for _, item := range v.Content {
		switch {
		case item.Kind != yaml.ScalarNode || !validHost.MatchString(item.Value):
			r.addf(b.path, keyHosts, item, "%q is not a host name in lower case without a port", item.Value)
		case slices.Contains(names, item.Value):
			r.addf(b.path, keyHosts, item, "%q stands twice", item.Value)
		default:
			names = append(names, item.Value)
		}
	}
	slices.Sort(names)
	b.own[keyHosts] = value{parsed: names, text: strings.Join(names, " "), pos: r.positionOf(v)}
}

// hosts returns the host names that the branch sets.
func (b *branch) hosts() []string {
	v, ok := b.own[keyHosts]
	if !ok {
		return nil
	}
	return v.parsed.([]string)
}

// checkService checks that no other service has the same route for the same host.
func (c *checker) checkService(b *branch, s scope) {
	hosts := b.hosts()
	if len(hosts) == 0 {
		hosts = []string{""}
	}
	for _, host := range hosts {
		for _, route := range s.routes() {
			c.checkRoute(b, hostRoute{host: host, key: routeKey(route.Method, route.Prefix)})
		}
	}
}

func (c *checker) checkRoute(b *branch, r hostRoute) {
	other, taken := c.routeOwners[r]
	if !taken {
		c.routeOwners[r] = b.path
		return
	}
	host := "no host"
	if r.host != "" {
		host = "host " + r.host
	}
	route := strings.TrimPrefix(r.key, routeKeyPrefix)
	c.addf(b.pos, b, keyRoutes, "%s with %s already belongs to service %q", route, host, other)
}
