// Package story reconstructs the course of one request from the log lines of several
// processes.
package story

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// maxLine is the maximum length of a log line in bytes.
	maxLine = 1 << 20
	// contextWindow is how long before the first and after the last line of a request the
	// other lines of its instances may be relevant to it.
	contextWindow = 3 * time.Second
)

// line is one log line.
type line struct {
	at      time.Time
	module  string
	message string
	fields  map[string]any
	// index is the line's position in Timeline.lines.
	index int
}

// Timeline holds the log lines that were read. It is not safe for concurrent use.
type Timeline struct {
	lines []line
	// Skipped counts lines that are not JSON log lines.
	Skipped int
}

// Read adds the lines of one reader. Text before the first brace of a line, such as the
// timestamp of a log collector, is ignored.
func (t *Timeline) Read(from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		l, ok := parse(scanner.Bytes())
		if !ok {
			t.Skipped++
			continue
		}
		l.index = len(t.lines)
		t.lines = append(t.lines, l)
	}
	return scanner.Err()
}

func parse(text []byte) (line, bool) {
	brace := bytes.IndexByte(text, '{')
	if brace < 0 {
		return line{}, false
	}
	fields := make(map[string]any)
	if json.Unmarshal(text[brace:], &fields) != nil {
		return line{}, false
	}
	l := line{fields: fields}
	l.message, _ = fields["@message"].(string)
	l.module, _ = fields["@module"].(string)
	at, _ := fields["@timestamp"].(string)
	l.at, _ = time.Parse(time.RFC3339Nano, at)
	for _, name := range []string{"@message", "@module", "@timestamp", "@level"} {
		delete(fields, name)
	}
	return l, l.message != ""
}

func (l *line) request() string {
	id, _ := l.fields["request"].(string)
	return id
}

// Print writes the lines of the request, marked with an asterisk, and the lines that may
// be relevant to it. It reports whether there are lines of the request. Lines of one
// instance keep the order in which it wrote them, even if its clock jumped; lines of
// several instances are ordered by their clocks, which may disagree.
func (t *Timeline) Print(w io.Writer, request string) bool {
	var requestLines []line
	for _, l := range t.lines {
		if l.request() == request {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		return false
	}
	all := append(requestLines, t.contextLines(requestLines)...)
	slices.SortStableFunc(all, func(a, b line) int {
		if a.module == b.module {
			return cmp.Compare(a.index, b.index)
		}
		return a.at.Compare(b.at)
	})
	for _, l := range all {
		mark := " "
		if l.request() == request {
			mark = "*"
		}
		fmt.Fprintf(w, "%s %s %-24s %s%s\n", mark, l.at.Format("15:04:05.000"), l.module, l.message, l.details())
	}
	if t.countModules(requestLines) > 1 {
		fmt.Fprintln(w, "lines of several instances are ordered by their clocks, which may disagree")
	}
	return true
}

// contextLines returns the lines without a request that the same instances wrote within
// contextWindow of the request, and their restarts after that.
func (t *Timeline) contextLines(requestLines []line) []line {
	first, last := make(map[string]time.Time), make(map[string]time.Time)
	for _, l := range requestLines {
		if at, ok := first[l.module]; !ok || l.at.Before(at) {
			first[l.module] = l.at
		}
		if l.at.After(last[l.module]) {
			last[l.module] = l.at
		}
	}
	found := t.restarts(last)
	for _, l := range t.lines {
		begin, ok := first[l.module]
		if ok && l.request() == "" && !l.at.Before(begin.Add(-contextWindow)) && !l.at.After(last[l.module].Add(contextWindow)) {
			found = append(found, l)
		}
	}
	return found
}

// restarts returns the first start of each of these instances that came later than
// contextWindow after the last line of the request. A request without a final line may
// have failed with its instance.
func (t *Timeline) restarts(last map[string]time.Time) []line {
	var found []line
	seen := make(map[string]bool)
	for _, l := range t.lines {
		at, ok := last[l.module]
		if ok && l.message == "started" && l.at.After(at.Add(contextWindow)) && !seen[l.module] {
			seen[l.module] = true
			found = append(found, l)
		}
	}
	return found
}

func (t *Timeline) countModules(requestLines []line) int {
	names := make(map[string]bool)
	for _, l := range requestLines {
		names[l.module] = true
	}
	return len(names)
}

// details returns the remaining fields, sorted by name.
func (l *line) details() string {
	var names []string
	for name := range l.fields {
		if name != "request" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var text strings.Builder
	for _, name := range names {
		value, _ := json.Marshal(l.fields[name])
		fmt.Fprintf(&text, " %s=%s", name, value)
	}
	return text.String()
}
