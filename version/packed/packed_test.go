package packed

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/matryer/is"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

func TestTextComesBackAsItWas(t *testing.T) {
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
			again, err := Text(d)
			is.NoErr(err)
			is.Equal(string(again), string(text))
		})
	}
}

// Guards against a document that unpacks to more than memory, is torn, or comes
// from another version of the program.
func TestBadDocumentsAreRefused(t *testing.T) {
	is := is.New(t)
	huge, err := Document(1, make([]byte, MaxText+1))
	is.NoErr(err)
	torn, err := Document(1, []byte(strings.Repeat("route", 1000)))
	is.NoErr(err)
	torn.Content = torn.Content[:len(torn.Content)/2]
	for name, d := range map[string]*lilacv1.Document{"huge": huge, "torn": torn, "unknown": {Version: 1, Encoding: 99}} {
		t.Run(name, func(t *testing.T) {
			_, err := Text(d)
			is.New(t).True(err != nil)
		})
	}
}
