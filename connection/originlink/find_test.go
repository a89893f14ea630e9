package originlink

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lilacbridge/lilacbridge/process/streamorigin"
	"github.com/lilacbridge/lilacbridge/version/admission"
)

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
