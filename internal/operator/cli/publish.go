package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/ragwortdoor/ragwortdoor/internal/operator"
)

// confirmPoll is the time between two looks at the nodes.
const confirmPoll = 500 * time.Millisecond

func apply(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1, 1)
	if err != nil {
		return err
	}
	data, err := readFile(cmd, args[0])
	if err != nil {
		return err
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	return publish(ctx, cmd, client, data, cmd.String(flagMessage))
}

func rollback(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1, 1)
	if err != nil {
		return err
	}
	revision, err := parseRevision(args[0])
	if err != nil {
		return err
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	old, err := client.Objects(ctx, revision)
	if err != nil {
		return err
	}
	message := cmd.String(flagMessage)
	if message == "" {
		message = fmt.Sprintf("rollback to revision %d", old.Revision.Revision)
	}
	return publish(ctx, cmd, client, old.Set, message)
}

// publish puts a set in force and waits for the routers if asked to.
func publish(ctx context.Context, cmd *cli.Command, client *operator.Client, set []byte, message string) error {
	request := operator.ApplyRequest{Set: set, Author: cmd.String(flagAuthor), Message: message}
	if cmd.IsSet(flagExpect) {
		expected := cmd.Uint64(flagExpect)
		request.ExpectRevision = &expected
	}
	reply, err := client.Apply(ctx, request)
	if err != nil {
		return err
	}
	err = show(cmd, reply, func(w io.Writer) {
		writeWarnings(w, reply.Warnings)
		fmt.Fprintf(w, "published revision %d\n", reply.Revision.Revision)
	})
	if err != nil || !cmd.Bool(flagWait) {
		return err
	}
	return waitConfirmed(ctx, cmd, client, reply.Revision.Revision)
}

// waitConfirmed returns once every listed router has confirmed a revision, or a
// *NotConfirmedError after the timeout.
func waitConfirmed(ctx context.Context, cmd *cli.Command, client *operator.Client, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration(flagTimeout))
	defer cancel()
	ticker := time.NewTicker(confirmPoll)
	defer ticker.Stop()
	last := &NotConfirmedError{Revision: revision}
	for {
		status, err := client.Status(ctx)
		if err == nil {
			last.Routers, last.Unconfirmed = status.RouterCount(), status.Unconfirmed(revision)
			if last.Routers > 0 && len(last.Unconfirmed) == 0 {
				fmt.Fprintf(cmd.Root().ErrWriter, "confirmed by %d routers\n", last.Routers)
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return last
		case <-ticker.C:
		}
	}
}
