package statement

import (
	"errors"
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	// MaxLength is the longest statement, in bytes.
	MaxLength = 16 << 10
	// maxEditDistance is how many letters may differ for a word to be suggested.
	maxEditDistance = 3
)

// Parse reads one statement. Its error gives the column, what was expected and
// the nearest key word.
func Parse(text string) (*Statement, error) {
	if len(text) > MaxLength {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE, "the statement has %d bytes, %d are allowed; use apply with a file", len(text), MaxLength)
	}
	parsed, err := parser.ParseString("", text)
	if err != nil {
		return nil, convertError(err)
	}
	return parsed, nil
}

func convertError(err error) error {
	var unexpected *participle.UnexpectedTokenError
	if errors.As(err, &unexpected) {
		return tokenError(unexpected.Unexpected, expected(unexpected.Message()))
	}
	var parseError participle.Error
	if errors.As(err, &parseError) {
		return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "column %d: %s", parseError.Position().Column, parseError.Message())
	}
	return fault.Newf(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, "%v", err)
}

// expected takes what was expected out of the library's message, which ends
// with "(expected …)" where it knows.
func expected(message string) string {
	_, rest, _ := strings.Cut(message, "(expected ")
	return strings.TrimSuffix(rest, ")")
}

func tokenError(token lexer.Token, expect string) error {
	found := fmt.Sprintf("%q", token.Value)
	if token.EOF() {
		found = "the end"
	}
	message := fmt.Sprintf("column %d: found %s", token.Pos.Column, found)
	if expect != "" {
		message += ", expected " + expect
	}
	if word := nearest(token.Value); word != "" {
		message += "; did you mean " + word + "?"
	}
	return fault.New(lilacv1.ErrorKind_ERROR_KIND_BAD_REQUEST, message)
}

// nearest returns the key word with the fewest letters to change, or "" if all
// are far.
func nearest(found string) string {
	best, word := maxEditDistance, ""
	if len(found) < best {
		best = len(found)
	}
	upper := strings.ToUpper(found)
	for _, candidate := range keywords {
		if upper == candidate {
			return ""
		}
		if d := distance(upper, candidate); d < best {
			best, word = d, candidate
		}
	}
	return word
}

// distance is the Levenshtein distance, in letters.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitute := diagonal
			if a[i] != b[j] {
				substitute++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitute, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
