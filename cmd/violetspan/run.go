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

// logLines is the number of lines queued for a slow reader of the log.
const logLines = 2048

type runCmd struct {
	Service string `help:"Configuration file of the hosted service, such as deploy/service.json; empty: off." placeholder:"FILE"`
	Verbose bool   `short:"v" name:"verbose" help:"Log at debug level."`
}

func (c *runCmd) Run() error {
	level := slog.LevelInfo
	if c.Verbose {
		level = slog.LevelDebug
	}
	out := logs.New(os.Stderr, logLines)
	log := slog.New(slog.NewTextHandler(out, &slog.HandlerOptions{Level: level}))
	p, err := newProxy(c.Service, log)
	if err != nil {
		return fmt.Errorf("%w: %w", errConfig, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hup := make(chan os.Signal, 1) // signals that arrive during a reload are merged into one
	signal.Notify(hup, syscall.SIGHUP)
	err = p.Run(ctx, hup, nil)
	out.Close()
	return err
}

func newProxy(serviceFile string, log *slog.Logger) (*proxy.Proxy, error) {
	var platform *config.Platform
	var hosted *config.Service
	var err error
	if serviceFile == "" || os.Getenv("ROUTER_CONFIG") != "" {
		if platform, err = config.FromEnv(os.Getenv); err != nil {
			return nil, err
		}
		log = log.With("proxy", platform.Name)
		// Well below the memory use at which the platform kills the process.
		debug.SetMemoryLimit(platform.ResourceLimits().SoftMemoryBytes)
	}
	if serviceFile != "" {
		if hosted, err = config.LoadService(serviceFile, os.Getenv); err != nil {
			return nil, err
		}
	}
	p, err := proxy.New(platform, hosted, log)
	if err == nil && platform != nil {
		p.ReadConfig = func() (*config.Platform, error) { return config.FromEnv(os.Getenv) }
	}
	return p, err
}
