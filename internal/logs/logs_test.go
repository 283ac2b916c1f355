package logs

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// gate is a writer that stalls until it is opened.
type gate struct {
	open, entered chan struct{}
	bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	select {
	case g.entered <- struct{}{}:
	default:
	}
	<-g.open
	return g.Buffer.Write(b)
}

// A log whose reader stalls must not hold up the one who logs.
func TestStalledReaderDropsLines(t *testing.T) {
	g := &gate{open: make(chan struct{}), entered: make(chan struct{}, 1)}
	w := New(g, 2)
	w.Write([]byte("first\n"))
	<-g.entered // the writer is stuck in it now, and the queue holds two more
	for _, line := range []string{"second\n", "third\n", "lost\n", "lost\n"} {
		w.Write([]byte(line))
	}
	close(g.open)
	w.Close()
	want := "first\nlevel=WARN msg=\"lines dropped\" lines=2\nsecond\nthird\n"
	if diff := cmp.Diff(want, g.String()); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}
