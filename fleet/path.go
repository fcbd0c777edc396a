package fleet

import "strings"

// Path names a branch of the settings tree, such as
// "zavod/kontinent/zagreb-a/rack-1". The root is the empty path. Names are
// only unique under their parent, so a bare last name never identifies a
// branch.
type Path string

// Parent returns the path without its last name; the root is its own parent.
func (p Path) Parent() Path {
	i := strings.LastIndexByte(string(p), '/')
	if i < 0 {
		return ""
	}
	return p[:i]
}

// Name returns the last name of the path.
func (p Path) Name() string {
	return string(p[strings.LastIndexByte(string(p), '/')+1:])
}

// Join returns the path of the child with the given name.
func (p Path) Join(name string) Path {
	if p == "" {
		return Path(name)
	}
	return p + "/" + Path(name)
}

// Contains reports whether q is p itself or lies below it.
func (p Path) Contains(q Path) bool {
	if p == "" || p == q {
		return true
	}
	return strings.HasPrefix(string(q), string(p)+"/")
}
