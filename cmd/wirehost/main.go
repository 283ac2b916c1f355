// Command wirehost runs the decision module on the simulator's wire, on standard
// input and output. With -policy it runs a plain decider in its place, for
// comparisons: even and direct are those of the emulated mesh.
package main

import (
	"flag"
	"fmt"
	"os"

	"violetspan.example/violetspan/brain"
	"violetspan.example/violetspan/internal/mesh"
	"violetspan.example/violetspan/internal/wire"
)

func main() {
	policy := flag.String("policy", "module", "module, even or direct")
	flag.Parse()
	mk := wire.Maker(wire.New)
	switch *policy {
	case "module":
	case "even":
		mk = func(s brain.Settings, seed uint64) (wire.Decider, error) { return mesh.Even(s, seed) }
	case "direct":
		mk = func(s brain.Settings, seed uint64) (wire.Decider, error) { return mesh.Direct(s, seed) }
	default:
		fmt.Fprintf(os.Stderr, "wirehost: -policy: %q is none of module, even and direct\n", *policy)
		os.Exit(2)
	}
	if err := wire.Serve(os.Stdin, os.Stdout, os.Stderr, mk); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
