package bench

import "github.com/lilacbridge/lilacbridge/request/policy"

// engineFault is a fault of an engine that is up.
type engineFault int

const (
	healthy engineFault = iota
	// refusing engines reject all new work as overload.
	refusing
	// timingOut engines abort each answer after some tokens, as overloaded engines
	// behind a gateway with a timeout do.
	timingOut
)

// tokensBeforeDrop is the number of tokens of an answer after which a timingOut engine aborts it.
const tokensBeforeDrop = 10

// dropAnswer aborts the attempt after tokensBeforeDrop tokens. It reports whether it did.
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
