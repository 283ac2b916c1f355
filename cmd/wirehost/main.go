// Command wirehost runs violetspan controllers on the bench's wire: events on
// standard input, actions on standard output.
package main

import (
	"fmt"
	"os"

	"violetspan.example/violetspan/internal/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout, os.Stderr, wire.New); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
