package link

import (
	"encoding/binary"
	"net"
	"testing"

	"github.com/matryer/is"
)

// recordingConn records the data of each write.
type recordingConn struct {
	net.Conn
	writes []string
}

func (c *recordingConn) Write(b []byte) (int, error) {
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
	const syn, fin = 1, 4
	begin, end, data := frame(yamuxWindowUpdate, syn, 0), frame(yamuxWindowUpdate, fin, 0), frame(yamuxData, 0, 4)
	// The body of this frame looks like a frame that closes a stream.
	window, reset, likeEnd := frame(yamuxWindowUpdate, 0, 7), frame(yamuxWindowUpdate, yamuxReset, 0), frame(yamuxData, 0, yamuxHeader)
	for name, c := range map[string]struct{ in, out []string }{
		"call":               {[]string{begin, data, "body"}, []string{begin + data + "body"}},
		"end is delayed":     {[]string{data, "body", end}, []string{data + "body"}},
		"end joins next":     {[]string{end, data, "body"}, []string{end + data + "body"}},
		"window":             {[]string{end, window}, []string{end + window}},
		"reset":              {[]string{reset}, []string{reset}},
		"body like a header": {[]string{likeEnd, end}, []string{likeEnd + end}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn := &recordingConn{}
			out := newCoalescingConn(conn)
			for _, b := range c.in {
				n, err := out.Write([]byte(b))
				is.NoErr(err)
				is.Equal(n, len(b))
			}
			is.Equal(conn.writes, c.out)
			before := len(conn.writes)
			out.flushStale()
			is.Equal(len(conn.writes), before) // nothing was buffered at an earlier flushStale
			out.flushStale()
			is.Equal(len(out.buffered), 0)
		})
	}
}
