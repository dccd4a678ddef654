package watch

import (
	"cmp"
	"iter"
	"math/bits"
	"slices"
	"strconv"
)

// PartCount is the number of parts that a table is divided into by its keys. A part of a table of 10,000 rows
// has some 160 rows, and a message carries it over any link in a fraction of a second.
const PartCount = 64

// Parts is a set of parts of a table.
type Parts uint64

// AllParts is the set of all parts.
const AllParts = ^Parts(0)

// PartOf returns the part that the row of a key belongs to.
func PartOf(key string) Parts { return partAt(partIndex(key)) }

func partIndex(key string) int { return int(mixHash(nameHash(key)) % PartCount) }

func partAt(i int) Parts { return 1 << i }

// Holds reports whether the row of a key is in one of the parts.
func (p Parts) Holds(key string) bool { return p&PartOf(key) != 0 }

// covers reports whether all of other are among the parts.
func (p Parts) covers(other Parts) bool { return other&^p == 0 }

// count returns the number of parts.
func (p Parts) count() int { return bits.OnesCount64(uint64(p)) }

// each yields the index of each part.
func (p Parts) each() iter.Seq[int] {
	return func(yield func(int) bool) {
		for left := uint64(p); left != 0; left &= left - 1 {
			if !yield(bits.TrailingZeros64(left)) {
				return
			}
		}
	}
}

// partsOrAll returns the parts that a message is about. Builds without parts send zero and mean the whole
// table.
func partsOrAll(p Parts) Parts { return cmp.Or(p, AllParts) }

// minHeldRows is how many rows a node keeps of a table of which it needs only some. With 10,000 servers of
// two models each, these include two dozen replicas of each of 80 busy models, some of them near. It does not
// depend on the size of the table.
const minHeldRows = 1024

// shareSize returns how many parts of a table with the given number of rows have minHeldRows.
func shareSize(rows int) int {
	if rows <= minHeldRows {
		return PartCount
	}
	return max((PartCount*minHeldRows+rows-1)/rows, 1)
}

// preferredParts returns the n parts that a node keeps. They differ between nodes, so that the rows are
// spread evenly over the nodes. A node that needs fewer or more parts later keeps most of those that it has.
func preferredParts(node string, n int) Parts {
	order := make([]int, PartCount)
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(partWeight(node, a), partWeight(node, b)) })
	var p Parts
	for _, i := range order[:min(n, PartCount)] {
		p |= partAt(i)
	}
	return p
}

// partWeight returns a hash by which a node orders the parts.
func partWeight(node string, part int) uint32 {
	return mixHash(nameHash(node + "/" + strconv.Itoa(part)))
}

// mixHash spreads the hashes of texts that differ only in their last letters.
func mixHash(h uint32) uint32 {
	h ^= h >> 16
	h *= 0x85ebca6b
	h ^= h >> 13
	h *= 0xc2b2ae35
	return h ^ h>>16
}
