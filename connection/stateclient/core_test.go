package stateclient

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/settings"
)

// A claim at a disconnected entry took 6 s: no state process answered its attempts, while
// answers to calls that were sent before the disconnection named one leader after another,
// and the claim waited for each of them with the leader's timeout.
func TestCallEndsInTimeDespiteOtherCalls(t *testing.T) {
	var peers []settings.Peer
	for i := range 5 {
		peers = append(peers, settings.Peer{Name: fmt.Sprint(i), Address: settings.Address{Value: fmt.Sprint(i)}})
	}
	for seed := range uint64(200) {
		is, rng, now := is.New(t), rand.New(rand.NewPCG(seed, 1)), time.Unix(0, 0)
		core := NewCore("dc", peers)
		action := core.Step(now, CallStarted{Call: 1})
		for range 100 {
			switch a := action.(type) {
			case Attempt:
				now = now.Add(a.Timeout)
				core.Step(now, CallStarted{Call: 2})
				core.calls[2].address = peers[rng.IntN(len(peers))].Name
				core.Step(now, AttemptDone{Call: 2})
				action = core.Step(now, AttemptDone{Call: 1, Err: fault.New(lilacv1.ErrorKind_ERROR_KIND_TIMEOUT, "no answer in time")})
			case Pause:
				now = now.Add(a.For)
				action = core.Step(now, PauseDone{Call: 1})
			}
		}
		_, done := action.(CallDone)
		is.True(done)
		is.True(now.Sub(time.Unix(0, 0)) <= 5*time.Second)
	}
}
