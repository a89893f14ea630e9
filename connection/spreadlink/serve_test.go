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

// restarted is a state process that holds an old revision from its disk until it
// is in contact with its group again.
type restarted struct {
	mu      sync.Mutex
	newest  uint64
	age     time.Duration
	changed chan struct{}
}

func (r *restarted) joins(newest uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest, r.age = newest, 0
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *restarted) Revision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest
}

func (r *restarted) Since(have uint64, _ int) ([]*lilacv1.Revision, bool) {
	var list []*lilacv1.Revision
	for number := have + 1; number <= r.Revision(); number++ {
		list = append(list, revision(number))
	}
	return list, true
}

func (r *restarted) Config() *lilacv1.Snapshot {
	return &lilacv1.Snapshot{Revision: r.Revision()}
}

func (r *restarted) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *restarted) LatestKnown() (uint64, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest, r.age
}

// watch opens a stream of the source's revisions and returns its first update.
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

// Guards against entries that, after a loss of power everywhere, take an old revision
// from a state process that has not found its group yet, and then look for another.
func TestRestartedProcessAnswersOnceItIsInContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source := &restarted{newest: 3, age: time.Hour, changed: make(chan struct{})}
		time.AfterFunc(300*time.Millisecond, func() { source.joins(9) })
		first := watch(t, source)
		is.Equal(first.GetNewest(), uint64(9))
		is.Equal(first.GetAgeMs(), uint32(0))
	})
}

// Guards against an entry that gets nothing from a process that is cut off from its
// group: an old revision serves better than none.
func TestRestartedProcessThatStaysCutOffAnswersInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begun := time.Now()
		first := watch(t, &restarted{newest: 3, age: time.Hour, changed: make(chan struct{})})
		is.Equal(first.GetNewest(), uint64(3))
		is.True(time.Since(begun) < time.Second) // entries leave a sender that is silent for longer
	})
}
