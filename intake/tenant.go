package intake

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/peridotlock/peridotlock/policy"
	"github.com/peridotlock/peridotlock/submission"
)

// keyCheck is the result of checking the API key of a request.
type keyCheck string

const (
	keyAccepted keyCheck = "" // also if none is needed
	keyMissing  keyCheck = "no key"
	keyUnknown  keyCheck = "unknown key"
)

// access is what a request may see and change.
type access struct {
	tenant string // whose key it carries; "" without one
	all    bool   // the configuration requires no keys
}

// allows reports whether a request may access a submission of its queue. Submissions without a
// tenant are those of public queues and those accepted before tenants were configured.
func (a access) allows(s submission.Submission) bool {
	return a.all || s.Tenant == "" || s.Tenant == a.tenant
}

// logged returns the keys and values of a log line.
func (a access) logged() []any {
	if a.tenant == "" {
		return nil
	}
	return []any{"tenant", a.tenant}
}

// authenticate returns what a request with the given API key may access. A key that is not known
// is refused in public queues too: it may be one that was taken away.
func authenticate(config *policy.Config, queue *policy.Queue, key string) (access, keyCheck) {
	switch tenant := config.TenantOfKey(key); {
	case !config.RequiresKeys:
		return access{all: true}, keyAccepted
	case tenant != nil:
		return access{tenant: tenant.Name}, keyAccepted
	case key != "":
		return access{}, keyUnknown
	case !queue.Public:
		return access{}, keyMissing
	}
	return access{}, keyAccepted
}

// RefuseUnauthorized returns the response to a request whose API key is missing or unknown, and
// whether it must be sent. Other refusals are left to the request's own method.
func (i *Intake) RefuseUnauthorized(action string, req Request) (Response, bool) {
	queue, _, rest, refused := i.route(req)
	if queue != nil || refused.Status != http.StatusUnauthorized {
		return Response{}, false
	}
	return i.finish(action, submission.ID(rest), refused.Response, refused.reason), true
}

func newUnauthorizedCounters(set *metrics.Set) map[keyCheck]*metrics.Counter {
	counters := map[keyCheck]*metrics.Counter{}
	for _, check := range []keyCheck{keyMissing, keyUnknown} {
		counters[check] = set.NewCounter(fmt.Sprintf("peridotlock_unauthorized_requests_total{reason=%q}", string(check)))
	}
	return counters
}

// countSubmission counts the response to a submission of a tenant.
func (i *Intake) countSubmission(tenant string, status int) {
	if tenant == "" {
		return
	}
	name := fmt.Sprintf("peridotlock_tenant_submissions_total{tenant=%q,status=%q}", tenant, http.StatusText(status))
	i.opts.Metrics.GetOrCreateCounter(name).Inc()
}
