// Command violetspan is a signalling proxy: it takes calls, sets them up at the
// switches that its decision module chooses, and gives each one final answer.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"violetspan.example/violetspan/internal/config"
	"violetspan.example/violetspan/internal/proxy"
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	cfg, err := config.FromEnv(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "violetspan: configuration:", err)
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := proxy.Run(ctx, cfg, log); err != nil {
		fmt.Fprintln(os.Stderr, "violetspan:", err)
		os.Exit(1)
	}
}
