// Command wirehost serves the simulator's text protocol on standard input and output with
// the routing controller. The flag -policy selects the policy: module, the default, is the
// routing controller; even and direct are simple policies of package mesh for comparison.
package main

import (
	"flag"
	"fmt"
	"os"

	"violetspan.example/violetspan/internal/mesh"
	"violetspan.example/violetspan/internal/wire"
	"violetspan.example/violetspan/routing"
)

func main() {
	policy := flag.String("policy", "module", "module, even or direct")
	flag.Parse()
	factory, ok := map[string]routing.Factory{"module": routing.NewPolicy, "even": mesh.NewEvenPolicy, "direct": mesh.NewDirectPolicy}[*policy]
	if !ok {
		fmt.Fprintf(os.Stderr, "wirehost: -policy: %q is none of module, even and direct\n", *policy)
		os.Exit(2)
	}
	if err := wire.Serve(os.Stdin, os.Stdout, os.Stderr, factory); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
