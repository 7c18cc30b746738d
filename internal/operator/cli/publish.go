package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/ragwortdoor/ragwortdoor/internal/operator"
)

// confirmPollInterval is the interval of the status queries of apply --wait.
const confirmPollInterval = 500 * time.Millisecond

// minStatusTimeout is the least time that the first of these queries gets. A router
// answers it after a second at most, even if others don't respond to it.
const minStatusTimeout = 10 * time.Second

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

// publish publishes an object set and, with --wait, waits for the routers to
// confirm it.
func publish(ctx context.Context, cmd *cli.Command, client *operator.Client, set []byte, message string) error {
	req := operator.ApplyRequest{Set: set, Author: cmd.String(flagAuthor), Message: message}
	if cmd.IsSet(flagExpect) {
		expected := cmd.Uint64(flagExpect)
		req.ExpectRevision = &expected
	}
	reply, err := client.Apply(ctx, req)
	if err != nil {
		return err
	}
	err = writeOutput(cmd, reply, func(w io.Writer) {
		writeWarnings(w, reply.Warnings)
		fmt.Fprintf(w, "published revision %d\n", reply.Revision.Revision)
	})
	if err != nil || !cmd.Bool(flagWait) {
		return err
	}
	return waitForConfirmation(ctx, cmd, client, reply.Revision.Revision)
}

// waitForConfirmation returns once every listed router has confirmed a revision,
// or a *NotConfirmedError after the timeout. The first status query may outlast a
// short timeout, so that the error can name the routers.
func waitForConfirmation(ctx context.Context, cmd *cli.Command, client *operator.Client, revision uint64) error {
	timeout := cmd.Duration(flagTimeout)
	waitCtx, cancelWait := context.WithTimeout(ctx, timeout)
	defer cancelWait()
	queryCtx, cancelFirst := context.WithTimeout(ctx, max(timeout, minStatusTimeout))
	defer cancelFirst()
	ticker := time.NewTicker(confirmPollInterval)
	defer ticker.Stop()
	notConfirmed := &NotConfirmedError{Revision: revision}
	for {
		status, err := client.Status(queryCtx)
		queryCtx = waitCtx
		notConfirmed.StatusErr = err
		if err == nil {
			notConfirmed.Routers, notConfirmed.Unconfirmed = status.RouterCount(), status.Unconfirmed(revision)
			if notConfirmed.Routers > 0 && len(notConfirmed.Unconfirmed) == 0 {
				fmt.Fprintf(cmd.Root().ErrWriter, "confirmed by %d routers\n", notConfirmed.Routers)
				return nil
			}
		}
		select {
		case <-waitCtx.Done():
			return notConfirmed
		case <-ticker.C:
		}
	}
}
