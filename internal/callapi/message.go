// Package callapi is the call-control API over WebSocket: the front that takes
// tenants' calls, and the way to switches that speak the same API.
// docs/callapi.md describes it.
package callapi

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"time"
	"unicode/utf8"

	"github.com/coder/websocket"
	jsoniter "github.com/json-iterator/go"
)

// Protocol is the WebSocket subprotocol, which both sides must speak.
const Protocol = "violetspan.calls.v1"

// Limits on what a message may hold.
const (
	maxMessage     = 16 << 10
	maxDescription = 8 << 10 // as bytes: it must fit the platform's messages too
	maxID          = 64
	maxWidth       = 1 << 10
	maxWait        = time.Minute
)

// The types of messages. A set-up and a release go towards the switch, the
// others come from it; errors and the pings of WebSocket itself go both ways.
const (
	typeSetUp    = "setup"
	typeRelease  = "release"
	typeAnswer   = "answer"
	typeRefused  = "refused"
	typeFailed   = "failed"
	typeReleased = "released"
	typeGroup    = "group"
	typeError    = "error"
)

// message is any message of the API; which fields it has goes by its type.
type message struct {
	Type string `json:"type"`
	Call string `json:"call,omitempty"`

	// Of a set-up.
	Class  string  `json:"class,omitempty"`
	Number string  `json:"number,omitempty"`
	Dest   *int    `json:"dest,omitempty"`
	Width  int     `json:"width,omitempty"`
	WaitMs float64 `json:"wait_ms,omitempty"`

	// Of a set-up and an answer; the second for what is no UTF-8 text.
	Description    string `json:"description,omitempty"`
	DescriptionB64 string `json:"description_b64,omitempty"`

	// Of the ends of a call.
	Reason       string `json:"reason,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`

	// Of a group's state.
	Free *int `json:"free,omitempty"`
	Size *int `json:"size,omitempty"`

	// Of an error.
	Code   string `json:"code,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// The reasons of the ends of a call.
const (
	reasonNoRoute  = "no_route"          // the module turned it away
	reasonFault    = "fault"             // the attempts failed
	reasonBusy     = "overload"          // the proxy has no room
	reasonQuota    = "quota"             // the tenant's quota is used up
	reasonDisabled = "disabled"          // the tenant is disabled
	reasonLeft     = "connection_closed" // its last connection closed before its answer
	reasonGivenUp  = "given_up"          // the client released it before its answer
	reasonEnded    = "ended"             // it came to its end
	reasonCut      = "cut"               // it was cut
	reasonCaller   = "caller"            // the client hung up
)

// The codes of errors.
const (
	codeBadMessage = "bad_message" // no JSON, or a field that can't be
	codeConflict   = "conflict"    // a known id with other content
	codeUnknown    = "unknown_call"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

func (m *message) describe(b []byte) {
	if utf8.Valid(b) {
		m.Description = string(b)
	} else {
		m.DescriptionB64 = base64.StdEncoding.EncodeToString(b)
	}
}

func (m *message) described() ([]byte, error) {
	b := []byte(m.Description)
	if m.DescriptionB64 != "" {
		if m.Description != "" {
			return nil, errors.New("description: given twice")
		}
		var err error
		if b, err = base64.StdEncoding.DecodeString(m.DescriptionB64); err != nil {
			return nil, errors.New("description_b64: not base64")
		}
	}
	if len(b) > maxDescription {
		return nil, fmt.Errorf("description: longer than %d bytes", maxDescription)
	}
	return b, nil
}

// errBad is a message that can't be read; the connection itself is sound.
type errBad struct{ why string }

func (e errBad) Error() string { return e.why }

// read reads one message, which ends within a time once it has begun.
func read(ctx context.Context, c *websocket.Conn, rest time.Duration) (m message, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	kind, r, err := c.Reader(ctx)
	if err != nil {
		return m, err
	}
	late := time.AfterFunc(rest, cancel)
	defer late.Stop()
	b, err := io.ReadAll(r)
	if err != nil {
		return m, err
	}
	if kind != websocket.MessageText {
		return m, errBad{"a text message is wanted"}
	}
	if err := json.Unmarshal(b, &m); err != nil {
		return m, errBad{"not a JSON object of the API's form"}
	}
	return m, nil
}

// write writes one message within a time.
func write(ctx context.Context, c *websocket.Conn, m message, within time.Duration) error {
	b, err := json.Marshal(m)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return c.Write(ctx, websocket.MessageText, b)
}
