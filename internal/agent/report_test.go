package agent

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

func TestThreshold(t *testing.T) {
	for _, tc := range []struct {
		name       string
		t          threshold
		last, next uint32
		want       bool
	}{
		{"below requests", threshold{requests: 2}, 5, 6, false},
		{"at requests", threshold{requests: 2}, 5, 3, true},
		{"requests decide while few are in flight", threshold{requests: 2, percent: 25}, 4, 6, true},
		{"below share", threshold{requests: 2, percent: 25}, 40, 49, false},
		{"at share", threshold{requests: 2, percent: 25}, 40, 50, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is.New(t).Equal(tc.t.passed(tc.last, tc.next), tc.want)
		})
	}
}

// BenchmarkReportFilter counts the reports of an hour of one replica that gets
// 1.36 requests a second of 13 s each, and how far off the router's number is.
func BenchmarkReportFilter(b *testing.B) {
	const (
		steps      = 3600 * 10 // of 100 ms
		arrival    = 1.36 / 10 // chance a step
		departure  = 1.0 / 130 // chance a step for each request
		cachedKeys = 20
	)
	for _, tc := range []struct {
		name  string
		delta threshold
		every int // steps between two reports, 0 for reports on change
	}{
		{"each 1s", threshold{requests: 1 << 30}, 10},
		{"each 5s", threshold{requests: 1 << 30}, 50},
		{"change of 1", threshold{requests: 1}, 300},
		{"change of 2", threshold{requests: 2}, 300},
		{"change of 2 or 25%", threshold{requests: 2, percent: 25}, 300},
	} {
		b.Run(tc.name, func(b *testing.B) {
			var reports, bytes, whole, off int
			for b.Loop() {
				reports, bytes, whole, off = 0, 0, 0, 0
				random := rand.New(rand.NewPCG(1, 2))
				replica := &apiv1.ReplicaReport{Model: "model-042", Generation: 900, State: apiv1.ReplicaState_REPLICA_STATE_READY}
				report := &apiv1.LoadReport{Host: "server-00042", BootId: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", ConfigRevision: 90_000, TableRevision: 9_000_000, Replicas: []*apiv1.ReplicaReport{replica}}
				for i := range cachedKeys {
					report.Cached = append(report.Cached, &apiv1.CachedCheckpoint{Checkpoint: fmt.Sprintf("checkpoints/model-%03d/v1", i)})
				}
				wholeSize := proto.Size(report)
				report.Cached = nil
				last := proto.CloneOf(report)
				for step := range steps {
					if random.Float64() < arrival {
						replica.InFlight++
					}
					for range replica.InFlight {
						if random.Float64() < departure {
							replica.InFlight--
						}
					}
					if step%tc.every == 0 || worthReporting(last, report, tc.delta) {
						reports++
						bytes += proto.Size(report)
						whole += wholeSize
						last = proto.CloneOf(report)
					}
					off += int(max(replica.InFlight, last.Replicas[0].InFlight) - min(replica.InFlight, last.Replicas[0].InFlight))
				}
			}
			b.ReportMetric(float64(reports)/3600, "reports/s")
			b.ReportMetric(float64(bytes)/3600, "B/s")
			b.ReportMetric(float64(whole)/3600, "B/s-with-cached")
			b.ReportMetric(float64(off)/steps, "requests-off")
		})
	}
}
