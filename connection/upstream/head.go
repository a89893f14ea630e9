package upstream

import (
	"fmt"
	"strings"
)

const (
	protocolVersion = "HTTP/1.1 "
	// statusDigits is the length of a status code.
	statusDigits = 3
	// maxStatusClass is the highest first digit of a status code.
	maxStatusClass = '5'
	// maxFramingName is the length of the longest name of a field that delimits the body.
	maxFramingName = len("transfer-encoding")
)

// headPart is a part of the head of a response.
type headPart int

const (
	inStatus headPart = iota
	inReason
	// atLine is at the first byte of a line after the status line.
	atLine
	inName
	inValue
	// afterCR and afterLastCR expect the end of a line and of the head.
	afterCR
	afterLastCR
	headEnded
)

// head checks the bytes of the head of one response, and of the interim responses before it.
//
// net/http accepts several forms that leave open where a field or the body ends: a field name with a
// blank, a line that continues the one before, a length beside chunks. A field that it does not
// recognize for that reason no longer delimits the body.
type head struct {
	part headPart
	// status holds the bytes of the status line up to the status code.
	status []byte
	// name holds the beginning of the field name, in lower case.
	name []byte
	// framed is the number of fields that delimit the body.
	framed int
	err    error
}

// scan checks the next bytes of the connection. It ignores those after the head.
func (h *head) scan(b []byte) error {
	for i := 0; i < len(b) && h.part != headEnded && h.err == nil; i++ {
		h.next(b[i])
	}
	return h.err
}

// reset prepares for the next response.
func (h *head) reset() { *h = head{status: h.status[:0], name: h.name[:0]} }

// isInterim reports whether another response to the same request follows. 101 is final.
func (h *head) isInterim() bool {
	code := string(h.status[len(protocolVersion):][:statusDigits])
	return code[0] == '1' && code != "101"
}

func (h *head) next(c byte) {
	switch h.part {
	case inStatus:
		h.statusByte(c)
	case inReason, inValue:
		h.textByte(c)
	case atLine:
		if c == '\r' {
			h.part = afterLastCR
			return
		}
		h.name, h.part = h.name[:0], inName
		h.nameByte(c)
	case inName:
		h.nameByte(c)
	case afterCR:
		h.lineEnd(c, atLine)
	case afterLastCR:
		h.lineEnd(c, headEnded)
		if h.err == nil && h.isInterim() {
			h.reset()
		}
	case headEnded:
	}
}

func (h *head) fail(format string, args ...any) {
	h.err = &NotAnswerError{Reason: fmt.Sprintf(format, args...)}
}

func (h *head) statusByte(c byte) {
	at := len(h.status)
	first := len(protocolVersion)
	h.status = append(h.status, c)
	switch {
	case at < first && c != protocolVersion[at],
		at == first && (c < '1' || c > maxStatusClass),
		at > first && (c < '0' || c > '9'):
		h.fail("status line begins with %q", h.status)
	case at == first+statusDigits-1:
		h.part = inReason
	}
}

// textByte checks a byte of a field value or of the rest of the status line.
func (h *head) textByte(c byte) {
	switch {
	case c == '\r':
		h.part = afterCR
	case h.part == inReason && len(h.status) == len(protocolVersion)+statusDigits:
		h.status = append(h.status, c)
		if c != ' ' {
			h.fail("status line begins with %q", h.status)
		}
	case c < ' ' && c != '\t' || c == 0x7f:
		h.fail("control byte %q in the head", c)
	}
}

func (h *head) nameByte(c byte) {
	switch {
	case c == ':' && len(h.name) > 0:
		h.part = inValue
		if name := string(h.name); name == "content-length" || name == "transfer-encoding" {
			h.framed++
		}
		if h.framed > 1 {
			h.fail("several fields delimit the body")
		}
	case !isTokenByte(c):
		h.fail("field name with byte %q", c)
	case len(h.name) <= maxFramingName:
		h.name = append(h.name, lower(c))
	}
}

func (h *head) lineEnd(c byte, next headPart) {
	if c != '\n' {
		h.fail("carriage return within a line of the head")
	}
	h.part = next
}

// isTokenByte reports whether c may be part of a field name.
func isTokenByte(c byte) bool {
	switch {
	case '0' <= c && c <= '9', 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}
