// Command violetspan is a signalling proxy: it takes calls, sets them up at the
// switches that its decision module chooses, and gives each one final answer.
//
// On the platform it is started without flags and configured by the variables
// ROUTER_CONFIG, ROUTER_NAME and ROUTER_LISTEN. With -service FILE it also
// offers the hosted service, on its own if ROUTER_CONFIG is not set.
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"violetspan.example/violetspan/internal/config"
	"violetspan.example/violetspan/internal/logs"
	"violetspan.example/violetspan/internal/proxy"
)

// Exit codes.
const (
	exitFailed = 1
	exitConfig = 2
)

// logLines is how many lines may wait for a slow reader of the log.
const logLines = 2048

func main() {
	service := flag.String("service", "", "file of the hosted service, such as deploy/service.json; empty: off")
	verbose := flag.Bool("v", false, "log debug lines too")
	flag.Parse()
	level := slog.LevelInfo
	if *verbose {
		level = slog.LevelDebug
	}
	out := logs.New(os.Stderr, logLines)
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level}))
	p, err := configure(*service, log)
	if err != nil {
		fmt.Fprintln(os.Stderr, "violetspan: configuration:", err)
		os.Exit(exitConfig)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	err = p.Run(ctx, hups(ctx), nil)
	out.Close()
	if err != nil {
		fmt.Fprintln(os.Stderr, "violetspan:", err)
		os.Exit(exitFailed)
	}
}

func configure(service string, log *slog.Logger) (*proxy.Proxy, error) {
	var pf *config.Platform
	var sv *config.Service
	var err error
	if service == "" || os.Getenv("ROUTER_CONFIG") != "" {
		if pf, err = config.FromEnv(os.Getenv); err != nil {
			return nil, err
		}
		log = log.With("proxy", pf.Name)
		// Collect garbage harder well before the platform would kill for memory.
		debug.SetMemoryLimit(pf.Bounds().Soft)
	}
	if service != "" {
		if sv, err = config.LoadService(service, os.Getenv); err != nil {
			return nil, err
		}
	}
	p, err := proxy.New(pf, sv, log)
	if err == nil && pf != nil {
		p.Reread = func() (*config.Platform, error) { return config.FromEnv(os.Getenv) }
	}
	return p, err
}

// hups turns SIGHUP into requests to reload; those that come during one are one.
func hups(ctx context.Context) <-chan struct{} {
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGHUP)
	out := make(chan struct{})
	go func() {
		for {
			select {
			case <-sig:
				out <- struct{}{}
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}
