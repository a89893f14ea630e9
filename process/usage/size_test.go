package usage

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
)

// BenchmarkReportSize reports the size of an instance's report with two open windows, and the
// leader's time to merge it.
func BenchmarkReportSize(b *testing.B) {
	for _, teams := range []int{24, 500} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			now := start
			counter := NewCounter(windowLength, func() time.Time { return now })
			counter.SetTime(now, now.UnixMicro())
			for range 2 {
				for team := range teams {
					for range 30 {
						counter.Add(fmt.Sprintf("team%03d", team))
					}
				}
				now = now.Add(windowLength)
			}
			windows, until := counter.Open()
			report := &lilacv1.InstanceReport{Instance: "entry-dakar-a-1", Incarnation: "entry-dakar-a-1/ABCDEFGHIJKLMNOPQRSTUVWXYZ", ClockUnixUs: now.UnixMicro(), Windows: windows, CountedUntilUnixUs: until}
			c := NewCollector(now, timing)
			for b.Loop() {
				c.Report(now, report)
			}
			b.ReportMetric(float64(proto.Size(report)), "bytes")
		})
	}
}
