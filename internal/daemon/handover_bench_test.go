package daemon

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// BenchmarkHandover counts the assignments that a sidecar gets for each change of
// the configuration while 14 routers watch it.
func BenchmarkHandover(b *testing.B) {
	const (
		routers = 14
		changes = 5
		settle  = 4 * time.Second // longer than the last router waits for its turn
	)
	d := deploy(b, deploymentOptions{routers: routers, engines: []standin.EngineKnobs{testKnobs()}, set: testSet(2)})
	time.Sleep(settle)
	for b.Loop() {
		before := d.assignments(b)
		for i := range changes {
			set := testSet(2)
			set.GetModels()[0].MaxQueue = uint32(100 + i)
			d.publish(set)
			time.Sleep(settle)
		}
		b.ReportMetric(float64(d.assignments(b)-before)/changes, "assignments/change")
	}
}

// assignments counts those that the first sidecar has logged.
func (d *deployment) assignments(b *testing.B) int {
	data, err := os.ReadFile(filepath.Join(d.dir, d.sidecars[0].name+".log"))
	if err != nil {
		b.Fatal(err)
	}
	return bytes.Count(data, []byte("msg=slots"))
}
