package ctl

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/peridotlock/peridotlock/api/query"
	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/settings"
)

type editCommand struct {
	editFlags
	Branch string   `arg:"" help:"Path of the branch; / for the root."`
	Set    []string `help:"KEY=VALUE, such as policy.tasks.lease=8s; the value is YAML." sep:"none"`
	Unset  []string `help:"Key to delete from the branch, so that its value is inherited again." sep:"none"`
}

func (c *editCommand) check() finding.List {
	found := c.editFlags.check()
	if len(c.Set)+len(c.Unset) == 0 {
		found.Addf("--set", "give at least one --set or --unset")
	}
	for _, a := range c.Set {
		key, text, ok := strings.Cut(a, "=")
		if !ok || key == "" {
			found.Addf("--set", "%q is not KEY=VALUE", a)
			continue
		}
		if _, problems := finding.ParseYAML("--set "+key, text); len(problems) > 0 {
			found = append(found, problems...)
		}
	}
	return found
}

// Run reads the branch, changes the keys and publishes the result.
func (c *editCommand) Run(s *session) error {
	path := branchPath(c.Branch)
	doc, err := s.client.Document(s.ctx, path, query.Latest)
	if err != nil {
		return err
	}
	text, err := c.apply(doc)
	if err != nil {
		return err
	}
	return s.publish(&c.editFlags, settings.Edit{Branch: path, Base: doc.Base, Operation: settings.Replace, File: "edit of /" + string(path), Text: text})
}

func (c *editCommand) apply(doc query.Document) (string, error) {
	root, found := finding.ParseYAML(doc.File, doc.Text)
	if len(found) > 0 {
		return "", found
	}
	for _, a := range c.Set {
		key, text, _ := strings.Cut(a, "=")
		v, problems := finding.ParseYAML("--set", text)
		if len(problems) > 0 {
			return "", problems
		}
		if err := setKey(root, key, v); err != nil {
			return "", err
		}
	}
	for _, key := range c.Unset {
		if err := unsetKey(root, key); err != nil {
			return "", err
		}
	}
	return encodeYAML(root)
}

const yamlIndent = 2

func encodeYAML(n *yaml.Node) (string, error) {
	var buf strings.Builder
	enc := yaml.NewEncoder(&buf)
	enc.SetIndent(yamlIndent)
	if err := errors.Join(enc.Encode(n), enc.Close()); err != nil {
		return "", fmt.Errorf("encode document: %w", err)
	}
	return buf.String(), nil
}

// setKey sets the value at a key such as "policy.tasks.lease" and creates missing
// mappings along the path.
func setKey(n *yaml.Node, key string, v *yaml.Node) error {
	name, rest, nested := strings.Cut(key, ".")
	if n.Kind != yaml.MappingNode {
		return finding.List{{Path: "--set", Message: fmt.Sprintf("%q has a parent that is not a mapping", key)}}
	}
	i := indexOf(n, name)
	if i < 0 {
		i = len(n.Content)
		n.Content = append(n.Content, &yaml.Node{Kind: yaml.ScalarNode, Value: name}, &yaml.Node{Kind: yaml.MappingNode})
	}
	if nested {
		return setKey(n.Content[i+1], rest, v)
	}
	n.Content[i+1] = v
	return nil
}

// unsetKey deletes a key and the parent mappings that become empty.
func unsetKey(n *yaml.Node, key string) error {
	name, rest, nested := strings.Cut(key, ".")
	i := indexOf(n, name)
	if i < 0 {
		return finding.List{{Path: "--unset", Message: fmt.Sprintf("the branch does not set %q", key)}}
	}
	if nested {
		if err := unsetKey(n.Content[i+1], rest); err != nil {
			return err
		}
		if len(n.Content[i+1].Content) > 0 {
			return nil
		}
	}
	n.Content = slices.Delete(n.Content, i, i+2)
	return nil
}

// indexOf returns the index of the key in a mapping, or -1.
func indexOf(n *yaml.Node, name string) int {
	if n.Kind != yaml.MappingNode {
		return -1
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == name {
			return i
		}
	}
	return -1
}
