// Package cluster replicates a small state over instances by a consensus log: a Member
// is one instance's part, without a goroutine, clock or socket of its own, so that the
// same code runs on a virtual clock and on the real one. The host hands it messages and
// ticks, sends what it gives back, and provides the disk.
//
// The consensus itself is the state machine of go.etcd.io/raft/v3. docs/cluster.md says
// what is promised.
package cluster

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"violetspan.example/violetspan/decide/duty"
)

var strictJSON = jsoniter.Config{SortMapKeys: true, DisallowUnknownFields: true}.Froze()

// lenientJSON reads what a later minor version may have added to.
var lenientJSON = jsoniter.Config{SortMapKeys: true}.Froze()

// entryVersion is that of an entry's form. An instance that finds a later one in its
// log can't go on: it would hold another state than the others.
const entryVersion = 1

// MaxEntryBytes bounds an entry, in bytes.
const MaxEntryBytes = 64 << 10

// ErrUnsupportedVersion says that an entry or a snapshot is of a later version than this program.
var ErrUnsupportedVersion = errors.New("cluster: of a later version")

// envelope is an entry's form in the log.
type envelope struct {
	V    int             `json:"v"`
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// entryDecoders reads each kind of entry; it is named as its type is.
var entryDecoders = map[string]func(b []byte) (duty.Entry, error){
	"Join": decodeAs[duty.Join], "Leave": decodeAs[duty.Leave], "Register": decodeAs[duty.Register], "Remove": decodeAs[duty.Remove], "Tick": decodeAs[duty.Tick], "Done": decodeAs[duty.Done],
}

func decodeAs[T duty.Entry](b []byte) (duty.Entry, error) {
	var e T
	err := strictJSON.Unmarshal(b, &e)
	return e, err
}

// EncodeEntry writes an entry for the log.
func EncodeEntry(e duty.Entry) ([]byte, error) {
	kind := strings.TrimPrefix(fmt.Sprintf("%T", e), "duty.")
	if entryDecoders[kind] == nil {
		return nil, fmt.Errorf("cluster: entry %T", e)
	}
	body, err := strictJSON.Marshal(e)
	if err != nil {
		return nil, err
	}
	b, err := strictJSON.Marshal(envelope{entryVersion, kind, body})
	if err == nil && len(b) > MaxEntryBytes {
		err = fmt.Errorf("cluster: an entry of %d bytes, more than %d", len(b), MaxEntryBytes)
	}
	return b, err
}

// DecodeEntry reads an entry of the log.
func DecodeEntry(b []byte) (duty.Entry, error) {
	if len(b) > MaxEntryBytes {
		return nil, fmt.Errorf("cluster: an entry of %d bytes, more than %d", len(b), MaxEntryBytes)
	}
	var decoded envelope
	if err := lenientJSON.Unmarshal(b, &decoded); err != nil {
		return nil, fmt.Errorf("cluster: entry: %w", err)
	}
	decode := entryDecoders[decoded.Kind]
	switch {
	case decoded.V > entryVersion:
		return nil, fmt.Errorf("%w: entry %d", ErrUnsupportedVersion, decoded.V)
	case decoded.V < 1 || decode == nil:
		return nil, fmt.Errorf("cluster: an entry of version %d and kind %q", decoded.V, decoded.Kind)
	}
	e, err := decode(decoded.Body)
	if err != nil {
		return nil, fmt.Errorf("cluster: entry: %w", err)
	}
	return e, nil
}
