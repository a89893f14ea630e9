// Package prefix counts the words of a prompt and hashes its prefix blocks. Entry
// instances and engines compute the same hashes, so that both identify a cached prefix
// by the same numbers.
package prefix

import (
	"unicode"

	"github.com/cespare/xxhash/v2"
)

// BlockWords is the number of words in a prefix block.
const BlockWords = 16

// separator makes the hashes of "ab c" and "a bc" differ.
var separator = []byte{0}

// Words returns the number of words in the texts, separated by white space.
func Words(texts ...string) int {
	count := 0
	for _, text := range texts {
		forEachWord(text, func(string) { count++ })
	}
	return count
}

// Blocks returns the hash of each full block of the texts' words, taken as one sequence.
// Each hash is xxhash64 over all words up to the end of the block, so that equal hashes
// mean equal prefixes. An incomplete last block has no hash.
func Blocks(texts ...string) []uint64 {
	var blocks []uint64
	digest := xxhash.New()
	count := 0
	add := func(word string) {
		digest.WriteString(word)
		digest.Write(separator)
		count++
		if count%BlockWords == 0 {
			blocks = append(blocks, digest.Sum64())
		}
	}
	for _, text := range texts {
		forEachWord(text, add)
	}
	return blocks
}

func forEachWord(text string, f func(string)) {
	start := -1
	for i, r := range text {
		switch {
		case !unicode.IsSpace(r):
			if start < 0 {
				start = i
			}
		case start >= 0:
			f(text[start:i])
			start = -1
		}
	}
	if start >= 0 {
		f(text[start:])
	}
}
