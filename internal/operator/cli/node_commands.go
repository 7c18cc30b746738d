package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/ragwortdoor/ragwortdoor/internal/operator"
)

const flagUndo = "undo"

func nodeCommands() []*cli.Command {
	return []*cli.Command{
		{Name: "status", Usage: "show the revision in force and the state of each node", Action: status},
		{
			Name: "drain", Usage: "drain a host, so that it takes no new work", ArgsUsage: "HOST",
			Flags: []cli.Flag{
				&cli.BoolFlag{Name: flagUndo, Usage: "end the drain"},
				&cli.StringFlag{Name: flagAuthor, Value: os.Getenv("USER"), Usage: "author of the change"},
			},
			Action: drain,
		},
	}
}

func status(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd, 0, 0); err != nil {
		return err
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	reply, err := client.Status(ctx)
	if err != nil {
		return err
	}
	return writeOutput(cmd, reply, func(w io.Writer) { writeStatus(w, reply) })
}

func writeStatus(w io.Writer, reply *operator.StatusReply) {
	fmt.Fprintf(w, "revision %d\n", reply.Revision)
	writeRow(w, "HOST", "ROLE", "FAILURE DOMAIN", "ADDRESS", "REVISION", "STATE", "PROBLEM")
	for _, node := range reply.Nodes {
		revision := "-"
		if node.IsRouter() {
			revision = fmt.Sprint(node.ConfigRevision)
		}
		writeRow(w, node.Host, node.Role, orDash(node.FailureDomain), orDash(node.Address), revision, nodeState(node), orDash(node.Problem))
	}
}

func nodeState(node operator.NodeStatus) string {
	switch {
	case node.Draining:
		return "draining"
	case node.Scheduler:
		return "live, scheduler"
	}
	return "live"
}

func drain(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1, 1)
	if err != nil {
		return err
	}
	client, err := newClient(cmd)
	if err != nil {
		return err
	}
	reply, err := client.Drain(ctx, args[0], cmd.String(flagAuthor), !cmd.Bool(flagUndo))
	if err != nil {
		return err
	}
	return writeOutput(cmd, reply, func(w io.Writer) {
		if !reply.Draining {
			fmt.Fprintf(w, "%s takes new work again\n", reply.Host)
			return
		}
		fmt.Fprintf(w, "%s takes no new work\n", reply.Host)
	})
}
