package policy

import "time"

const (
	// peersSilent is how long no instance of a data centre is heard until it
	// counts as cut off.
	peerSilenceTimeout = 1300 * time.Millisecond
	// answersSilent is the same for the answers that come from there, all at
	// once: two engines don't stall in the same moment.
	answerSilenceTimeout = 350 * time.Millisecond
	minSilentAnswers     = 2
	// giveUpSilent is when an answer from a cut-off data centre is had elsewhere.
	partitionMoveDelay = time.Second
)

// noticeCuts finds data centres that are out of reach. A silent partition
// breaks no connection: it shows as answers that stop all at once, and as
// digests that no longer come; a healed one as digests that come again. So no
// request need be sent there to find out.
func (c *core) detectPartitions(now time.Time) {
	for dataCenter, heard := range c.dataCenterHeard {
		if dataCenter == c.options.DataCenter {
			continue
		}
		cut := now.Sub(heard) > peerSilenceTimeout || c.answersStopped(now, dataCenter)
		for _, s := range c.ordered {
			if s.dataCenter == dataCenter {
				s.unreachable = cut
			}
		}
	}
}

// answersStopped tells whether several answers came from there and none does now.
func (c *core) answersStopped(now time.Time, dataCenter string) bool {
	expected := 0
	for _, s := range c.ordered {
		if s.dataCenter != dataCenter || s.decoding == 0 {
			continue
		}
		expected += s.decoding
		if now.Sub(s.lastTokenAt) < answerSilenceTimeout {
			return false
		}
	}
	return expected >= minSilentAnswers
}
