package prefix

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestBlocksAreChainedAndIgnoreKindOfWhiteSpace(t *testing.T) {
	is := is.New(t)
	words := strings.Fields(strings.Repeat("one two three four ", 12))
	all := Blocks(strings.Join(words, " "))
	is.Equal(len(all), 3)
	is.Equal(Words(strings.Join(words, " ")), 48)
	is.Equal(Blocks(strings.Join(words[:40], "\n\t ")), all[:2])
	is.Equal(Blocks(strings.Join(words[:20], " "), strings.Join(words[20:], " ")), all)
	words[3] = "five"
	changed := Blocks(strings.Join(words, " "))
	for i := range all {
		is.True(changed[i] != all[i])
	}
}
