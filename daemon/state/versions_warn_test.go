package state

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/process/settings"
)

// Guards against gateways that begin no stream that may be resumed while nothing says that the
// state processes lack the list of servers.
func TestControlWithoutServerListIsWarnedOf(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger := hclog.New(&hclog.LoggerOptions{Output: &out})
	s := &settings.State{}
	warnWithoutList(s, logger)
	is.Equal(out.String(), "")
	s.Control.Value = "127.0.0.1:1"
	warnWithoutList(s, logger)
	is.True(strings.Contains(out.String(), "server_list"))
	out.Reset()
	s.ServerList.Value = "127.0.0.1:2"
	warnWithoutList(s, logger)
	is.Equal(out.String(), "")
}
