// Package story tells what became of one request, from the log lines of several
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
	// maxLine bounds one log line, in bytes.
	maxLine = 1 << 20
	// contextWindow is how long before the first line of a request, and after the last, a
	// change of what its instance believed may have to do with it.
	contextWindow = 3 * time.Second
)

// line is one log line.
type line struct {
	at      time.Time
	module  string
	message string
	fields  map[string]any
	// index is the line's number among those of its reader.
	index int
}

// Timeline holds the lines that were read.
type Timeline struct {
	lines []line
	// Skipped counts lines that are no JSON.
	Skipped int
}

// Read takes in the lines of one reader. What stands before the first brace, such
// as a collector's own time, is passed over.
func (s *Timeline) Read(from io.Reader) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		l, ok := parse(scanner.Bytes())
		if !ok {
			s.Skipped++
			continue
		}
		l.index = len(s.lines)
		s.lines = append(s.lines, l)
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

// Print writes the story of the request and tells whether there is one. Lines of
// one instance stand in the order in which it wrote them, whatever its clock did;
// those of several are ordered by their clocks, which may disagree.
func (s *Timeline) Print(w io.Writer, request string) bool {
	var own []line
	for _, l := range s.lines {
		if l.request() == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return false
	}
	told := append(own, s.contextLines(own)...)
	slices.SortStableFunc(told, func(a, b line) int {
		if a.module == b.module {
			return cmp.Compare(a.index, b.index)
		}
		return a.at.Compare(b.at)
	})
	for _, l := range told {
		mark := " "
		if l.request() == request {
			mark = "*"
		}
		fmt.Fprintf(w, "%s %s %-24s %s%s\n", mark, l.at.Format("15:04:05.000"), l.module, l.message, l.details())
	}
	if s.countModules(own) > 1 {
		fmt.Fprintln(w, "lines of several instances: ordered by their clocks, which may disagree")
	}
	return true
}

// contextLines are the lines about no request that the same instances wrote meanwhile.
func (s *Timeline) contextLines(own []line) []line {
	first, last := make(map[string]time.Time), make(map[string]time.Time)
	for _, l := range own {
		if at, ok := first[l.module]; !ok || l.at.Before(at) {
			first[l.module] = l.at
		}
		if l.at.After(last[l.module]) {
			last[l.module] = l.at
		}
	}
	found := s.restarts(last)
	for _, l := range s.lines {
		begin, ok := first[l.module]
		if ok && l.request() == "" && !l.at.Before(begin.Add(-contextWindow)) && !l.at.After(last[l.module].Add(contextWindow)) {
			found = append(found, l)
		}
	}
	return found
}

// restarts are the first starts of the same instances after the request's last
// line, where they came too late to count as belonging to it: a request without an
// end may have gone down with its instance.
func (s *Timeline) restarts(last map[string]time.Time) []line {
	var found []line
	seen := make(map[string]bool)
	for _, l := range s.lines {
		at, ok := last[l.module]
		if ok && l.message == "started" && l.at.After(at.Add(contextWindow)) && !seen[l.module] {
			seen[l.module] = true
			found = append(found, l)
		}
	}
	return found
}

func (s *Timeline) countModules(own []line) int {
	names := make(map[string]bool)
	for _, l := range own {
		names[l.module] = true
	}
	return len(names)
}

// details lists the other fields by name.
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
