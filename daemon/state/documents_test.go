package state

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/connection/gateway"
	"github.com/lilacbridge/lilacbridge/connection/link"
	"github.com/lilacbridge/lilacbridge/connection/spreadlink"
	"github.com/lilacbridge/lilacbridge/process/fault"
	"github.com/lilacbridge/lilacbridge/process/ledger"
	"github.com/lilacbridge/lilacbridge/process/settings"
	"github.com/lilacbridge/lilacbridge/version/routing"
)

// immediateLog applies at once, or fails as the test says.
type immediateLog struct {
	machine *Machine
	index   uint64
	err     error
}

func (l *immediateLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	if l.err != nil {
		return nil, l.err
	}
	l.index++
	return l.machine.Apply(l.index, command), nil
}
func (l *immediateLog) Barrier(context.Context) error { return l.err }
func (l *immediateLog) Status() LogStatus             { return LogStatus{IsLeader: l.err == nil} }

// decodeText reads "VERSION text"; a text that says "invalid" has a route
// without a timeout.
func decodeText(content []byte) (*routing.Document, error) {
	number, text, _ := strings.Cut(string(content), " ")
	version, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return nil, fault.New(lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE, "no version")
	}
	d := &routing.Document{Version: version}
	if text == "invalid" {
		d.Routes = []routing.Route{{Name: "r"}}
	}
	return d, nil
}

func newDocuments(t *testing.T) (*documents, *immediateLog) {
	machine := NewMachine(100, ledger.Limits{Retention: time.Hour})
	log := &immediateLog{machine: machine}
	return &documents{
		service: NewService(machine, log, hclog.NewNullLogger()), decode: decodeText, logger: hclog.NewNullLogger(), name: "s1",
		control: netip.MustParseAddrPort("10.0.0.1:8229"),
	}, log
}

// Operators send versions out of order, again, and other texts under a version
// that is held. The highest version must stay, as it was first accepted.
func TestHighestDocumentVersionIsKept(t *testing.T) {
	is := is.New(t)
	d, _ := newDocuments(t)
	ctx := t.Context()
	_, err := d.Get(ctx)
	is.True(fault.Is(err, lilacv1.ErrorKind_ERROR_KIND_NOT_FOUND))
	for _, step := range []struct{ put, held string }{
		{"4 first", "4 first"}, {"9 newer", "9 newer"}, {"4 first", "9 newer"}, {"7 late", "9 newer"},
		{"9 other", "9 newer"}, {"9 newer", "9 newer"}, {"12 newest", "12 newest"},
	} {
		is.NoErr(d.Put(ctx, []byte(step.put)))
		content, err := d.Get(ctx)
		is.NoErr(err)
		is.Equal(string(content), step.held)
	}
	is.Equal(d.service.machine.Revision(), uint64(3))
}

func TestInvalidDocumentsAreNeitherHeldNorAccepted(t *testing.T) {
	is := is.New(t)
	d, _ := newDocuments(t)
	for _, text := range []string{"x", "5 invalid"} {
		is.True(fault.Is(d.Put(t.Context(), []byte(text)), lilacv1.ErrorKind_ERROR_KIND_INVALID_CHANGE))
	}
	is.Equal(d.service.machine.Document(), nil)
}

// A process that does not lead sends the operator to the one that does, on that
// machine's own port for operators; without a leader nothing is promised.
func TestOperatorsAreRedirectedToTheLeader(t *testing.T) {
	is := is.New(t)
	d, log := newDocuments(t)
	log.err = fault.New(lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER, "another leads", fault.WithLeader("10.0.0.4:7340"))
	var moved *gateway.NotLeaderError
	is.True(errors.As(d.Put(t.Context(), []byte("4 first")), &moved))
	is.Equal(moved.Address, "10.0.0.4:8229")
	_, err := d.Get(t.Context())
	is.True(errors.As(err, &moved))
	log.err = fault.New(lilacv1.ErrorKind_ERROR_KIND_NOT_LEADER, "nobody leads")
	is.True(!errors.As(d.Put(t.Context(), []byte("4 first")), &moved))
}

// Hundreds of large documents come in a day. The trail must not hold them all.
func TestAuditTrailBoundsLargeDocuments(t *testing.T) {
	is := is.New(t)
	d, _ := newDocuments(t)
	large := randomText(200 << 10)
	for version := range 100 {
		is.NoErr(d.Put(t.Context(), []byte(strconv.Itoa(version+1)+" "+large)))
	}
	total := 0
	for _, revision := range d.service.machine.Audit(0, 100) {
		total += len(revision.GetChanges()[0].GetSetDocument().GetContent())
	}
	is.True(total <= 2<<20)
	is.Equal(d.service.machine.Document().GetVersion(), uint64(100))
}

// An entry asks for the members of the group and so is named to the others; one
// that asks no more is forgotten.
func TestEntriesDiscoverEachOtherThroughStateProcesses(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	table := newEntryTable(func() time.Time { return now })
	table.record(&lilacv1.StateMember{Name: "e2"})
	now = now.Add(entryTTL / 2)
	table.record(&lilacv1.StateMember{Name: "e1"})
	is.Equal(len(table.list()), 2)
	now = now.Add(entryTTL/2 + time.Second)
	list := table.list()
	is.Equal(len(list), 1)
	is.Equal(list[0].GetName(), "e1")
}

// Guards against a loss of power after which every entry holds the newest revision
// without the document: more documents came than the trail holds, so entries that
// start take a snapshot.
func TestEntryStartedAfterManyDocumentsGetsTheNewest(t *testing.T) {
	is := is.New(t)
	_, all := group(t, 1)
	putDocuments(t, all[0], 30)
	entries := startWatchers(t, all, 3)
	for _, w := range entries {
		is.Equal(waitForRevision(w, 30).Document.GetVersion(), uint64(30))
	}
}

// putDocuments has the process accept versions 1 to n, of which the trail holds
// the newest only.
func putDocuments(t *testing.T, p *process, n int) {
	d := &documents{service: p.service, decode: decodeText, logger: hclog.NewNullLogger(), name: "s1", control: netip.MustParseAddrPort("10.0.0.1:8229")}
	for version := range n {
		is.New(t).NoErr(d.Put(t.Context(), []byte(strconv.Itoa(version+1)+" "+randomText(200<<10))))
	}
	_, held := p.service.machine.Since(0, 1)
	is.New(t).True(!held) // entries must need a snapshot
}

// randomText is text that does not compress, the same each time.
func randomText(n int) string {
	text := make([]byte, n)
	source := rand.New(rand.NewPCG(1, uint64(n)))
	for i := range text {
		text[i] = byte('!' + source.IntN('~'-'!'))
	}
	return string(text)
}

// Guards against a valid document that is refused for its size, or slow to spread:
// 1,400 routes may be added at once, again and again.
func TestDocumentOfManyRoutesIsAcceptedAndPacked(t *testing.T) {
	is := is.New(t)
	d, _ := newDocuments(t)
	text := "1 " + manyRoutes(14_000)
	is.True(len(text) > 2<<20)
	is.NoErr(d.Put(t.Context(), []byte(text)))
	content, err := d.Get(t.Context())
	is.NoErr(err)
	is.Equal(string(content), text)
	is.True(len(d.service.machine.Document().GetContent()) < len(text)/5)
}

// manyRoutes is the text of n routes with names as random as operators' are.
func manyRoutes(n int) string {
	var text strings.Builder
	source := rand.New(rand.NewPCG(2, 3))
	word := func() string { return strconv.FormatUint(source.Uint64()>>24, 36) }
	for range n {
		fmt.Fprintf(&text, `{"name":"r-%s","host":"%s.example","pathBegins":"/%s/","routeSort":"idempotent","timeoutMs":2000,"targetLatencyMs":400,"priority":2,"service":"desk","maxAttempts":2,"public":false},`,
			word(), word()[:3], word())
	}
	return text.String()
}

// counting adds up what streams of the caller bring.
type counting struct {
	link.Caller
	bytes *atomic.Int64
}

type countingStream struct {
	link.Stream
	bytes *atomic.Int64
}

func (c counting) Open(ctx context.Context, method string, req proto.Message) (link.Stream, error) {
	stream, err := c.Caller.Open(ctx, method, req)
	return countingStream{stream, c.bytes}, err
}

func (s countingStream) Recv(m proto.Message) error {
	err := s.Stream.Recv(m)
	s.bytes.Add(int64(proto.Size(m)))
	return err
}

// Guards against an entry that starts, or was cut off, and is sent every large
// document since, of which it needs the last alone.
func TestOnlyTheNewestOfManyLargeDocumentsIsSent(t *testing.T) {
	is := is.New(t)
	_, all := group(t, 1)
	d := &documents{service: all[0].service, decode: decodeText, logger: hclog.NewNullLogger(), name: "s1", control: netip.MustParseAddrPort("10.0.0.1:8229")}
	const size = 100 << 10
	for version := range 8 {
		is.NoErr(d.Put(t.Context(), []byte(strconv.Itoa(version+1)+" "+randomText(size))))
	}
	_, held := all[0].service.machine.Since(0, 1)
	is.True(held) // the trail holds them all
	caller := dialer(t)(all[0].peer.Address.Value)
	var sent atomic.Int64
	w := spreadlink.NewWatcher(spreadlink.Options{
		Instance: "1", DataCenter: "dakar-a", StatePeers: []settings.Peer{all[0].peer},
		Dial: func(string) link.Caller { return counting{caller, &sent} },
	})
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	is.Equal(waitForRevision(w, 8).Document.GetVersion(), uint64(8))
	is.NoErr(d.Put(t.Context(), []byte("9 "+randomText(size))))
	is.Equal(waitForRevision(w, 9).Document.GetVersion(), uint64(9))
	stop()
	<-done
	is.True(sent.Load() < 3*size)
}
