package policy

// answeredDigests counts how often identical requests were answered well at this instance: a request
// that crashes the servers that run it never is. Its memory is bounded; the counts of requests that
// were not answered for a while are dropped.
type answeredDigests struct {
	// recent holds the latest counts, older those from before recent was full.
	recent, older map[string]int
}

const (
	// maxAnsweredDigests is the number of digests from which the older half of them is dropped.
	maxAnsweredDigests = 4096
	// provenAnswers is the number of answers from which a request counts as sound.
	provenAnswers = 3
)

func newAnsweredDigests() answeredDigests {
	return answeredDigests{recent: make(map[string]int), older: make(map[string]int)}
}

// add counts an answer.
func (a *answeredDigests) add(digest string) {
	if digest == "" {
		return
	}
	if _, known := a.recent[digest]; !known && len(a.recent) >= maxAnsweredDigests/2 {
		a.recent, a.older = a.older, a.recent
		clear(a.recent)
	}
	a.recent[digest] = a.count(digest) + 1
}

func (a *answeredDigests) count(digest string) int {
	return max(a.recent[digest], a.older[digest])
}

// proven reports whether the request was answered often enough to count as sound.
func (a *answeredDigests) proven(digest string) bool { return a.count(digest) >= provenAnswers }
