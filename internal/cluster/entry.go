// Package cluster replicates a small state machine across instances with a Raft log. A
// Member is the Raft node of one instance. It starts no goroutine and uses no clock or
// socket, so the same code runs on a virtual clock and on the real one. A Host passes it
// messages and ticks, sends the messages it returns, and provides the storage.
//
// The consensus algorithm is that of go.etcd.io/raft/v3. docs/cluster.md describes the
// guarantees.
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

// lenientJSON ignores unknown fields, which a later minor version may have added.
var lenientJSON = jsoniter.Config{SortMapKeys: true}.Froze()

// entryVersion is the version of the entry format. An instance that finds a later version
// in its log must stop: its state would diverge from that of the other instances.
const entryVersion = 1

// MaxEntryBytes is the maximum size of an encoded entry.
const MaxEntryBytes = 64 << 10

// ErrUnsupportedVersion reports an entry whose format version is later than entryVersion.
var ErrUnsupportedVersion = errors.New("cluster: unsupported format version")

// envelope is the encoding of an entry in the log.
type envelope struct {
	V    int             `json:"v"`
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// entryDecoders maps each entry kind, which is the name of its Go type, to its decoder.
var entryDecoders = map[string]func(b []byte) (duty.Entry, error){
	"Join": decodeAs[duty.Join], "Leave": decodeAs[duty.Leave], "Register": decodeAs[duty.Register], "Remove": decodeAs[duty.Remove], "Tick": decodeAs[duty.Tick], "Done": decodeAs[duty.Done],
}

func decodeAs[T duty.Entry](b []byte) (duty.Entry, error) {
	var e T
	err := strictJSON.Unmarshal(b, &e)
	return e, err
}

// EncodeEntry encodes an entry for the log. It fails if the result exceeds MaxEntryBytes.
func EncodeEntry(e duty.Entry) ([]byte, error) {
	kind := strings.TrimPrefix(fmt.Sprintf("%T", e), "duty.")
	if entryDecoders[kind] == nil {
		return nil, fmt.Errorf("cluster: unknown entry type %T", e)
	}
	body, err := strictJSON.Marshal(e)
	if err != nil {
		return nil, err
	}
	b, err := strictJSON.Marshal(envelope{entryVersion, kind, body})
	if err == nil && len(b) > MaxEntryBytes {
		err = fmt.Errorf("cluster: entry of %d bytes exceeds the maximum of %d", len(b), MaxEntryBytes)
	}
	return b, err
}

// DecodeEntry decodes a log entry. It returns ErrUnsupportedVersion for a later format.
func DecodeEntry(b []byte) (duty.Entry, error) {
	if len(b) > MaxEntryBytes {
		return nil, fmt.Errorf("cluster: entry of %d bytes exceeds the maximum of %d", len(b), MaxEntryBytes)
	}
	var env envelope
	if err := lenientJSON.Unmarshal(b, &env); err != nil {
		return nil, fmt.Errorf("cluster: decode entry: %w", err)
	}
	decode := entryDecoders[env.Kind]
	switch {
	case env.V > entryVersion:
		return nil, fmt.Errorf("%w: entry version %d", ErrUnsupportedVersion, env.V)
	case env.V < 1 || decode == nil:
		return nil, fmt.Errorf("cluster: unknown entry version %d or kind %q", env.V, env.Kind)
	}
	e, err := decode(env.Body)
	if err != nil {
		return nil, fmt.Errorf("cluster: decode entry: %w", err)
	}
	return e, nil
}
