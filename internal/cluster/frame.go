package cluster

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// A frame is what instances send each other:
//
//	magic:2 major:1 minor:1 type:1 zero:3 length:4 checksum:4 payload
//
// big-endian; the length is that of the payload, the checksum its CRC-32C. Instances of
// one major version understand each other. A later minor version may add types, which an
// earlier one skips, and fields at a payload's end, which it ignores.
const (
	frameMagic       = 0x7653
	FrameMajor       = 1
	FrameMinor       = 0
	frameHeaderBytes = 16
	// MaxPayloadBytes bounds a payload, in bytes: a snapshot goes in one.
	MaxPayloadBytes = 16 << 20
)

// FrameType is what a frame holds.
type FrameType byte

// The types of frames.
const (
	FrameHello     FrameType = 1 // first each way: who speaks, and which versions it knows
	FrameRaft      FrameType = 2 // a message of the log
	FrameHeartbeat FrameType = 3 // to the leader: the sender spoke, at a time of its own clock
)

// Frame is one frame.
type Frame struct {
	Minor   byte
	Type    FrameType
	Payload []byte
}

// Errors of ReadFrame.
var (
	ErrMalformedFrame = errors.New("cluster: a malformed frame")
	ErrMajorVersion   = errors.New("cluster: a frame of another major version")
)

// AppendFrame adds a frame's bytes to b.
func AppendFrame(b []byte, f Frame) ([]byte, error) {
	if len(f.Payload) > MaxPayloadBytes {
		return b, fmt.Errorf("%w: %d bytes, more than %d", ErrMalformedFrame, len(f.Payload), MaxPayloadBytes)
	}
	b = binary.BigEndian.AppendUint16(b, frameMagic)
	b = append(b, FrameMajor, f.Minor, byte(f.Type), 0, 0, 0)
	b = binary.BigEndian.AppendUint32(b, uint32(len(f.Payload)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(f.Payload, castagnoli))
	return append(b, f.Payload...), nil
}

// ReadFrame reads one frame. A clean end of the input is io.EOF; nothing is allocated
// for a payload beyond what arrives, but for 64 KiB.
func ReadFrame(r io.Reader) (Frame, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	length := binary.BigEndian.Uint32(header[8:])
	switch {
	case binary.BigEndian.Uint16(header[:]) != frameMagic:
		return Frame{}, fmt.Errorf("%w: it begins with %x", ErrMalformedFrame, header[:2])
	case header[2] != FrameMajor:
		return Frame{}, fmt.Errorf("%w: %d", ErrMajorVersion, header[2])
	case length > MaxPayloadBytes:
		return Frame{}, fmt.Errorf("%w: a length of %d", ErrMalformedFrame, length)
	}
	f := Frame{Minor: header[3], Type: FrameType(header[4])}
	for remaining := int(length); remaining > 0; {
		chunk := min(remaining, 64<<10)
		offset := len(f.Payload)
		f.Payload = append(f.Payload, make([]byte, chunk)...)
		if _, err := io.ReadFull(r, f.Payload[offset:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return Frame{}, err
		}
		remaining -= chunk
	}
	if crc32.Checksum(f.Payload, castagnoli) != binary.BigEndian.Uint32(header[12:]) {
		return Frame{}, fmt.Errorf("%w: a wrong checksum", ErrMalformedFrame)
	}
	return f, nil
}

// Hello is the payload of a FrameHello.
type Hello struct {
	Installation string `json:"installation"`
	Member       uint64 `json:"member"`
	Name         string `json:"name"`
	Minor        int    `json:"minor"` // the latest that the sender knows
}

// HelloFrame makes the frame of a Hello.
func HelloFrame(h Hello) (Frame, error) {
	b, err := strictJSON.Marshal(h)
	return Frame{FrameMinor, FrameHello, b}, err
}

// Hello reads a FrameHello. Fields that it doesn't know are of a later minor version.
func (f Frame) Hello() (Hello, error) {
	var h Hello
	if f.Type != FrameHello {
		return h, fmt.Errorf("%w: type %d in place of a hello", ErrMalformedFrame, f.Type)
	}
	if err := lenientJSON.Unmarshal(f.Payload, &h); err != nil {
		return h, fmt.Errorf("%w: hello: %w", ErrMalformedFrame, err)
	}
	if h.Member == 0 || h.Installation == "" || len(h.Installation) > 128 || len(h.Name) > 128 {
		return h, fmt.Errorf("%w: hello of member %d", ErrMalformedFrame, h.Member)
	}
	return h, nil
}

// RaftFrame makes the frame of a message of the log.
func RaftFrame(m *pb.Message) (Frame, error) {
	b, err := proto.Marshal(m)
	return Frame{FrameMinor, FrameRaft, b}, err
}

// Raft reads a FrameRaft.
func (f Frame) Raft() (*pb.Message, error) {
	m := &pb.Message{}
	if err := proto.Unmarshal(f.Payload, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	return m, nil
}

// HeartbeatFrame makes the frame of a beat.
func HeartbeatFrame(sentAt time.Duration) Frame {
	return Frame{FrameMinor, FrameHeartbeat, encodeUint64(uint64(sentAt))}
}

// Heartbeat reads a FrameBeat.
func (f Frame) Heartbeat() (time.Duration, error) {
	if len(f.Payload) < 8 {
		return 0, fmt.Errorf("%w: a beat of %d bytes", ErrMalformedFrame, len(f.Payload))
	}
	return time.Duration(binary.BigEndian.Uint64(f.Payload)), nil
}
