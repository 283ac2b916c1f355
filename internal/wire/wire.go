// Package wire carries controllers over the bench's text wire: it reads
// batches of events, hands each to its instance and writes the replies. It
// translates and decides nothing.
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

// instance is one hosted controller and what only the wire knows of it.
type instance struct {
	name    string
	d       routing.Policy
	columns []string
	advise  bool // callers hear when to dial again
	classes map[string]int
}

// host is one run of the wire.
type host struct {
	in    *bufio.Reader
	out   *bufio.Writer
	errs  io.Writer
	make  routing.Factory
	line  int // number of the line being read
	now   time.Duration
	insts map[string]*instance
	lists [16][]routing.ListEntry
	reply []byte
	field fields
	long  []byte
}

// fields walks the space-separated values of one line.
type fields struct {
	msg  string
	rest string
	line int
}

// fault is a line that can't be read.
type fault struct {
	line       int
	field, why string
}

func (f fault) Error() string { return fmt.Sprintf("line %d: field %s: %s", f.line, f.field, f.why) }

// Serve hosts instances on the wire until the input ends. An error names the
// line and field that could not be read; nothing is written for its batch.
func Serve(in io.Reader, out, errs io.Writer, mk routing.Factory) error {
	h := &host{in: bufio.NewReaderSize(in, 1<<20), out: bufio.NewWriterSize(out, 1<<18), errs: errs, make: mk,
		insts: map[string]*instance{}}
	for {
		done, err := h.batch()
		if err != nil || done {
			return err
		}
	}
}

// next reads one line without its end.
func (h *host) next() (string, error) {
	h.long = h.long[:0]
	for {
		part, err := h.in.ReadSlice('\n')
		h.long = append(h.long, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil && (len(h.long) == 0 || !errors.Is(err, io.EOF)) {
			return "", err
		}
		break
	}
	h.line++
	return strings.TrimRight(string(h.long), "\r\n"), nil
}

// batch serves one batch; done tells that the input has ended.
func (h *host) batch() (done bool, err error) {
	line, err := h.next()
	if errors.Is(err, io.EOF) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	f := h.begin(line)
	if f.msg != "SYNC" {
		return false, f.bad("message", fmt.Sprintf("SYNC expected, got %q", f.msg))
	}
	if h.now, err = f.ms("clock"); err != nil {
		return false, err
	}
	h.reply = h.reply[:0]
	for {
		line, err := h.next()
		if errors.Is(err, io.EOF) {
			return false, fault{h.line + 1, "message", "the input ends inside a batch"}
		}
		if err != nil {
			return false, err
		}
		f := h.begin(line)
		if f.msg == "FLUSH" {
			break
		}
		if err := h.event(f); err != nil {
			return false, err
		}
	}
	h.reply = append(h.reply, "OK\n"...)
	if _, err := h.out.Write(h.reply); err != nil {
		return false, err
	}
	return false, h.out.Flush()
}

func (h *host) begin(line string) *fields {
	h.field = fields{line: h.line}
	h.field.msg, h.field.rest, _ = strings.Cut(line, " ")
	return &h.field
}

func (f *fields) bad(field, why string) error { return fault{f.line, field, why} }

// word takes the next value; absent is "-".
func (f *fields) word(field string) (string, error) {
	if f.rest == "" {
		return "", f.bad(field, "missing")
	}
	var v string
	v, f.rest, _ = strings.Cut(f.rest, " ")
	if v == "" {
		return "", f.bad(field, "missing")
	}
	return v, nil
}

// opt takes a value that may be left out.
func (f *fields) opt(field string) (string, error) {
	if f.rest == "" {
		return "", nil
	}
	v, err := f.word(field)
	if v == "-" {
		v = ""
	}
	return v, err
}

// num takes a number, or def where it is absent.
func (f *fields) num(field string, def float64) (float64, error) {
	v, err := f.opt(field)
	if err != nil || v == "" {
		return def, err
	}
	x, perr := strconv.ParseFloat(v, 64)
	if perr != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		return 0, f.bad(field, fmt.Sprintf("%q is not a number", v))
	}
	return x, nil
}

func (f *fields) whole(field string, def int) (int, error) {
	x, err := f.num(field, float64(def))
	if err == nil && x != math.Trunc(x) {
		return 0, f.bad(field, fmt.Sprintf("%v is not a whole number", x))
	}
	return int(max(math.MinInt32, min(math.MaxInt32, x))), err
}

// ms takes a required time.
func (f *fields) ms(field string) (time.Duration, error) {
	x, err := f.num(field, math.NaN())
	if err == nil && math.IsNaN(x) {
		return 0, f.bad(field, "missing")
	}
	return fromMs(x), err
}

const longest = 1e12 // milliseconds: longer times are cut to it

func fromMs(x float64) time.Duration {
	return time.Duration(math.Round(max(-longest, min(longest, x))*1000)) * time.Microsecond
}

var results = map[string]routing.Result{
	"delivered": routing.Ended, "app_error": routing.Failed, "shed": routing.Refused, "expired": routing.TimedOut,
	"dial_failed": routing.NotReached, "dropped": routing.Reset, "revoked": routing.Cancelled, "unused": routing.NotSent,
}

var states = map[string]routing.State{"U": routing.Ready, "L": routing.Draining, "D": routing.Removed}

// pick takes a word that must be one of a table's keys.
func pick[T any](f *fields, field string, table map[string]T) (v T, err error) {
	w, err := f.word(field)
	if err != nil {
		return v, err
	}
	v, ok := table[w]
	if !ok {
		return v, f.bad(field, fmt.Sprintf("%q is not known here", w))
	}
	return v, nil
}

// event reads one event line and lets its instance act.
func (h *host) event(f *fields) error {
	if f.msg == "LIST" {
		return h.list(f)
	}
	read, ok := readers[f.msg]
	if !ok && f.msg != "LAUNCH" && f.msg != "KILLED" {
		return f.bad("message", fmt.Sprintf("%q is not known", f.msg))
	}
	who, err := f.word("who")
	if err != nil {
		return err
	}
	if f.msg == "LAUNCH" {
		return h.launch(f, who)
	}
	in := h.insts[who]
	if in == nil {
		return f.bad("who", fmt.Sprintf("instance %q was not started", who))
	}
	if f.msg == "KILLED" {
		delete(h.insts, who)
		return nil
	}
	ev, err := read(h, in, f)
	if err != nil || ev == nil {
		return err
	}
	h.run(in, ev)
	return nil
}

// run lets an instance act on an event; a panic is reported as a broken module.
func (h *host) run(in *instance, ev routing.Event) {
	defer func() {
		if r := recover(); r != nil {
			fmt.Fprintf(h.errs, "%s: %v\n%s", in.name, r, debug.Stack())
			h.text("GIVE_IN", in, fmt.Sprint("panic: ", r))
		}
	}()
	for _, a := range in.d.Handle(h.now, ev) {
		h.write(in, a)
	}
}

func (h *host) launch(f *fields, who string) error {
	w, err := f.word("initSeed")
	if err != nil {
		return err
	}
	seed, perr := strconv.ParseUint(w, 10, 64)
	if perr != nil {
		return f.bad("initSeed", fmt.Sprintf("%q is not a whole number", w))
	}
	in := &instance{name: who, classes: map[string]int{}}
	s, err := settings(f, in)
	if err != nil {
		return err
	}
	if in.d, err = h.make(s, seed); err != nil {
		return f.bad("params", err.Error())
	}
	h.insts[who] = in
	return nil
}

// list reads a numbered list and its entries.
func (h *host) list(f *fields) error {
	slot, err := f.whole("slot", -1)
	if err != nil {
		return err
	}
	if slot < 0 || slot >= len(h.lists) {
		return f.bad("slot", "a number from 0 to 15 is wanted")
	}
	n, err := f.whole("hosts", -1)
	if err != nil {
		return err
	}
	if n < 0 {
		return f.bad("hosts", "a count is wanted")
	}
	var entries []routing.ListEntry // not reused: instances may hold on to the old ones
	for range n {
		line, err := h.next()
		if err != nil {
			return fault{h.line + 1, "hosts", "the list ends early"}
		}
		g := h.begin(line)
		if g.msg != "ITEM" {
			return g.bad("message", fmt.Sprintf("ITEM expected, got %q", g.msg))
		}
		e, err := entry(g)
		if err != nil {
			return err
		}
		entries = append(entries, e)
	}
	h.lists[slot] = entries
	return nil
}

func entry(f *fields) (e routing.ListEntry, err error) {
	if e.Host, err = f.word("switch"); err != nil {
		return e, err
	}
	if _, err = f.num("nominal", 1); err != nil {
		return e, err
	}
	if _, err = f.opt("area"); err != nil {
		return e, err
	}
	started, err := f.num("lastStartMs", 0)
	if err != nil {
		return e, err
	}
	e.Started = fromMs(started)
	if e.State, err = pick(f, "state", states); err != nil {
		return e, err
	}
	e.Exchange, err = f.whole("nodeNo", 0)
	return e, err
}

// readers reads each kind of event that goes to an instance.
var readers = map[string]func(*host, *instance, *fields) (routing.Event, error){
	"DISCOVERY": readListed,
	"JOB_IN":    readOffered,
	"STARTED":   readStood,
	"SETTLED":   readSettled,
	"WITHDRAWN": readWithdrawn,
	"SAMPLED":   readProbed,
	"BELL":      readWoken,
	"PEER_DATA": func(*host, *instance, *fields) (routing.Event, error) { return nil, nil },
}

func readListed(h *host, _ *instance, f *fields) (routing.Event, error) {
	slot, err := f.whole("slot", -1)
	if err != nil {
		return nil, err
	}
	mode, err := f.word("mode")
	if err != nil {
		return nil, err
	}
	if mode == "Error" {
		return routing.ListUpdated{Failed: true}, nil
	}
	if mode != "Partial" && mode != "Complete" && mode != "Persisted" {
		return nil, f.bad("mode", fmt.Sprintf("%q is not known here", mode))
	}
	if slot < 0 || slot >= len(h.lists) {
		return nil, f.bad("slot", "a number from 0 to 15 is wanted")
	}
	return routing.ListUpdated{Complete: mode != "Partial", Entries: h.lists[slot]}, nil
}

const (
	markRedial  = 2
	markTransit = 8
	markCut     = 16
)

func readOffered(_ *host, in *instance, f *fields) (routing.Event, error) {
	var e routing.Offered
	var err error
	if e.Call, err = f.word("job"); err != nil {
		return nil, err
	}
	if e.Class, err = pick(f, "category", in.classes); err != nil {
		return nil, err
	}
	if _, err = f.opt("billing"); err != nil {
		return nil, err
	}
	if e.Number, err = f.opt("partitionKey"); err != nil {
		return nil, err
	}
	if e.Expires, err = f.ms("expiresMs"); err != nil {
		return nil, err
	}
	if _, err = f.num("workHintMs", 0); err != nil {
		return nil, err
	}
	if e.Dest, err = f.whole("toExchange", -1); err != nil {
		return nil, err
	}
	if e.Width, err = f.whole("circuits", 1); err != nil {
		return nil, err
	}
	if _, err = f.whole("via", -1); err != nil {
		return nil, err
	}
	marks, err := f.whole("marks", 0)
	if err != nil {
		return nil, err
	}
	e.Redial, e.Transit, e.AfterCut = marks&markRedial != 0, marks&markTransit != 0, marks&markCut != 0
	return e, nil
}

func readStood(_ *host, _ *instance, f *fields) (routing.Event, error) {
	var e routing.Established
	var err error
	if e.Call, err = f.word("job"); err != nil {
		return nil, err
	}
	if e.Attempt, err = f.whole("shot", 0); err != nil {
		return nil, err
	}
	if _, err = f.word("switch"); err != nil {
		return nil, err
	}
	d, err := f.num("delaySeenMs", 0)
	e.Delay = fromMs(d)
	return e, err
}

func readSettled(_ *host, in *instance, f *fields) (routing.Event, error) {
	var e routing.AttemptEnded
	var err error
	if e.Call, err = f.word("job"); err != nil {
		return nil, err
	}
	d, err := f.num("delaySeenMs", 0)
	if err != nil {
		return nil, err
	}
	e.Delay = fromMs(d)
	if e.Result, err = pick(f, "reason", results); err != nil {
		return nil, err
	}
	over, err := f.opt("over")
	if err != nil {
		return nil, err
	}
	e.CallEnded = over == "1"
	if e.Host, err = f.opt("switch"); err != nil {
		return nil, err
	}
	code, err := f.whole("clearCode", 0)
	if err != nil {
		return nil, err
	}
	e.Cause, e.RetryAfter = cause(code)
	if e.Attempt, err = f.whole("shot", 0); err != nil {
		return nil, err
	}
	e.Report, err = report(f, in.columns)
	return e, err
}

// cause splits a clear code: its low four bits are the cause, and the rest a
// wait in milliseconds, or for a call turned back, why.
func cause(code int) (routing.Cause, time.Duration) {
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

func readWithdrawn(_ *host, _ *instance, f *fields) (routing.Event, error) {
	id, err := f.word("job")
	return routing.Withdrawn{Call: id}, err
}

func readProbed(_ *host, in *instance, f *fields) (routing.Event, error) {
	var e routing.Reported
	var err error
	if e.Host, err = f.word("switch"); err != nil {
		return nil, err
	}
	if _, err := pick(f, "reason", results); err != nil {
		return nil, err
	}
	if _, err := f.num("delaySeenMs", 0); err != nil {
		return nil, err
	}
	if e.Report, err = report(f, in.columns); err != nil {
		return nil, err
	}
	return e, nil
}

func readWoken(_ *host, _ *instance, f *fields) (routing.Event, error) {
	_, err := f.word("token")
	return routing.TimerFired{}, err
}

// report reads the values of a load report, in the order of the columns.
func report(f *fields, columns []string) (routing.Report, error) {
	r := routing.NoReport
	row, err := f.opt("feedback")
	if err != nil || row == "" {
		return r, err
	}
	for i := 0; row != "" && i < len(columns); i++ {
		var v string
		v, row, _ = strings.Cut(row, ",")
		if v == "" || v == "-" {
			continue
		}
		if err := r.Set(columns[i], v); err != nil {
			return r, f.bad("feedback", err.Error())
		}
	}
	return r, nil
}

// text writes an action whose one value runs to the line's end.
func (h *host) text(msg string, in *instance, s string) {
	h.open(msg, in)
	h.put(strings.Map(func(r rune) rune {
		if r == '\n' || r == '\r' {
			return ' '
		}
		return r
	}, s))
	h.reply = append(h.reply, '\n')
}

func (h *host) open(msg string, in *instance) {
	h.reply = append(h.reply, msg...)
	h.put(in.name)
}

func (h *host) put(s string) {
	h.reply = append(h.reply, ' ')
	h.reply = append(h.reply, s...)
}

func (h *host) putMs(d time.Duration) {
	h.reply = append(h.reply, ' ')
	h.reply = strconv.AppendFloat(h.reply, float64(d.Microseconds())/1000, 'f', -1, 64)
}

// write puts one action on the wire.
func (h *host) write(in *instance, a routing.Action) {
	switch a := a.(type) {
	case routing.Send:
		h.open("DISPATCH", in)
		h.put(a.Call)
		h.put(a.Host)
		h.putMs(a.Timeout)
	case routing.Refuse:
		h.open("NOT_NOW", in)
		h.put(a.Call)
		if in.advise {
			h.putMs(a.RetryAfter)
		} else {
			h.put("0") // no advice on when to dial again
		}
	case routing.Fail:
		h.open("ABORT", in)
		h.put(a.Call)
	case routing.Cancel:
		h.open("RECALL", in)
		h.put(a.Call)
		h.put(strconv.Itoa(a.Attempt))
	case routing.SetTimer:
		h.open("SCHEDULE", in)
		h.put("1")
		h.putMs(a.After)
	case routing.Subscribe:
		h.open("WATCH", in)
		h.put("1")
	case routing.Log:
		h.text("NOTE_DOWN", in, a.Text)
		return
	default:
		return
	}
	h.reply = append(h.reply, '\n')
}
