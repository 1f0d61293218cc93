package routing

import "slices"

// hashSet is a sorted set of hashes in one piece of memory. A rare collision only
// makes a hint wrong.
type hashSet []uint64

func (s hashSet) has(h uint64) bool {
	_, ok := slices.BinarySearch(s, h)
	return ok
}

// sorted puts the set in order after hashes were appended.
func (s hashSet) sorted() hashSet {
	slices.Sort(s)
	return s
}
