package mesh

import (
	"testing"
	"time"
)

// Without a plan the module decides to the bit as it did before plans were known to
// it: these traces were taken with it as it was then.
func TestNoPlanDecidesAsBefore(t *testing.T) {
	for seed, want := range []uint64{0x42de1ada50e90e1, 0xb318ff8bd7b9102c, 0x1146fe18546853c0} {
		c := small(7, 1.15, uint64(seed+1))
		c.Troubles = []Trouble{{From: 4 * time.Second, To: 12 * time.Second, Exchanges: []int{1, 2}, Slow: 2.5},
			{From: 15 * time.Second, To: 19 * time.Second, Exchanges: []int{3}, Down: true}}
		r, err := Run(c)
		if err != nil || r.Hash != want {
			t.Errorf("seed %d: trace %x, %v", seed+1, r.Hash, err)
		}
	}
}
