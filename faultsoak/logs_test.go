package faultsoak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"time"
)

const (
	// restartLossWindow is the time before the start of an entry in which log lines may be
	// lost.
	restartLossWindow = 6 * time.Second
	// suppressionWindow is the time within which an entry reports that it suppressed lines.
	suppressionWindow = 2 * time.Second
)

// logLine holds the fields of a log line that the checks use.
type logLine struct {
	At      time.Time `json:"@timestamp"`
	Message string    `json:"@message"`
	Request string    `json:"request"`
	Kind    string    `json:"kind"`
	Error   string    `json:"error"`
	Part    string    `json:"part"`
}

// entryLog is the log of an entry in one run.
type entryLog struct {
	byRequest map[string][]logLine
	// gaps are the times from which lines may be missing, as the log itself shows.
	gaps []logGap
	// blocked are the parts of prompts that the entry blocked.
	blocked []string
}

type logGap struct{ from, to time.Time }

func readLog(path string, since time.Time) (*entryLog, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	read := &entryLog{byRequest: make(map[string][]logLine)}
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var l logLine
		if json.Unmarshal(scanner.Bytes(), &l) != nil || l.At.Before(since) {
			continue
		}
		switch {
		case l.Request != "":
			read.byRequest[l.Request] = append(read.byRequest[l.Request], l)
		case l.Message == "prompt part blocked":
			read.blocked = append(read.blocked, l.Part)
		case l.Message == "started":
			read.gaps = append(read.gaps, logGap{l.At.Add(-restartLossWindow), l.At})
		case l.Message == "log lines left out, the budget of their kind was spent":
			read.gaps = append(read.gaps, logGap{l.At.Add(-suppressionWindow), l.At})
		}
	}
	return read, scanner.Err()
}

// explains reports whether the log gives a reason for the failure of the call, or may have
// lost it.
func (e *entryLog) explains(c *call) bool {
	for _, l := range e.byRequest[c.id] {
		if l.Error != "" || l.Kind != "" {
			return true
		}
	}
	for _, gap := range e.gaps {
		if c.ended.After(gap.from) && c.sent.Before(gap.to) {
			return true
		}
	}
	return false
}

// checkLogs checks that the log of the entry explains each error response, and that no sound part of
// prompts was blocked.
func (r *run) checkLogs() {
	for _, entry := range r.fleet.entries {
		read, err := readLog(entry.log, r.started)
		if err != nil {
			r.violation("harness", "%v", err)
			continue
		}
		for _, part := range read.blocked {
			r.check(part == crashingPart, "sound parts are not blocked", "%s blocked part %s", entry.name, part)
		}
		for _, c := range r.calls {
			if c.entry == entry && c.status >= http.StatusBadRequest {
				r.check(read.explains(c), "failures are explained", "%s on %s was answered %d by %s, whose log gives no reason", c.id, c.route, c.status, entry.name)
			}
		}
	}
}
