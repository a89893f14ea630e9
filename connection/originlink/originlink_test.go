package originlink

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/streamorigin"
	"github.com/lilacbridge/lilacbridge/version/admission"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// state is how an instance behaves towards others.
type state int

const (
	up state = iota
	gone
	silent
)

// fleet is instances in data centres a, b and c that exchange origins.
type fleet struct {
	links []*Link
	muxes []*link.Mux
	peers []member.Peer

	mu     sync.Mutex
	states map[string]state
	// known is what each instance knows of the versions of the service llm.
	known []knowledge
	// keepers are state processes by address; instances don't know them before addKeepers.
	keepers map[string]*Link
}

// knowledge is an instance's record of versions. It was confirmed at the given time, or always is
// if that is zero.
type knowledge struct {
	versions  []string
	confirmed time.Time
}

// see tells instances the record of versions, which they then know to be the newest.
func (f *fleet) see(versions []string, instances ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range instances {
		f.known[i] = knowledge{versions: versions}
	}
}

// lose cuts an instance off from the state processes.
func (f *fleet) lose(instance int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known[instance].confirmed = time.Now()
}

func (f *fleet) record(instance int, service string) admission.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	var r admission.Record
	if service != "llm" {
		return r
	}
	known := f.known[instance]
	for _, version := range known.versions {
		r.Counted = append(r.Counted, &lilacv1.ServiceVersion{Service: service, Version: version})
	}
	if !known.confirmed.IsZero() {
		r.Age = time.Since(known.confirmed)
	}
	return r
}

// all returns the numbers of all instances.
func (f *fleet) all() []int {
	var numbers []int
	for i := range f.peers {
		numbers = append(numbers, i)
	}
	return numbers
}

// caller is the connection from one instance to another.
type caller struct {
	fleet *fleet
	local link.Local
	name  string
}

func (f *fleet) set(name string, s state) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states[name] = s
}

func (f *fleet) state(name string) state {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.states[name]
}

func (c *caller) Call(ctx context.Context, method string, req, resp proto.Message) error {
	switch c.fleet.state(c.name) {
	case gone:
		return fault.New(lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE, "gone")
	case silent:
		<-ctx.Done()
		return ctx.Err()
	}
	return c.local.Call(ctx, method, req, resp)
}

func (c *caller) Open(ctx context.Context, method string, req proto.Message) (link.Stream, error) {
	return c.local.Open(ctx, method, req)
}

// newFleet starts so many instances in each of the data centres a, b and c.
func newFleet(ctx context.Context, perDataCenter int) *fleet {
	f := &fleet{states: make(map[string]state)}
	for _, dataCenter := range []string{"a", "b", "c"} {
		for i := range perDataCenter {
			name := dataCenter + strconv.Itoa(i)
			f.peers = append(f.peers, member.Peer{Name: name, Address: name, DataCenter: dataCenter})
		}
	}
	f.known = make([]knowledge, len(f.peers))
	f.see([]string{"v1", "v2"}, f.all()...)
	for i, self := range f.peers {
		mux := link.NewMux()
		versions := func(service string) admission.Record { return f.record(i, service) }
		l := New(Options{Self: self, Versions: versions, Dial: func(address string) link.Caller {
			if keeper := f.keepers[address]; keeper != nil {
				mux := link.NewMux()
				keeper.Register(mux)
				return &caller{fleet: f, local: link.Local{Mux: mux}, name: address}
			}
			index := slices.IndexFunc(f.peers, func(p member.Peer) bool { return p.Name == address })
			return &caller{fleet: f, local: link.Local{Mux: f.muxes[index]}, name: address}
		}})
		l.Register(mux)
		l.SetPeers(f.peers)
		f.links, f.muxes = append(f.links, l), append(f.muxes, mux)
		go f.links[i].Run(ctx)
	}
	return f
}

func inBubble(t *testing.T, perDataCenter int, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, perDataCenter)
		synctest.Wait()
		test(t, f)
		cancel()
		synctest.Wait()
	})
}

var v1 = streamorigin.Origin{Service: "llm", Version: "v1"}

// Guards against a stream that can't be resumed after the instance that began it, its data centre
// or the connections between data centres have gone.
func TestOriginIsFoundAfterInstancesAreLost(t *testing.T) {
	for name, lost := range map[string]struct {
		// gone and silent are data centres, or instances; finder is who asks.
		gone, silent []string
		finder       int
		found        bool
	}{
		"nothing":                       {finder: 1, found: true},
		"the instance":                  {gone: []string{"a0"}, finder: 1, found: true},
		"the instance, silent":          {silent: []string{"a0"}, finder: 1, found: true},
		"the instance, asked elsewhere": {gone: []string{"a0"}, finder: 7, found: true},
		"its data centre":               {gone: []string{"a"}, finder: 7, found: true},
		"other data centres":            {silent: []string{"b", "c"}, finder: 1, found: true},
		"all others":                    {gone: []string{"a", "b", "c"}, finder: 1, found: false},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 4, func(t *testing.T, f *fleet) {
				is := is.New(t)
				found := 0
				for i := range 50 {
					f.record0(t, "id"+strconv.Itoa(i), v1, 1, 10*time.Second)
				}
				synctest.Wait()
				for _, peer := range f.peers {
					for _, one := range lost.gone {
						if peer.DataCenter == one || peer.Name == one {
							f.set(peer.Name, gone)
						}
					}
					for _, one := range lost.silent {
						if peer.DataCenter == one || peer.Name == one {
							f.set(peer.Name, silent)
						}
					}
				}
				for i := range 50 {
					began := time.Now()
					finding := f.links[lost.finder].Find(t.Context(), "id"+strconv.Itoa(i), "llm")
					is.True(time.Since(began) <= findTimeout)
					if finding.Source == Own || finding.Source == Peer {
						is.Equal(finding.Origin, v1)
						found++
						continue
					}
					is.Equal(finding.Source, Unknown)
				}
				if lost.found {
					is.Equal(found, 50)
				}
			})
		})
	}
}

// Guards against a guess: without the origin, one version can be inferred only if the record proves
// that there is no other.
func TestOriginIsInferredOnlyFromASingleVersion(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		is := is.New(t)
		is.Equal(f.links[0].Find(t.Context(), "id1", "llm").Source, Unknown)
		f.see(nil, f.all()...)
		is.Equal(f.links[0].Find(t.Context(), "id1", "llm").Source, Unknown)
		f.see([]string{"v1"}, f.all()...)
		finding := f.links[0].Find(t.Context(), "id1", "llm")
		is.Equal(finding.Source, OnlyVersion)
		is.Equal(finding.Origin, v1)
		is.Equal(finding.Asked, 0)
		is.Equal(f.links[0].Find(t.Context(), "id1", "").Source, Unknown)
		f.lose(0)
		time.Sleep(admission.InferenceLease - time.Millisecond)
		is.Equal(f.links[0].Find(t.Context(), "id1", "llm").Source, OnlyVersion)
		time.Sleep(time.Millisecond)
		is.Equal(f.links[0].Find(t.Context(), "id1", "llm").Source, Unknown)
	})
}

// Guards against an instance that has just started and takes the one version that it has heard of
// for the only one, whether or not others answer.
func TestStartedInstanceInfersNothingBeforeItsRecordIsConfirmed(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.restart(t.Context(), 0)
		f.see([]string{"v1"}, 0)
		f.lose(0)
		time.Sleep(admission.InferenceLease)
		is.Equal(f.links[0].Find(t.Context(), "id1", "llm").Source, Unknown)
		for _, peer := range f.peers {
			f.set(peer.Name, gone)
		}
		is.Equal(f.links[0].Find(t.Context(), "id1", "llm").Source, Unknown)
		f.see([]string{"v1"}, 0)
		is.Equal(f.links[0].Find(t.Context(), "id1", "llm").Source, OnlyVersion)
	})
}

// Guards against a holder that keeps the version of an attempt that failed before its first event:
// the later one must not be sent before all holders have replaced it.
func TestLaterAttemptReplacesOrigin(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.record0(t, "id1", v1, 1, 10*time.Second)
		synctest.Wait()
		f.set("a1", silent)
		v2 := streamorigin.Origin{Service: "llm", Version: "v2"}
		is.True(f.links[0].Record(t.Context(), "id1", v2, true, 2, 10*time.Second) != nil)
		is.True(f.links[0].Failures() > 0)
		f.set("a1", up)
		is.NoErr(f.links[0].Record(t.Context(), "id1", v2, true, 3, 10*time.Second))
		f.set("a0", gone)
		is.Equal(f.links[1].Find(t.Context(), "id1", "llm").Origin, v2)
		older := f.links[1].Record(t.Context(), "id1", v1, true, 1, 10*time.Second) // it changes nothing and must not begin
		is.Equal(fault.KindOf(older), lilacv1.ErrorKind_ERROR_KIND_UNAVAILABLE)
		is.Equal(f.links[1].Find(t.Context(), "id1", "llm").Origin, v2)
	})
}

// Guards against a stream that can't be resumed after its instance has gone since a copy of its origin
// was lost on the way to the holder.
func TestLostCopyIsSentAgain(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		is := is.New(t)
		for _, name := range []string{"b0", "b1", "c0", "c1"} {
			f.set(name, gone)
		}
		f.set("a1", silent)
		f.record0(t, "id1", v1, 1, 10*time.Second)
		time.Sleep(sendTimeout / 2)
		f.set("a1", up)
		time.Sleep(2 * sendTimeout)
		f.set("a0", gone)
		is.True(f.links[0].Failures() > 0)
		is.Equal(f.links[1].Find(t.Context(), "id1", "llm").Origin, v1)
	})
}

// Guards against a copy of an earlier attempt that was delayed and arrives at a holder that
// has lost its memory since the later one.
func TestDelayedCopyOfAnEarlierAttemptIsNotSent(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.set("a1", silent)
		f.record0(t, "id1", v1, 1, 10*time.Second)
		time.Sleep(sendTimeout + resendDelay/2)
		f.set("a1", up)
		is.NoErr(f.links[0].Record(t.Context(), "id1", streamorigin.Origin{Service: "llm", Version: "v2"}, true, 2, 10*time.Second))
		f.restart(t.Context(), 1)
		time.Sleep(2 * sendTimeout)
		f.set("a0", gone)
		is.True(f.links[1].Find(t.Context(), "id1", "llm").Origin != v1)
	})
}

// Guards against memory that grows with each stream that ever began, and with an instance that
// does not answer.
func TestOriginsExpire(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.set("b0", silent)
		for i := range 5000 {
			f.record0(t, fmt.Sprint("id", i), v1, 1, 5*time.Second)
		}
		is.Equal(f.links[0].Len(), 5000)
		f.links[0].mu.Lock()
		for _, box := range f.links[0].unsent {
			is.True(len(box.origins) <= maxUnsent)
		}
		f.links[0].mu.Unlock()
		time.Sleep(10 * time.Second)
		for _, l := range f.links {
			is.Equal(l.Len(), 0)
		}
	})
}

// addKeepers starts three state processes.
func (f *fleet) addKeepers(ctx context.Context) {
	f.keepers = make(map[string]*Link)
	var peers []member.Peer
	for _, name := range []string{"state/1", "state/2", "state/3"} {
		f.keepers[name] = NewKeeper()
		go f.keepers[name].Run(ctx)
		peers = append(peers, member.Peer{Name: name, Address: name, DataCenter: "a"})
	}
	for _, l := range f.links {
		l.SetKeepers(peers)
	}
}

// Guards against streams that can't be resumed after all instances were killed while several
// versions serve.
func TestOriginsOutliveAllInstances(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.addKeepers(t.Context())
		for i := range 50 {
			f.record0(t, "id"+strconv.Itoa(i), v1, 1, 10*time.Second)
		}
		synctest.Wait()
		keepers := f.links[0].keepers
		for i := range f.links {
			f.restart(t.Context(), i)
			f.links[i].SetKeepers(keepers)
		}
		for i := range 50 {
			is.Equal(f.links[i%9].Find(t.Context(), "id"+strconv.Itoa(i), "llm").Origin, v1)
		}
		time.Sleep(12 * time.Second)
		for _, keeper := range f.keepers {
			is.Equal(keeper.Len(), 0)
		}
	})
}

// Guards against state processes that a large fleet overwhelms with copies.
func TestKeepersGetABoundedRateOfCopies(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.addKeepers(t.Context())
		others := make([]member.Peer, 1100)
		for i := range others {
			others[i] = member.Peer{Name: "x" + strconv.Itoa(i), Address: "a1", DataCenter: "x"}
		}
		f.links[0].SetPeers(others)
		const seconds, perSecond = 10, 100
		for i := range seconds * perSecond {
			f.record0(t, fmt.Sprint("id", i), v1, 1, 30*time.Second)
			time.Sleep(time.Second / perSecond)
		}
		kept := 0
		for _, keeper := range f.keepers {
			kept += keeper.Len()
		}
		rate := copiesPerKeeper * 3 / 1101.0
		is.True(float64(kept) <= rate*(seconds+keeperBurst.Seconds())+1)
		is.True(float64(kept) >= rate*seconds/2)
	})
}

// Guards against one caller's attempt id that a message can't carry, or that fills it, and keeps the
// copies of all other streams from their holders.
func TestOddAttemptIDDoesNotKeepBackOtherCopies(t *testing.T) {
	for _, odd := range []string{"\xff\xfe", strings.Repeat("x", 1<<20)} {
		inBubble(t, 2, func(t *testing.T, f *fleet) {
			is := is.New(t)
			f.record0(t, odd, v1, 1, 10*time.Second)
			for i := range 20 {
				f.record0(t, "id"+strconv.Itoa(i), v1, 1, 10*time.Second)
			}
			synctest.Wait()
			is.Equal(f.links[0].Failures(), uint64(0))
			f.set("a0", gone)
			for i := range 20 {
				is.Equal(f.links[3].Find(t.Context(), "id"+strconv.Itoa(i), "llm").Origin, v1)
			}
			is.Equal(f.links[3].Find(t.Context(), odd, "llm").Origin, v1)
		})
	}
}

// Guards against control traffic for each stream of a fleet with one version, and against streams
// begun before the second version appeared that can't be resumed after it.
func TestOriginsAreCopiedOnceThereAreTwoVersions(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.see([]string{"v1"}, f.all()...)
		f.record0(t, "id1", v1, 1, 10*time.Second)
		f.record0(t, "ended", v1, 1, 10*time.Second)
		f.links[0].Ended("ended")
		time.Sleep(5 * time.Second)
		is.Equal(f.links[1].Len()+f.links[2].Len()+f.links[4].Len(), 0)
		f.see([]string{"v1", "v2"}, f.all()...)
		f.links[0].SendCopies()
		synctest.Wait()
		f.set("a0", gone)
		is.Equal(f.links[1].Find(t.Context(), "id1", "llm").Origin, v1)
		is.Equal(f.links[1].Find(t.Context(), "ended", "llm").Source, Unknown)
	})
}

// Guards against a fleet that has just started and sends copies for a minute although it has one
// version.
func TestStartedInstanceSendsNoCopiesForOneVersion(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.restart(t.Context(), 0)
		f.see([]string{"v1"}, f.all()...)
		f.record0(t, "id1", v1, 1, 10*time.Second)
		time.Sleep(5 * time.Second)
		for _, l := range f.links[1:] {
			is.Equal(l.Len(), 0)
		}
		f.see([]string{"v1", "v2"}, f.all()...)
		f.links[0].SendCopies()
		synctest.Wait()
		is.Equal(f.links[1].Find(t.Context(), "id1", "llm").Origin, v1)
	})
}

// Guards against streams of a data centre that is cut off from the state processes and that can't be
// resumed there after their instance was killed, although there is one version.
func TestOriginsAreCopiedBeforeTheRecordIsTooOld(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.see([]string{"v1"}, f.all()...)
		f.record0(t, "before", v1, 1, 10*time.Second)
		for i, peer := range f.peers {
			if peer.DataCenter == "a" {
				f.lose(i)
			} else {
				f.set(peer.Name, silent)
			}
		}
		time.Sleep(admission.InferenceLease)
		f.record0(t, "after", v1, 1, 10*time.Second)
		synctest.Wait()
		f.set("a0", gone)
		is.Equal(f.links[1].Find(t.Context(), "before", "llm").Origin, v1)
		is.Equal(f.links[2].Find(t.Context(), "after", "llm").Origin, v1)
	})
}

// record0 records an origin at the first instance.
func (f *fleet) record0(t *testing.T, attempt string, origin streamorigin.Origin, number int, ttl time.Duration) {
	is.New(t).NoErr(f.links[0].Record(t.Context(), attempt, origin, true, number, ttl))
}

// restart replaces an instance by a new one that has its name and no memory.
func (f *fleet) restart(ctx context.Context, instance int) {
	started, mux := New(f.links[instance].options), link.NewMux()
	started.Register(mux)
	started.SetPeers(f.peers)
	f.links[instance], f.muxes[instance] = started, mux
	go started.Run(ctx)
}

// Guards against an instance that has not heard of a new version and resumes its streams at the
// old one, whether or not it reaches the others and whether or not the caller names its attempt.
func TestInstanceBehindOnVersionsDoesNotInferTheOldOne(t *testing.T) {
	for name, cut := range map[string]bool{"connected": false, "cut off": true} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 3, func(t *testing.T, f *fleet) {
				is := is.New(t)
				f.see([]string{"v1"}, f.all()...)
				time.Sleep(10 * streamorigin.MaxTTL)
				const behind = 8
				f.lose(behind)
				f.see([]string{"v1", "v2"}, f.all()[:behind]...)
				time.Sleep(5 * time.Second)
				for i := range 50 {
					f.record0(t, "id"+strconv.Itoa(i), streamorigin.Origin{Service: "llm", Version: "v2"}, 1, 30*time.Second)
				}
				synctest.Wait()
				if cut {
					for _, peer := range f.peers[:behind] {
						f.set(peer.Name, silent)
					}
				}
				for i := range 50 {
					is.True(f.links[behind].Find(t.Context(), "id"+strconv.Itoa(i), "llm").Origin != v1)
				}
				is.True(f.links[behind].Find(t.Context(), "", "llm").Origin != v1)
			})
		})
	}
}

// Guards against a fleet whose instances were all killed and that resumes the streams of a
// version whose servers have left at the one that is listed now.
func TestKilledInstancesDoNotInferTheVersionThatIsLeft(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.see([]string{"v2", "v3"}, f.all()...)
		f.record0(t, "id1", streamorigin.Origin{Service: "llm", Version: "v2"}, 1, 30*time.Second)
		synctest.Wait()
		for i := range f.links {
			f.restart(t.Context(), i)
		}
		time.Sleep(time.Second)
		is.Equal(f.links[1].Find(t.Context(), "id1", "llm").Source, Unknown)
		is.Equal(f.links[1].Find(t.Context(), "", "llm").Source, Unknown)
	})
}

// Guards against an origin that nobody holds since its instance saw one version while others
// saw two, and that an instance which sees the other version infers.
func TestInstanceThatSeesOnlyTheNewVersionDoesNotInferIt(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.see([]string{"v1"}, f.all()...)
		f.restart(t.Context(), 8)
		f.see([]string{"v2"}, 8)
		f.lose(8)
		time.Sleep(5 * time.Second)
		f.record0(t, "id1", v1, 1, 30*time.Second)
		synctest.Wait()
		for _, peer := range f.peers[:8] {
			f.set(peer.Name, silent)
		}
		is.True(f.links[8].Find(t.Context(), "id1", "llm").Origin.Version != "v2")
	})
}

// Guards against operators who can't tell who knew the origin of a resumed stream, or why it wasn't
// inferred.
func TestFindingStatesWhoKnewTheOriginAndWhyItWasNotInferred(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.record0(t, "id1", v1, 1, 10*time.Second)
		synctest.Wait()
		is.True(f.links[0].Copies() > 0)
		f.set("a0", gone)
		finding := f.links[1].Find(t.Context(), "id1", "llm")
		is.Equal(finding.Source, Own) // a1 holds a copy
		is.Equal(finding.Holder, "")
		f.restart(t.Context(), 1)
		finding = f.links[1].Find(t.Context(), "id1", "llm")
		is.Equal(finding.Source, Peer)
		is.True(finding.Holder == "b0" || finding.Holder == "b1" || finding.Holder == "c0" || finding.Holder == "c1")
		is.Equal(finding.Doubt, admission.SeveralVersions)
		is.Equal(f.links[1].Find(t.Context(), "", "").Doubt, admission.SeveralServices)
		f.see([]string{"v1"}, 1)
		is.Equal(f.links[1].Find(t.Context(), "", "llm").Doubt, admission.NoDoubt)
		f.lose(1)
		time.Sleep(admission.InferenceLease)
		is.Equal(f.links[1].Find(t.Context(), "other", "llm").Doubt, admission.TooOld)
	})
}

// Guards against an attempt at another version that is refused since an instance does not answer which
// holds no earlier origin of the stream.
func TestAttemptRefusedForANewHolderThatIsGone(t *testing.T) {
	inBubble(t, 4, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.links[0].SetPeers(slices.DeleteFunc(slices.Clone(f.peers), func(p member.Peer) bool { return p.Name == "a1" }))
		const n = 200
		for i := range n {
			f.record0(t, "id"+strconv.Itoa(i), v1, 1, 30*time.Second)
		}
		synctest.Wait()
		f.set("a1", gone)
		f.links[0].SetPeers(f.peers)
		refused := 0
		v2 := streamorigin.Origin{Service: "llm", Version: "v2"}
		for i := range n {
			if f.links[0].Record(t.Context(), "id"+strconv.Itoa(i), v2, true, 2, 30*time.Second) != nil {
				refused++
			}
		}
		t.Logf("%d of %d attempts refused", refused, n)
		is.Equal(refused, 0)
		f.set("a1", up)
		time.Sleep(2 * sendTimeout)
		f.set("a0", gone)
		for i := range n {
			is.Equal(f.links[1].Find(t.Context(), "id"+strconv.Itoa(i), "llm").Origin, v2)
		}
	})
}

// Guards against streams of a route with several services that can't be resumed at another instance
// while each service has one version: there, nobody can infer where a stream began.
func TestStreamOfARouteWithSeveralServicesIsNotFound(t *testing.T) {
	inBubble(t, 6, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.see([]string{"v1"}, f.all()...)
		const n = 100
		for i := range n {
			is.NoErr(f.links[0].Record(t.Context(), "id"+strconv.Itoa(i), v1, false, 1, 30*time.Second))
		}
		synctest.Wait()
		f.set("a0", gone)
		found := 0
		for i := range n {
			if finding := f.links[1].Find(t.Context(), "id"+strconv.Itoa(i), ""); finding.Origin == v1 {
				found++
			}
		}
		t.Logf("%d of %d streams found", found, n)
		is.Equal(found, n)
	})
}

// Guards against origins that an instance records before it knows others, or too few of them, and that
// are never copied.
func TestOriginsOfAnInstanceThatKnewNoOthersAreNotFound(t *testing.T) {
	for name, known := range map[string]int{"no others": 0, "one other": 2, "others of its data centre": 3} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 3, func(t *testing.T, f *fleet) {
				is := is.New(t)
				f.links[0].SetPeers(f.peers[:known])
				f.record0(t, "id1", v1, 1, 30*time.Second)
				f.record0(t, "ended", v1, 1, 30*time.Second)
				f.links[0].Ended("ended")
				synctest.Wait()
				f.links[0].SetPeers(f.peers)
				synctest.Wait()
				for _, lost := range f.peers[:3] {
					f.set(lost.Name, gone)
				}
				is.Equal(f.links[3].Find(t.Context(), "id1", "llm").Origin, v1)
				is.Equal(f.links[3].Find(t.Context(), "ended", "llm").Source, Unknown)
			})
		})
	}
}

// Guards against origins that an instance records before it knows the state processes, and that are lost
// with all instances.
func TestOriginsOfAnInstanceThatKnewNoKeepersAreNotFound(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.record0(t, "id1", v1, 1, 30*time.Second)
		synctest.Wait()
		f.addKeepers(t.Context())
		synctest.Wait()
		kept := 0
		for _, keeper := range f.keepers {
			kept += keeper.Len()
		}
		is.Equal(kept, 1)
	})
}

// Guards against control traffic for all streams each time that another instance joins or leaves.
func TestCopiesAreNotRepeatedForEachChangeOfTheFleet(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.addKeepers(t.Context())
		f.links[0].SetPeers(f.peers[:3])
		f.record0(t, "id1", v1, 1, 30*time.Second)
		synctest.Wait()
		for _, peer := range f.peers[1:] {
			f.set(peer.Name, gone)
		}
		for known := range 3 {
			f.links[0].SetPeers(f.peers[:known+1])
			synctest.Wait()
		}
		is.Equal(f.links[0].Failures(), uint64(0))
	})
}

// Guards against a second request with an attempt id that begins at another version while all holders
// keep the first one's.
func TestAttemptIDUsedTwiceBeginsAtAnotherVersion(t *testing.T) {
	for name, first := range map[string]int{"later attempt": 2, "first attempt": 1} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 2, func(t *testing.T, f *fleet) {
				is := is.New(t)
				f.record0(t, "id1", v1, first, 10*time.Second)
				synctest.Wait()
				v2 := streamorigin.Origin{Service: "llm", Version: "v2"}
				is.True(f.links[0].Record(t.Context(), "id1", v2, true, 1, 10*time.Second) != nil)
				is.NoErr(f.links[0].Record(t.Context(), "id1", v1, true, 1, 10*time.Second))
				for _, l := range f.links[:2] {
					is.Equal(l.Find(t.Context(), "id1", "llm").Origin, v1)
				}
				time.Sleep(10 * time.Second)
				is.NoErr(f.links[0].Record(t.Context(), "id1", v2, true, 1, 10*time.Second))
				synctest.Wait()
				for _, l := range f.links[:2] {
					is.Equal(l.Find(t.Context(), "id1", "llm").Origin, v2)
				}
			})
		})
	}
}
