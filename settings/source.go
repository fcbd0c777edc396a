package settings

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"go.yaml.in/yaml/v3"

	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// Bounds of one document.
const (
	MaxDocumentBytes = 512 << 10
	maxDepth         = 64
	maxNodes         = 100_000
	maxFindings      = 200
	maxTreeBytes     = 4 << 20 // all documents of a machine
)

// Document is the YAML text of one branch, with the branches below it.
type Document struct {
	Branch   fleet.Path      `json:"branch" cbor:"1,keyasint"`
	File     string          `json:"file" cbor:"2,keyasint"`
	Text     string          `json:"text" cbor:"3,keyasint"`
	Revision platform.Offset `json:"revision" cbor:"4,keyasint"` // record that brought the text
}

// position is where something stands in a document.
type position struct {
	file     string
	line     int
	column   int
	revision platform.Offset
}

// parseNode parses the text into a mapping node. Aliases are refused, so the
// size of the result is bounded by that of the text.
func parseNode(file, text string) (*yaml.Node, finding.List) {
	if len(text) > MaxDocumentBytes {
		message := fmt.Sprintf("document has %d bytes, more than %d", len(text), MaxDocumentBytes)
		return nil, finding.List{{File: file, Message: message}}
	}
	dec := yaml.NewDecoder(strings.NewReader(text))
	var doc yaml.Node
	err := dec.Decode(&doc)
	if errors.Is(err, io.EOF) {
		return &yaml.Node{Kind: yaml.MappingNode, Line: 1, Column: 1}, nil
	}
	if err != nil {
		return nil, finding.FromYAML(file, err)
	}
	var rest yaml.Node
	if err := dec.Decode(&rest); !errors.Is(err, io.EOF) {
		return nil, finding.List{{File: file, Line: rest.Line, Column: rest.Column, Message: "more than one YAML document"}}
	}
	root := doc.Content[0]
	if root.Kind == yaml.ScalarNode && root.Tag == nullTag {
		return &yaml.Node{Kind: yaml.MappingNode, Line: 1, Column: 1}, nil
	}
	budget := maxNodes
	if found := checkShape(file, root, maxDepth, &budget); len(found) > 0 {
		return nil, found
	}
	return root, nil
}

const nullTag = "!!null"

func checkShape(file string, n *yaml.Node, depth int, budget *int) finding.List {
	at := finding.Finding{File: file, Line: n.Line, Column: n.Column}
	*budget--
	switch {
	case n.Kind == yaml.AliasNode:
		at.Message = "aliases are not allowed"
		return finding.List{at}
	case depth == 0:
		at.Message = fmt.Sprintf("nested deeper than %d levels", maxDepth)
		return finding.List{at}
	case *budget < 0:
		at.Message = fmt.Sprintf("more than %d values", maxNodes)
		return finding.List{at}
	}
	var found finding.List
	for _, c := range n.Content {
		found = append(found, checkShape(file, c, depth-1, budget)...)
		if *budget < 0 || len(found) >= maxFindings {
			return found
		}
	}
	return found
}
