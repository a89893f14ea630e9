package suspect

// earlyTokens is how far into its answer a request may be to have crashed early.
const earlyTokens = 8

// PositionComparison says what the places of two crashes, in tokens of the answer, tell.
type PositionComparison int

const (
	// PositionsUnknown: the instance did not see both, or they tell nothing: many
	// innocents die before the first token of their trial.
	PositionsUnknown PositionComparison = iota
	// PositionsDiffer: as where the servers went down by themselves.
	PositionsDiffer
	// PositionsMatch: both early and after the same token. Chance does that to
	// few: most requests are well into their answers.
	PositionsMatch
)

// RecordCrashPosition notes how many tokens of the answer this instance held when the
// server crashed; of copies on it the one that was furthest counts.
func (t *Table) RecordCrashPosition(digest, server string, tokens int) {
	e := t.Get(digest)
	if e == nil {
		return
	}
	if e.places == nil {
		e.places = make(map[string]int)
	}
	e.places[server] = max(e.places[server], tokens)
}

// ComparePositions compares the crashes that count. A token may be lost on its way, so
// one more or less is no difference.
func (e *Entry) ComparePositions() PositionComparison {
	least, most := earlyTokens, 0
	for i, server := range e.Servers {
		at, known := e.places[server]
		if !known {
			return PositionsUnknown
		}
		if i == 0 {
			least = at
		}
		least, most = min(least, at), max(most, at)
	}
	switch {
	case most-least > 1:
		return PositionsDiffer
	case most == least && most < earlyTokens:
		return PositionsMatch
	default:
		return PositionsUnknown
	}
}
