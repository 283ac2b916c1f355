// Package callapi implements the call-control API over WebSocket: the server for the
// clients of tenants, and the connection to switches that speak the same API.
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

// Protocol is the WebSocket subprotocol that both sides must support.
const Protocol = "violetspan.calls.v1"

// Limits on messages and their fields, in bytes unless noted.
const (
	maxMessage     = 16 << 10
	maxDescription = 8 << 10 // it must fit the platform's messages, too
	maxID          = 64
	maxWidth       = 1 << 10 // circuits
	maxWait        = time.Minute
)

// Types of messages. Set-ups and releases are sent towards the switch, the others come
// from it. Errors and WebSocket pings are sent in both directions.
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

// message is any message of the API. Its type determines which fields it has.
type message struct {
	Type string `json:"type"`
	Call string `json:"call,omitempty"`

	// Fields of a set-up.
	Class  string  `json:"class,omitempty"`
	Number string  `json:"number,omitempty"`
	Dest   *int    `json:"dest,omitempty"`
	Width  int     `json:"width,omitempty"`
	WaitMs float64 `json:"wait_ms,omitempty"`

	// Fields of a set-up and an answer; the second is used if the description is not
	// valid UTF-8.
	Description    string `json:"description,omitempty"`
	DescriptionB64 string `json:"description_b64,omitempty"`

	// Fields of refused, failed and released.
	Reason       string `json:"reason,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`

	// Fields of a group's state.
	Free *int `json:"free,omitempty"`
	Size *int `json:"size,omitempty"`

	// Fields of an error.
	Code   string `json:"code,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// Reasons of refused, failed and released.
const (
	reasonNoRoute          = "no_route"          // the controller refused the call
	reasonFault            = "fault"             // all attempts failed
	reasonOverload         = "overload"          // the proxy can't accept another call
	reasonQuota            = "quota"             // the tenant's quota is used up
	reasonDisabled         = "disabled"          // the tenant is disabled
	reasonConnectionClosed = "connection_closed" // the client's connections closed before the final answer
	reasonGivenUp          = "given_up"          // the client released the call before the final answer
	reasonEnded            = "ended"             // the call ended normally
	reasonCut              = "cut"               // the call was cut
	reasonCaller           = "caller"            // the client hung up
)

// Codes of errors.
const (
	codeBadMessage  = "bad_message" // invalid JSON or an invalid field
	codeConflict    = "conflict"    // a known call ID with different content
	codeUnknownCall = "unknown_call"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// setDescription sets the description field that fits b.
func (m *message) setDescription(b []byte) {
	if utf8.Valid(b) {
		m.Description = string(b)
	} else {
		m.DescriptionB64 = base64.StdEncoding.EncodeToString(b)
	}
}

// decodeDescription returns the description of either field. An error names the field.
func (m *message) decodeDescription() ([]byte, error) {
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

// badMessageError reports an unreadable message on a connection that still works.
type badMessageError struct{ problem string }

func (e badMessageError) Error() string { return e.problem }

// read reads one message. The timeout runs from the message's first bytes to its end.
func read(ctx context.Context, c *websocket.Conn, timeout time.Duration) (m message, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	kind, r, err := c.Reader(ctx)
	if err != nil {
		return m, err
	}
	timer := time.AfterFunc(timeout, cancel)
	defer timer.Stop()
	b, err := io.ReadAll(r)
	if err != nil {
		return m, err
	}
	if kind != websocket.MessageText {
		return m, badMessageError{"a text message is wanted"}
	}
	if err := json.Unmarshal(b, &m); err != nil {
		return m, badMessageError{"not a JSON object of the API's form"}
	}
	return m, nil
}

// write writes one message, and fails after the timeout.
func write(ctx context.Context, c *websocket.Conn, m message, timeout time.Duration) error {
	payload, err := json.Marshal(m)
	if err != nil {
		return err
	}
	return writePayload(ctx, c, payload, timeout)
}

// writePayload writes one encoded message, and fails after the timeout.
func writePayload(ctx context.Context, c *websocket.Conn, payload []byte, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return c.Write(ctx, websocket.MessageText, payload)
}
