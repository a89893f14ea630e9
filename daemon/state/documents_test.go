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

// immediateLog applies commands at once, or fails with err if set.
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

// decodeText decodes "VERSION text"; the text "invalid" yields a route without a timeout.
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

// Operators send versions out of order, repeatedly, and with different content under an
// accepted version. The highest version must be kept as it was first accepted.
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

// A process that does not lead must redirect operators to the leader's address with the
// port for operators. Without a known leader it must not redirect.
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

// Hundreds of large documents may be accepted in a day. The audit trail must not keep all
// of them.
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

// An entry that requests the members must be listed to the other entries, and removed some
// time after its last request.
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

// More documents have been accepted than the audit trail holds, so entries that start get a
// snapshot. It must include the document; otherwise all entries would lack it after a power
// failure.
func TestEntryStartedAfterManyDocumentsGetsTheNewest(t *testing.T) {
	is := is.New(t)
	_, all := group(t, 1)
	putDocuments(t, all[0], 30)
	entries := startWatchers(t, all, 3)
	for _, w := range entries {
		is.Equal(waitForRevision(w, 30).Document.GetVersion(), uint64(30))
	}
}

// putDocuments puts versions 1 to n of a large document, of which the audit trail holds
// only the newest.
func putDocuments(t *testing.T, p *process, n int) {
	d := &documents{service: p.service, decode: decodeText, logger: hclog.NewNullLogger(), name: "s1", control: netip.MustParseAddrPort("10.0.0.1:8229")}
	for version := range n {
		is.New(t).NoErr(d.Put(t.Context(), []byte(strconv.Itoa(version+1)+" "+randomText(200<<10))))
	}
	_, held := p.service.machine.Since(0, 1)
	is.New(t).True(!held) // entries need a snapshot
}

// randomText returns incompressible text of n bytes; deterministic.
func randomText(n int) string {
	text := make([]byte, n)
	source := rand.New(rand.NewPCG(1, uint64(n)))
	for i := range text {
		text[i] = byte('!' + source.IntN('~'-'!'))
	}
	return string(text)
}

// A valid document must not be refused because of its size, and must be compressed for
// distribution: operators may repeatedly add 1,400 routes at once.
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

// manyRoutes returns the text of n routes with random names, like those of operators.
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

// An entry starts or reconnects after several large documents have been accepted. Only the
// newest must be sent to it.
func TestOnlyTheNewestOfManyLargeDocumentsIsSent(t *testing.T) {
	is := is.New(t)
	_, all := group(t, 1)
	d := &documents{service: all[0].service, decode: decodeText, logger: hclog.NewNullLogger(), name: "s1", control: netip.MustParseAddrPort("10.0.0.1:8229")}
	const size = 100 << 10
	for version := range 8 {
		is.NoErr(d.Put(t.Context(), []byte(strconv.Itoa(version+1)+" "+randomText(size))))
	}
	_, held := all[0].service.machine.Since(0, 1)
	is.True(held) // the audit trail holds all of them
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
