package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/operator"
)

const (
	flagMessage  = "message"
	flagAuthor   = "author"
	flagExpect   = "expect"
	flagWait     = "wait"
	flagTimeout  = "timeout"
	flagOffline  = "offline"
	flagRevision = "revision"
	flagLimit    = "limit"
)

const (
	defaultWaitTimeout  = 30 * time.Second
	defaultHistoryLimit = 20
)

func configCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name: "validate", Usage: "check an object set without publishing it", ArgsUsage: "FILE",
			Flags:  []cli.Flag{&cli.BoolFlag{Name: flagOffline, Usage: "check without a router, and thus not against the host list"}},
			Action: validate,
		},
		{Name: "apply", Usage: "publish an object set as the next revision", ArgsUsage: "FILE", Flags: publishFlags(), Action: apply},
		{
			Name: "get", Usage: "show the objects in force: all, those of a kind, or a single one", ArgsUsage: "[KIND[/NAME]]",
			Flags:  []cli.Flag{&cli.Uint64Flag{Name: flagRevision, Usage: "revision to show; 0 is the one in force"}},
			Action: get,
		},
		{
			Name: "diff", Usage: "show the changes between two revisions, or between a revision and a file", ArgsUsage: "FILE|REV [REV]",
			Description: "diff FILE      from the revision in force to the file\n" +
				"diff REV       from the revision to the one in force\n" +
				"diff REV REV   from the first revision to the second\n" +
				"diff FILE REV  from the revision to the file",
			Action: diff,
		},
		{
			Name: "history", Usage: "list the published revisions, newest first",
			Flags:  []cli.Flag{&cli.IntFlag{Name: flagLimit, Value: defaultHistoryLimit, Usage: "number of revisions"}},
			Action: history,
		},
		{Name: "rollback", Usage: "publish the objects of an old revision as the next revision", ArgsUsage: "REV", Flags: publishFlags(), Action: rollback},
	}
}

func publishFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagMessage, Aliases: []string{"m"}, Usage: "reason for the change"},
		&cli.StringFlag{Name: flagAuthor, Value: os.Getenv("USER"), Usage: "author of the change"},
		&cli.Uint64Flag{Name: flagExpect, HideDefault: true, Usage: "revision that the new one must follow; by default the one in force when the command starts"},
		&cli.BoolFlag{Name: flagWait, Usage: "wait until every listed router has confirmed the revision"},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultWaitTimeout, Usage: "time limit of --wait"},
	}
}

func validate(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1, 1)
	if err != nil {
		return err
	}
	data, err := readFile(cmd, args[0])
	if err != nil {
		return err
	}
	reply, err := validateSet(ctx, cmd, data)
	if err != nil {
		return err
	}
	if err := writeOutput(cmd, reply, func(w io.Writer) { writeValidation(w, reply) }); err != nil {
		return err
	}
	if len(reply.Problems) > 0 {
		return &operator.Error{Kind: operator.KindInvalid, Message: fmt.Sprintf("%d problems", len(reply.Problems)), Remedy: "fix them and validate again"}
	}
	return nil
}

// validateSet checks an object set on a router, or in this process if --offline
// is set.
func validateSet(ctx context.Context, cmd *cli.Command, data []byte) (*operator.ValidateReply, error) {
	if cmd.Bool(flagOffline) {
		return operator.Validate(data, config.Fleet{}), nil
	}
	client, err := newClient(cmd)
	if err != nil {
		return nil, err
	}
	return client.Validate(ctx, data)
}

func writeValidation(w io.Writer, reply *operator.ValidateReply) {
	for _, problem := range reply.Problems {
		fmt.Fprintf(w, "problem: %s\n", problem)
	}
	writeWarnings(w, reply.Warnings)
	if len(reply.Problems) == 0 {
		fmt.Fprintln(w, "valid")
	}
}

func writeWarnings(w io.Writer, warnings config.Problems) {
	for _, warning := range warnings {
		fmt.Fprintf(w, "warning: %s\n", warning)
	}
}

func get(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 0, 1)
	if err != nil {
		return err
	}
	selected := selector{}
	if len(args) == 1 {
		if selected, err = parseSelector(args[0]); err != nil {
			return err
		}
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	reply, err := client.Objects(ctx, cmd.Uint64(flagRevision))
	if err != nil {
		return err
	}
	return writeObjectsOutput(cmd, reply, selected)
}

func diff(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1, 2)
	if err != nil {
		return err
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	reply, err := requestDiff(ctx, cmd, client, args)
	if err != nil {
		return err
	}
	return writeOutput(cmd, reply, func(w io.Writer) {
		for _, change := range reply.Changes {
			fmt.Fprintln(w, change)
		}
		if len(reply.Changes) == 0 {
			fmt.Fprintln(w, "no changes")
		}
	})
}

func requestDiff(ctx context.Context, cmd *cli.Command, client *operator.Client, args []string) (*operator.DiffReply, error) {
	var other uint64 // 0 means the revision in force
	var err error
	if len(args) == 2 {
		if other, err = parseRevision(args[1]); err != nil {
			return nil, err
		}
	}
	if revision, err := parseRevision(args[0]); err == nil {
		return client.Diff(ctx, revision, other)
	}
	data, err := readFile(cmd, args[0])
	if err != nil {
		return nil, err
	}
	return client.DiffSet(ctx, other, data)
}

func parseRevision(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, usageErrorf("%q is not a revision number: choose one that \"history\" lists", text)
	}
	return n, nil
}

func history(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd, 0, 0); err != nil {
		return err
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	reply, err := client.History(ctx, cmd.Int(flagLimit))
	if err != nil {
		return err
	}
	return writeOutput(cmd, reply, func(w io.Writer) {
		writeRow(w, "REVISION", "TIME", "AUTHOR", "MESSAGE")
		for _, r := range reply.Revisions {
			writeRow(w, r.Revision, formatTime(r.UnixMs), orDash(r.Author), orDash(r.Message))
		}
	})
}
