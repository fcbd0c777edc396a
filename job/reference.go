package job

import (
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/settings"
)

// CheckReferences returns what the job names that the settings don't hold: its
// team, and branches without a failure domain at or below them.
func (s Spec) CheckReferences(v *settings.View) []Fault {
	var f faults
	team, ok := v.Team(s.Team)
	switch {
	case !ok:
		f.addf("team", "no team %q in the settings", s.Team)
	case !s.Size.Fits(team.Quota):
		f.addf("size", "%v is more than the quota %v of the team", s.Size, team.Quota)
	}
	for _, p := range s.FailureDomains {
		if !holdsDomain(v, p) {
			f.addf("failure-domains", "no failure domain at or below %q", p)
		}
	}
	return f
}

func holdsDomain(v *settings.View, p fleet.Path) bool {
	for _, d := range v.Domains {
		if p.Contains(d.Path) {
			return true
		}
	}
	return false
}
