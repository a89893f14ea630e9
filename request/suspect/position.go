package suspect

// earlyTokens is the number of answer tokens below which a crash counts as early.
const earlyTokens = 8

// PositionComparison is the result of comparing the positions of a request's crashes, in
// tokens of its answer.
type PositionComparison int

const (
	// PositionsUnknown means that this instance did not observe all crashes, or that
	// the positions are inconclusive: many innocent requests are hit before the first
	// token of their trial.
	PositionsUnknown PositionComparison = iota
	// PositionsDiffer suggests that the servers crashed for another reason.
	PositionsDiffer
	// PositionsMatch means that the crashes were early and after the same token. This
	// is rarely a coincidence: most requests are well into their answers.
	PositionsMatch
)

// RecordCrashPosition records how many tokens of the answer this instance held when the
// server crashed. Of several copies on the server, the one with the most tokens counts.
func (t *Table) RecordCrashPosition(digest, server string, tokens int) {
	e := t.Get(digest)
	if e == nil {
		return
	}
	if e.positions == nil {
		e.positions = make(map[string]int)
	}
	e.positions[server] = max(e.positions[server], tokens)
}

// ComparePositions compares the positions of the crashes in e.Servers. Positions that
// differ by one token are inconclusive, since a token may be lost in transit.
func (e *Entry) ComparePositions() PositionComparison {
	lowest, highest := earlyTokens, 0
	for i, server := range e.Servers {
		position, known := e.positions[server]
		if !known {
			return PositionsUnknown
		}
		if i == 0 {
			lowest = position
		}
		lowest, highest = min(lowest, position), max(highest, position)
	}
	switch {
	case highest-lowest > 1:
		return PositionsDiffer
	case highest == lowest && highest < earlyTokens:
		return PositionsMatch
	default:
		return PositionsUnknown
	}
}
