// Package sig reads and writes the platform's binary signalling messages. It
// knows the form of a message and nothing of what becomes of it.
package sig

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"iter"
)

// Type is the type of a message.
type Type byte

// The messages that the platform knows.
const (
	SetUp      Type = 1
	Progress   Type = 6
	Answer     Type = 9
	Release    Type = 12 // also a refusal, and with CauseNormal a set-up that is given up
	ReleaseAck Type = 16
	GroupState Type = 43
	Test       Type = 52
	TestResult Type = 53
)

// Codes of parameters.
const (
	ParamClass       byte = 180
	ParamWait        byte = 183 // milliseconds, in decimal digits
	ParamTenant      byte = 186
	ParamNumber      byte = 192
	ParamAttributes  byte = 195
	ParamCauseDetail byte = 201
	ParamReport      byte = 207 // figures of a group's state
	ParamCause       byte = 222 // one byte
	ParamDescription byte = 225
)

// Causes of a release, as Q.850 numbers them.
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

// MaxLength is the most that a message may hold, its length field included.
const MaxLength = 16 << 10

const header = 1 + 8 // type and call, which the length counts

// ErrMalformed is wrapped by every error about what a message holds.
var ErrMalformed = errors.New("malformed message")

// Param is one parameter of a message.
type Param struct {
	Code  byte
	Value []byte
}

// Message is one message. The values of its parameters share one buffer.
type Message struct {
	Type   Type
	Call   uint64
	Params []Param
}

// Get returns the first parameter with the code, or nil.
func (m *Message) Get(code byte) []byte {
	for _, p := range m.Params {
		if p.Code == code {
			return p.Value
		}
	}
	return nil
}

// Cause returns the cause of a release or a test's result, 0 if it has none.
func (m *Message) Cause() byte {
	if v := m.Get(ParamCause); len(v) == 1 {
		return v[0]
	}
	return 0
}

// WithCause is a message whose only parameter is a cause.
func WithCause(t Type, call uint64, cause byte) Message {
	return Message{Type: t, Call: call, Params: []Param{{ParamCause, []byte{cause}}}}
}

// Append adds the message's bytes to b.
func (m *Message) Append(b []byte) ([]byte, error) {
	at := len(b)
	b = append(b, 0, 0, byte(m.Type))
	b = binary.BigEndian.AppendUint64(b, m.Call)
	for _, p := range m.Params {
		if len(p.Value) > MaxLength {
			return b[:at], fmt.Errorf("parameter %d of %d bytes is too long", p.Code, len(p.Value))
		}
		b = append(b, p.Code)
		b = binary.BigEndian.AppendUint16(b, uint16(len(p.Value)))
		b = append(b, p.Value...)
	}
	n := len(b) - at
	if n > MaxLength {
		return b[:at], fmt.Errorf("message of %d bytes is too long", n)
	}
	binary.BigEndian.PutUint16(b[at:], uint16(n-2))
	return b, nil
}

// Read reads one message. A clean end of the input is io.EOF; one inside a
// message is io.ErrUnexpectedEOF.
func Read(r io.Reader) (Message, error) {
	var m Message
	var head [2]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return m, err
	}
	n := int(binary.BigEndian.Uint16(head[:]))
	if n < header || n > MaxLength-2 {
		return m, fmt.Errorf("%w: a length of %d", ErrMalformed, n)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return m, err
	}
	m.Type, m.Call = Type(b[0]), binary.BigEndian.Uint64(b[1:])
	for b = b[header:]; len(b) > 0; {
		if len(b) < 3 {
			return m, fmt.Errorf("%w: a parameter is cut short", ErrMalformed)
		}
		n := int(binary.BigEndian.Uint16(b[1:]))
		if len(b) < 3+n {
			return m, fmt.Errorf("%w: parameter %d is cut short", ErrMalformed, b[0])
		}
		m.Params = append(m.Params, Param{b[0], b[3 : 3+n : 3+n]})
		b = b[3+n:]
	}
	return m, nil
}

// Pairs walks the name:value pairs of parameter 195.
func Pairs(v []byte) iter.Seq2[string, string] {
	return func(yield func(string, string) bool) {
		for len(v) > 0 {
			var pair []byte
			pair, v = cut(v, ';')
			name, val := cut(pair, ':')
			if !yield(string(name), string(val)) {
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
