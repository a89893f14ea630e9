package relay

import (
	"errors"
	"io"
	"math"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/holding"
)

// Guards against a part of an answer that is taken for the whole, since the error of its
// connection wraps io.EOF.
func TestAnswerWhoseConnectionBreaksIsNotComplete(t *testing.T) {
	for name, length := range map[string]int64{"length": 100, "no length": -1} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			hold := holding.NewStore(holding.Options{Bytes: 1 << 20}).Open(holding.Owner{})
			j := &forwardJob{req: &request{}, q: &gateway.Request{Hold: hold}}
			broken := iotest.ErrReader(errors.Join(io.EOF, errors.New("link closed")))
			body := io.NopCloser(io.MultiReader(strings.NewReader("a part"), broken))
			_, held, err := j.readAnswer(t.Context(), &gateway.Response{Response: &http.Response{Body: body, ContentLength: length}})
			is.True(err != nil)
			is.Equal(j.req.read, int64(len("a part")))
			is.Equal(held, hold.Held()[holding.Answer])
		})
	}
}

// Guards against an account that gains room, and a request that panics, by a stated length whose
// successor is no number.
func TestGreatestStatedLengthTakesNoNegativeRoom(t *testing.T) {
	is := is.New(t)
	hold := holding.NewStore(holding.Options{Bytes: 1 << 30}).Open(holding.Owner{})
	j := &forwardJob{req: &request{}, q: &gateway.Request{Hold: hold}}
	body := io.NopCloser(io.MultiReader(strings.NewReader("a part"), iotest.ErrReader(io.ErrUnexpectedEOF)))
	_, held, err := j.readAnswer(t.Context(), &gateway.Response{Response: &http.Response{Body: body, ContentLength: math.MaxInt64}})
	is.Equal(err, io.ErrUnexpectedEOF)
	is.Equal(held, int64(maxForwardBuffer+1))
	is.Equal(hold.Held()[holding.Answer], held)
}
