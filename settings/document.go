package settings

import (
	"github.com/peridotlock/peridotlock/finding"
	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// Bounds of the texts of the settings.
const (
	MaxDocumentBytes = finding.MaxDocumentBytes
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
