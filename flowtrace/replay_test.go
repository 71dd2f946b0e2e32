package flowtrace_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/bramleyrack/bramleyrack/flowtrace"
)

func readTraces(tb testing.TB) []*flowtrace.Trace {
	tb.Helper()
	files, err := filepath.Glob("../testdata/traces/flow-*.yaml")
	if err != nil || len(files) == 0 {
		tb.Fatalf("no flow traces in ../testdata/traces: %v", err)
	}
	var traces []*flowtrace.Trace
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			tb.Fatal(err)
		}
		trace, err := flowtrace.Read(file)
		file.Close()
		if err != nil {
			tb.Fatalf("%s: %v", name, err)
		}
		traces = append(traces, trace)
	}
	return traces
}

func logResult(tb testing.TB, r *flowtrace.Result) {
	tb.Logf("%-12s opened %d failed %d broken %d timed out %d (%.1f of 10,000) broken by owner %d split %d other service %d imbalance %.3f floor %.3f excess %.3f drain %v passes %.4f",
		r.Policy, r.Opened, r.FailedOpens, r.Broken, r.TimedOut, r.BrokenPer10000(), r.BrokenByOwner, r.SplitHandshakes,
		r.OtherService, r.Imbalance, r.ImbalanceFloor, r.ImbalanceExcess, r.LastAcceptAfterDrain, r.PassesPerPacket())
}

// TestTraces checks the replay of every trace against its expected outcome, and logs the results of the baselines.
func TestTraces(t *testing.T) {
	for _, trace := range readTraces(t) {
		t.Run(trace.Name, func(t *testing.T) {
			t.Parallel()
			result := flowtrace.Replay(trace)
			logResult(t, result)
			for _, missed := range trace.Expect.Check(result) {
				t.Error(missed)
			}
			for _, baseline := range flowtrace.Baselines(trace) {
				logResult(t, baseline)
			}
		})
	}
}

func TestReadRefusesMalformedYAML(t *testing.T) {
	if _, err := flowtrace.Read(strings.NewReader("name: a\nservices: !0\n  0:\n    0: 0\n")); err == nil {
		t.Fatal("accepted a map with an unknown tag in place of a list")
	}
}

func TestReadRefusesUnknownFields(t *testing.T) {
	if _, err := flowtrace.Read(strings.NewReader("name: a\nwrong: 1\n")); err == nil {
		t.Fatal("accepted an unknown field")
	}
}
