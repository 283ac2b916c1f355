package wire

import (
	"bytes"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"violetspan.example/violetspan/routing"
)

const launch = "LAUNCH proxy-0 77 extra.skilledPools.count=2 extra.skilledPools.0=0,4 extra.skilledPools.1=3 classes.count=2 classes.0.deadlineMs=9000.0 classes.0.goalTimeMs=1500.0 " +
	"classes.0.name=plain classes.0.worth=1.0 classes.1.deadlineMs=6000.0 classes.1.goalTimeMs=800.0 " +
	"classes.1.name=dear classes.1.worth=5.0 extra.classHoldMs=12600.0,6300.0 extra.here=0 extra.releaseMs=200.0 " +
	"extra.resendMs=800.0 extra.topology=meshed extra.widths=1,2 fleetSize=3 limits.mostTries=6 limits.probes=true " +
	"report.columns=spare,total,mean_ms,allowed report.how=piggyback rules.coldShare=0.29 rules.fallMultiple=2.5 " +
	"rules.overloadForMs=1000.0 rules.rampTimeMs=15000.0 rules.answerSlackMs=20.0 some.new.key=x,y\n"

const discovery = "LIST 0 3\nITEM 10.0.0.1:5060 1 a - U 0 std\nITEM 10.0.0.2:5060 1 a - U 1 std\n" +
	"ITEM 10.0.0.3:5060 1 b - U 2 std\nDISCOVERY proxy-0 0 Persisted 4\n"

func serve(t *testing.T, in string) (out string, err error) {
	t.Helper()
	var b bytes.Buffer
	err = Serve(strings.NewReader(in), &b, io.Discard, routing.NewPolicy)
	return b.String(), err
}

// withoutTimers removes the timer actions from a transcript.
func withoutTimers(out string) string {
	var keep []string
	for _, l := range strings.Split(out, "\n") {
		if !strings.HasPrefix(l, "SCHEDULE ") {
			keep = append(keep, l)
		}
	}
	return strings.Join(keep, "\n")
}

func TestTranscripts(t *testing.T) {
	start := "SYNC 1000.5\n" + launch + discovery + "FLUSH\n"
	for _, tc := range []struct{ name, in, want string }{
		{"no input", "", ""},
		{"an empty batch", "SYNC 5\nFLUSH\n", "OK\n"},
		{"an established call", start +
			"SYNC 1010\nJOB_IN proxy-0 t/a plain - 00ff 3010.0 - 1 1 -1 0\nFLUSH\n" +
			"SYNC 1060\nSTARTED proxy-0 t/a 0 10.0.0.2:5060 50.0\nFLUSH\n" +
			"SYNC 9000\nSETTLED proxy-0 t/a 7990.0 delivered 1 10.0.0.2:5060 - 0 4,20,12.5,30\nFLUSH\n",
			"OK\nDISPATCH proxy-0 t/a 10.0.0.2:5060 1500\nOK\nOK\nOK\n"},
		{"turned back for a full processor", start +
			"SYNC 1010\nJOB_IN proxy-0 t/a plain - 00ff 3010.0 - 1 1 -1 2\nFLUSH\n" +
			"SYNC 1060\nSETTLED proxy-0 t/a 50 shed 0 10.0.0.2:5060 3 0 -\nFLUSH\n",
			"OK\nDISPATCH proxy-0 t/a 10.0.0.2:5060 1500\nOK\n" +
				"NOTE_DOWN proxy-0 exchange 1 sets up no call: one trial call at a time\nNOT_NOW proxy-0 t/a 0\nOK\n"},
		{"no circuit in the own group", start +
			"SYNC 1010\nSAMPLED proxy-0 10.0.0.2:5060 delivered 0.0 0,20,-1,-1\n" +
			"JOB_IN proxy-0 t/a plain - 00ff 3010.0 - 1 1 -1 0\nFLUSH\n",
			"OK\nDISPATCH proxy-0 t/a 10.0.0.3:5060 1500\nOK\n"},
		{"a transit call with few circuits", start +
			"SYNC 1010\nSAMPLED proxy-0 10.0.0.2:5060 delivered 0.0 1,20,-1,-1\n" +
			"JOB_IN proxy-0 t/a plain - - 3010.0 - 1 1 2 8\nFLUSH\n",
			"OK\nNOT_NOW proxy-0 t/a 0\nOK\n"},
		{"a list slot reused in one batch", start +
			"SYNC 1010\nLIST 3 1\nITEM 10.0.0.2:5060 1 a - L 1 std\nDISCOVERY proxy-0 3 Partial 5\n" +
			"LIST 3 1\nITEM 10.0.0.3:5060 1 a - D 2 std\nDISCOVERY proxy-0 3 Partial 6\n" +
			"JOB_IN proxy-0 t/a plain - - 3010.0 - 1 1 -1 0\nJOB_IN proxy-0 t/b dear - - 3010.0 - 2 1 -1 0\nFLUSH\n",
			"OK\nNOT_NOW proxy-0 t/a 0\nNOT_NOW proxy-0 t/b 0\nOK\n"},
		{"killed and started in one batch", start +
			"SYNC 1010\nJOB_IN proxy-0 t/a plain - - 3010.0 - 1 1 -1 0\nFLUSH\n" +
			"SYNC 1020\nKILLED proxy-0\n" + launch + "LIST 0 1\nITEM 10.0.0.3:5060 1 b - U 2 std\n" +
			"DISCOVERY proxy-0 0 Persisted 4\nJOB_IN proxy-0 t/b plain - - 3010.0 - 1 1 -1 0\n" +
			"JOB_IN proxy-0 t/c plain - - 3010.0 - 2 1 -1 0\nFLUSH\n",
			"OK\nDISPATCH proxy-0 t/a 10.0.0.2:5060 1500\nOK\n" +
				"NOT_NOW proxy-0 t/b 0\nDISPATCH proxy-0 t/c 10.0.0.3:5060 1500\nOK\n"},
		{"a late end of an attempt and a late timer", start +
			"SYNC 1010\nSETTLED proxy-0 t/zz 5 expired 1 10.0.0.2:5060 - 0 -\nBELL proxy-0 1\n" +
			"WITHDRAWN proxy-0 t/zz\nFLUSH\n", "OK\nOK\n"},
	} {
		out, err := serve(t, tc.in)
		if err != nil {
			t.Errorf("%s: %v", tc.name, err)
		}
		if got := withoutTimers(out); got != tc.want {
			t.Errorf("%s: replied\n%swant\n%s", tc.name, got, tc.want)
		}
	}
}

func TestInstancesAreIndependent(t *testing.T) {
	two := strings.ReplaceAll(launch, "proxy-0", "proxy-9")
	out, err := serve(t, "SYNC 1000\n"+launch+discovery+two+strings.ReplaceAll(discovery, "proxy-0", "proxy-9")+
		"JOB_IN proxy-9 t/a plain - - 3010.0 - 1 1 -1 0\nJOB_IN proxy-0 t/b plain - - 3010.0 - 2 1 -1 0\nFLUSH\n")
	want := "DISPATCH proxy-9 t/a 10.0.0.2:5060 1500\nDISPATCH proxy-0 t/b 10.0.0.3:5060 1500\nOK\n"
	if err != nil || withoutTimers(out) != want {
		t.Errorf("replied %q, %v; want %q", withoutTimers(out), err, want)
	}
}

func TestMalformedInputIsNamed(t *testing.T) {
	start := "SYNC 1000\n" + launch + discovery
	for _, tc := range []struct{ name, in, want string }{
		{"unknown message", start + "HELLO proxy-0\nFLUSH\n", `line 8: field message: "HELLO" is not known`},
		{"no clock", "SYNC\nFLUSH\n", "line 1: field clock: missing"},
		{"no batch start", "FLUSH\n", "line 1: field message"},
		{"not a number", start + "JOB_IN proxy-0 t/a plain - - soon - 1 1 -1 0\nFLUSH\n",
			`line 8: field expiresMs: "soon" is not a number`},
		{"unknown class", start + "JOB_IN proxy-0 t/a odd - - 5 - 1 1 -1 0\nFLUSH\n", "line 8: field category"},
		{"missing field", start + "STARTED proxy-0\nFLUSH\n", "line 8: field job: missing"},
		{"unknown instance", start + "BELL proxy-8 1\nFLUSH\n", `line 8: field who: instance "proxy-8" was not started`},
		{"cut batch", start, "line 8: field message: the input ends inside a batch"},
		{"cut list", "SYNC 1\nLIST 0 2\nITEM h 1 a - U 0 k\n", "line 4: field hosts"},
		{"bad state", "SYNC 1\nLIST 0 1\nITEM h 1 a - X 0 k\nFLUSH\n", "line 3: field state"},
		{"bad report", start + "SAMPLED proxy-0 10.0.0.2:5060 delivered 0.0 x,20\nFLUSH\n", "line 8: field feedback"},
		{"bad setting", "SYNC 1\nLAUNCH proxy-0 1 fleetSize=many\nFLUSH\n", "line 2: field params fleetSize"},
		{"invalid settings", "SYNC 1\nLAUNCH proxy-0 1 fleetSize=2\nFLUSH\n", "line 2: field params: settings: no class"},
		{"bad seed", "SYNC 1\nLAUNCH proxy-0 x a=b\nFLUSH\n", "line 2: field initSeed"},
	} {
		out, err := serve(t, tc.in)
		if err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s: error %v, want one with %q", tc.name, err, tc.want)
		}
		if out != "" {
			t.Errorf("%s: a partial reply %q", tc.name, out)
		}
	}
}

type panickingPolicy struct{}

func (panickingPolicy) Handle(time.Duration, routing.Event) []routing.Action { panic("no such thing") }

func TestPanicIsReported(t *testing.T) {
	var out bytes.Buffer
	factory := func(routing.Settings, uint64) (routing.Policy, error) { return panickingPolicy{}, nil }
	if err := Serve(strings.NewReader("SYNC 1\n"+launch+discovery+"FLUSH\n"), &out, io.Discard, factory); err != nil {
		t.Fatal(err)
	}
	if want := "GIVE_IN proxy-0 panic: no such thing\nOK\n"; out.String() != want {
		t.Errorf("replied %q, want %q", out.String(), want)
	}
}

type recordingPolicy struct {
	settings routing.Settings
	events   []routing.Event
	actions  []routing.Action
}

func (r *recordingPolicy) Handle(_ time.Duration, ev routing.Event) []routing.Action {
	r.events = append(r.events, ev)
	return r.actions
}

func TestEveryActionIsWritten(t *testing.T) {
	factory := func(routing.Settings, uint64) (routing.Policy, error) {
		return &recordingPolicy{actions: []routing.Action{
			routing.Send{Call: "c", Host: "h", Timeout: 80 * time.Millisecond}, routing.Refuse{Call: "c"},
			routing.Fail{Call: "c"}, routing.Cancel{Call: "c", Attempt: 2},
			routing.SetTimer{After: time.Second}, routing.Subscribe{}, routing.Log{Text: "two\nlines"},
		}}, nil
	}
	var out bytes.Buffer
	if err := Serve(strings.NewReader("SYNC 1\n"+launch+"BELL proxy-0 1\nFLUSH\n"), &out, io.Discard, factory); err != nil {
		t.Fatal(err)
	}
	want := "DISPATCH proxy-0 c h 80\nNOT_NOW proxy-0 c 0\nABORT proxy-0 c\nRECALL proxy-0 c 2\n" +
		"SCHEDULE proxy-0 1 1000\nWATCH proxy-0 1\nNOTE_DOWN proxy-0 two lines\nOK\n"
	if out.String() != want {
		t.Errorf("wrote\n%swant\n%s", out.String(), want)
	}
}

// A refusal carries the time of the next redial only if the settings allow it.
func TestRefusalsCarryRetryAfter(t *testing.T) {
	factory := func(routing.Settings, uint64) (routing.Policy, error) {
		return &recordingPolicy{actions: []routing.Action{routing.Refuse{Call: "c", RetryAfter: 1500 * time.Millisecond}}}, nil
	}
	for setting, want := range map[string]string{
		"limits.retryAfter=true": "1500", "limits.retryAfter=false": "0", "": "0",
	} {
		settings := strings.Replace(launch, "limits.probes=true", "limits.probes=true "+setting, 1)
		if setting == "" {
			settings = launch
		}
		var out bytes.Buffer
		if err := Serve(strings.NewReader("SYNC 1\n"+settings+"BELL proxy-0 1\nFLUSH\n"), &out, io.Discard, factory); err != nil {
			t.Fatal(err)
		}
		if want := "NOT_NOW proxy-0 c " + want + "\nOK\n"; out.String() != want {
			t.Errorf("%q: wrote\n%swant\n%s", setting, out.String(), want)
		}
	}
}

func TestEventsAndSettingsAreTranslated(t *testing.T) {
	var recorder recordingPolicy
	factory := func(s routing.Settings, _ uint64) (routing.Policy, error) {
		recorder.settings = s
		return &recorder, nil
	}
	in := "SYNC 1\n" + launch +
		"SETTLED proxy-0 c 5.25 shed 0 h 8003 1 3,20,-1,7.5\n" +
		"SETTLED proxy-0 c 5 shed 0 h 18 1 -\nSETTLED proxy-0 c 5 app_error 0 h 4 0 -\n" +
		"JOB_IN proxy-0 c dear - ab 10 - 2 2 -1 26\nPEER_DATA proxy-0 1 00\nDISCOVERY proxy-0 9 Error 0\nFLUSH\n"
	if err := Serve(strings.NewReader(in), io.Discard, io.Discard, factory); err != nil {
		t.Fatal(err)
	}
	report := routing.NoReport
	report.Free, report.Size, report.AcceptRate = 3, 20, 7.5
	want := []routing.Event{
		routing.AttemptEnded{Call: "c", Attempt: 1, Host: "h", Result: routing.Refused, Cause: routing.CauseProcessorFull,
			RetryAfter: 500 * time.Millisecond, Delay: 5250 * time.Microsecond, Report: report},
		routing.AttemptEnded{Call: "c", Attempt: 1, Host: "h", Result: routing.Refused, Cause: routing.CauseDestinationFull,
			Delay: 5 * time.Millisecond, Report: routing.NoReport},
		routing.AttemptEnded{Call: "c", Host: "h", Result: routing.Failed, Cause: routing.CauseNumberBusy,
			Delay: 5 * time.Millisecond, Report: routing.NoReport},
		routing.Offered{Call: "c", Class: 1, Number: "ab", Dest: 2, Width: 2, Expires: 10 * time.Millisecond,
			Transit: true, Redial: true, AfterCut: true},
		routing.ListUpdated{Failed: true},
	}
	if !reflect.DeepEqual(recorder.events, want) {
		t.Errorf("events\n%+v, want\n%+v", recorder.events, want)
	}
	s := recorder.settings
	if s.FleetSize != 3 || s.ReleaseDelay != 200*time.Millisecond || s.Classes[1].Width != 2 || s.MaxAttempts != 6 ||
		s.Classes[1].Hold != 6300*time.Millisecond || s.ColdCapacity != 0.29 || s.PoolMode ||
		!reflect.DeepEqual(s.Classes[0].Pools, []int{0, 4}) || !reflect.DeepEqual(s.Classes[1].Pools, []int{3}) {
		t.Errorf("settings read as %+v", s)
	}
}
