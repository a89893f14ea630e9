package link

import (
	"encoding/binary"
	"net"
	"testing"

	"github.com/matryer/is"
)

// packetConn notes what each write brings.
type packetConn struct {
	net.Conn
	writes []string
}

func (c *packetConn) Write(b []byte) (int, error) {
	c.writes = append(c.writes, string(b))
	return len(b), nil
}

func frame(kind byte, flags uint16, length uint32) string {
	b := make([]byte, yamuxHeader)
	b[yamuxTypeAt] = kind
	binary.BigEndian.PutUint16(b[yamuxFlagsAt:], flags)
	binary.BigEndian.PutUint32(b[yamuxLengthAt:], length)
	return string(b)
}

func TestFramesShareWrites(t *testing.T) {
	const begins, ends = 1, 4
	begin, end, data := frame(yamuxWindowUpdate, begins, 0), frame(yamuxWindowUpdate, ends, 0), frame(yamuxData, 0, 4)
	// A body that looks like the end of a stream is a body all the same.
	window, reset, likeEnd := frame(yamuxWindowUpdate, 0, 7), frame(yamuxWindowUpdate, yamuxReset, 0), frame(yamuxData, 0, yamuxHeader)
	for name, c := range map[string]struct{ in, out []string }{
		"call":               {[]string{begin, data, "body"}, []string{begin + data + "body"}},
		"end waits":          {[]string{data, "body", end}, []string{data + "body"}},
		"end goes along":     {[]string{end, data, "body"}, []string{end + data + "body"}},
		"window":             {[]string{end, window}, []string{end + window}},
		"reset":              {[]string{reset}, []string{reset}},
		"body like a header": {[]string{likeEnd, end}, []string{likeEnd + end}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn := &packetConn{}
			g := newGathering(conn)
			for _, b := range c.in {
				n, err := g.Write([]byte(b))
				is.NoErr(err)
				is.Equal(n, len(b))
			}
			is.Equal(conn.writes, c.out)
			before := len(conn.writes)
			g.flushOld()
			is.Equal(len(conn.writes), before) // Only what was held at the last time too.
			g.flushOld()
			is.Equal(len(g.held), 0)
		})
	}
}
