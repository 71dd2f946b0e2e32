package upstream

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/standin/content"
)

func orderRequest(service, item string) *connect.Request[bramleyv1.CallRequest] {
	body := content.Body{Service: service, Item: item}.Encode()
	return connect.NewRequest(&bramleyv1.CallRequest{RequestId: item, Method: content.MethodOrder, Body: body})
}

func newTestUpstream() *Upstream {
	return New(Config{Service: "orders", Number: 1, Slots: 1, ServiceTime: time.Second, ColdFactor: 1})
}

// A request that is canceled while it runs must still count as a run.
func TestCanceledRunIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newTestUpstream()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if _, err := u.Call(ctx, orderRequest("orders", "a")); err == nil {
			t.Fatal("canceled request got an answer")
		}
		report := u.Report()
		if len(report.Runs) != 1 || report.Canceled != 1 {
			t.Fatalf("report %+v", report)
		}
	})
}

// With its only slot busy, the upstream must refuse a second request without running it.
func TestBusyUpstreamRefusesRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newTestUpstream()
		go func() { _, _ = u.Call(t.Context(), orderRequest("orders", "a")) }()
		synctest.Wait()
		_, err := u.Call(t.Context(), orderRequest("orders", "b"))
		if connect.CodeOf(err) != connect.CodeResourceExhausted {
			t.Fatalf("got %v", err)
		}
		if err := u.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		report := u.Report()
		if len(report.Runs) != 1 || report.Runs[0].Item != "a" || report.RefusedBusy != 1 {
			t.Fatalf("report %+v", report)
		}
	})
}

func TestRequestForOtherServiceIsCounted(t *testing.T) {
	u := newTestUpstream()
	if _, err := u.Call(t.Context(), orderRequest("certificates", "a")); err == nil {
		t.Fatal("request for another service got an answer")
	}
	if report := u.Report(); report.WrongService != 1 || len(report.Runs) != 0 {
		t.Fatalf("report %+v", report)
	}
}

// A restarted upstream must still report the runs of the process before it.
func TestRunsSurviveRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var journal bytes.Buffer
		for _, item := range []string{"a", "b"} {
			u := newTestUpstream()
			if err := u.OpenJournal(&journalFile{Buffer: &journal}); err != nil {
				t.Fatal(err)
			}
			if _, err := u.Call(t.Context(), orderRequest("orders", item)); err != nil {
				t.Fatal(err)
			}
			if item == "b" && len(u.Report().Runs) != 2 {
				t.Fatalf("report %+v", u.Report())
			}
		}
	})
}

// journalFile reads from the start and writes at the end, like a file that is opened for appending.
type journalFile struct {
	*bytes.Buffer
	read int
}

func (f *journalFile) Read(p []byte) (int, error) {
	n, err := bytes.NewReader(f.Bytes()[f.read:]).Read(p)
	f.read += n
	return n, err
}
