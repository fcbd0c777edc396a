package settings

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/peridotlock/peridotlock/fleet"
	"github.com/peridotlock/peridotlock/platform"
)

// Operation is what an edit does to its branch.
type Operation string

// The operations.
const (
	Replace   Operation = "replace"    // the branch's document by another
	TakeOut   Operation = "take-out"   // marks a failure domain as out
	BringBack Operation = "bring-back" // removes that mark
	Revert    Operation = "revert"     // the branch's document by that of a former revision
)

// Edit is one record of the settings stream. It takes effect only when nothing
// that it touches has changed since the revision Base.
type Edit struct {
	Branch    fleet.Path      `json:"branch" cbor:"1,keyasint"`
	Base      platform.Offset `json:"base" cbor:"2,keyasint"` // -1 before the first
	Author    string          `json:"author" cbor:"3,keyasint"`
	Note      string          `json:"note,omitempty" cbor:"4,keyasint"`
	Operation Operation       `json:"operation" cbor:"5,keyasint"`
	File      string          `json:"file,omitempty" cbor:"6,keyasint"`     // replace: for the places in findings
	Text      string          `json:"text,omitempty" cbor:"7,keyasint"`     // replace: YAML
	Revision  platform.Offset `json:"revision,omitempty" cbor:"8,keyasint"` // revert: former revision
}

// Bounds of the texts of an edit.
const (
	MaxAuthorBytes = 128
	MaxNoteBytes   = 1 << 10
	MaxFileBytes   = 256
	maxPathBytes   = 1 << 10
)

var errUnknownOperation = errors.New("unknown operation")

// record is an edit as it stands on the log, with a long text compressed.
type record struct {
	Edit   Edit   `cbor:"1,keyasint"`
	Packed []byte `cbor:"2,keyasint,omitempty"`
}

// packFrom is the length from which a text is compressed.
const packFrom = 512

// Encode returns the record's data.
func (e Edit) Encode() ([]byte, error) {
	r := record{Edit: e}
	if len(e.Text) >= packFrom {
		packed, err := deflate([]byte(e.Text))
		if err != nil {
			return nil, fmt.Errorf("settings record: %w", err)
		}
		r.Edit.Text, r.Packed = "", packed
	}
	return cbor.Marshal(r)
}

// DecodeEdit returns the edit in a record.
func DecodeEdit(data []byte) (Edit, error) {
	var r record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return Edit{}, fmt.Errorf("settings record: %w", err)
	}
	if len(r.Packed) == 0 {
		return r.Edit, nil
	}
	text, err := inflate(r.Packed, MaxDocumentBytes)
	if err != nil {
		return Edit{}, fmt.Errorf("settings record: %w", err)
	}
	r.Edit.Text = string(text)
	return r.Edit, nil
}

// Validate returns what is wrong with the edit by itself, apart from its text.
func (e Edit) Validate() error {
	switch {
	case e.Author == "":
		return errors.New("author is missing")
	case len(e.Author) > MaxAuthorBytes:
		return fmt.Errorf("author is longer than %d bytes", MaxAuthorBytes)
	case len(e.Note) > MaxNoteBytes:
		return fmt.Errorf("note is longer than %d bytes", MaxNoteBytes)
	case len(e.File) > MaxFileBytes:
		return fmt.Errorf("file name is longer than %d bytes", MaxFileBytes)
	case len(e.Branch) > maxPathBytes:
		return fmt.Errorf("path is longer than %d bytes", maxPathBytes)
	case len(e.Text) > MaxDocumentBytes:
		return fmt.Errorf("text is longer than %d bytes", MaxDocumentBytes)
	}
	switch e.Operation {
	case Replace, TakeOut, BringBack, Revert:
		return nil
	}
	return fmt.Errorf("%w %q", errUnknownOperation, e.Operation)
}
