// Package planner keeps a routing plan in force in a running proxy: it reads an operator's
// plan file, solves for a new plan off the call path for the measured demand, and passes
// the plans that decide/replan publishes to the controller.
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

// File is the content of a plan file: an answer and the problem that it solves.
type File struct {
	Format       int           `json:"format"`
	CreatedAt    time.Time     `json:"made"`
	ValidSeconds float64       `json:"valid_s"` // validity from CreatedAt on, in seconds
	Gap          float64       `json:"gap"`     // requested optimality gap, relative
	Checksum     string        `json:"sha256"`  // of Problem and Answer; detects accidental changes
	Problem      *plan.Problem `json:"problem"`
	Answer       *plan.Answer  `json:"answer"`
}

const (
	fileFormat   = 1
	maxFileBytes = 64 << 20
	maxValidDays = 366
)

var codec = jsoniter.Config{EscapeHTML: false, SortMapKeys: true, ValidateJsonRawMessage: true, DisallowUnknownFields: true}.Froze()

func (f *File) checksum() (string, error) {
	b, err := codec.Marshal([]any{f.Problem, f.Answer})
	digest := sha256.Sum256(b)
	return hex.EncodeToString(digest[:]), err
}

// Write writes the plan to path atomically. It sets Format and Checksum.
func (f *File) Write(path string) (err error) {
	f.Format = fileFormat
	if f.Checksum, err = f.checksum(); err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	b, err := codec.MarshalIndent(f, "", " ")
	if err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	temp, err := os.CreateTemp(filepath.Dir(path), ".plan-*")
	if err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	defer os.Remove(temp.Name()) // no effect after the rename
	_, err = temp.Write(append(b, '\n'))
	if err = errors.Join(err, temp.Sync(), temp.Close()); err == nil {
		err = os.Rename(temp.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	return nil
}

// Read reads and verifies a plan file. Errors name the file and, where possible, the key.
func Read(path string) (*File, error) {
	b, err := strict.ReadFile(path, maxFileBytes)
	if err != nil {
		return nil, fmt.Errorf("plan: %w", err)
	}
	return Parse(path, b)
}

// Parse parses and verifies the content of a plan file. The name is used in errors.
func Parse(name string, b []byte) (*File, error) {
	keyError := func(key, reason string) error { return fmt.Errorf("%s: key %s: %s", name, key, reason) }
	f := &File{}
	if err := codec.Unmarshal(b, f); err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	switch {
	case f.Format != fileFormat:
		return nil, keyError("format", fmt.Sprintf("%d is not %d", f.Format, fileFormat))
	case f.Problem == nil:
		return nil, keyError("problem", "missing")
	case f.Answer == nil:
		return nil, keyError("answer", "missing")
	case !(f.ValidSeconds > 0 && f.ValidSeconds <= maxValidDays*86400):
		return nil, keyError("valid_s", fmt.Sprintf("%v is not above 0 and at most %d days", f.ValidSeconds, maxValidDays))
	case !(f.Gap >= 0 && f.Gap <= 0.5):
		return nil, keyError("gap", fmt.Sprintf("%v is not from 0 to 0.5", f.Gap))
	}
	if checksum, err := f.checksum(); err != nil || checksum != f.Checksum {
		return nil, keyError("sha256", "the file was changed after it was written")
	}
	if errs := f.Problem.Check(); len(errs) > 0 {
		return nil, fmt.Errorf("%s: key problem: %w", name, errs[0])
	}
	if _, err := plan.Verify(f.Problem, f.Answer, f.Gap); err != nil {
		return nil, fmt.Errorf("%s: key answer: %w", name, err)
	}
	return f, nil
}

// Remaining returns how long the plan stays valid from now on; negative if it has expired.
func (f *File) Remaining(now time.Time) time.Duration {
	return f.CreatedAt.Add(time.Duration(f.ValidSeconds * float64(time.Second))).Sub(now)
}

// CheckInventory returns replan.ErrOtherInventory if the plan was made for another
// inventory.
func (f *File) CheckInventory(inventory *plan.Problem) error {
	expected := *inventory
	expected.Target, expected.Costs = f.Problem.Target, f.Problem.Costs // not part of the inventory
	if !replan.SameExceptDemand(&expected, f.Problem) {
		return replan.ErrOtherInventory
	}
	return nil
}
