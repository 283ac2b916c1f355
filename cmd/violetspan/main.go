// Command violetspan is a signalling proxy: it takes calls, sets them up at the
// switches that its decision module chooses, and gives each one final answer.
//
// On the platform it is started without arguments and configured by the variables
// ROUTER_CONFIG, ROUTER_NAME and ROUTER_LISTEN. With --service FILE it also offers
// the hosted service, on its own if ROUTER_CONFIG is not set. Its other commands
// work out plans, check inventories and run experiments; --help lists them.
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
	Run       runCmd       `cmd:"" default:"withargs" help:"Serve as a signalling proxy (without a command, this one)."`
	Plan      planCmd      `cmd:"" help:"Work out routes and shares ahead of time."`
	Lab       labCmd       `cmd:"" help:"Run experiments on an emulated mesh."`
	Inventory inventoryCmd `cmd:"" help:"Look at inventory files."`
	Cluster   clusterCmd   `cmd:"" help:"Identities of instances that share duties."`
}

// errConfig marks errors of what the user wrote: exit code 2.
var errConfig = errors.New("configuration")

func main() {
	var c cli
	k, err := kong.New(&c, kong.Name("violetspan"), kong.Description("A signalling proxy for a mesh of exchanges."), kong.UsageOnError(), kong.ExplicitGroups(nil))
	if err != nil {
		fmt.Fprintln(os.Stderr, "violetspan:", err)
		os.Exit(exitFailed)
	}
	ctx, err := k.Parse(dashes(os.Args[1:]))
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

// dashes lets -service do what it did before there were commands.
func dashes(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		if out[i] = a; strings.HasPrefix(a, "-service") {
			out[i] = "-" + a
		}
	}
	return out
}
