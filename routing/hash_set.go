package routing

import "slices"

// hashSet is a sorted slice of hashes, contiguous in memory. A rare collision
// only makes a hint wrong.
type hashSet []uint64

func (s hashSet) has(h uint64) bool {
	_, ok := slices.BinarySearch(s, h)
	return ok
}

// sorted sorts the set after hashes were appended.
func (s hashSet) sorted() hashSet {
	slices.Sort(s)
	return s
}
