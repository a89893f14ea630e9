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

// The clock of an instance jumps back while it handles a request. Its lines must still
// be printed in the order in which they were written.
func TestPrintKeepsOrderOfInstance(t *testing.T) {
	is := is.New(t)
	timeline := &Timeline{}
	is.NoErr(timeline.Read(strings.NewReader(lines)))
	is.Equal(timeline.Skipped, 1)
	var text strings.Builder
	is.True(timeline.Print(&text, "id1"))
	printed := strings.Split(strings.TrimSpace(text.String()), "\n")
	is.Equal(len(printed), 3)
	is.True(strings.Contains(printed[0], "document in force version=7"))
	is.True(strings.HasPrefix(printed[1], "*") && strings.Contains(printed[1], `sent server="i-1"`))
	is.True(strings.Contains(printed[2], `attempt failed error="reset"`))
	is.True(!timeline.Print(&text, "id9"))
}

// Guards against a history that leaves out what was known of a resumed stream, by whom, and how old
// it was.
func TestResumedStreamIsExplained(t *testing.T) {
	is := is.New(t)
	s := &Timeline{}
	is.NoErr(s.Read(strings.NewReader(`{"@level":"info","@message":"resumed by caller","@module":"e2","@timestamp":"2026-01-01T00:00:02.000Z","request":"id3","resumes":"id1","source":"peer","holder":"e1","not_inferred":"several_versions","known":"v1 leaving,v2 admitted","record_age_ms":120,"revision":7}
{"@level":"info","@message":"attempt not prepared","@module":"e2","@timestamp":"2026-01-01T00:00:02.100Z","request":"id3","version":"v1"}
`)))
	var out strings.Builder
	is.True(s.Print(&out, "id3"))
	for _, want := range []string{"resumed by caller", `holder="e1"`, `not_inferred="several_versions"`, `known="v1 leaving,v2 admitted"`, "record_age_ms=120", "revision=7", "attempt not prepared"} {
		is.True(strings.Contains(out.String(), want)) // each field is shown
	}
}
