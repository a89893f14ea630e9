package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// A caller leaves at the moment at which its request is about to be written. The
// entry says "not run"; the HTTP library's writer, a goroutine of its own, has
// the request still in hand. The server must see nothing of it.
func TestNothingIsWrittenAfterTheSeal(t *testing.T) {
	is := is.New(t)
	var ran sync.Map
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { ran.Store(r.URL.Path, true) }))
	client := NewClient()
	var sealed []string
	for i := range 300 {
		ctx, cancel := context.WithCancel(t.Context())
		attempt := &Attempt{}
		path := "/" + strconv.Itoa(i)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+path, strings.NewReader("book"))
		is.NoErr(err)
		if i%2 == 0 {
			attempt.OnWrite = cancel
		} else {
			go cancel()
		}
		resp, err := client.Do(req, attempt)
		if err == nil {
			resp.Body.Close()
		}
		if attempt.Seal() {
			sealed = append(sealed, path)
			is.True(err != nil)
		}
		cancel()
	}
	client.Close()
	server.Close()
	is.True(len(sealed) < 300)
	for _, path := range sealed {
		_, saw := ran.Load(path)
		is.True(!saw)
	}
}

func TestSealAndWriteExcludeEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for range 1000 {
			attempt := &Attempt{}
			var wrote, proved atomic.Bool
			go func() { wrote.Store(attempt.mayWrite()) }()
			go func() { proved.Store(attempt.Seal()) }()
			synctest.Wait()
			is.True(wrote.Load() != proved.Load())
			is.Equal(attempt.Written(), wrote.Load())
		}
	})
}

// A service closes a kept connection while a booking is on its way. net/http
// would send it again by itself, since it carries an Idempotency-Key; the
// service must see it once, also when its body is empty.
func TestLibraryDoesNotRepeatPosts(t *testing.T) {
	for _, body := range []string{"book", ""} {
		t.Run("body "+body, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
				if calls.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
			}))
			defer server.Close()
			client := NewClient()
			defer client.Close()
			for i := range 2 {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader(body))
				is.NoErr(err)
				req.Header.Set("Idempotency-Key", "k")
				req.Header.Set(RequestIDHeader, strconv.Itoa(i))
				resp, err := client.Do(req, &Attempt{})
				is.Equal(err == nil, i == 0)
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}
			is.Equal(calls.Load(), int32(2))
		})
	}
}
