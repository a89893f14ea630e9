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
	// MaxLength is the maximum length of a statement in bytes.
	MaxLength = 16 << 10
	// editDistanceLimit is the edit distance from which a keyword is not suggested.
	editDistanceLimit = 3
)

// Parse parses one statement. A syntax error names the column, the expected token and
// the most similar keyword.
func Parse(text string) (*Statement, error) {
	if len(text) > MaxLength {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_TOO_LARGE, "the statement has %d bytes, the limit is %d; use apply with a file", len(text), MaxLength)
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

// expected extracts the expected token from the message of the parser library, which
// ends with "(expected …)" if it is known.
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

// nearest returns the keyword with the smallest edit distance to found, or "" if found
// is a keyword or no keyword is similar.
func nearest(found string) string {
	best, word := editDistanceLimit, ""
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

// distance returns the Levenshtein distance of a and b in bytes.
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
