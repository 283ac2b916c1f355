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
	Solve   planSolveCmd   `cmd:"" help:"Compute a plan for an inventory with planned demand."`
	Verify  planVerifyCmd  `cmd:"" help:"Check that a plan is valid and matches the inventory, if one is given."`
	Explain planExplainCmd `cmd:"" help:"Print a plan in readable form."`
}

type planSolveCmd struct {
	Files    []string      `arg:"" help:"Files of one inventory with its demand, in CSV or YAML." type:"path"`
	Out      string        `short:"o" help:"File to write the plan to; without it, the plan is only printed." type:"path" placeholder:"FILE"`
	Gap      float64       `help:"Relative gap allowed between the worth and its proven bound; 0: as small as possible." default:"0"`
	Blocking float64       `help:"Blocking at which a group counts as full." default:"0.2"`
	Tandem   float64       `help:"Cost of a call through a tandem." default:"0.02"`
	Yard     float64       `help:"Cost of a leg between two yards." default:"0.01"`
	Valid    time.Duration `help:"How long the plan is valid." default:"24h"`
	Deadline time.Duration `help:"Time limit for solving." default:"5m"`
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
	answer, err := plan.Solve(p, plan.Options{Gap: c.Gap, Stop: func() bool { return ctx.Err() != nil }})
	if infeasible := planner.AsInfeasible(err); infeasible != nil {
		return errors.Join(planner.ExplainInfeasible(os.Stdout, infeasible), errors.New("no feasible plan"))
	}
	if err != nil {
		return err
	}
	if c.Out != "" {
		f := &planner.File{CreatedAt: time.Now().UTC(), ValidSeconds: c.Valid.Seconds(), Gap: max(c.Gap, 1e-6), Problem: p, Answer: answer}
		if err := f.Write(c.Out); err != nil {
			return err
		}
	}
	return planner.Explain(os.Stdout, p, answer, 10)
}

type planVerifyCmd struct {
	Plan  string   `arg:"" help:"Plan file." type:"existingfile"`
	Files []string `arg:"" optional:"" help:"Files of the inventory that the plan must match." type:"path"`
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
	fmt.Printf("%s: valid: worth %.6g/s, bound %.6g, gap %.3g, expires in %v\n", c.Plan, f.Answer.Worth, f.Answer.Bound, f.Answer.Gap, f.Remaining(time.Now()).Round(time.Second))
	return nil
}

type planExplainCmd struct {
	Plan string `arg:"" help:"Plan file." type:"existingfile"`
	Most int    `help:"Maximum number of lines per list." default:"20"`
}

func (c *planExplainCmd) Run() error {
	f, err := planner.Read(c.Plan)
	if err != nil {
		return fmt.Errorf("%w: %w", errConfig, err)
	}
	return planner.Explain(os.Stdout, f.Problem, f.Answer, max(0, c.Most))
}
