package platform

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"violetspan.example/violetspan/internal/core"
	"violetspan.example/violetspan/internal/sig"
)

// SetUpRules is what a set-up must look like. Whatever differs is answered here: a
// switch closes its connection on what it can't read, with all calls on it.
type SetUpRules struct {
	Classes   map[string]Class
	Tenants   map[string]bool // nil: any
	DestCount int             // destinations are numbered below this
}

// Class is what set-ups of a class have.
type Class struct {
	Index   int
	Width   int           // 0: any up to maxWidth
	MaxWait time.Duration // its callers wait no longer than this
}

const maxWidth = 1 << 10

var (
	errNoID   = errors.New("no id")
	errNoDest = errors.New("no destination")
	errNoBody = errors.New("no description")
)

// setUp reads a set-up. Parameters and figures that it does not know are skipped.
func (f *SetUpRules) setUp(m *sig.Message, at time.Time) (*core.SetUp, error) {
	s := &core.SetUp{ID: m.Call, Dest: -1, Width: -1, ClassName: string(m.Get(sig.ParamClass)),
		Tenant: string(m.Get(sig.ParamTenant)), Number: string(m.Get(sig.ParamNumber)),
		Description: m.Get(sig.ParamDescription)}
	class, ok := f.Classes[s.ClassName]
	wait, err := strconv.ParseFloat(string(m.Get(sig.ParamWait)), 64)
	switch {
	case m.Call == 0:
		return nil, errNoID
	case !ok:
		return nil, fmt.Errorf("class %.40q is not known", s.ClassName)
	case f.Tenants != nil && !f.Tenants[s.Tenant]:
		return nil, fmt.Errorf("tenant %.40q is not known", s.Tenant)
	case err != nil || !(wait >= 0) || math.IsInf(wait, 0):
		return nil, fmt.Errorf("a wait of %.40q", m.Get(sig.ParamWait))
	case !core.IsValidNumber(s.Number):
		return nil, fmt.Errorf("number %.40q", s.Number)
	case s.Description == nil:
		return nil, errNoBody
	}
	s.Class = class.Index
	s.Deadline = at.Add(min(class.MaxWait, time.Duration(min(wait, math.MaxInt32)*float64(time.Millisecond))))
	for name, v := range sig.Pairs(m.Get(sig.ParamAttributes)) {
		var n int
		switch name {
		case "dest", "width", "transit", "again", "via":
			if n, err = strconv.Atoi(v); err != nil {
				return nil, fmt.Errorf("figure %s of %.40q", name, v)
			}
		}
		switch name {
		case "dest":
			s.Dest = n
		case "width":
			s.Width = n
		case "transit":
			s.Transit = n != 0
		case "again":
			s.AfterCut = n != 0
		}
	}
	switch {
	case s.Dest < 0:
		return nil, errNoDest
	case s.Dest >= f.DestCount:
		return nil, fmt.Errorf("destination %d", s.Dest)
	case s.Width == -1:
		s.Width = max(1, class.Width)
	case s.Width < 1 || s.Width > maxWidth || class.Width > 0 && s.Width != class.Width:
		return nil, fmt.Errorf("a width of %d", s.Width)
	}
	return s, nil
}
