package requesttrace_test

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/requesttrace"
)

var update = flag.Bool("update-traces", false, "write the generated traces to testdata")

const (
	traceDir        = "../testdata/traces"
	wislankaTrace   = "request-wislanka-friday.csv"
	agenciaTrace    = "request-agencia-morning.csv"
	meanServiceTime = 100 * time.Millisecond
	wislankaSlots   = 7
	agenciaSlots    = 5
	servers         = 7
)

func traceShape(slots int, length time.Duration) requesttrace.Shape {
	return requesttrace.Shape{
		Length:           length,
		Rate:             float64(servers*slots) / meanServiceTime.Seconds(),
		Callers:          2000 * servers,
		Skew:             1.2,
		MeanServiceTime:  meanServiceTime,
		ServiceTimeSigma: 0.5,
		Timeout:          2 * time.Second,
		UrgentTimeout:    500 * time.Millisecond,
		UrgentShare:      0.3,
	}
}

func config(dispatch requesttrace.Dispatch, slots int) requesttrace.Config {
	return requesttrace.Config{
		Dispatch:       dispatch,
		Servers:        servers,
		Slots:          slots,
		QueueLength:    64,
		CallerDelay:    time.Millisecond,
		PeerDelay:      1500 * time.Microsecond,
		ReportInterval: 500 * time.Millisecond,
		RetryAfter:     200 * time.Millisecond,
		RetryShare:     0.1,
		MaxAttempts:    3,
		Seed:           1,
	}
}

func readTrace(t testing.TB, name string) []requesttrace.Request {
	t.Helper()
	f, err := os.Open(filepath.Join(traceDir, name))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	trace, err := requesttrace.Read(f)
	if err != nil {
		t.Fatal(err)
	}
	return trace
}

// TestTracesMatchGenerator guards against traces in testdata that cannot be reproduced because they were
// edited or the generator changed.
func TestTracesMatchGenerator(t *testing.T) {
	for name, slots := range map[string]int{wislankaTrace: wislankaSlots, agenciaTrace: agenciaSlots} {
		var want bytes.Buffer
		trace := requesttrace.Generate(traceShape(slots, 20*time.Second), rand.New(rand.NewSource(int64(slots))))
		if err := requesttrace.Write(&want, trace); err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(traceDir, name)
		if *update {
			if err := os.WriteFile(path, want.Bytes(), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		got, err := os.ReadFile(path)
		if err != nil || !bytes.Equal(got, want.Bytes()) {
			t.Errorf("%s differs from the output of the generator (error %v)", name, err)
		}
		if read := readTrace(t, name); !slices.Equal(read, trace) {
			t.Errorf("reading %s does not return the generated trace", name)
		}
	}
}

func logReport(t testing.TB, factor float64, c requesttrace.Config, r requesttrace.Report) {
	t.Logf("%4.1fx %-17s goodput %5.3f good %6.3f refused %6.3f late %6.3f attempts %5.3f wasted %6d delegated %6d declined %6d offers %6d imbalance %5.3f p50 %6.1f p99 %7.1f p99.9 %7.1f refusal p50 %5.1f p99 %6.1f ms urgent good %.3f",
		factor, c.Dispatch, r.Goodput, share(r.Good, r), share(r.Refused, r), share(r.Late, r), share(r.Attempts, r),
		r.Wasted, r.Delegated, r.Declined, r.Offers, r.Imbalance,
		milliseconds(r.P50), milliseconds(r.P99), milliseconds(r.P999),
		milliseconds(r.RefusalP50), milliseconds(r.RefusalP99), float64(r.GoodUrgent)/float64(r.Urgent))
}

func share(n int, r requesttrace.Report) float64 { return float64(n) / float64(r.Offered) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

const (
	minGoodput            = 0.95
	maxAttemptsPerRequest = 1.1
)

func TestOverloadAgainstBaselines(t *testing.T) {
	for name, slots := range map[string]int{wislankaTrace: wislankaSlots, agenciaTrace: agenciaSlots} {
		t.Run(name, func(t *testing.T) {
			trace := readTrace(t, name)
			for _, factor := range []float64{0.5, 1, 2, 4} {
				scaled := requesttrace.Scale(trace, factor)
				for dispatch := requesttrace.Admission; dispatch <= requesttrace.RoundRobinFIFO; dispatch++ {
					c := config(dispatch, slots)
					r := requesttrace.Replay(scaled, c)
					logReport(t, factor, c, r)
					if dispatch == requesttrace.Admission {
						checkAdmission(t, factor, r)
					}
				}
			}
		})
	}
}

func checkAdmission(t *testing.T, factor float64, r requesttrace.Report) {
	t.Helper()
	if r.Good+r.Refused+r.Late != r.Offered {
		t.Errorf("%gx: %d requests have no outcome", factor, r.Offered-r.Good-r.Refused-r.Late)
	}
	if attempts := share(r.Attempts, r); attempts > maxAttemptsPerRequest {
		t.Errorf("%gx: too many attempts: %.3f per request", factor, attempts)
	}
	if urgent := float64(r.GoodUrgent) / float64(r.Urgent); urgent < share(r.Good, r) {
		t.Errorf("%gx: %.3f of the urgent requests answered in time, want at least the %.3f of all requests", factor, urgent, share(r.Good, r))
	}
	if factor >= 2 && r.Goodput < minGoodput {
		t.Errorf("%gx: goodput too low: %.3f of capacity", factor, r.Goodput)
	}
}

func TestReplayIsDeterministic(t *testing.T) {
	trace := requesttrace.Generate(traceShape(agenciaSlots, 2*time.Second), rand.New(rand.NewSource(1)))
	c := config(requesttrace.Admission, agenciaSlots)
	if first, second := requesttrace.Replay(trace, c), requesttrace.Replay(trace, c); first != second {
		t.Fatalf("two replays of the same trace gave %+v and %+v", first, second)
	}
}

func Example() {
	trace := []requesttrace.Request{
		{At: 0, Caller: 1, ServiceTime: 100 * time.Millisecond, Timeout: time.Second},
		{At: 0, Caller: 2, ServiceTime: 100 * time.Millisecond, Timeout: time.Second},
	}
	report := requesttrace.Replay(trace, requesttrace.Config{Servers: 1, Slots: 1, QueueLength: 1, ReportInterval: time.Second})
	fmt.Println(report.Good, report.P50)
	// Output: 2 200ms
}

func BenchmarkReplay(b *testing.B) {
	trace := readTrace(b, wislankaTrace)
	for b.Loop() {
		requesttrace.Replay(trace, config(requesttrace.Admission, wislankaSlots))
	}
}
