package settings

import (
	"bytes"
	"fmt"

	"go.yaml.in/yaml/v3"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

const yamlIndent = 2

// render returns the document of the branch at path.
func (c contents) render(path fleet.Path) (Document, error) {
	if d, ok := c.verbatim(path); ok {
		return d, nil
	}
	b := c.compose().find(path)
	if b == nil {
		return Document{}, fmt.Errorf("no branch %q", path)
	}
	var buf bytes.Buffer
	enc := yaml.NewEncoder(&buf)
	enc.SetIndent(yamlIndent)
	if err := enc.Encode(b.render()); err != nil {
		return Document{}, fmt.Errorf("render branch %q: %w", path, err)
	}
	if err := enc.Close(); err != nil {
		return Document{}, fmt.Errorf("render branch %q: %w", path, err)
	}
	return Document{Branch: path, File: b.at.file, Text: buf.String(), Revision: b.newest()}, nil
}

// verbatim returns the operator's own text when nothing else describes the
// branch or one below it.
func (c contents) verbatim(path fleet.Path) (Document, bool) {
	for p := range c.docs {
		if p != path && path.Contains(p) {
			return Document{}, false
		}
	}
	for p := range c.marks {
		if path.Contains(p) {
			return Document{}, false
		}
	}
	l, ok := c.docs[path]
	return l.doc, ok
}

// newest returns the newest revision that the branch or one below it is from.
func (b *branch) newest() platform.Offset {
	out := noRevision
	b.walk(func(b *branch) { out = max(out, b.at.revision) })
	return out
}

// render returns a mapping node with the keys and comments of the branch's
// text, the children in force and the present out mark.
func (b *branch) render() *yaml.Node {
	out := &yaml.Node{Kind: yaml.MappingNode}
	hasChildren := false
	if b.node != nil {
		out.HeadComment, out.LineComment, out.FootComment = b.node.HeadComment, b.node.LineComment, b.node.FootComment
		for i := 0; i+1 < len(b.node.Content); i += 2 {
			k, v := b.node.Content[i], b.node.Content[i+1]
			switch k.Value {
			case keyOut:
				continue
			case keyBranches:
				hasChildren = true
				v = b.renderChildren(v)
			}
			out.Content = append(out.Content, k, v)
		}
	}
	if b.isOut() && b.kind() == KindFailureDomain {
		out.Content = append(out.Content, scalarNode(keyOut, "!!str"), scalarNode("true", "!!bool"))
	}
	if !hasChildren && len(b.children) > 0 {
		out.Content = append(out.Content, scalarNode(keyBranches, "!!str"), b.renderChildren(nil))
	}
	return out
}

// renderChildren keeps the order of the text and adds the others behind.
func (b *branch) renderChildren(text *yaml.Node) *yaml.Node {
	out := &yaml.Node{Kind: yaml.MappingNode}
	done := map[string]bool{}
	if text != nil {
		for i := 0; i+1 < len(text.Content); i += 2 {
			k := text.Content[i]
			if child := b.children[k.Value]; child != nil {
				done[k.Value] = true
				out.Content = append(out.Content, k, child.render())
			}
		}
	}
	for _, name := range b.names() {
		if !done[name] {
			out.Content = append(out.Content, scalarNode(name, "!!str"), b.children[name].render())
		}
	}
	return out
}

func scalarNode(text, tag string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Tag: tag, Value: text}
}
