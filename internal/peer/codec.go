package peer

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"violetspan.example/violetspan/decide/handover"
	"violetspan.example/violetspan/routing"
)

// MaxDatagramBytes is the maximum length of a datagram between proxies.
const MaxDatagramBytes = 256

// Fields of a datagram, which is a protobuf message. Times are Unix times in milliseconds.
const (
	fieldKind           protowire.Number = 1
	fieldInstance       protowire.Number = 2 // fixed64
	fieldSequence       protowire.Number = 3
	fieldOriginProxy    protowire.Number = 4
	fieldOriginInstance protowire.Number = 5 // fixed64
	fieldSwitch         protowire.Number = 6
	fieldLastEvidence   protowire.Number = 7
	fieldCalls          protowire.Number = 8 // packed fixed64
	// fieldEstablished has the times of the calls in the same order, relative to the last evidence:
	// packed sint64.
	fieldEstablished  protowire.Number = 9
	fieldLastReceived protowire.Number = 10
	// These are absent if the switch is not suspected of having been replaced.
	fieldSuspectedSince protowire.Number = 11
	fieldCallsBefore    protowire.Number = 12
	fieldAfterSilence   protowire.Number = 13
	// These are absent if no state of the trunk group counted the calls.
	fieldCountedBefore protowire.Number = 14
	fieldCountedUsed   protowire.Number = 15
	fieldCountedOthers protowire.Number = 16
)

var (
	errTooLong   = errors.New("datagram is too long")
	errMalformed = errors.New("malformed datagram")
)

// encode returns the datagram of a message. It fails if that would be longer than MaxDatagramBytes.
func encode(m handover.Message) ([]byte, error) {
	b := make([]byte, 0, MaxDatagramBytes)
	b = appendVarint(b, fieldKind, uint64(m.Kind))
	b = appendFixed64(b, fieldInstance, m.Instance)
	b = appendVarint(b, fieldSequence, uint64(m.Sequence))
	if m.Kind == handover.Offer || m.Kind == handover.Withdrawal {
		b = appendVarint(b, fieldOriginProxy, uint64(m.Origin.Proxy))
		b = appendFixed64(b, fieldOriginInstance, m.Origin.Instance)
	}
	switch m.Kind {
	case handover.Offer:
		b = appendGroup(b, m.Group)
	case handover.Withdrawal:
		b = appendIDs(b, m.Calls)
	}
	if len(b) > MaxDatagramBytes {
		return nil, fmt.Errorf("%w: %d bytes", errTooLong, len(b))
	}
	return b, nil
}

func appendGroup(b []byte, group handover.Group) []byte {
	base := group.Evidence.LastEvidence.UnixMilli()
	b = protowire.AppendTag(b, fieldSwitch, protowire.BytesType)
	b = protowire.AppendString(b, group.Switch)
	b = appendVarint(b, fieldLastEvidence, uint64(base))
	b = appendVarint(b, fieldLastReceived, uint64(group.Evidence.LastReceived.UnixMilli()))
	b = appendSuspicion(b, group.Evidence)
	b = appendCount(b, group.Evidence)
	var ids []uint64
	var times []byte
	for _, call := range group.Calls {
		ids = append(ids, call.ID)
		times = protowire.AppendVarint(times, protowire.EncodeZigZag(call.EstablishedAt.UnixMilli()-base))
	}
	b = appendIDs(b, ids)
	b = protowire.AppendTag(b, fieldEstablished, protowire.BytesType)
	return protowire.AppendBytes(b, times)
}

func appendSuspicion(b []byte, evidence routing.SwitchEvidence) []byte {
	if evidence.SuspectedSince.IsZero() {
		return b
	}
	b = appendVarint(b, fieldSuspectedSince, uint64(evidence.SuspectedSince.UnixMilli()))
	b = appendVarint(b, fieldCallsBefore, limitInMillis(evidence.CallsBefore))
	return appendVarint(b, fieldAfterSilence, protowire.EncodeBool(evidence.AfterSilence))
}

func appendCount(b []byte, evidence routing.SwitchEvidence) []byte {
	if evidence.CountedBefore.IsZero() {
		return b
	}
	b = appendVarint(b, fieldCountedBefore, limitInMillis(evidence.CountedBefore))
	b = appendVarint(b, fieldCountedUsed, uint64(evidence.CountedUsed))
	return appendVarint(b, fieldCountedOthers, uint64(evidence.CountedOthers))
}

// limitInMillis rounds a time up, so that a call before it, whose time is rounded down, still is.
func limitInMillis(limit time.Time) uint64 {
	return uint64(limit.Add(time.Millisecond - time.Nanosecond).UnixMilli())
}

func appendIDs(b []byte, ids []uint64) []byte {
	var packed []byte
	for _, id := range ids {
		packed = protowire.AppendFixed64(packed, id)
	}
	b = protowire.AppendTag(b, fieldCalls, protowire.BytesType)
	return protowire.AppendBytes(b, packed)
}

func appendVarint(b []byte, field protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

func appendFixed64(b []byte, field protowire.Number, v uint64) []byte {
	return protowire.AppendFixed64(protowire.AppendTag(b, field, protowire.Fixed64Type), v)
}

// fields are the decoded fields of a datagram.
type fields struct {
	numbers map[protowire.Number]uint64
	bytes   map[protowire.Number][]byte
}

// parseFields decodes the fields of a datagram. Fields of other types than those in use are skipped.
func parseFields(b []byte) (fields, error) {
	f := fields{map[protowire.Number]uint64{}, map[protowire.Number][]byte{}}
	for len(b) > 0 {
		field, fieldType, n := protowire.ConsumeTag(b)
		if n < 0 {
			return f, fmt.Errorf("%w: %w", errMalformed, protowire.ParseError(n))
		}
		b = b[n:]
		switch fieldType {
		case protowire.VarintType:
			f.numbers[field], n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			f.numbers[field], n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			f.bytes[field], n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(field, fieldType, b)
		}
		if n < 0 {
			return f, fmt.Errorf("%w: field %d: %w", errMalformed, field, protowire.ParseError(n))
		}
		b = b[n:]
	}
	return f, nil
}

// decode returns the message in a datagram.
func decode(b []byte) (handover.Message, error) {
	if len(b) > MaxDatagramBytes {
		return handover.Message{}, fmt.Errorf("%w: %d bytes", errTooLong, len(b))
	}
	f, err := parseFields(b)
	if err != nil {
		return handover.Message{}, err
	}
	m := handover.Message{Kind: handover.Kind(f.numbers[fieldKind]), Instance: f.numbers[fieldInstance], Sequence: uint32(f.numbers[fieldSequence])}
	ids := f.bytes[fieldCalls]
	if m.Kind < handover.Claim || m.Kind > handover.Ack || len(ids)%8 != 0 {
		return m, fmt.Errorf("%w: kind %d, %d bytes of ids", errMalformed, m.Kind, len(ids))
	}
	m.Origin = handover.Origin{Proxy: int(f.numbers[fieldOriginProxy]), Instance: f.numbers[fieldOriginInstance]}
	for len(ids) > 0 {
		id, n := protowire.ConsumeFixed64(ids)
		m.Calls, ids = append(m.Calls, id), ids[n:]
	}
	if m.Kind == handover.Offer {
		m.Group, err = decodeGroup(f, m.Calls)
		m.Calls = nil
	}
	return m, err
}

func (f fields) time(field protowire.Number) time.Time {
	return time.UnixMilli(int64(f.numbers[field]))
}

func decodeEvidence(f fields) routing.SwitchEvidence {
	evidence := routing.SwitchEvidence{LastEvidence: f.time(fieldLastEvidence), LastReceived: f.time(fieldLastReceived)}
	if _, suspected := f.numbers[fieldSuspectedSince]; suspected {
		evidence.SuspectedSince, evidence.CallsBefore = f.time(fieldSuspectedSince), f.time(fieldCallsBefore)
		evidence.AfterSilence = protowire.DecodeBool(f.numbers[fieldAfterSilence])
	}
	if _, counted := f.numbers[fieldCountedBefore]; counted {
		evidence.CountedBefore = f.time(fieldCountedBefore)
		evidence.CountedUsed, evidence.CountedOthers = int(f.numbers[fieldCountedUsed]), int(f.numbers[fieldCountedOthers])
	}
	return evidence
}

func decodeGroup(f fields, ids []uint64) (handover.Group, error) {
	base := int64(f.numbers[fieldLastEvidence])
	group := handover.Group{Switch: string(f.bytes[fieldSwitch]), Evidence: decodeEvidence(f)}
	times := f.bytes[fieldEstablished]
	for _, id := range ids {
		v, n := protowire.ConsumeVarint(times)
		if n < 0 {
			return group, fmt.Errorf("%w: a call without a time", errMalformed)
		}
		times = times[n:]
		group.Calls = append(group.Calls, handover.Call{ID: id, EstablishedAt: time.UnixMilli(base + protowire.DecodeZigZag(v))})
	}
	return group, nil
}
