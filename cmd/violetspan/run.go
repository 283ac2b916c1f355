package main

import (
	"context"
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

// logLines is how many lines may wait for a slow reader of the log.
const logLines = 2048

type runCmd struct {
	Service string `help:"File of the hosted service, such as deploy/service.json; empty: off." placeholder:"FILE"`
	Verbose bool   `short:"v" name:"verbose" help:"Log debug lines too."`
}

func (c *runCmd) Run() error {
	level := slog.LevelInfo
	if c.Verbose {
		level = slog.LevelDebug
	}
	out := logs.New(os.Stderr, logLines)
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level}))
	p, err := configure(c.Service, log)
	if err != nil {
		return fmt.Errorf("%w: %w", errConfig, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1) // those that come during a reload are one
	signal.Notify(hup, syscall.SIGHUP)
	err = p.Run(ctx, hup, nil)
	out.Close()
	return err
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
		debug.SetMemoryLimit(pf.ResourceLimits().SoftMemoryBytes)
	}
	if service != "" {
		if sv, err = config.LoadService(service, os.Getenv); err != nil {
			return nil, err
		}
	}
	p, err := proxy.New(pf, sv, log)
	if err == nil && pf != nil {
		p.ReadConfig = func() (*config.Platform, error) { return config.FromEnv(os.Getenv) }
	}
	return p, err
}
