package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/ragwortdoor/ragwortdoor/internal/explain"
)

const (
	flagLog   = "log"
	flagSince = "since"
	flagModel = "model"
	flagAbove = "above"
)

func logFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: flagLog, Required: true, Usage: "`FILE` with a router's standard output, - for standard input; can be repeated"}
}

func logCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name: "explain", Usage: "explain from router logs why a request waited or failed", ArgsUsage: "REQUEST_ID",
			Description: "The request id is in a header of the response. Pass the logs of the router that received\n" +
				"the request and of the router that was the scheduler then, or the logs of all routers.",
			Flags:  []cli.Flag{logFlag()},
			Action: explainRequest,
		},
		{
			Name: "late", Usage: "group the late requests in router logs by cause",
			Flags: []cli.Flag{
				logFlag(),
				&cli.DurationFlag{Name: flagSince, Usage: "only requests that ended less than this duration ago; 0 means all"},
				&cli.StringFlag{Name: flagModel, Usage: "only requests for this model"},
				&cli.DurationFlag{Name: flagAbove, Value: time.Second, Usage: "time to the first byte above which a request is late"},
			},
			Action: late,
		},
		{
			Name: "workspaces", Usage: "show from router logs what workspaces used, and whose requests were refused",
			Flags: []cli.Flag{
				logFlag(),
				&cli.DurationFlag{Name: flagSince, Usage: "only requests that ended less than this duration ago; 0 means all"},
			},
			Action: workspaces,
		},
		{
			Name: "quota", Usage: "show from router logs what a workspace used of its quota in each second", ArgsUsage: "WORKSPACE",
			Flags:  []cli.Flag{logFlag()},
			Action: quota,
		},
	}
}

func workspaces(_ context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd, 0, 0); err != nil {
		return err
	}
	var since time.Time
	switch ago := cmd.Duration(flagSince); {
	case ago < 0:
		return usageErrorf("--since must be a positive duration such as 90m or 2s")
	case ago > 0:
		since = time.Now().Add(-ago)
	}
	lines, err := readLogs(cmd)
	if err != nil {
		return err
	}
	uses := explain.Workspaces(lines, since)
	return writeOutput(cmd, uses, func(w io.Writer) {
		writeRow(w, "WORKSPACE", "REQUESTS", "SERVED", "OVER QUOTA", "NOT SERVED", "COST/S", "MOST IN 1 S", "LONGEST QUOTA WAIT", "MAIN REASON")
		for _, u := range uses {
			writeRow(w, u.Workspace, u.Requests, u.Served, u.OverQuota, u.NotServed, fmt.Sprintf("%.1f", u.CostPerSecond), u.MaxPerSecond, u.LongestWait, orDash(u.MainReason))
		}
	})
}

func quota(_ context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1, 1)
	if err != nil {
		return err
	}
	lines, err := readLogs(cmd)
	if err != nil {
		return err
	}
	seconds := explain.QuotaUse(lines, args[0])
	return writeOutput(cmd, seconds, func(w io.Writer) {
		writeRow(w, "SECOND", "REQUESTS", "COST", "OVER QUOTA")
		for _, s := range seconds {
			writeRow(w, s.At.UTC().Format(time.RFC3339), s.Requests, s.Cost, s.OverQuota)
		}
	})
}

// readLogs reads the log lines of all --log files.
func readLogs(cmd *cli.Command) ([]explain.Line, error) {
	var all []explain.Line
	for _, path := range cmd.StringSlice(flagLog) {
		data, err := readFile(cmd, path)
		if err != nil {
			return nil, err
		}
		lines, skipped, err := explain.Read(strings.NewReader(string(data)))
		if err != nil {
			return nil, usageErrorf("%s: %v", path, err)
		}
		if skipped > 0 {
			fmt.Fprintf(cmd.Root().ErrWriter, "%s: skipped %d lines that are not log lines\n", path, skipped)
		}
		all = append(all, lines...)
	}
	return all, nil
}

func explainRequest(_ context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1, 1)
	if err != nil {
		return err
	}
	lines, err := readLogs(cmd)
	if err != nil {
		return err
	}
	timeline, found := explain.Request(lines, args[0])
	if !found {
		return &NotLoggedError{ID: args[0]}
	}
	return writeOutput(cmd, timeline, func(w io.Writer) {
		for _, step := range timeline.Steps {
			fmt.Fprintln(w, step)
		}
		fmt.Fprintf(w, "main cause: %s\n", timeline.Cause)
	})
}

func late(_ context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd, 0, 0); err != nil {
		return err
	}
	filter := explain.Filter{Model: cmd.String(flagModel), Above: cmd.Duration(flagAbove)}
	if filter.Above < time.Millisecond || cmd.Duration(flagSince) < 0 {
		return usageErrorf("--since and --above must be positive durations such as 90m or 2s")
	}
	if since := cmd.Duration(flagSince); since > 0 {
		filter.Since = time.Now().Add(-since)
	}
	lines, err := readLogs(cmd)
	if err != nil {
		return err
	}
	report := explain.Late(lines, filter)
	return writeOutput(cmd, report, func(w io.Writer) { writeLate(w, report, filter.Above) })
}

func writeLate(w io.Writer, report explain.Report, above time.Duration) {
	fmt.Fprintf(w, "%d of %d requests took longer than %s to their first byte or were not served\n", report.Late, report.Requests, above)
	writeRow(w, "CAUSE", "COUNT", "P50", "P99", "LONGEST", "SLOWEST")
	for _, group := range report.Groups {
		writeRow(w, group.Cause, group.Count, group.P50, group.P99, group.Max, strings.Join(group.Slowest, " "))
	}
}
