// Package wire implements the simulator's text protocol for routing policies: it reads
// batches of events, passes each event to its instance and writes the resulting actions. It
// only translates between the protocol and package routing.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"violetspan.example/violetspan/routing"
)

// instance is one hosted policy and its settings for the protocol.
type instance struct {
	name           string
	policy         routing.Policy
	columns        []string       // names of the values in a load report
	sendRetryAfter bool           // refusals carry the time of the next redial
	classes        map[string]int // index in Settings.Classes by class name
}

// host serves all instances of one input stream.
type host struct {
	in          *bufio.Reader
	out         *bufio.Writer
	diagnostics io.Writer
	factory     routing.Factory
	lineNumber  int // of the current line, from 1
	now         time.Duration
	instances   map[string]*instance
	lists       [16][]routing.ListEntry // by slot
	reply       []byte                  // to the current batch
	current     fieldReader             // of the current line
	lineBuffer  []byte
}

// fieldReader reads the space-separated fields of one line in order.
type fieldReader struct {
	message    string
	rest       string
	lineNumber int
}

// inputError names a line and field of the input that is invalid.
type inputError struct {
	lineNumber    int
	field, reason string
}

func (f inputError) Error() string {
	return fmt.Sprintf("line %d: field %s: %s", f.lineNumber, f.field, f.reason)
}

// Serve hosts the policies that factory creates until the input ends. Stack traces of
// panics are written to diagnostics. An error names the line and field that is invalid;
// nothing is written for its batch.
func Serve(in io.Reader, out, diagnostics io.Writer, factory routing.Factory) error {
	h := &host{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<18),
		diagnostics: diagnostics, factory: factory, instances: map[string]*instance{}}
	for {
		done, err := h.serveBatch()
		if err != nil || done {
			return err
		}
	}
}

// readLine returns the next line without its line break. A last line without one counts too.
func (h *host) readLine() (string, error) {
	h.lineBuffer = h.lineBuffer[:0]
	for {
		part, err := h.in.ReadSlice('\n')
		h.lineBuffer = append(h.lineBuffer, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil && (len(h.lineBuffer) == 0 || !errors.Is(err, io.EOF)) {
			return "", err
		}
		break
	}
	h.lineNumber++
	return strings.TrimRight(string(h.lineBuffer), "\r\n"), nil
}

// serveBatch processes one batch and writes its reply; done reports the end of the input.
func (h *host) serveBatch() (done bool, err error) {
	line, err := h.readLine()
	if errors.Is(err, io.EOF) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	fields := h.parseLine(line)
	if fields.message != "SYNC" {
		return false, fields.invalid("message", fmt.Sprintf("SYNC expected, got %q", fields.message))
	}
	if h.now, err = fields.duration("clock"); err != nil {
		return false, err
	}
	h.reply = h.reply[:0]
	for {
		line, err := h.readLine()
		if errors.Is(err, io.EOF) {
			return false, inputError{h.lineNumber + 1, "message", "the input ends inside a batch"}
		}
		if err != nil {
			return false, err
		}
		fields := h.parseLine(line)
		if fields.message == "FLUSH" {
			break
		}
		if err := h.handleEvent(fields); err != nil {
			return false, err
		}
	}
	h.reply = append(h.reply, "OK\n"...)
	if _, err := h.out.Write(h.reply); err != nil {
		return false, err
	}
	return false, h.out.Flush()
}

func (h *host) parseLine(line string) *fieldReader {
	h.current = fieldReader{lineNumber: h.lineNumber}
	h.current.message, h.current.rest, _ = strings.Cut(line, " ")
	return &h.current
}

func (f *fieldReader) invalid(field, reason string) error {
	return inputError{f.lineNumber, field, reason}
}

// word reads a required field. It returns "-", the mark of an absent value, unchanged.
func (f *fieldReader) word(field string) (string, error) {
	if f.rest == "" {
		return "", f.invalid(field, "missing")
	}
	var v string
	v, f.rest, _ = strings.Cut(f.rest, " ")
	if v == "" {
		return "", f.invalid(field, "missing")
	}
	return v, nil
}

// optional reads a field that may be missing or "-", and returns "" then.
func (f *fieldReader) optional(field string) (string, error) {
	if f.rest == "" {
		return "", nil
	}
	v, err := f.word(field)
	if v == "-" {
		v = ""
	}
	return v, err
}

// number reads a number, or returns def if it is absent.
func (f *fieldReader) number(field string, def float64) (float64, error) {
	v, err := f.optional(field)
	if err != nil || v == "" {
		return def, err
	}
	x, perr := strconv.ParseFloat(v, 64)
	if perr != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, f.invalid(field, fmt.Sprintf("%q is not a number", v))
	}
	return x, nil
}

// integer reads a whole number, limited to 32 bits, or returns def if it is absent.
func (f *fieldReader) integer(field string, def int) (int, error) {
	x, err := f.number(field, float64(def))
	if err == nil && x != math.Trunc(x) {
		return 0, f.invalid(field, fmt.Sprintf("%v is not a whole number", x))
	}
	return int(max(math.MinInt32, min(math.MaxInt32, x))), err
}

// duration reads a required time in milliseconds.
func (f *fieldReader) duration(field string) (time.Duration, error) {
	x, err := f.number(field, math.NaN())
	if err == nil && math.IsNaN(x) {
		return 0, f.invalid(field, "missing")
	}
	return fromMilliseconds(x), err
}

const maxMilliseconds = 1e12 // longer times are limited to this, so that they fit a time.Duration

func fromMilliseconds(x float64) time.Duration {
	return time.Duration(math.Round(max(-maxMilliseconds, min(maxMilliseconds, x))*1000)) * time.Microsecond
}

var results = map[string]routing.Result{
	"delivered": routing.Ended, "app_error": routing.Failed, "shed": routing.Refused, "expired": routing.TimedOut,
	"dial_failed": routing.NotReached, "dropped": routing.Reset, "revoked": routing.Cancelled, "unused": routing.NotSent,
}

var states = map[string]routing.State{"U": routing.Ready, "L": routing.Draining, "D": routing.Removed}

// lookup reads a required field that must be a key of the table and returns its value.
func lookup[T any](fields *fieldReader, field string, table map[string]T) (value T, err error) {
	key, err := fields.word(field)
	if err != nil {
		return value, err
	}
	value, ok := table[key]
	if !ok {
		return value, fields.invalid(field, fmt.Sprintf("%q is not known", key))
	}
	return value, nil
}

// handleEvent reads one message and, if it is an event, passes it to its instance.
func (h *host) handleEvent(fields *fieldReader) error {
	if fields.message == "LIST" {
		return h.readList(fields)
	}
	read, ok := eventReaders[fields.message]
	if !ok && fields.message != "LAUNCH" && fields.message != "KILLED" {
		return fields.invalid("message", fmt.Sprintf("%q is not known", fields.message))
	}
	who, err := fields.word("who")
	if err != nil {
		return err
	}
	if fields.message == "LAUNCH" {
		return h.launch(fields, who)
	}
	inst := h.instances[who]
	if inst == nil {
		return fields.invalid("who", fmt.Sprintf("instance %q was not started", who))
	}
	if fields.message == "KILLED" {
		delete(h.instances, who)
		return nil
	}
	ev, err := read(h, inst, fields)
	if err != nil || ev == nil {
		return err
	}
	h.apply(inst, ev)
	return nil
}

// apply passes an event to an instance and writes its actions. A panic of the policy is
// reported to the simulator.
func (h *host) apply(inst *instance, ev routing.Event) {
	defer func() {
		if r := recover(); r != nil {
			fmt.Fprintf(h.diagnostics, "%s: %v\n%s", inst.name, r, debug.Stack())
			h.writeText("GIVE_IN", inst, fmt.Sprint("panic: ", r))
		}
	}()
	for _, a := range inst.policy.Handle(h.now, ev) {
		h.writeAction(inst, a)
	}
}

// launch starts an instance, in place of one with the same name.
func (h *host) launch(fields *fieldReader, who string) error {
	value, err := fields.word("initSeed")
	if err != nil {
		return err
	}
	seed, perr := strconv.ParseUint(value, 10, 64)
	if perr != nil {
		return fields.invalid("initSeed", fmt.Sprintf("%q is not a whole number", value))
	}
	inst := &instance{name: who, classes: map[string]int{}}
	settings, err := readSettings(fields, inst)
	if err != nil {
		return err
	}
	if inst.policy, err = h.factory(settings, seed); err != nil {
		return fields.invalid("params", err.Error())
	}
	h.instances[who] = inst
	return nil
}

// readList reads a numbered list and its entries.
func (h *host) readList(fields *fieldReader) error {
	slot, err := fields.integer("slot", -1)
	if err != nil {
		return err
	}
	if slot < 0 || slot >= len(h.lists) {
		return fields.invalid("slot", "must be a number from 0 to 15")
	}
	count, err := fields.integer("hosts", -1)
	if err != nil {
		return err
	}
	if count < 0 {
		return fields.invalid("hosts", "must be a count")
	}
	var entries []routing.ListEntry // a new slice: instances may keep the old one
	for range count {
		line, err := h.readLine()
		if err != nil {
			return inputError{h.lineNumber + 1, "hosts", "the list ends early"}
		}
		item := h.parseLine(line)
		if item.message != "ITEM" {
			return item.invalid("message", fmt.Sprintf("ITEM expected, got %q", item.message))
		}
		entry, err := readEntry(item)
		if err != nil {
			return err
		}
		entries = append(entries, entry)
	}
	h.lists[slot] = entries
	return nil
}

func readEntry(fields *fieldReader) (e routing.ListEntry, err error) {
	if e.Host, err = fields.word("switch"); err != nil {
		return e, err
	}
	if _, err = fields.number("nominal", 1); err != nil {
		return e, err
	}
	if _, err = fields.optional("area"); err != nil {
		return e, err
	}
	started, err := fields.number("lastStartMs", 0)
	if err != nil {
		return e, err
	}
	e.Started = fromMilliseconds(started)
	if e.State, err = lookup(fields, "state", states); err != nil {
		return e, err
	}
	e.Exchange, err = fields.integer("nodeNo", 0)
	return e, err
}

// eventReaders holds the parser of each event message. A parser returns nil for a message that
// is ignored.
var eventReaders = map[string]func(*host, *instance, *fieldReader) (routing.Event, error){
	"DISCOVERY": readListUpdated,
	"JOB_IN":    readOffered,
	"STARTED":   readEstablished,
	"SETTLED":   readAttemptEnded,
	"WITHDRAWN": readWithdrawn,
	"SAMPLED":   readReported,
	"BELL":      readTimerFired,
	"PEER_DATA": func(*host, *instance, *fieldReader) (routing.Event, error) { return nil, nil },
}

func readListUpdated(h *host, _ *instance, fields *fieldReader) (routing.Event, error) {
	slot, err := fields.integer("slot", -1)
	if err != nil {
		return nil, err
	}
	mode, err := fields.word("mode")
	if err != nil {
		return nil, err
	}
	if mode == "Error" {
		return routing.ListUpdated{Failed: true}, nil
	}
	if mode != "Partial" && mode != "Complete" && mode != "Persisted" {
		return nil, fields.invalid("mode", fmt.Sprintf("%q is not known", mode))
	}
	if slot < 0 || slot >= len(h.lists) {
		return nil, fields.invalid("slot", "must be a number from 0 to 15")
	}
	return routing.ListUpdated{Complete: mode != "Partial", Entries: h.lists[slot]}, nil
}

// Bits of an offered call's marks.
const (
	markRedial   = 2
	markTransit  = 8
	markAfterCut = 16
)

func readOffered(_ *host, inst *instance, fields *fieldReader) (routing.Event, error) {
	var e routing.Offered
	var err error
	if e.Call, err = fields.word("job"); err != nil {
		return nil, err
	}
	if e.Class, err = lookup(fields, "category", inst.classes); err != nil {
		return nil, err
	}
	if _, err = fields.optional("billing"); err != nil {
		return nil, err
	}
	if e.Number, err = fields.optional("partitionKey"); err != nil {
		return nil, err
	}
	if e.Expires, err = fields.duration("expiresMs"); err != nil {
		return nil, err
	}
	if _, err = fields.number("workHintMs", 0); err != nil {
		return nil, err
	}
	if e.Dest, err = fields.integer("toExchange", -1); err != nil {
		return nil, err
	}
	if e.Width, err = fields.integer("circuits", 1); err != nil {
		return nil, err
	}
	if _, err = fields.integer("via", -1); err != nil {
		return nil, err
	}
	marks, err := fields.integer("marks", 0)
	if err != nil {
		return nil, err
	}
	e.Redial, e.Transit, e.AfterCut = marks&markRedial != 0, marks&markTransit != 0, marks&markAfterCut != 0
	return e, nil
}

func readEstablished(_ *host, _ *instance, fields *fieldReader) (routing.Event, error) {
	var e routing.Established
	var err error
	if e.Call, err = fields.word("job"); err != nil {
		return nil, err
	}
	if e.Attempt, err = fields.integer("shot", 0); err != nil {
		return nil, err
	}
	if _, err = fields.word("switch"); err != nil {
		return nil, err
	}
	delay, err := fields.number("delaySeenMs", 0)
	e.Delay = fromMilliseconds(delay)
	return e, err
}

func readAttemptEnded(_ *host, inst *instance, fields *fieldReader) (routing.Event, error) {
	var e routing.AttemptEnded
	var err error
	if e.Call, err = fields.word("job"); err != nil {
		return nil, err
	}
	delay, err := fields.number("delaySeenMs", 0)
	if err != nil {
		return nil, err
	}
	e.Delay = fromMilliseconds(delay)
	if e.Result, err = lookup(fields, "reason", results); err != nil {
		return nil, err
	}
	callEnded, err := fields.optional("over")
	if err != nil {
		return nil, err
	}
	e.CallEnded = callEnded == "1"
	if e.Host, err = fields.optional("switch"); err != nil {
		return nil, err
	}
	code, err := fields.integer("clearCode", 0)
	if err != nil {
		return nil, err
	}
	e.Cause, e.RetryAfter = decodeCause(code)
	if e.Attempt, err = fields.integer("shot", 0); err != nil {
		return nil, err
	}
	e.Report, err = readReport(fields, inst.columns)
	return e, err
}

// decodeCause decodes a clear code. Its low four bits are the cause. The other bits are a
// wait in milliseconds, or, for a call that was turned back, a reason.
func decodeCause(code int) (routing.Cause, time.Duration) {
	extra := max(code, 0) >> 4
	switch code & 15 {
	case 1:
		return routing.CauseNoCircuit, 0
	case 2:
		if extra > 0 {
			return routing.CauseDestinationFull, 0
		}
		return routing.CauseTurnedBack, 0
	case 3:
		return routing.CauseProcessorFull, time.Duration(extra) * time.Millisecond
	case 4:
		return routing.CauseNumberBusy, 0
	}
	return routing.CauseNone, 0
}

func readWithdrawn(_ *host, _ *instance, fields *fieldReader) (routing.Event, error) {
	id, err := fields.word("job")
	return routing.Withdrawn{Call: id}, err
}

func readReported(_ *host, inst *instance, fields *fieldReader) (routing.Event, error) {
	var e routing.Reported
	var err error
	if e.Host, err = fields.word("switch"); err != nil {
		return nil, err
	}
	if _, err := lookup(fields, "reason", results); err != nil {
		return nil, err
	}
	if _, err := fields.number("delaySeenMs", 0); err != nil {
		return nil, err
	}
	if e.Report, err = readReport(fields, inst.columns); err != nil {
		return nil, err
	}
	return e, nil
}

func readTimerFired(_ *host, _ *instance, fields *fieldReader) (routing.Event, error) {
	_, err := fields.word("token")
	return routing.TimerFired{}, err
}

// readReport reads the values of a load report, in the order of the columns.
func readReport(fields *fieldReader, columns []string) (routing.Report, error) {
	report := routing.NoReport
	row, err := fields.optional("feedback")
	if err != nil || row == "" {
		return report, err
	}
	for i := 0; row != "" && i < len(columns); i++ {
		var v string
		v, row, _ = strings.Cut(row, ",")
		if v == "" || v == "-" {
			continue
		}
		if err := report.Set(columns[i], v); err != nil {
			return report, fields.invalid("feedback", err.Error())
		}
	}
	return report, nil
}

// writeText writes an action whose only value extends to the end of the line; line breaks in it
// become spaces.
func (h *host) writeText(msg string, inst *instance, s string) {
	h.beginAction(msg, inst)
	h.putString(strings.Map(func(r rune) rune {
		if r == '\n' || r == '\r' {
			return ' '
		}
		return r
	}, s))
	h.reply = append(h.reply, '\n')
}

func (h *host) beginAction(msg string, inst *instance) {
	h.reply = append(h.reply, msg...)
	h.putString(inst.name)
}

func (h *host) putString(s string) {
	h.reply = append(h.reply, ' ')
	h.reply = append(h.reply, s...)
}

func (h *host) putDuration(d time.Duration) {
	h.reply = append(h.reply, ' ')
	h.reply = strconv.AppendFloat(h.reply, float64(d.Microseconds())/1000, 'f', -1, 64)
}

// writeAction appends one action to the reply.
func (h *host) writeAction(inst *instance, a routing.Action) {
	switch a := a.(type) {
	case routing.Send:
		h.beginAction("DISPATCH", inst)
		h.putString(a.Call)
		h.putString(a.Host)
		h.putDuration(a.Timeout)
	case routing.Refuse:
		h.beginAction("NOT_NOW", inst)
		h.putString(a.Call)
		if inst.sendRetryAfter {
			h.putDuration(a.RetryAfter)
		} else {
			h.putString("0")
		}
	case routing.Fail:
		h.beginAction("ABORT", inst)
		h.putString(a.Call)
	case routing.Cancel:
		h.beginAction("RECALL", inst)
		h.putString(a.Call)
		h.putString(strconv.Itoa(a.Attempt))
	case routing.SetTimer:
		h.beginAction("SCHEDULE", inst)
		h.putString("1")
		h.putDuration(a.After)
	case routing.Subscribe:
		h.beginAction("WATCH", inst)
		h.putString("1")
	case routing.Log:
		h.writeText("NOTE_DOWN", inst, a.Text)
		return
	default:
		return
	}
	h.reply = append(h.reply, '\n')
}
