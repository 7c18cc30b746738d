package waitlog

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/requestid"
)

const (
	// defaultMaxBatches bounds the batches that one report reads.
	defaultMaxBatches = 1000
	// lateReads bounds the reads in flight of one report.
	lateReads = 16
	// defaultLateMs is the wait above which a request counts as late.
	defaultLateMs = 1000
)

// Filter chooses the records of a LateReport.
type Filter struct {
	// Model and Class keep only records of that target and priority class;
	// empty keeps all.
	Model string
	Class string
	// Until ends the time range; zero means now.
	Until time.Time
	// LateMs is the wait above which a request counts as late. Default 1000.
	LateMs uint32
	// MaxBatches bounds the objects that are read; beyond it an even share of
	// them is. Default 1000.
	MaxBatches int
}

// Late groups the late requests that arrived since a time by main cause, the
// largest group first. The records of buffered, which a Writer has not stored
// yet, are counted too.
func (r *Reader) Late(ctx context.Context, since time.Time, filter Filter, buffered ...*apiv1.WaitRecord) (*LateReport, error) {
	filter = filter.withDefaults()
	keys, err := r.batchKeys(ctx, since, filter.Until)
	if err != nil {
		return nil, err
	}
	chosen := evenShare(keys, filter.MaxBatches)
	sum := newSummary(filter.LateMs, func(record *apiv1.WaitRecord) bool {
		return filter.keeps(record, since)
	})
	sum.add(buffered)
	if err := r.readAll(ctx, chosen, sum); err != nil {
		return nil, err
	}
	report := sum.finish()
	report.SinceUnixMs, report.UntilUnixMs = since.UnixMilli(), filter.Until.UnixMilli()
	report.Batches, report.BatchesRead = len(keys), len(chosen)
	return report, nil
}

func (f Filter) withDefaults() Filter {
	if f.Until.IsZero() {
		f.Until = time.Now()
	}
	if f.LateMs == 0 {
		f.LateMs = defaultLateMs
	}
	if f.MaxBatches <= 0 {
		f.MaxBatches = defaultMaxBatches
	}
	return f
}

func (f Filter) keeps(record *apiv1.WaitRecord, since time.Time) bool {
	arrived := record.GetArrivedUnixMs()
	inRange := arrived >= since.UnixMilli() && arrived <= f.Until.UnixMilli()
	model := f.Model == "" || record.GetTarget() == f.Model
	class := f.Class == "" || record.GetPriorityClass() == f.Class
	return inRange && model && class
}

// batchKeys lists the batches of each minute of a time range.
func (r *Reader) batchKeys(ctx context.Context, since, until time.Time) ([]string, error) {
	first, last := requestid.Minute(since), requestid.Minute(until)
	if last < first {
		return nil, nil
	}
	lists := make([][]string, last-first+1)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(lateReads)
	for i := range lists {
		group.Go(func() error {
			keys, err := r.objects.List(ctx, minutePrefix(first+int64(i)))
			lists[i] = keys
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	var all []string
	for _, keys := range lists {
		all = append(all, keys...)
	}
	return all, nil
}

// evenShare returns at most limit keys, spread evenly over all.
func evenShare(keys []string, limit int) []string {
	if len(keys) <= limit {
		return keys
	}
	chosen := make([]string, limit)
	for i := range chosen {
		chosen[i] = keys[i*len(keys)/limit]
	}
	return chosen
}

// readAll adds the records of the batches to a summary. Batches that can't be
// read are counted; an object store that does not answer is an error.
func (r *Reader) readAll(ctx context.Context, keys []string, into *summary) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(lateReads)
	for _, key := range keys {
		group.Go(func() error {
			records, err := r.batch(ctx, key)
			if isUnreadable(err) {
				into.addUnreadable()
				return nil
			}
			into.add(records)
			return err
		})
	}
	return group.Wait()
}
