package stream

import (
	"crypto/rand"
	"encoding/base32"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"unicode/utf8"
)

const (
	attemptMark    = "~"  // between an entry's id and the attempt to write it
	voidPrefix     = "!v" // ids of void markers
	snapshotPrefix = "!s" // ids of parts of snapshots
	reservedPrefix = "!"
	processBytes   = 5 // random bytes that tell processes apart
)

// ErrInvalidEntry says that an entry was refused for its id or size; nothing
// was written.
var ErrInvalidEntry = errors.New("invalid entry")

var idEncoding = base32.StdEncoding.WithPadding(base32.NoPadding)

var (
	process  = newProcess()
	sequence atomic.Uint64
)

func newProcess() string {
	var b [processBytes]byte
	rand.Read(b[:])
	return strings.ToLower(idEncoding.EncodeToString(b[:]))
}

// NewID returns an id that no other process and no earlier call returns.
func NewID(node string) string {
	return node + "." + uniqueSuffix()
}

func uniqueSuffix() string {
	return process + strconv.FormatUint(sequence.Add(1), 36)
}

// newRecordID returns the id of a new attempt to write the entry. Attempts have
// ids of their own, since one that was voided never counts again.
func newRecordID(entry string) string {
	return entry + attemptMark + uniqueSuffix()
}

// entryID returns the id of the entry that a record is an attempt of.
func entryID(record string) string {
	i := strings.LastIndex(record, attemptMark)
	if i < 0 {
		return record
	}
	return record[:i]
}

func checkEntry(e Entry) error {
	reserved := strings.HasPrefix(e.ID, reservedPrefix) && !strings.HasPrefix(e.ID, snapshotPrefix)
	if e.ID == "" || !utf8.ValidString(e.ID) || reserved || strings.Contains(e.ID, attemptMark) {
		return fmt.Errorf("%w: id %q", ErrInvalidEntry, e.ID)
	}
	if len(e.Data) > maxRecordBytes {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrInvalidEntry, len(e.Data), maxRecordBytes)
	}
	return nil
}
