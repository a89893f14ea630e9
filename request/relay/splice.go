package relay

import (
	"bytes"
	"strconv"
)

// splice appends an event's data to dst, with the values of the top-level keys "id" and
// "created" replaced and all other bytes unchanged.
func splice(dst, data []byte, id string, created int64) []byte {
	depth := 0
	copied := 0
	for i := 0; i < len(data); {
		switch data[i] {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		case '"':
			end := stringEnd(data, i)
			if depth == 1 {
				if from, until, value := replacement(data, i, end, id, created); value != "" {
					dst = append(dst, data[copied:from]...)
					dst = append(dst, value...)
					copied, end = until, until
				}
			}
			i = end
			continue
		}
		i++
	}
	return append(dst, data[copied:]...)
}

// stringEnd returns the index after the JSON string that begins at start.
func stringEnd(data []byte, start int) int {
	for i := start + 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(data)
}

var (
	idKey      = []byte(`"id"`)
	createdKey = []byte(`"created"`)
)

// replacement returns the new value, and the range of the old one, if the string in
// data[start:end] is a key whose value is replaced; otherwise value is empty.
func replacement(data []byte, start, end int, id string, created int64) (from, until int, value string) {
	key := data[start:end]
	isID := bytes.Equal(key, idKey)
	if !isID && !bytes.Equal(key, createdKey) {
		return 0, 0, ""
	}
	from = skipSpace(data, end)
	if from >= len(data) || data[from] != ':' {
		return 0, 0, ""
	}
	from = skipSpace(data, from+1)
	if from >= len(data) {
		return 0, 0, ""
	}
	if isID {
		if data[from] != '"' {
			return 0, 0, ""
		}
		return from, stringEnd(data, from), strconv.Quote(id)
	}
	until = from
	for until < len(data) && data[until] >= '0' && data[until] <= '9' {
		until++
	}
	return from, until, strconv.FormatInt(created, 10)
}

func skipSpace(data []byte, i int) int {
	for i < len(data) && (data[i] == ' ' || data[i] == '\t') {
		i++
	}
	return i
}
