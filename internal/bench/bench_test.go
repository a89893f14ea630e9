package bench

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func table(t *testing.T, q Request) string {
	results, err := Run(q)
	is.New(t).NoErr(err)
	var out bytes.Buffer
	WriteTable(&out, results)
	WriteSummary(&out, results)
	WriteCSV(&out, results)
	return out.String()
}

func TestSameSeedGivesTheSameTable(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	q := Request{Fleet: "agence", Scenario: "crash", Seed: 5}
	first := table(t, q)
	is.Equal(first, table(t, q))
	q.Seed = 6
	is.True(first != table(t, q))
}

func TestUnknownNamesAreRefused(t *testing.T) {
	_, err := Run(Request{Scenario: "nosuch"})
	is.New(t).True(err != nil)
}
