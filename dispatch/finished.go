package dispatch

import (
	"cmp"
	"slices"
)

// occurrenceRange is a range of numbers of occurrences.
type occurrenceRange struct {
	_     struct{} `cbor:",toarray"`
	First int
	End   int // the first number after the range
}

// occurrenceRanges is a set of numbers, as sorted ranges that neither overlap nor touch. A gap
// is an occurrence that is open, so maxOpenTasks bounds their number.
type occurrenceRanges []occurrenceRange

// search returns the index of the first range that ends after a number.
func (r occurrenceRanges) search(number int) int {
	i, found := slices.BinarySearchFunc(r, number, func(x occurrenceRange, n int) int { return cmp.Compare(x.End, n) })
	if found {
		return i + 1
	}
	return i
}

func (r occurrenceRanges) contains(number int) bool { return r.firstAbsent(number) != number }

// firstAbsent returns the lowest number from n on that is not in the set.
func (r occurrenceRanges) firstAbsent(n int) int {
	if i := r.search(n); i < len(r) && r[i].First <= n {
		return r[i].End
	}
	return n
}

func (r *occurrenceRanges) add(number int) {
	r.addRange(occurrenceRange{First: number, End: number + 1})
}

func (r *occurrenceRanges) addRange(added occurrenceRange) {
	from := r.search(added.First - 1) // a range that ends at added.First touches it
	to := from
	for ; to < len(*r) && (*r)[to].First <= added.End; to++ {
		added.First = min(added.First, (*r)[to].First)
		added.End = max(added.End, (*r)[to].End)
	}
	*r = slices.Replace(*r, from, to, added)
}

// areValid reports whether the ranges are sorted, separate and of numbers below total.
func (r occurrenceRanges) areValid(total int) bool {
	lowest := 0
	for _, x := range r {
		if x.First < lowest || x.First >= x.End || x.End > total {
			return false
		}
		lowest = x.End
		if lowest < total {
			lowest++ // ranges that touch are one
		}
	}
	return true
}
