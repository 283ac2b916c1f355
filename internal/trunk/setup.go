package trunk

import (
	"context"
	"errors"
	"fmt"
	"time"

	"violetspan.example/violetspan/internal/core"
)

var (
	errReleaseBackoff = fmt.Errorf("%w: the release of the call's previous attempt at this switch is too recent", core.ErrNotSent)
	errUndelivered    = fmt.Errorf("%w: a release of the call's previous attempt may still arrive at this switch", core.ErrNotSent)
)

// SetUp implements core.Link. It dials if there is no connection.
func (l *Link) SetUp(ctx context.Context, setUp *core.SetUp, deadline time.Time, maySend func() bool) error {
	if _, err := l.connect(ctx); err != nil {
		return fmt.Errorf("%w: %w", core.ErrNotReached, err)
	}
	current, err := l.reserve(setUp)
	if errors.Is(err, errReleaseBackoff) {
		l.Release(setUp.ID) // again, as the earlier release may be lost
	}
	if err != nil {
		return err
	}
	err = current.write(maySend, func() error { return current.conn.SetUp(setUp, deadline) })
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		current.setUpDone(setUp.ID)
	case current.isOutstanding(setUp.ID):
		current.setUpSent()
	}
	return err
}

// reserve returns the session on which a set-up may be sent, and records the set-up as
// outstanding there before it is written, as the answer may arrive at once.
func (l *Link) reserve(setUp *core.SetUp) (*session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil {
		return nil, core.ErrNotReached // the session has just ended
	}
	if _, undelivered := l.undelivered[setUp.ID]; undelivered {
		return nil, errUndelivered
	}
	if l.inReleaseBackoff(l.current, setUp.ID) {
		return nil, errReleaseBackoff
	}
	l.current.outstanding[setUp.ID] = setUp.Width
	return l.current, nil
}
