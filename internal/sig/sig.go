// Package sig encodes and decodes the platform's binary signalling messages. It
// knows their format, not how they are processed.
package sig

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"iter"
)

// Type is a message type.
type Type byte

// Message types of the platform.
const (
	SetUp      Type = 1
	Progress   Type = 6
	Answer     Type = 9
	Release    Type = 12 // also refuses a set-up and, with CauseNormal, cancels one
	ReleaseAck Type = 16 // acknowledges a release
	GroupState Type = 43 // free circuits and size of a trunk group, and load of its processor
	Test       Type = 52
	TestResult Type = 53
)

// Parameter codes.
const (
	ParamClass       byte = 180
	ParamWait        byte = 183 // how long the caller waits: milliseconds, in decimal digits
	ParamTenant      byte = 186
	ParamNumber      byte = 192
	ParamAttributes  byte = 195 // attributes of a set-up, as name:value pairs
	ParamCauseDetail byte = 201 // text that refines the cause of a release
	ParamReport      byte = 207 // state of a trunk group, as name:value pairs
	ParamCause       byte = 222 // one byte
	ParamDescription byte = 225
)

// Causes of a release, with the numbers of Q.850.
const (
	CauseNormal              byte = 16
	CauseBusy                byte = 17
	CauseNoCircuit           byte = 34
	CauseTemporaryFailure    byte = 41
	CauseCongestion          byte = 42
	CauseResourceUnavailable byte = 47
	CauseInvalidContents     byte = 100
	CauseTimerExpired        byte = 102
	CauseProtocolError       byte = 111
)

// MaxLength is the maximum length of a message in bytes, including its length field.
const MaxLength = 16 << 10

const headerLength = 1 + 8 // type and call ID, which the length field counts

// ErrMalformed is wrapped by every error about the contents of a message.
var ErrMalformed = errors.New("malformed message")

// LengthSize is the size, in bytes, of the length with which a message begins. It counts what
// follows it.
const LengthSize = 2

// IsValidLength reports whether a message may begin with a length.
func IsValidLength(length int) bool { return length >= headerLength && length <= MaxLength-LengthSize }

// Param is one parameter of a message.
type Param struct {
	Code  byte
	Value []byte
}

// Message is a decoded message. The values of its parameters share one buffer.
type Message struct {
	Type   Type
	Call   uint64
	Params []Param
}

// Get returns the value of the first parameter with the given code, or nil.
func (m *Message) Get(code byte) []byte {
	for _, p := range m.Params {
		if p.Code == code {
			return p.Value
		}
	}
	return nil
}

// Cause returns the cause of a release or the result of a test, or 0 if there is none.
func (m *Message) Cause() byte {
	if v := m.Get(ParamCause); len(v) == 1 {
		return v[0]
	}
	return 0
}

// WithCause returns a message whose only parameter is a cause.
func WithCause(t Type, call uint64, cause byte) Message {
	return Message{Type: t, Call: call, Params: []Param{{ParamCause, []byte{cause}}}}
}

// Append appends the encoded message to b. It returns b unchanged and an error if the
// message or one of its parameters is longer than MaxLength.
func (m *Message) Append(b []byte) ([]byte, error) {
	start := len(b)
	b = append(b, 0, 0, byte(m.Type))
	b = binary.BigEndian.AppendUint64(b, m.Call)
	for _, p := range m.Params {
		if len(p.Value) > MaxLength {
			return b[:start], fmt.Errorf("parameter %d is too long: %d bytes", p.Code, len(p.Value))
		}
		b = append(b, p.Code)
		b = binary.BigEndian.AppendUint16(b, uint16(len(p.Value)))
		b = append(b, p.Value...)
	}
	n := len(b) - start
	if n > MaxLength {
		return b[:start], fmt.Errorf("message is too long: %d bytes", n)
	}
	binary.BigEndian.PutUint16(b[start:], uint16(n-2))
	return b, nil
}

// Read reads one message. It returns io.EOF if the input ends before a message,
// io.ErrUnexpectedEOF if it ends within one, and an error that wraps ErrMalformed
// if the contents are invalid.
func Read(r io.Reader) (Message, error) {
	var m Message
	var length [LengthSize]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return m, err
	}
	n := int(binary.BigEndian.Uint16(length[:]))
	if !IsValidLength(n) {
		return m, fmt.Errorf("%w: invalid length %d", ErrMalformed, n)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return m, err
	}
	m.Type, m.Call = Type(b[0]), binary.BigEndian.Uint64(b[1:])
	for b = b[headerLength:]; len(b) > 0; {
		if len(b) < 3 {
			return m, fmt.Errorf("%w: truncated parameter", ErrMalformed)
		}
		n := int(binary.BigEndian.Uint16(b[1:]))
		if len(b) < 3+n {
			return m, fmt.Errorf("%w: parameter %d is truncated", ErrMalformed, b[0])
		}
		m.Params = append(m.Params, Param{b[0], b[3 : 3+n : 3+n]})
		b = b[3+n:]
	}
	return m, nil
}

// Pairs iterates over the names and values of a text of the form "name:value;name:value",
// such as the values of ParamAttributes (195) and ParamReport.
func Pairs(v []byte) iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for len(v) > 0 {
			var pair []byte
			pair, v = cut(v, ';')
			name, value := cut(pair, ':')
			if !yield(string(name), string(value)) {
				return
			}
		}
	}
}

func cut(b []byte, sep byte) (before, after []byte) {
	for i, c := range b {
		if c == sep {
			return b[:i], b[i+1:]
		}
	}
	return b, nil
}
