package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/ragwortdoor/ragwortdoor/internal/operator"
	"github.com/ragwortdoor/ragwortdoor/internal/waitlog"
)

const (
	flagSince = "since"
	flagModel = "model"
	flagClass = "class"
	flagAbove = "above"
)

// barWidth is the length of the longest bar of a histogram.
const barWidth = 40

func waitCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name: "explain", Usage: "tell why one request waited", ArgsUsage: "REQUEST_ID",
			Description: "The id is in the Ragwortdoor-Request-Id header of the answer. A record is stored within a minute.",
			Action:      explain,
		},
		{
			Name: "late", Usage: "group late requests by what they waited for",
			Flags: []cli.Flag{
				&cli.DurationFlag{Name: flagSince, Value: time.Hour, Usage: "time range that ends now"},
				&cli.StringFlag{Name: flagModel, Usage: "only this model, or \"services/NAME\""},
				&cli.StringFlag{Name: flagClass, Usage: "only this priority class"},
				&cli.DurationFlag{Name: flagAbove, Value: time.Second, Usage: "wait above which a request is late"},
			},
			Action: late,
		},
	}
}

func explain(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1, 1)
	if err != nil {
		return err
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	reply, err := client.Explain(ctx, args[0])
	if err != nil {
		return err
	}
	return show(cmd, reply, func(w io.Writer) {
		for _, line := range reply.Lines {
			fmt.Fprintln(w, line)
		}
		fmt.Fprintf(w, "main cause: %s\n", reply.MainCause)
	})
}

func late(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd, 0, 0); err != nil {
		return err
	}
	if cmd.Duration(flagSince) <= 0 || cmd.Duration(flagAbove) < time.Millisecond {
		return usage("--since and --above must be positive durations such as 90m or 2s")
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	report, err := client.Late(ctx, operator.LateQuery{
		Since: cmd.Duration(flagSince),
		Model: cmd.String(flagModel),
		Class: cmd.String(flagClass),
		Late:  cmd.Duration(flagAbove),
	})
	if err != nil {
		return err
	}
	return show(cmd, report, func(w io.Writer) { writeLate(w, report) })
}

func writeLate(w io.Writer, report *waitlog.LateReport) {
	fmt.Fprintf(w, "%d of %d recorded requests waited longer than %s or were not served, from %s to %s\n",
		report.Late, report.Records, formatMs(int64(report.LateMs)), formatTime(report.SinceUnixMs), formatTime(report.UntilUnixMs))
	if report.BatchesRead < report.Batches {
		fmt.Fprintf(w, "read %d of %d batches: the counts are those of this share; choose a shorter --since for all\n", report.BatchesRead, report.Batches)
	}
	if report.BatchesUnreadable > 0 {
		fmt.Fprintf(w, "%d batches are damaged or have expired: their records are missing here\n", report.BatchesUnreadable)
	}
	for _, group := range report.Groups {
		fmt.Fprintf(w, "\n%s: %d late, %d of them not served, p50 %s, p99 %s, longest %s\n", group.Cause, group.Count,
			group.NotServed, formatMs(group.P50Ms), formatMs(group.P99Ms), formatMs(group.MaxMs))
		writeHistogram(w, group.Histogram)
		fmt.Fprintf(w, "  slowest: %s\n", strings.Join(group.Slowest, " "))
	}
}

func writeHistogram(w io.Writer, buckets []waitlog.Bucket) {
	most := int64(1)
	for _, bucket := range buckets {
		most = max(most, bucket.Count)
	}
	for _, bucket := range buckets {
		// A bucket that is not empty shows at least one mark.
		marks := (bucket.Count*barWidth + most - 1) / most
		fmt.Fprintf(w, "  up to %8s %6d %s\n", formatMs(bucket.UpToMs), bucket.Count, strings.Repeat("#", int(marks)))
	}
}
