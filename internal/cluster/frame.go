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

// Instances exchange frames of the form
//
//	magic:2 major:1 minor:1 type:1 zero:3 length:4 checksum:4 payload
//
// in big-endian order, with the length and the CRC-32C checksum of the payload. Instances
// of the same major version are compatible. A later minor version may add frame types,
// which earlier versions skip, and fields at the end of a payload, which they ignore.
const (
	frameMagic       = 0x7653
	FrameMajor       = 1
	FrameMinor       = 0
	frameHeaderBytes = 16
	// MaxPayloadBytes is the maximum size of a payload. A snapshot is sent in one frame.
	MaxPayloadBytes = 16 << 20
)

// FrameType identifies the payload of a frame.
type FrameType byte

// Frame types.
const (
	FrameHello FrameType = 1 // first frame on a connection: the sender's identity and version
	FrameRaft  FrameType = 2 // a Raft message
	// FrameHeartbeat is sent to the leader, to renew the sender's duty lease. It holds the
	// time of sending by the sender's monotonic clock.
	FrameHeartbeat FrameType = 3
)

// Frame is a decoded frame; its major version is FrameMajor.
type Frame struct {
	Minor   byte
	Type    FrameType
	Payload []byte
}

// Errors of ReadFrame.
var (
	ErrMalformedFrame = errors.New("cluster: malformed frame")
	ErrMajorVersion   = errors.New("cluster: unsupported major version of a frame")
)

// AppendFrame appends the encoding of a frame to b.
func AppendFrame(b []byte, f Frame) ([]byte, error) {
	if len(f.Payload) > MaxPayloadBytes {
		return b, fmt.Errorf("%w: payload of %d bytes exceeds the maximum of %d", ErrMalformedFrame, len(f.Payload), MaxPayloadBytes)
	}
	b = binary.BigEndian.AppendUint16(b, frameMagic)
	b = append(b, FrameMajor, f.Minor, byte(f.Type), 0, 0, 0)
	b = binary.BigEndian.AppendUint32(b, uint32(len(f.Payload)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(f.Payload, castagnoli))
	return append(b, f.Payload...), nil
}

// ReadFrame reads one frame. It returns io.EOF if the input ends before a frame and
// io.ErrUnexpectedEOF if it ends within one. It allocates at most 64 KiB more than has
// arrived, whatever length the header claims.
func ReadFrame(r io.Reader) (Frame, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	length := binary.BigEndian.Uint32(header[8:])
	switch {
	case binary.BigEndian.Uint16(header[:]) != frameMagic:
		return Frame{}, fmt.Errorf("%w: magic number %x", ErrMalformedFrame, header[:2])
	case header[2] != FrameMajor:
		return Frame{}, fmt.Errorf("%w: %d", ErrMajorVersion, header[2])
	case length > MaxPayloadBytes:
		return Frame{}, fmt.Errorf("%w: payload length %d", ErrMalformedFrame, length)
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
		return Frame{}, fmt.Errorf("%w: wrong checksum", ErrMalformedFrame)
	}
	return f, nil
}

// Hello is the payload of a FrameHello.
type Hello struct {
	Installation string `json:"installation"`
	Member       uint64 `json:"member"`
	Name         string `json:"name"`
	Minor        int    `json:"minor"` // latest minor version that the sender supports
}

// HelloFrame returns a FrameHello that holds h.
func HelloFrame(h Hello) (Frame, error) {
	b, err := strictJSON.Marshal(h)
	return Frame{FrameMinor, FrameHello, b}, err
}

// Hello decodes a FrameHello. It ignores unknown fields, which are of a later minor version.
func (f Frame) Hello() (Hello, error) {
	var h Hello
	if f.Type != FrameHello {
		return h, fmt.Errorf("%w: type %d instead of hello", ErrMalformedFrame, f.Type)
	}
	if err := lenientJSON.Unmarshal(f.Payload, &h); err != nil {
		return h, fmt.Errorf("%w: hello: %w", ErrMalformedFrame, err)
	}
	if h.Member == 0 || h.Installation == "" || len(h.Installation) > 128 || len(h.Name) > 128 {
		return h, fmt.Errorf("%w: hello with an invalid field, member %d", ErrMalformedFrame, h.Member)
	}
	return h, nil
}

// RaftFrame returns a FrameRaft that holds m.
func RaftFrame(m *pb.Message) (Frame, error) {
	b, err := proto.Marshal(m)
	return Frame{FrameMinor, FrameRaft, b}, err
}

// Raft decodes a FrameRaft.
func (f Frame) Raft() (*pb.Message, error) {
	m := &pb.Message{}
	if err := proto.Unmarshal(f.Payload, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedFrame, err)
	}
	return m, nil
}

// HeartbeatFrame returns a FrameHeartbeat with the sender's monotonic time.
func HeartbeatFrame(sentAt time.Duration) Frame {
	return Frame{FrameMinor, FrameHeartbeat, encodeUint64(uint64(sentAt))}
}

// Heartbeat decodes a FrameHeartbeat and returns the sender's monotonic time.
func (f Frame) Heartbeat() (time.Duration, error) {
	if len(f.Payload) < 8 {
		return 0, fmt.Errorf("%w: heartbeat of %d bytes", ErrMalformedFrame, len(f.Payload))
	}
	return time.Duration(binary.BigEndian.Uint64(f.Payload)), nil
}
