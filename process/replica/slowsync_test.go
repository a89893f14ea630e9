package replica

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/internal/memdisk"
)

// Guards against a disk that stalls for so long that another process takes the lead, while no log
// says why.
func TestSyncOfAnElectionTimeoutIsLogged(t *testing.T) {
	is := is.New(t)
	var now time.Duration
	var output bytes.Buffer
	disk := memdisk.New()
	runner, err := NewRunner(Options{Name: "a", Address: "a", Bootstrap: true, Heartbeat: testHeartbeat, Election: testElection,
		Folder: disk, Machine: &commandCounter{}, Transport: discardTransport{}, Logger: hclog.New(&hclog.LoggerOptions{Output: &output, JSONFormat: true}),
		Clock: func() time.Duration { return now }})
	is.NoErr(err)
	defer runner.Close()
	for runner.Status().Role != Leader {
		now += testHeartbeat / 2
		is.NoErr(runner.ProcessBatch([]Request{{Event: Tick{}}}))
	}
	propose := func(syncTime time.Duration) string {
		output.Reset()
		disk.BeforeSync(func() { now += syncTime })
		is.NoErr(runner.ProcessBatch([]Request{{Event: Propose{Command: []byte("change")}, Reply: func(o Outcome) { is.NoErr(o.Err) }}}))
		return output.String()
	}
	is.Equal(propose(testElection-time.Millisecond), "")
	line := map[string]any{}
	is.NoErr(json.Unmarshal([]byte(propose(testElection)), &line))
	is.Equal(line["@level"], "warn")
	is.Equal(line["folder"], disk.Path())
	is.Equal(line["took_ms"], float64(testElection.Milliseconds()))
	is.Equal(line["entries"], 1.0)
}
