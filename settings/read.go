package settings

import (
	"fmt"
	"regexp"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/fleet"
)

// validName excludes the slash of paths and the dot of stream names.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)

// reader turns the nodes of one document into branches and collects findings.
type reader struct {
	doc   Document
	found finding.List
}

// readDocument returns the branch that the document describes. The branch is
// nil when the text isn't a YAML mapping.
func readDocument(d Document) (*branch, finding.List) {
	n, found := finding.ParseYAML(d.File, d.Text)
	if len(found) > 0 {
		return nil, found
	}
	r := &reader{doc: d}
	if n.Kind != yaml.MappingNode {
		r.addf(d.Branch, "", n, "a branch must be a mapping")
		return nil, r.found
	}
	b := r.branch(d.Branch, n, n)
	return b, r.found
}

func (r *reader) at(n *yaml.Node) position {
	return position{file: r.doc.File, line: n.Line, column: n.Column, revision: r.doc.Revision}
}

func (r *reader) addf(path fleet.Path, key string, n *yaml.Node, format string, args ...any) {
	if len(r.found) >= finding.MaxFindings {
		return
	}
	r.found = append(r.found, findingAt(r.at(n), path, key, format, args...))
}

func findingAt(at position, path fleet.Path, key, format string, args ...any) finding.Finding {
	place := string(path)
	if place == "" {
		place = "/"
	}
	if key != "" {
		place += ": " + key
	}
	return finding.Finding{File: at.file, Line: at.line, Column: at.column, Path: place, Message: fmt.Sprintf(format, args...)}
}

// branch reads the mapping n; name is the node that the branch is placed at.
func (r *reader) branch(path fleet.Path, name, n *yaml.Node) *branch {
	b := newBranch(path, n, r.at(name))
	r.mapping(b, "", n)
	return b
}

// mapping reads the keys of n below prefix, such as "policy.".
func (r *reader) mapping(b *branch, prefix string, n *yaml.Node) {
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		key := prefix + k.Value
		if seen[key] {
			r.addf(b.path, key, k, "stands twice")
			continue
		}
		seen[key] = true
		r.entry(b, key, k, v)
	}
}

func (r *reader) entry(b *branch, key string, k, v *yaml.Node) {
	f, isField := fields[key]
	switch {
	case isField:
		r.scalar(b, f, v)
	case groups[key]:
		r.group(b, key, v)
	case key == keyRoutes:
		r.routes(b, v)
	case key == keyHosts:
		r.hosts(b, v)
	case key == keyRemove:
		r.removals(b, v)
	case key == keyBranches:
		r.branches(b, v)
	default:
		r.addf(b.path, key, k, "unknown key")
	}
}

func (r *reader) group(b *branch, key string, v *yaml.Node) {
	if v.Kind != yaml.MappingNode {
		r.addf(b.path, key, v, "must be a mapping")
		return
	}
	r.mapping(b, key+".", v)
}

func (r *reader) scalar(b *branch, f field, v *yaml.Node) {
	if v.Kind != yaml.ScalarNode {
		r.addf(b.path, f.key, v, "must be a single value")
		return
	}
	if finding.IsNull(v) {
		r.addf(b.path, f.key, v, "is empty; list it under remove to drop an inherited value")
		return
	}
	parsed, err := f.parse(v.Value)
	if err != nil {
		r.addf(b.path, f.key, v, "%v", err)
		return
	}
	b.own[f.key] = value{parsed: parsed, text: fmt.Sprint(parsed), at: r.at(v)}
}

func (r *reader) removals(b *branch, v *yaml.Node) {
	if v.Kind != yaml.SequenceNode {
		r.addf(b.path, keyRemove, v, "must be a list of keys")
		return
	}
	for _, item := range v.Content {
		key := normaliseRemoval(item.Value)
		switch own := keyRemove + " " + key; {
		case item.Kind != yaml.ScalarNode:
			r.addf(b.path, keyRemove, item, "must be a key")
		case !isRemovable(key):
			r.addf(b.path, keyRemove, item, "%q names nothing that is inherited", item.Value)
		case b.has(own):
			r.addf(b.path, keyRemove, item, "%q stands twice", item.Value)
		default:
			b.own[own] = value{parsed: key, text: key, at: r.at(item)}
		}
	}
}

func (r *reader) branches(b *branch, v *yaml.Node) {
	if v.Kind != yaml.MappingNode {
		r.addf(b.path, keyBranches, v, "must be a mapping of name to branch")
		return
	}
	for i := 0; i+1 < len(v.Content); i += 2 {
		r.child(b, v.Content[i], v.Content[i+1])
	}
}

func (r *reader) child(b *branch, k, v *yaml.Node) {
	name := k.Value
	if !validName.MatchString(name) {
		r.addf(b.path, keyBranches, k, "%q is not a name of letters, digits, - and _", name)
		return
	}
	if _, ok := b.children[name]; ok {
		r.addf(b.path, keyBranches, k, "name %q stands twice", name)
		return
	}
	path := b.path.Join(name)
	switch {
	case v.Kind == yaml.MappingNode:
		b.children[name] = r.branch(path, k, v)
	case finding.IsNull(v):
		b.children[name] = newBranch(path, v, r.at(k))
	default:
		r.addf(path, "", v, "a branch must be a mapping")
	}
}

// normaliseRemoval gives a removal of one route the form of its key.
func normaliseRemoval(text string) string {
	parts := strings.Fields(text)
	if len(parts) == 2 && parts[0] == keyRoutes {
		return routeKey("", parts[1])
	}
	return strings.Join(parts, " ")
}
