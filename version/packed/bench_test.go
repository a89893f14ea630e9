package packed

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
)

// routesText returns n routes with random names, which compress as badly as real ones.
func routesText(n int) []byte {
	var text strings.Builder
	source := rand.New(rand.NewPCG(2, 3))
	word := func() string { return strconv.FormatUint(source.Uint64()>>24, 36) }
	for range n {
		fmt.Fprintf(&text, `{"name":"r-%s","host":"%s.example","pathBegins":"/%s/","routeSort":"idempotent","timeoutMs":2000,"targetLatencyMs":400,"priority":2,"service":"desk","maxAttempts":2,"public":false},`,
			word(), word()[:3], word())
	}
	return []byte(text.String())
}

// BenchmarkDocument measures compressing and decompressing a document, and its size.
func BenchmarkDocument(b *testing.B) {
	for _, routes := range []int{400, 1400, 4200, 14000} {
		text := routesText(routes)
		d, err := Document(1, text)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("pack/routes=%d", routes), func(b *testing.B) {
			for b.Loop() {
				if _, err := Document(1, text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "text-B")
			b.ReportMetric(float64(len(d.GetContent())), "packed-B")
		})
		b.Run(fmt.Sprintf("unpack/routes=%d", routes), func(b *testing.B) {
			for b.Loop() {
				if _, err := Text(d); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
