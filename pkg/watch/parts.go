package watch

import (
	"cmp"
	"iter"
	"math/bits"
	"slices"
	"strconv"
)

// PartCount is the number of parts that a table is divided into by its keys. A part of a table of
// 10,000 rows has some 160, which a message carries over any link in a fraction of a second.
const PartCount = 64

// Parts is a set of parts of a table.
type Parts uint64

// AllParts is the whole table.
const AllParts = ^Parts(0)

// PartOf returns the part that a row of a key belongs to.
func PartOf(key string) Parts { return partAt(partIndex(key)) }

func partIndex(key string) int { return int(mix(weight(key)) % PartCount) }

func partAt(i int) Parts { return 1 << i }

// Holds tells whether a row of a key is in one of the parts.
func (p Parts) Holds(key string) bool { return p&PartOf(key) != 0 }

// covers tells whether all of other are among the parts.
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

// told reads parts of a message: builds that know no parts tell none and mean the whole table.
func told(p Parts) Parts { return cmp.Or(p, AllParts) }

// enoughRows is how many rows of a table a node keeps of which it needs only some: of 10,000
// servers with two models each, two dozen replicas of each of 80 busy models, some of them near. A
// node has as many however large the table is.
const enoughRows = 1024

// share returns how many parts of a table of so many rows have enoughRows.
func share(rows int) int {
	if rows <= enoughRows {
		return PartCount
	}
	return max((PartCount*enoughRows+rows-1)/rows, 1)
}

// preferred returns the n parts that a node keeps. Nodes differ in them, so that the rows are spread
// over the nodes alike; a node that needs fewer or more keeps most that it has.
func preferred(node string, n int) Parts {
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

func partWeight(node string, part int) uint32 { return mix(weight(node + "/" + strconv.Itoa(part))) }

// mix spreads hashes of texts that differ in their last letters alone.
func mix(h uint32) uint32 {
	h ^= h >> 16
	h *= 0x85ebca6b
	h ^= h >> 13
	h *= 0xc2b2ae35
	return h ^ h>>16
}
