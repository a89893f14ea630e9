package httpserver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// Guards against a body that ends with its connection and looks complete, since the process was
// killed in the middle of it: the kernel then closes its connections.
func TestKilledProcessResetsAnUnframedBody(t *testing.T) {
	for name, killed := range map[string]bool{"killed": true, "complete": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			part, gone := make(chan struct{}), make(chan struct{})
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				EndWithConnection(w.Header())
				confirmEnd := ResetIfKilled(r.Context())
				control := http.NewResponseController(w)
				_, _ = io.WriteString(w, "a part")
				is.NoErr(control.Flush())
				<-part
				if killed {
					r.Context().Value(connKey{}).(net.Conn).Close()
					close(gone)
					return
				}
				_, _ = io.WriteString(w, " and the rest")
				is.NoErr(control.Flush())
				confirmEnd()
			}))
			server.Config.ConnContext = ConnContext
			server.Start()
			defer server.Close()
			resp, err := server.Client().Get(server.URL)
			is.NoErr(err)
			defer resp.Body.Close()
			first := make([]byte, len("a part"))
			_, err = io.ReadFull(resp.Body, first)
			is.NoErr(err)
			close(part)
			if killed {
				<-gone
			}
			rest, err := io.ReadAll(resp.Body)
			if killed {
				is.True(errors.Is(err, syscall.ECONNRESET))
				return
			}
			is.NoErr(err)
			is.Equal(string(rest), " and the rest")
		})
	}
}
