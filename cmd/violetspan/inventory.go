package main

import (
	"errors"
	"fmt"
	"os"

	"violetspan.example/violetspan/internal/inventory"
)

type inventoryCmd struct {
	Check inventoryCheckCmd `cmd:"" help:"Print all errors of an inventory."`
}

type inventoryCheckCmd struct {
	Files []string `arg:"" help:"Files of one inventory, in CSV or YAML." type:"path"`
}

func (c *inventoryCheckCmd) Run() error {
	inv, err := inventory.Load(c.Files...)
	var all inventory.Errors
	if errors.As(err, &all) {
		for _, e := range all {
			fmt.Fprintln(os.Stderr, e)
		}
		return fmt.Errorf("%w: %d errors", errConfig, len(all))
	} else if err != nil {
		return fmt.Errorf("%w: %w", errConfig, err)
	}
	p := &inv.Plan
	fmt.Printf("%d switches, %d tenants, %d groups, %d classes, %d demands: no errors\n", len(inv.Switches), len(inv.Tenants), len(p.Groups), len(p.Classes), len(p.Demands))
	return nil
}
