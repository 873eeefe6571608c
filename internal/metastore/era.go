package metastore

// A store that is restored from a copy begins a new era: the changes since the copy are lost, and the numbers of their revisions and leases
// are given out again. Revisions and lease IDs therefore hold the era in their upper bits, so that all comparisons hold across restores:
// whatever was read in an older era is older, no condition on it holds, and its leases have ended. The number of a lease is the adapter's own:
// the store's can be as long as an ID.

// eraShift is the number of bits for the number of a revision or lease within its era.
const eraShift = 40

// MaxNumber is the greatest number of a revision or lease within its era.
const MaxNumber = 1<<eraShift - 1

// InEra returns the revision, or lease ID, with the given number in an era. Eras count from zero. Zero stays zero, which stands for no
// revision.
func InEra(era, number uint64) uint64 {
	if number == 0 {
		return 0
	}
	return era<<eraShift | number
}

// EraOf returns the era of a revision or lease ID.
func EraOf(revision uint64) uint64 { return revision >> eraShift }

// NumberOf returns the number of a revision or lease ID within its era.
func NumberOf(revision uint64) uint64 { return revision & MaxNumber }
