// Package planner keeps weights worked out ahead in force in a running proxy: it
// reads an operator's plan, solves anew off the call path for the demand that it
// measures, and hands the module what decide/replan publishes.
package planner

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	jsoniter "github.com/json-iterator/go"

	"violetspan.example/violetspan/decide/plan"
	"violetspan.example/violetspan/decide/replan"
	"violetspan.example/violetspan/internal/strict"
)

// File is a plan as it is kept: the answer with the problem that it answers.
type File struct {
	Format  int           `json:"format"`
	Made    time.Time     `json:"made"`
	ValidS  float64       `json:"valid_s"` // from Made on, seconds
	Gap     float64       `json:"gap"`     // that was asked for
	Sum     string        `json:"sha256"`  // of problem and answer, against slips
	Problem *plan.Problem `json:"problem"`
	Answer  *plan.Answer  `json:"answer"`
}

const (
	format  = 1
	maxFile = 64 << 20
	maxDays = 366
)

var api = jsoniter.Config{EscapeHTML: false, SortMapKeys: true, ValidateJsonRawMessage: true, DisallowUnknownFields: true}.Froze()

func (f *File) sum() (string, error) {
	b, err := api.Marshal([]any{f.Problem, f.Answer})
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:]), err
}

// Write puts a plan into a file, all or nothing.
func (f *File) Write(path string) (err error) {
	f.Format = format
	if f.Sum, err = f.sum(); err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	b, err := api.MarshalIndent(f, "", " ")
	if err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	t, err := os.CreateTemp(filepath.Dir(path), ".plan-*")
	if err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	defer os.Remove(t.Name()) // after the rename there is none
	_, err = t.Write(append(b, '\n'))
	if err = errors.Join(err, t.Sync(), t.Close()); err == nil {
		err = os.Rename(t.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	return nil
}

// Read reads a plan and verifies it. An error names the file and the key.
func Read(path string) (*File, error) {
	b, err := strict.Read(path, maxFile)
	if err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	return Parse(path, b)
}

// Parse reads the text of a plan's file.
func Parse(name string, b []byte) (*File, error) {
	bad := func(key, why string) error { return fmt.Errorf("%s: key %s: %s", name, key, why) }
	f := &File{}
	if err := api.Unmarshal(b, f); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	switch {
	case f.Format != format:
		return nil, bad("format", fmt.Sprintf("%d is not %d", f.Format, format))
	case f.Problem == nil:
		return nil, bad("problem", "missing")
	case f.Answer == nil:
		return nil, bad("answer", "missing")
	case !(f.ValidS > 0 && f.ValidS <= maxDays*86400):
		return nil, bad("valid_s", fmt.Sprintf("%v is not above 0 and at most %d days", f.ValidS, maxDays))
	case !(f.Gap >= 0 && f.Gap <= 0.5):
		return nil, bad("gap", fmt.Sprintf("%v is not from 0 to 0.5", f.Gap))
	}
	if sum, err := f.sum(); err != nil || sum != f.Sum {
		return nil, bad("sha256", "the file was changed after it was written")
	}
	if errs := f.Problem.Check(); len(errs) > 0 {
		return nil, fmt.Errorf("%s: key problem: %w", name, errs[0])
	}
	if _, err := plan.Verify(f.Problem, f.Answer, f.Gap); err != nil {
		return nil, fmt.Errorf("%s: key answer: %w", name, err)
	}
	return f, nil
}

// Left is how long a plan still holds.
func (f *File) Left(now time.Time) time.Duration {
	return f.Made.Add(time.Duration(f.ValidS * float64(time.Second))).Sub(now)
}

// For returns an error if a plan is not for an inventory.
func (f *File) For(base *plan.Problem) error {
	b := *base
	b.Target, b.Costs = f.Problem.Target, f.Problem.Costs // of the plan, not of the inventory
	if !replan.SameExceptDemand(&b, f.Problem) {
		return replan.ErrOtherInventory
	}
	return nil
}
