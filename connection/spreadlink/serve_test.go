package spreadlink

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/link"
)

// restartedSource is a state process that holds an old revision from disk until it has
// contacted its group again.
type restartedSource struct {
	mu      sync.Mutex
	newest  uint64
	age     time.Duration
	changed chan struct{}
}

func (r *restartedSource) rejoin(newest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest, r.age = newest, 0
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *restartedSource) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest
}

func (r *restartedSource) Since(have uint64, _ int) ([]*lilacv1.Revision, bool) {
	var list []*lilacv1.Revision
	for number := have + 1; number <= r.Revision(); number++ {
		list = append(list, revision(number))
	}
	return list, true
}

func (r *restartedSource) Config() *lilacv1.Snapshot {
	return &lilacv1.Snapshot{Revision: r.Revision()}
}

func (r *restartedSource) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *restartedSource) LatestKnown() (uint64, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest, r.age
}

// watch opens a watch stream on the source and returns the first update.
func watch(t *testing.T, source Source) *lilacv1.WatchUpdate {
	is := is.New(t)
	mux := link.NewMux()
	NewServer(source, hclog.NewNullLogger()).Register(mux, "state")
	stream, err := (&link.Local{Mux: mux}).Open(t.Context(), "state.watch", &lilacv1.WatchRequest{})
	is.NoErr(err)
	defer stream.Close()
	first := &lilacv1.WatchUpdate{}
	is.NoErr(stream.Recv(first))
	return first
}

// After a power loss of all processes, entries received an old revision from a state
// process that had not contacted its group yet, and then switched to another sender.
func TestRestartedSourceAnswersAfterContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &restartedSource{newest: 3, age: time.Hour, changed: make(chan struct{})}
		time.AfterFunc(300*time.Millisecond, func() { source.rejoin(9) })
		first := watch(t, source)
		is.Equal(first.GetNewest(), uint64(9))
		is.Equal(first.GetAgeMs(), uint32(0))
	})
}

// A state process that stays isolated from its group must answer with the revision that
// it holds: an old configuration is better than none.
func TestIsolatedSourceAnswersAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		first := watch(t, &restartedSource{newest: 3, age: time.Hour, changed: make(chan struct{})})
		is.Equal(first.GetNewest(), uint64(3))
		is.True(time.Since(started) < time.Second) // entries switch away from a sender that is silent for longer
	})
}
