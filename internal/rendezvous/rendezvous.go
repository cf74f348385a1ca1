package rendezvous

import "github.com/cespare/xxhash/v2"

// Owner returns the candidate with the highest score for the key, or false when there is no candidate. The order of the
// candidates does not matter; the smaller candidate wins a tie.
func Owner[C ~string](key string, candidates []C) (C, bool) {
	var owner C
	var best uint64
	for i, c := range candidates {
		score := score(key, string(c))
		if i == 0 || score > best || (score == best && c < owner) {
			owner, best = c, score
		}
	}
	return owner, len(candidates) > 0
}

// score hashes the key and the candidate, separated by a zero byte so that ("ab", "c") and ("a", "bc") differ.
func score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}
