package bench

import "github.com/lilacbridge/lilacbridge/request/policy"

// illness is what an engine that runs does wrong.
type engineFault int

const (
	healthy engineFault = iota
	// refusing engines refuse all new work for load.
	refusing
	// timingOut engines begin each answer and drop it after some tokens, as
	// overloaded ones do behind a gateway that gives up.
	timingOut
)

// dropAfter is the number of tokens that a timing-out engine makes of an answer.
const tokensBeforeDrop = 10

// cutOff drops the attempt once the engine made its few tokens.
func (e *engine) dropAnswer(j *job) bool {
	if j.generated-j.startTokens <= tokensBeforeDrop || !e.world.connected(e.dataCenter, j.instance.dataCenter) {
		return false
	}
	j.stopped = true
	e.world.clock.after(latency(e.dataCenter, j.instance.dataCenter), func() {
		j.instance.fail(j, policy.Failed{Sent: true})
	})
	return true
}
