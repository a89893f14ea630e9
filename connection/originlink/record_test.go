package originlink

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/member"
	"github.com/lilacbridge/lilacbridge/process/streamorigin"
	"github.com/lilacbridge/lilacbridge/version/admission"
)

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
