package packed

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

func TestTextRoundTrip(t *testing.T) {
	random := make([]byte, 4096)
	source := rand.New(rand.NewPCG(1, 2))
	for i := range random {
		random[i] = byte(source.Uint32())
	}
	for name, text := range map[string][]byte{
		"routes": []byte(strings.Repeat(`{"name":"r","host":"h"},`, 1000)), "random": random, "empty": {}, "short": []byte("{}"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, err := Document(7, text)
			is.NoErr(err)
			is.Equal(d.GetVersion(), uint64(7))
			is.True(len(d.GetContent()) <= len(text))
			got, err := Text(d)
			is.NoErr(err)
			is.Equal(string(got), string(text))
		})
	}
}

// A document that decompresses to more than MaxText, is truncated, or has the encoding
// of another version must be rejected.
func TestInvalidDocumentsAreRejected(t *testing.T) {
	is := is.New(t)
	huge, err := Document(1, make([]byte, MaxText+1))
	is.NoErr(err)
	truncated, err := Document(1, []byte(strings.Repeat("route", 1000)))
	is.NoErr(err)
	truncated.Content = truncated.Content[:len(truncated.Content)/2]
	for name, d := range map[string]*lilacv1.Document{"huge": huge, "torn": truncated, "unknown": {Version: 1, Encoding: 99}} {
		t.Run(name, func(t *testing.T) {
			_, err := Text(d)
			is.New(t).True(err != nil)
		})
	}
}
