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

// SetUpRules are the rules for set-ups from callers. The server itself refuses a set-up that
// breaks them, because a switch closes its connection, with all calls on it, if it cannot parse
// a message.
type SetUpRules struct {
	Classes      map[string]Class // by name
	Tenants      map[string]bool  // nil: any
	Destinations int              // destinations are numbered from 0 to Destinations-1
}

// Class holds the rules for the set-ups of a class.
type Class struct {
	Index   int           // in the classes of the settings
	Width   int           // circuits per call; 0: any up to maxWidth
	MaxWait time.Duration // a longer wait requested by a caller is reduced to this
}

const maxWidth = 1 << 10 // circuits per call

var (
	errNoID          = errors.New("missing call id")
	errNoDest        = errors.New("missing destination")
	errNoDescription = errors.New("missing description")
)

// parse returns the set-up in a message that was received at the given time. It skips unknown
// parameters and attributes.
func (r *SetUpRules) parse(m *sig.Message, receivedAt time.Time) (*core.SetUp, error) {
	setUp := &core.SetUp{ID: m.Call, Dest: -1, Width: -1, ClassName: string(m.Get(sig.ParamClass)),
		Tenant: string(m.Get(sig.ParamTenant)), Number: string(m.Get(sig.ParamNumber)),
		Description: m.Get(sig.ParamDescription), Transferable: true}
	class, ok := r.Classes[setUp.ClassName]
	wait, err := strconv.ParseFloat(string(m.Get(sig.ParamWait)), 64)
	switch {
	case m.Call == 0:
		return nil, errNoID
	case !ok:
		return nil, fmt.Errorf("unknown class %.40q", setUp.ClassName)
	case r.Tenants != nil && !r.Tenants[setUp.Tenant]:
		return nil, fmt.Errorf("unknown tenant %.40q", setUp.Tenant)
	case err != nil || !(wait >= 0) || math.IsInf(wait, 0):
		return nil, fmt.Errorf("invalid wait %.40q", m.Get(sig.ParamWait))
	case !core.IsValidNumber(setUp.Number):
		return nil, fmt.Errorf("invalid number %.40q", setUp.Number)
	case setUp.Description == nil:
		return nil, errNoDescription
	}
	setUp.Class = class.Index
	setUp.Deadline = receivedAt.Add(min(class.MaxWait, time.Duration(min(wait, math.MaxInt32)*float64(time.Millisecond))))
	for name, v := range sig.Pairs(m.Get(sig.ParamAttributes)) {
		var n int
		switch name {
		case "dest", "width", "transit", "again", "via":
			if n, err = strconv.Atoi(v); err != nil {
				return nil, fmt.Errorf("attribute %s: invalid value %.40q", name, v)
			}
		}
		switch name {
		case "dest":
			setUp.Dest = n
		case "width":
			setUp.Width = n
		case "transit":
			setUp.Transit = n != 0
		case "again":
			setUp.AfterCut = n != 0
		}
	}
	switch {
	case setUp.Dest < 0:
		return nil, errNoDest
	case setUp.Dest >= r.Destinations:
		return nil, fmt.Errorf("unknown destination %d", setUp.Dest)
	case setUp.Width == -1:
		setUp.Width = max(1, class.Width)
	case setUp.Width < 1 || setUp.Width > maxWidth || class.Width > 0 && setUp.Width != class.Width:
		return nil, fmt.Errorf("invalid width %d", setUp.Width)
	}
	return setUp, nil
}
