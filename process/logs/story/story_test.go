package story

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const lines = `  1.0 e1 {"@level":"info","@message":"document in force","@module":"e1","@timestamp":"2026-01-01T00:00:01.000Z","version":7}
{"@level":"info","@message":"sent","@module":"e1","@timestamp":"2026-01-01T00:00:02.000Z","request":"id1","server":"i-1"}
{"@level":"info","@message":"sent","@module":"e1","@timestamp":"2026-01-01T00:00:02.100Z","request":"id2","server":"i-1"}
no JSON
{"@level":"info","@message":"attempt failed","@module":"e1","@timestamp":"2026-01-01T00:00:01.900Z","request":"id1","error":"reset"}
{"@level":"info","@message":"stopped","@module":"e1","@timestamp":"2026-01-01T00:01:00.000Z"}
{"@level":"info","@message":"started","@module":"e2","@timestamp":"2026-01-01T00:00:02.000Z"}
`

// An engineer has the logs of all instances and a request's id. One instance's
// clock jumped back in between; its lines must still stand in their order.
func TestStoryOfOneRequest(t *testing.T) {
	is := is.New(t)
	s := &Timeline{}
	is.NoErr(s.Read(strings.NewReader(lines)))
	is.Equal(s.Skipped, 1)
	var text strings.Builder
	is.True(s.Print(&text, "id1"))
	told := strings.Split(strings.TrimSpace(text.String()), "\n")
	is.Equal(len(told), 3)
	is.True(strings.Contains(told[0], "document in force version=7"))
	is.True(strings.HasPrefix(told[1], "*") && strings.Contains(told[1], `sent server="i-1"`))
	is.True(strings.Contains(told[2], `attempt failed error="reset"`))
	is.True(!s.Print(&text, "id9"))
}
