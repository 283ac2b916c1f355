// Command violetspan is a signalling proxy: it takes calls, sets them up at the
// switches chosen by its controller, and gives each call exactly one final answer.
//
// On the platform it runs without arguments and is configured by the environment
// variables ROUTER_CONFIG, ROUTER_NAME and ROUTER_LISTEN. With --service FILE it also
// offers the hosted service, and only that if ROUTER_CONFIG is not set. Other commands
// solve plans, check inventories, run experiments and manage the identities of a cluster's
// members; --help lists them.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kong"
)

// Exit codes.
const (
	exitFailed = 1
	exitConfig = 2
)

type cli struct {
	Run       runCmd       `cmd:"" default:"withargs" help:"Run the signalling proxy (the default command)."`
	Plan      planCmd      `cmd:"" help:"Compute routes and shares in advance."`
	Lab       labCmd       `cmd:"" help:"Run experiments on an emulated mesh."`
	Inventory inventoryCmd `cmd:"" help:"Check inventory files."`
	Cluster   clusterCmd   `cmd:"" help:"Manage the identities of instances that share duties."`
}

// errConfig marks errors in the user's input: exit code 2.
var errConfig = errors.New("configuration")

func main() {
	var c cli
	parser, err := kong.New(&c, kong.Name("violetspan"), kong.Description("A signalling proxy for a mesh of exchanges."), kong.UsageOnError(), kong.ExplicitGroups(nil))
	if err != nil {
		fmt.Fprintln(os.Stderr, "violetspan:", err)
		os.Exit(exitFailed)
	}
	ctx, err := parser.Parse(normalizeFlags(os.Args[1:]))
	if err != nil {
		fmt.Fprintln(os.Stderr, "violetspan:", err)
		os.Exit(exitConfig)
	}
	switch err := ctx.Run(); {
	case errors.Is(err, errConfig):
		fmt.Fprintln(os.Stderr, "violetspan:", err)
		os.Exit(exitConfig)
	case err != nil:
		fmt.Fprintln(os.Stderr, "violetspan:", err)
		os.Exit(exitFailed)
	}
}

// normalizeFlags turns -service into --service. The single dash was the flag's form before
// the program had commands.
func normalizeFlags(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		if out[i] = a; strings.HasPrefix(a, "-service") {
			out[i] = "-" + a
		}
	}
	return out
}
