// Command wirehost runs the decision module on the simulator's wire, on standard
// input and output. With -policy it runs a plain decider in its place, for
// comparisons: even and direct are those of the emulated mesh.
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
	mk, ok := map[string]routing.Factory{"module": routing.NewPolicy, "even": mesh.Even, "direct": mesh.Direct}[*policy]
	if !ok {
		fmt.Fprintf(os.Stderr, "wirehost: -policy: %q is none of module, even and direct\n", *policy)
		os.Exit(2)
	}
	if err := wire.Serve(os.Stdin, os.Stdout, os.Stderr, mk); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
