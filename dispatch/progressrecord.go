package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/peridotlock/peridotlock/provider"
	"github.com/peridotlock/peridotlock/submission"
)

// The progress of a submission is stored under its ID, as one record if the store takes it. Otherwise it
// is stored in parts: a record for each block of tasks, and under the ID a record that lists the blocks. A
// block has all that is stored of its tasks, so that only blocks with a change are stored again.
//
// An owner may end when only some records of a batch are stored. Blocks go before the record that
// lists them. A block that no longer has a task, since its occurrence or the submission has ended, goes
// after that record, which says so. So does one that is deleted. For a reader this means:
//
//   - A block counts once it is listed. Others are left over, and are deleted or replaced.
//   - A listed block that is missing is lost, and the progress can't be read.
//   - Of the listed blocks some may be newer than others. No order depends on the newer ones yet,
//     and no end in them is acknowledged, so each task goes on from what is stored of it. Only the
//     tasks of a gang end together: if one is done, all are.

// progress is the stored record of a submission's tasks. Tasks that have neither
// had a run nor are done are left out, as are those of finished occurrences; in a
// final state, all without a run are.
type progress struct {
	_        struct{} `cbor:",toarray"`
	State    byte
	Tasks    []taskProgress
	Finished occurrenceRanges
}

// unfinishedProgress is the record of a submission without finished occurrences. Earlier
// versions store all submissions in this form, and name each task of finished occurrences.
type unfinishedProgress struct {
	_     struct{} `cbor:",toarray"`
	State byte
	Tasks []taskProgress
}

// splitProgress is the record of a submission whose tasks are in blocks. Earlier versions can't read
// it, and so start none of its tasks.
type splitProgress struct {
	_        struct{} `cbor:",toarray"`
	State    byte
	Tasks    []taskProgress // none
	Finished occurrenceRanges
	Blocks   []blockRange
}

type taskProgress struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	Index      int
	Done       bool
	Run        int    // number of the newest run
	Executor   string // of the current run, or of a stray; "" if there is none
	Failures   int
	Checkpoint string
}

const (
	// defaultMaxRecordBytes is the size of the largest record that the platform's store takes.
	defaultMaxRecordBytes = 262_144
	// progressBlockTasks is the number of tasks in a block.
	progressBlockTasks = 16
	// blockSeparator stands between the ID of a submission and the name of a block in keys; see
	// provider.KeyedRecord.Subject.
	blockSeparator = "/"
)

// maxRecordBytes returns the size of the largest record that the store takes.
func (c *Core) maxRecordBytes() int { return cmp.Or(c.options.MaxRecordBytes, defaultMaxRecordBytes) }

// maxWholeProgressBytes bounds progress that is stored as one record. It is close to the largest record,
// since earlier versions, which may take over during a rolling upgrade, can't read progress in parts.
func (c *Core) maxWholeProgressBytes() int { return c.maxRecordBytes() * 3 / 4 }

// maxCheckpointBytes bounds the checkpoints that are stored in blocks, so that a block of
// progressBlockTasks of them fits in half a record. A task with a longer one begins anew under the
// next owner, unless its executor reports it again.
func (c *Core) maxCheckpointBytes() int { return c.maxRecordBytes() / 2 / progressBlockTasks }

// blockID identifies a block: a part of the tasks of an occurrence or, of small occurrences, all
// tasks of several.
type blockID struct {
	Group int // of occurrences
	Part  int
}

func (b blockID) compare(other blockID) int {
	return cmp.Or(cmp.Compare(b.Group, other.Group), cmp.Compare(b.Part, other.Part))
}

// key returns the key of the block's record.
func (b blockID) key(id submission.ID) string {
	return string(id) + blockSeparator + strconv.Itoa(b.Group) + "." + strconv.Itoa(b.Part)
}

// parseBlockKey parses the result of key. It returns false for other keys.
func parseBlockKey(key string) (submission.ID, blockID, bool) {
	id, name, ok := strings.Cut(key, blockSeparator)
	if !ok || !submission.ID(id).Valid() {
		return "", blockID{}, false
	}
	group, part, _ := strings.Cut(name, ".")
	var b blockID
	var errGroup, errPart error
	b.Group, errGroup = strconv.Atoi(group)
	b.Part, errPart = strconv.Atoi(part)
	return submission.ID(id), b, errGroup == nil && errPart == nil && b.key(submission.ID(id)) == key
}

// blockRange is a range of blocks of a group.
type blockRange struct {
	_     struct{} `cbor:",toarray"`
	Group int
	First int // of their parts
	End   int // the first part after the range
}

// blockRanges returns sorted blocks as ranges.
func blockRanges(blocks []blockID) []blockRange {
	var out []blockRange
	for _, b := range blocks {
		if last := len(out) - 1; last >= 0 && out[last].Group == b.Group && out[last].End == b.Part {
			out[last].End++
			continue
		}
		out = append(out, blockRange{Group: b.Group, First: b.Part, End: b.Part + 1})
	}
	return out
}

// storedProgress is what the store has of a job, once the newest batch is stored.
type storedProgress struct {
	isSplit bool
	list    []byte                     // the value of the record that lists the blocks
	blocks  map[blockID][]taskProgress // nil for a block whose contents are not known
}

// addLeftover notes blocks that are stored. Those that turn out to be listed are noted with their tasks.
func (s *storedProgress) addLeftover(blocks progressBlocks) {
	s.blocks = make(map[blockID][]taskProgress, len(blocks))
	for b := range blocks {
		s.blocks[b] = nil
	}
}

// hasLeftover reports whether a block is stored that is not listed.
func (s *storedProgress) hasLeftover() bool {
	for _, tasks := range s.blocks {
		if tasks == nil {
			return true
		}
	}
	return false
}

// firstTasks returns the position of each step's first task in an occurrence, and the number of all its
// tasks.
func (j *job) firstTasks() (first []int, total int) {
	first = make([]int, len(j.sub.Steps))
	for i := range j.sub.Steps {
		first[i] = total
		total += j.sub.Steps[i].Count
	}
	return first, total
}

// blockOf returns the block of a task, given the result of firstTasks.
func blockOf(t taskProgress, firstTasks []int, total int) blockID {
	if total <= progressBlockTasks {
		return blockID{Group: t.Occurrence / (progressBlockTasks / total)}
	}
	return blockID{Group: t.Occurrence, Part: (firstTasks[t.Step] + t.Index) / progressBlockTasks}
}

// progress returns what is to be stored of a job.
func (j *job) progress() progress {
	p := progress{State: byte(j.state)}
	for _, number := range slices.Sorted(maps.Keys(j.touched)) {
		for _, st := range j.touched[number].steps {
			for _, t := range st.tasks {
				if t.run != nil || !j.state.IsFinal() && (t.runNumber > 0 || t.phase == taskDone) {
					p.Tasks = append(p.Tasks, t.progress())
				}
			}
		}
	}
	if !j.state.IsFinal() {
		p.Finished = j.finished
	}
	return p
}

// record encodes the progress of a job as one record.
func (j *job) record() (provider.KeyedRecord, error) { return j.wholeRecord(j.progress()) }

func (j *job) wholeRecord(p progress) (provider.KeyedRecord, error) {
	value, err := p.encode()
	if err != nil {
		return provider.KeyedRecord{}, fmt.Errorf("encode progress of submission %s: %w", j.id, err)
	}
	return provider.KeyedRecord{Key: string(j.id), Value: value}, nil
}

// progressRecords returns the records that store the progress of a job, in the order in which they
// have to be stored. It takes them for stored from then on.
func (c *Core) progressRecords(j *job) ([]provider.KeyedRecord, error) {
	p := j.progress()
	if !j.stored.isSplit && p.minSize() <= c.maxWholeProgressBytes() {
		whole, err := j.wholeRecord(p)
		if err != nil {
			return nil, err
		}
		if len(whole.Value) <= c.maxWholeProgressBytes() {
			return append([]provider.KeyedRecord{whole}, j.deleteBlocks(nil)...), nil
		}
	}
	j.stored.isSplit = true
	return c.splitRecords(j, p)
}

// minSize returns a lower bound of the size of the record of p, so that a record far above any limit is
// not encoded.
func (p *progress) minSize() int {
	size := 0
	for i := range p.Tasks {
		size += len(p.Tasks[i].Executor) + len(p.Tasks[i].Checkpoint)
	}
	return size
}

// splitRecords returns the records of progress in blocks that differ from what is stored.
func (c *Core) splitRecords(j *job, p progress) ([]provider.KeyedRecord, error) {
	blocks := map[blockID][]taskProgress{}
	firstTasks, total := j.firstTasks()
	for _, t := range p.Tasks {
		if len(t.Checkpoint) > c.maxCheckpointBytes() {
			t.Checkpoint = ""
		}
		b := blockOf(t, firstTasks, total)
		blocks[b] = append(blocks[b], t)
	}
	ids := slices.SortedFunc(maps.Keys(blocks), blockID.compare)
	if j.stored.blocks == nil {
		j.stored.blocks = map[blockID][]taskProgress{}
	}
	var before, after []provider.KeyedRecord // of the list
	for _, b := range ids {
		stored := j.stored.blocks[b]
		if slices.Equal(stored, blocks[b]) {
			continue
		}
		value, err := cbor.Marshal(blocks[b])
		if err != nil {
			return nil, fmt.Errorf("encode block %d.%d of the progress of submission %s: %w", b.Group, b.Part, j.id, err)
		}
		record := provider.KeyedRecord{Key: b.key(j.id), Value: value}
		if lacksTask(blocks[b], stored) {
			after = append(after, record)
		} else {
			before = append(before, record)
		}
		j.stored.blocks[b] = blocks[b]
	}
	list, err := cbor.Marshal(splitProgress{State: p.State, Finished: p.Finished, Blocks: blockRanges(ids)})
	if err != nil {
		return nil, fmt.Errorf("encode the list of blocks of submission %s: %w", j.id, err)
	}
	if !slices.Equal(list, j.stored.list) {
		before = append(before, provider.KeyedRecord{Key: string(j.id), Value: list})
		j.stored.list = list
	}
	return slices.Concat(before, after, j.deleteBlocks(blocks)), nil
}

// lacksTask reports whether a block lacks a task that it had before.
func lacksTask(block, before []taskProgress) bool {
	i := 0
	for _, t := range before { // both are in the order of tasks
		for i < len(block) && block[i].compareTask(t) < 0 {
			i++
		}
		if i == len(block) || block[i].compareTask(t) != 0 {
			return true
		}
	}
	return false
}

func (t taskProgress) compareTask(other taskProgress) int {
	return cmp.Or(cmp.Compare(t.Occurrence, other.Occurrence), cmp.Compare(t.Step, other.Step), cmp.Compare(t.Index, other.Index))
}

// deleteBlocks returns the records that delete all stored blocks but those to keep.
func (j *job) deleteBlocks(keep map[blockID][]taskProgress) []provider.KeyedRecord {
	var out []provider.KeyedRecord
	for _, b := range slices.SortedFunc(maps.Keys(j.stored.blocks), blockID.compare) {
		if _, ok := keep[b]; !ok {
			out = append(out, provider.KeyedRecord{Key: b.key(j.id)})
			delete(j.stored.blocks, b)
		}
	}
	return out
}

func (p progress) encode() ([]byte, error) {
	if len(p.Finished) == 0 { // also readable by earlier versions, during a rolling upgrade
		return cbor.Marshal(unfinishedProgress{State: p.State, Tasks: p.Tasks})
	}
	return cbor.Marshal(p)
}

// decode decodes a record in any of its forms. Blocks are those that it lists, if the tasks are in
// blocks.
func (p *progress) decode(value []byte) (blocks []blockRange, isSplit bool, err error) {
	var u unfinishedProgress
	if cbor.Unmarshal(value, &u) == nil {
		*p = progress{State: u.State, Tasks: u.Tasks}
		return nil, false, nil
	}
	var s splitProgress
	if cbor.Unmarshal(value, &s) == nil {
		*p = progress{State: s.State, Finished: s.Finished}
		return s.Blocks, true, nil
	}
	return nil, false, cbor.Unmarshal(value, p)
}

// progressBlocks are the records of a submission's blocks, by block.
type progressBlocks map[blockID]provider.KeyedRecord

// progressBlocksOf returns the blocks among the records of a cell, by submission.
func progressBlocksOf(records []provider.KeyedRecord) map[submission.ID]progressBlocks {
	out := map[submission.ID]progressBlocks{}
	for _, r := range records {
		id, b, ok := parseBlockKey(r.Key)
		if !ok || len(r.Value) == 0 {
			continue
		}
		if out[id] == nil {
			out[id] = progressBlocks{}
		}
		out[id][b] = r
	}
	return out
}

// addTo adds the tasks of the listed blocks to p. It returns an error if a block is missing or can't be
// decoded, or if the list is not one that an owner writes.
func (blocks progressBlocks) addTo(p *progress, list []blockRange, stored *storedProgress) error {
	var previous blockRange
	for i, r := range list {
		if r.Group < 0 || r.First < 0 || r.First >= r.End || i > 0 && (r.Group < previous.Group || r.Group == previous.Group && r.First <= previous.End) {
			return fmt.Errorf("blocks %d to %d of group %d are out of range or out of order", r.First, r.End, r.Group)
		}
		previous = r
		if r.End-r.First > len(blocks) {
			return fmt.Errorf("%d blocks are listed from block %d.%d on, and %d are stored", r.End-r.First, r.Group, r.First, len(blocks))
		}
		for b := (blockID{r.Group, r.First}); b.Part < r.End; b.Part++ {
			record, ok := blocks[b]
			if !ok {
				return fmt.Errorf("block %d.%d is listed and not stored", b.Group, b.Part)
			}
			var tasks []taskProgress
			if err := cbor.Unmarshal(record.Value, &tasks); err != nil {
				return fmt.Errorf("decode block %d.%d: %w", b.Group, b.Part, err)
			}
			p.Tasks = append(p.Tasks, tasks...)
			stored.blocks[b] = tasks
		}
	}
	return nil
}

func (t *task) progress() taskProgress {
	p := taskProgress{
		Occurrence: t.step.occurrence.number,
		Step:       t.step.index,
		Index:      t.index,
		Done:       t.phase == taskDone,
		Run:        t.runNumber,
		Failures:   t.failures,
	}
	switch {
	case t.run != nil:
		p.Executor = string(t.run.executor.info.ID)
	case t.phase == taskPending && t.isStray(): // a new owner must not start the task before it has heard of that executor
		p.Executor = string(t.strays[0].info.ID)
	}
	if !p.Done {
		p.Checkpoint = t.startCheckpoint()
	}
	return p
}
