package cell

import (
	"errors"
	"fmt"
	"maps"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/quota"
)

const (
	sharesPrefix = "shares/" // followed by the cell that gives
	usePrefix    = "use/"    // followed by the cell whose use it is
)

// MaxSharesBytes bounds the record of a cell's transfers: over 10,000 pairs of a tenant and a cell.
const MaxSharesBytes = 128 << 10

// ErrTooManyTransfers is returned for transfers whose record would exceed MaxSharesBytes.
var ErrTooManyTransfers = errors.New("record of transfers is too large")

// SharesRecord returns the record of all that a cell has given to others of its shares of tenants' caps; it replaces earlier
// ones. The error is ErrTooManyTransfers if the record would be too large.
func SharesRecord(index int, g quota.Given) (provider.KeyedRecord, error) {
	value, err := cbor.Marshal(g)
	if err != nil {
		return provider.KeyedRecord{}, fmt.Errorf("encode transfers of cell %d: %w", index, err)
	}
	if len(value) > MaxSharesBytes {
		return provider.KeyedRecord{}, fmt.Errorf("transfers of cell %d have %d bytes, want at most %d: %w", index, len(value), MaxSharesBytes, ErrTooManyTransfers)
	}
	return provider.KeyedRecord{Key: sharesPrefix + strconv.Itoa(index), Value: value}, nil
}

// UseRecord returns the record that publishes what tenants use and need of a cell.
func UseRecord(index int, demands map[string]quota.Demand) (provider.KeyedRecord, error) {
	value, err := cbor.Marshal(demands)
	if err != nil {
		return provider.KeyedRecord{}, fmt.Errorf("encode use of cell %d: %w", index, err)
	}
	return provider.KeyedRecord{Key: usePrefix + strconv.Itoa(index), Value: value}, nil
}

// Shares is what each cell has given to others, as read.
type Shares struct {
	Version int           // changes with each change
	Given   []quota.Given // by cell; not changed afterwards
	// Unreadable has the cells whose newest record can't be read while no earlier one is known:
	// what they have given is not known.
	Unreadable map[int]bool
	// Replaced has the cells whose newest record is not what they have given by earlier ones.
	Replaced map[int]bool
}

// shareRecords is a replica's part about tenants' caps.
type shareRecords struct {
	version    int
	given      map[int]quota.Given
	unreadable map[int]bool
	replaced   map[int]bool
	uses       map[int]map[string]quota.Demand
}

func newShareRecords() shareRecords {
	return shareRecords{given: map[int]quota.Given{}, unreadable: map[int]bool{}, replaced: map[int]bool{}, uses: map[int]map[string]quota.Demand{}}
}

// setShares stores the transfers of a cell; the caller holds the lock.
func (r *Replica) setShares(index string, value []byte) error {
	i, err := parseCell(index)
	if err != nil {
		return fmt.Errorf("key of record of transfers: %w", err)
	}
	s := &r.shares
	s.version++
	var g quota.Given
	if err = cbor.Unmarshal(value, &g); err == nil && !g.IsPossible(i, maxCells) {
		err = errors.New("a transfer is out of range")
	}
	known, ok := s.given[i]
	if err != nil {
		s.unreadable[i], s.replaced[i] = !ok, ok
		return fmt.Errorf("transfers of cell %d: %w", i, err)
	}
	merged := known.Merge(g)
	s.given[i], s.unreadable[i], s.replaced[i] = merged, false, !merged.Equal(g)
	return nil
}

// setUse stores the use of a cell; the caller holds the lock.
func (r *Replica) setUse(index string, value []byte) error {
	i, err := parseCell(index)
	if err != nil {
		return fmt.Errorf("key of record of use: %w", err)
	}
	var demands map[string]quota.Demand
	if err := cbor.Unmarshal(value, &demands); err != nil {
		return fmt.Errorf("decode use of cell %d: %w", i, err)
	}
	for tenant, d := range demands {
		if !d.IsPossible() {
			return fmt.Errorf("use of cell %d by tenant %q is out of range: %+v", i, tenant, d)
		}
	}
	r.shares.uses[i] = demands
	return nil
}

// Shares returns what each cell has given to others of its shares of tenants' caps.
func (r *Replica) Shares() Shares {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := Shares{Version: r.shares.version, Given: make([]quota.Given, r.layout.Cells), Unreadable: maps.Clone(r.shares.unreadable), Replaced: maps.Clone(r.shares.replaced)}
	for i := range out.Given {
		out.Given[i] = r.shares.given[i]
	}
	return out
}

// SharesVersion returns the Version that Shares would return.
func (r *Replica) SharesVersion() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.shares.version
}

// CellUse is what tenants use and need of a cell.
type CellUse struct {
	Demands   map[string]quota.Demand // not changed afterwards
	Reachable bool                    // the cell's load was read recently
}

// Uses returns the use of all cells.
func (r *Replica) Uses(now time.Duration) []CellUse {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]CellUse, r.layout.Cells)
	for i := range out {
		readAt, ok := r.loadReadAt[i]
		out[i] = CellUse{Demands: r.shares.uses[i], Reachable: ok && now-readAt <= maxLoadAge}
	}
	return out
}
