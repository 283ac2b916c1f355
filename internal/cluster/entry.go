// Package cluster replicates a small state over instances by a consensus log: a Member
// is one instance's part, without a goroutine, clock or socket of its own, so that the
// same code runs on a virtual clock and on the real one. The host hands it messages and
// ticks, sends what it gives back, and provides the disk.
//
// The consensus itself is the state machine of go.etcd.io/raft/v3. docs/cluster.md says
// what is promised.
package cluster

import (
	"errors"
	"fmt"

	jsoniter "github.com/json-iterator/go"

	"violetspan.example/violetspan/decide/duty"
)

var api = jsoniter.Config{SortMapKeys: true, DisallowUnknownFields: true}.Froze()

// lenient reads what a later minor version may have added to.
var lenient = jsoniter.Config{SortMapKeys: true}.Froze()

// entryVersion is that of an entry's form. An instance that finds a later one in its
// log can't go on: it would hold another state than the others.
const entryVersion = 1

// MaxEntry bounds an entry, in bytes.
const MaxEntry = 64 << 10

// ErrVersion says that an entry or a snapshot is of a later version than this program.
var ErrVersion = errors.New("cluster: of a later version")

type envelope struct {
	V        int            `json:"v"`
	Join     *duty.Join     `json:"join,omitempty"`
	Leave    *duty.Leave    `json:"leave,omitempty"`
	Register *duty.Register `json:"register,omitempty"`
	Remove   *duty.Remove   `json:"remove,omitempty"`
	Tick     *duty.Tick     `json:"tick,omitempty"`
	Done     *duty.Done     `json:"done,omitempty"`
}

// Encode writes an entry for the log.
func Encode(e duty.Entry) ([]byte, error) {
	v := envelope{V: entryVersion}
	switch e := e.(type) {
	case duty.Join:
		v.Join = &e
	case duty.Leave:
		v.Leave = &e
	case duty.Register:
		v.Register = &e
	case duty.Remove:
		v.Remove = &e
	case duty.Tick:
		v.Tick = &e
	case duty.Done:
		v.Done = &e
	default:
		return nil, fmt.Errorf("cluster: entry %T", e)
	}
	b, err := api.Marshal(v)
	if err == nil && len(b) > MaxEntry {
		err = fmt.Errorf("cluster: an entry of %d bytes, more than %d", len(b), MaxEntry)
	}
	return b, err
}

// Decode reads an entry of the log.
func Decode(b []byte) (duty.Entry, error) {
	if len(b) > MaxEntry {
		return nil, fmt.Errorf("cluster: an entry of %d bytes, more than %d", len(b), MaxEntry)
	}
	if n := api.Get(b, "v").ToInt(); n > entryVersion {
		return nil, fmt.Errorf("%w: entry %d", ErrVersion, n)
	}
	var v envelope
	if err := api.Unmarshal(b, &v); err != nil {
		return nil, fmt.Errorf("cluster: entry: %w", err)
	}
	var out []duty.Entry
	if v.Join != nil {
		out = append(out, *v.Join)
	}
	if v.Leave != nil {
		out = append(out, *v.Leave)
	}
	if v.Register != nil {
		out = append(out, *v.Register)
	}
	if v.Remove != nil {
		out = append(out, *v.Remove)
	}
	if v.Tick != nil {
		out = append(out, *v.Tick)
	}
	if v.Done != nil {
		out = append(out, *v.Done)
	}
	if len(out) != 1 || v.V < 1 {
		return nil, errors.New("cluster: an entry that is none, or several")
	}
	return out[0], nil
}
