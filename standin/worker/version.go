package worker

import "github.com/peridotlock/peridotlock/platform"

// version counts changes. Its upper half is raised when attempts were dropped
// without being settled or when a new owner appears, so that older versions
// count for nothing.
type version platform.Version

const (
	countBits            = 32
	firstVersion version = 1 << countBits
)

// next counts a change and returns the new version.
func (v *version) next() platform.Version {
	*v++
	return platform.Version(*v)
}

// restart makes all earlier versions unknown.
func (v *version) restart() { *v = (*v>>countBits + 1) << countBits }

// follows reports whether since is a version of the present count.
func (v version) follows(since platform.Version) bool {
	return version(since)>>countBits == v>>countBits && version(since) <= v
}
