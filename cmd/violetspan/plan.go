package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"violetspan.example/violetspan/decide/plan"
	"violetspan.example/violetspan/internal/inventory"
	"violetspan.example/violetspan/internal/planner"
)

type planCmd struct {
	Solve   planSolveCmd   `cmd:"" help:"Work a plan out for an inventory with planned demand."`
	Verify  planVerifyCmd  `cmd:"" help:"Check that a plan holds, and that it is for an inventory."`
	Explain planExplainCmd `cmd:"" help:"Say what a plan means, for people."`
}

type planSolveCmd struct {
	Files    []string      `arg:"" help:"Inventory and demand, in CSV or YAML; together they are one inventory." type:"path"`
	Out      string        `short:"o" help:"File of the plan; without it the plan is only explained." type:"path" placeholder:"FILE"`
	Gap      float64       `help:"Share by which the worth may miss its proven bound; 0: as exactly as can be." default:"0"`
	Blocking float64       `help:"Blocking at which a group counts as full." default:"0.2"`
	Tandem   float64       `help:"Cost of a call by a tandem." default:"0.02"`
	Yard     float64       `help:"Cost of a leg between two yards." default:"0.01"`
	Valid    time.Duration `help:"How long the plan holds." default:"24h"`
	Deadline time.Duration `help:"Give up after this." default:"5m"`
}

func (c *planSolveCmd) Run() error {
	inv, err := inventory.Load(c.Files...)
	if err != nil {
		return fmt.Errorf("%w: %w", errConfig, err)
	}
	p := &inv.Plan
	p.Target, p.Costs = c.Blocking, plan.Costs{Tandem: c.Tandem, Yard: c.Yard}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, c.Deadline)
	defer cancel()
	a, err := plan.Solve(p, plan.Options{Gap: c.Gap, Stop: func() bool { return ctx.Err() != nil }})
	if no := planner.AsInfeasible(err); no != nil {
		return errors.Join(planner.ExplainInfeasible(os.Stdout, no), errors.New("no answer fits"))
	}
	if err != nil {
		return err
	}
	if c.Out != "" {
		f := &planner.File{CreatedAt: time.Now().UTC(), ValidSeconds: c.Valid.Seconds(), Gap: max(c.Gap, 1e-6), Problem: p, Answer: a}
		if err := f.Write(c.Out); err != nil {
			return err
		}
	}
	return planner.Explain(os.Stdout, p, a, 10)
}

type planVerifyCmd struct {
	Plan  string   `arg:"" help:"The plan's file." type:"existingfile"`
	Files []string `arg:"" optional:"" help:"The inventory that it must be for." type:"path"`
}

func (c *planVerifyCmd) Run() error {
	f, err := planner.Read(c.Plan)
	if err != nil {
		return fmt.Errorf("%w: %w", errConfig, err)
	}
	if len(c.Files) > 0 {
		inv, err := inventory.Load(c.Files...)
		if err != nil {
			return fmt.Errorf("%w: %w", errConfig, err)
		}
		if err := f.CheckInventory(&inv.Plan); err != nil {
			return fmt.Errorf("%s: %w", c.Plan, err)
		}
	}
	fmt.Printf("%s: holds: worth %.6g/s, bound %.6g, gap %.3g, valid for %v more\n", c.Plan, f.Answer.Worth, f.Answer.Bound, f.Answer.Gap, f.Remaining(time.Now()).Round(time.Second))
	return nil
}

type planExplainCmd struct {
	Plan string `arg:"" help:"The plan's file." type:"existingfile"`
	Most int    `help:"Lines of each list." default:"20"`
}

func (c *planExplainCmd) Run() error {
	f, err := planner.Read(c.Plan)
	if err != nil {
		return fmt.Errorf("%w: %w", errConfig, err)
	}
	return planner.Explain(os.Stdout, f.Problem, f.Answer, max(0, c.Most))
}
