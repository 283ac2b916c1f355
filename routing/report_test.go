package routing

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestReportSet(t *testing.T) {
	for _, tc := range []struct {
		name, value string
		want        func(*Report)
		bad         bool
	}{
		{"spare", "93", func(r *Report) { r.Free = 93 }, false},
		{"total", "1e300", func(r *Report) { r.Size = 1<<31 - 1 }, false},
		{"mean_ms", "2.5", func(r *Report) { r.QueueDelay = 2500 * time.Microsecond }, false},
		{"depth", "3", func(r *Report) { r.QueueLength = 3 }, false},
		{"load_share", "0.5", func(r *Report) { r.Utilization = 0.5 }, false},
		{"allowed", "12.5", func(r *Report) { r.AcceptRate = 12.5 }, false},
		{"cut_by", "0", func(r *Report) { r.Throttle = 0 }, false},
		{"spare", "-1", func(*Report) {}, false}, // not known
		{"new_one", "7", func(*Report) {}, false},
		{"spare", "many", func(*Report) {}, true},
		{"spare", "NaN", func(*Report) {}, true},
		{"new_one", "+Inf", func(*Report) {}, true},
	} {
		got, want := NoReport, NoReport
		tc.want(&want)
		err := got.Set(tc.name, tc.value)
		if diff := cmp.Diff(want, got); diff != "" || (err != nil) != tc.bad {
			t.Errorf("Set(%q, %q): error %v, (-want +got):\n%s", tc.name, tc.value, err, diff)
		}
	}
}
