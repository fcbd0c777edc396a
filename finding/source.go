package finding

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Bounds of one YAML document.
const (
	MaxDocumentBytes = 512 << 10
	MaxFindings      = 200 // reported for one document
	maxDepth         = 64
	maxNodes         = 100_000
)

// NullTag is the tag of an empty YAML value.
const NullTag = "!!null"

// ParseYAML parses text into one node; an empty text gives an empty mapping.
// Aliases are refused, so the size of the result is bounded by that of the
// text.
func ParseYAML(file, text string) (*yaml.Node, List) {
	if len(text) > MaxDocumentBytes {
		message := fmt.Sprintf("document has %d bytes, more than %d", len(text), MaxDocumentBytes)
		return nil, List{{File: file, Message: message}}
	}
	dec := yaml.NewDecoder(strings.NewReader(text))
	var doc yaml.Node
	err := dec.Decode(&doc)
	if errors.Is(err, io.EOF) {
		return emptyMapping(), nil
	}
	if err != nil {
		return nil, FromYAML(file, err)
	}
	var rest yaml.Node
	if err := dec.Decode(&rest); !errors.Is(err, io.EOF) {
		return nil, List{{File: file, Line: rest.Line, Column: rest.Column, Message: "more than one YAML document"}}
	}
	root := doc.Content[0]
	if IsNull(root) {
		return emptyMapping(), nil
	}
	budget := maxNodes
	if found := checkShape(file, root, maxDepth, &budget); len(found) > 0 {
		return nil, found
	}
	return root, nil
}

// IsNull reports whether n is an empty value.
func IsNull(n *yaml.Node) bool { return n.Kind == yaml.ScalarNode && n.Tag == NullTag }

func emptyMapping() *yaml.Node { return &yaml.Node{Kind: yaml.MappingNode, Line: 1, Column: 1} }

func checkShape(file string, n *yaml.Node, depth int, budget *int) List {
	at := Finding{File: file, Line: n.Line, Column: n.Column}
	*budget--
	switch {
	case n.Kind == yaml.AliasNode:
		at.Message = "aliases are not allowed"
		return List{at}
	case depth == 0:
		at.Message = fmt.Sprintf("nested deeper than %d levels", maxDepth)
		return List{at}
	case *budget < 0:
		at.Message = fmt.Sprintf("more than %d values", maxNodes)
		return List{at}
	}
	var found List
	for _, c := range n.Content {
		found = append(found, checkShape(file, c, depth-1, budget)...)
		if *budget < 0 || len(found) >= MaxFindings {
			return found
		}
	}
	return found
}
