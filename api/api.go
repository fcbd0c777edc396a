// Package api serves the operators' HTTP interface under /v1: commands that
// change something and queries that only read.
package api

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"net/netip"
	"strings"

	"github.com/peridotlock/peridotlock/api/command"
	"github.com/peridotlock/peridotlock/api/problem"
	"github.com/peridotlock/peridotlock/api/query"
)

// Options are what the interface works with.
type Options struct {
	Token    string // bearer token; empty allows loopback peers only
	Settings command.Settings
	Jobs     command.Jobs
	Queries  query.Handlers
}

// New returns the handler of the whole interface.
func New(o Options) http.Handler {
	mux := http.NewServeMux()
	command.Register(mux, o.Settings, o.Jobs)
	query.Register(mux, o.Queries)
	return authorise(o.Token, bound(mux))
}

// bound limits the size of request bodies.
func bound(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, command.MaxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// authorise refuses requests without the token, or from other machines when
// there is none.
func authorise(token string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if token == "" && !isLoopback(r.RemoteAddr) {
			problem.Write(w, problem.New(problem.Unauthorised, http.StatusForbidden, "no token is configured, so only loopback peers are allowed"))
			return
		}
		if token != "" && !hasToken(r, token) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			problem.Write(w, problem.New(problem.Unauthorised, http.StatusUnauthorized, "the bearer token is missing or wrong"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func isLoopback(remote string) bool {
	addr, err := netip.ParseAddrPort(remote)
	return err == nil && addr.Addr().Unmap().IsLoopback()
}

// hasToken compares digests, so that the time taken tells nothing.
func hasToken(r *http.Request, token string) bool {
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(token))
	return ok && subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
