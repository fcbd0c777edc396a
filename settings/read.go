package settings

import (
	"fmt"
	"regexp"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/fleet"
)

// validName excludes the slash, which separates path elements, and the dot, which
// separates parts of stream names.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)

// reader converts the YAML nodes of one document into branches and collects findings.
type reader struct {
	doc      Document
	findings finding.List
}

// readDocument parses the document of a branch. The branch is nil if the text
// isn't a YAML mapping.
func readDocument(d Document) (*branch, finding.List) {
	n, found := finding.ParseYAML(d.File, d.Text)
	if len(found) > 0 {
		return nil, found
	}
	r := &reader{doc: d}
	if n.Kind != yaml.MappingNode {
		r.addf(d.Branch, "", n, "a branch must be a mapping")
		return nil, r.findings
	}
	b := r.readBranch(d.Branch, n, n)
	return b, r.findings
}

func (r *reader) positionOf(n *yaml.Node) position {
	return position{file: r.doc.File, line: n.Line, column: n.Column, revision: r.doc.Revision}
}

func (r *reader) addf(path fleet.Path, key string, n *yaml.Node, format string, args ...any) {
	if len(r.findings) >= finding.MaxFindings {
		return
	}
	r.findings = append(r.findings, findingAt(r.positionOf(n), path, key, format, args...))
}

func findingAt(pos position, path fleet.Path, key, format string, args ...any) finding.Finding {
	place := string(path)
	if place == "" {
		place = "/"
	}
	if key != "" {
		place += ": " + key
	}
	return finding.Finding{File: pos.file, Line: pos.line, Column: pos.column, Path: place, Message: fmt.Sprintf(format, args...)}
}

// readBranch reads the mapping n. The position of the branch is that of the node
// name.
func (r *reader) readBranch(path fleet.Path, name, n *yaml.Node) *branch {
	b := newBranch(path, n, r.positionOf(name))
	r.readMapping(b, "", n)
	return b
}

// readMapping reads the keys of n below prefix, such as "policy.".
func (r *reader) readMapping(b *branch, prefix string, n *yaml.Node) {
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		key := prefix + k.Value
		if seen[key] {
			r.addf(b.path, key, k, "duplicate key")
			continue
		}
		seen[key] = true
		r.readEntry(b, key, k, v)
	}
}

func (r *reader) readEntry(b *branch, key string, k, v *yaml.Node) {
	f, isField := fields[key]
	switch {
	case isField:
		r.readScalar(b, f, v)
	case groups[key]:
		r.readGroup(b, key, v)
	case key == keyRoutes:
		r.readRoutes(b, v)
	case key == keyHosts:
		r.readHosts(b, v)
	case key == keyRemove:
		r.readRemovals(b, v)
	case key == keyBranches:
		r.readBranches(b, v)
	default:
		r.addf(b.path, key, k, "unknown key")
	}
}

func (r *reader) readGroup(b *branch, key string, v *yaml.Node) {
	if v.Kind != yaml.MappingNode {
		r.addf(b.path, key, v, "must be a mapping")
		return
	}
	r.readMapping(b, key+".", v)
}

func (r *reader) readScalar(b *branch, f field, v *yaml.Node) {
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
	b.own[f.key] = value{parsed: parsed, text: fmt.Sprint(parsed), pos: r.positionOf(v)}
}

func (r *reader) readRemovals(b *branch, v *yaml.Node) {
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
			r.addf(b.path, keyRemove, item, "%q is not an inheritable key", item.Value)
		case b.has(own):
			r.addf(b.path, keyRemove, item, "duplicate key %q", item.Value)
		default:
			b.own[own] = value{parsed: key, text: key, pos: r.positionOf(item)}
		}
	}
}

func (r *reader) readBranches(b *branch, v *yaml.Node) {
	if v.Kind != yaml.MappingNode {
		r.addf(b.path, keyBranches, v, "must be a mapping of name to branch")
		return
	}
	for i := 0; i+1 < len(v.Content); i += 2 {
		r.readChild(b, v.Content[i], v.Content[i+1])
	}
}

func (r *reader) readChild(b *branch, k, v *yaml.Node) {
	name := k.Value
	if !validName.MatchString(name) {
		r.addf(b.path, keyBranches, k, "%q is not a name of letters, digits, - and _", name)
		return
	}
	if _, ok := b.children[name]; ok {
		r.addf(b.path, keyBranches, k, "duplicate name %q", name)
		return
	}
	path := b.path.Join(name)
	switch {
	case v.Kind == yaml.MappingNode:
		b.children[name] = r.readBranch(path, k, v)
	case finding.IsNull(v):
		b.children[name] = newBranch(path, v, r.positionOf(k))
	default:
		r.addf(path, "", v, "a branch must be a mapping")
	}
}

// normaliseRemoval returns the key that a removal refers to; "routes PREFIX" is
// the route for all methods.
func normaliseRemoval(text string) string {
	parts := strings.Fields(text)
	if len(parts) == 2 && parts[0] == keyRoutes {
		return routeKey("", parts[1])
	}
	return strings.Join(parts, " ")
}
