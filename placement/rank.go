package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an upstream that a flow may be placed on.
type Candidate struct {
	Number uint32
	// Place is the availability zone of the upstream.
	Place string
	// Weight is the share of flows relative to the other candidates. Zero or less ranks last within
	// the class of the candidate.
	Weight float64
	// Leaving ranks the candidate after all that are not leaving.
	Leaving bool
}

// stackCandidates is the largest number of candidates that Rank sorts without a heap allocation.
const stackCandidates = 64

type scoredCandidate struct {
	number uint32
	class  uint8
	score  float64
}

// Rank appends the numbers of all candidates to dst, best first, in the order of weighted rendezvous
// hashing. Candidates in the given place come before others, and leaving ones come last. An empty
// place expresses no preference. The result does not depend on the order of candidates.
func Rank(dst []uint32, flow uint64, place string, candidates []Candidate) []uint32 {
	var buffer [stackCandidates]scoredCandidate
	ranked := buffer[:0]
	if len(candidates) > stackCandidates {
		ranked = make([]scoredCandidate, 0, len(candidates))
	}
	for i := range candidates {
		c := &candidates[i]
		ranked = append(ranked, scoredCandidate{number: c.Number, class: class(c, place), score: score(flow, c)})
	}
	slices.SortFunc(ranked, compareCandidates)
	for i := range ranked {
		dst = append(dst, ranked[i].number)
	}
	return dst
}

func compareCandidates(a, b scoredCandidate) int {
	if a.class != b.class {
		return cmp.Compare(a.class, b.class)
	}
	if a.score != b.score {
		return cmp.Compare(b.score, a.score)
	}
	return cmp.Compare(a.number, b.number)
}

func class(c *Candidate, place string) uint8 {
	switch {
	case c.Leaving:
		return 2
	case place != "" && c.Place != place:
		return 1
	default:
		return 0
	}
}

// score is -weight/ln(u) for a uniform u in (0, 1). The probability that a candidate has the highest
// score is then proportional to its weight.
func score(flow uint64, c *Candidate) float64 {
	if c.Weight <= 0 {
		return 0
	}
	const mantissa = 1 << 53
	u := (float64(mix(flow, uint64(c.Number))>>11) + 0.5) / mantissa
	return -c.Weight / math.Log(u)
}

// mix hashes two words into one, using the finalizer of SplitMix64.
func mix(a, b uint64) uint64 {
	const goldenRatio = 0x9e3779b97f4a7c15
	x := a ^ (b+1)*goldenRatio
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// FlowHash hashes a connection ID, or another key of a flow, to the value that Rank takes as flow.
func FlowHash(key []byte) uint64 {
	return xxhash.Sum64(key)
}
