package relay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against a sound server that is taken for crashed since a connection to it was not opened
// in time.
func TestConnectionThatIsNotOpenedIsNoCrash(t *testing.T) {
	dial := func(cause error) error {
		return &url.Error{Op: http.MethodGet, URL: "http:/look", Err: &net.OpError{Op: "dial", Net: "tcp", Err: cause}}
	}
	for _, one := range []struct {
		err             error
		unsent          bool
		crashed, silent bool
	}{
		{dial(os.ErrDeadlineExceeded), true, true, true},
		{dial(fmt.Errorf("no answer from another instance")), true, true, true},
		{dial(syscall.EHOSTUNREACH), true, true, true},
		{dial(syscall.ECONNREFUSED), true, true, false},
		{syscall.ECONNRESET, true, true, false},
		{syscall.ECONNRESET, false, true, false},
		{io.ErrUnexpectedEOF, false, true, false},
		{os.ErrDeadlineExceeded, false, false, false},
	} {
		is := is.New(t)
		failed, _ := classify(one.err, one.unsent)
		is.Equal(failed.Crashed, one.crashed)
		is.Equal(failed.Silent, one.silent)
	}
}
