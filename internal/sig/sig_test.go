package sig

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestReadAndAppend(t *testing.T) {
	for _, c := range []struct {
		name, bytes string
		want        Message
		err         error
	}{
		{"no parameters", "\x00\x09\x10\x00\x00\x00\x00\x00\x00\x00\xa1", Message{Type: ReleaseAck, Call: 0xa1}, nil},
		{"one cause", "\x00\x0d\x0c\x00\x00\x00\x00\x00\x00\x00\xa1\xde\x00\x01\x22",
			Message{Release, 0xa1, []Param{{ParamCause, []byte{34}}}}, nil},
		{"empty value", "\x00\x0c\x09\x00\x00\x00\x00\x00\x00\x00\xa1\xe1\x00\x00",
			Message{Answer, 0xa1, []Param{{ParamDescription, []byte{}}}}, nil},
		{"empty input", "", Message{}, io.EOF},
		{"truncated length", "\x00", Message{}, io.ErrUnexpectedEOF},
		{"truncated header", "\x00\x09\x10", Message{}, io.ErrUnexpectedEOF},
		{"length without a message", "\x00\x09", Message{}, io.ErrUnexpectedEOF},
		{"length shorter than the header", "\x00\x08\x10\x00\x00\x00\x00\x00\x00\x00", Message{}, ErrMalformed},
		{"length above the maximum", "\x40\x00", Message{}, ErrMalformed},
		{"truncated parameter header", "\x00\x0b\x10\x00\x00\x00\x00\x00\x00\x00\xa1\xde\x00", Message{}, ErrMalformed},
		{"truncated parameter value", "\x00\x0c\x10\x00\x00\x00\x00\x00\x00\x00\xa1\xde\x00\x01", Message{}, ErrMalformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := Read(bytes.NewReader([]byte(c.bytes)))
			if !errors.Is(err, c.err) {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			if err != nil {
				return
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("(-want +got)\n%s", diff)
			}
			b, err := got.Append(nil)
			if diff := cmp.Diff([]byte(c.bytes), b); err != nil || diff != "" {
				t.Errorf("Append: error %v (-want +got)\n%s", err, diff)
			}
		})
	}
}

func TestAppendRejectsTooLongMessages(t *testing.T) {
	for _, n := range []int{MaxLength, 70000} {
		m := Message{Type: Answer, Params: []Param{{ParamDescription, make([]byte, n)}}}
		if b, err := m.Append([]byte("kept")); err == nil || string(b) != "kept" {
			t.Errorf("%d bytes: error %v, buffer of %d bytes; want an error and the buffer unchanged", n, err, len(b))
		}
	}
}

func TestPairs(t *testing.T) {
	got := map[string]string{}
	for name, v := range Pairs([]byte("dest:2;width:1;via:-1;odd;;transit:1")) {
		got[name] = v
	}
	want := map[string]string{"dest": "2", "width": "1", "via": "-1", "odd": "", "": "", "transit": "1"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got)\n%s", diff)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte("\x00\x0d\x0c\x00\x00\x00\x00\x00\x00\x00\xa1\xde\x00\x01\x22"))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Read(bytes.NewReader(b))
		if err != nil {
			return
		}
		if again, err := m.Append(nil); err != nil || !bytes.Equal(again, b[:len(again)]) {
			t.Errorf("%x was encoded again as %x, error %v", b, again, err)
		}
	})
}
