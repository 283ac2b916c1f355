package logs

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// blockingWriter blocks each write until open is closed.
type blockingWriter struct {
	open, entered chan struct{}
	bytes.Buffer
}

func (out *blockingWriter) Write(b []byte) (int, error) {
	select {
	case out.entered <- struct{}{}:
	default:
	}
	<-out.open
	return out.Buffer.Write(b)
}

// Guards against a stalled reader of the log blocking the goroutine that logs.
func TestStalledReaderDropsLines(t *testing.T) {
	out := &blockingWriter{open: make(chan struct{}), entered: make(chan struct{}, 1)}
	w := New(out, 2)
	w.Write([]byte("first\n"))
	<-out.entered // the goroutine is blocked in the first write; the queue has room for two more lines
	for _, line := range []string{"second\n", "third\n", "lost\n", "lost\n"} {
		w.Write([]byte(line))
	}
	close(out.open)
	w.Close()
	want := "first\nlevel=WARN msg=\"lines dropped\" lines=2\nsecond\nthird\n"
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}
