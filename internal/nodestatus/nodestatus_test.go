package nodestatus

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/registry"
)

// TestViewShowsEraAndAges guards against a revision that includes the era, and against an age for a request whose start
// is not known.
func TestViewShowsEraAndAges(t *testing.T) {
	if NewView(time.Minute, nil) != nil {
		t.Fatal("got a description of no view")
	}
	view := &registry.View{
		Freshness: registry.Freshness{Revision: registry.NewRevision(2, 40), Confirmed: time.Minute - 250*time.Millisecond},
		Content: &registry.Content{
			Configuration: &registry.Configuration{Version: 7},
			Evacuations: []registry.Evacuation{
				{Place: "a", Revision: registry.NewRevision(1, 90), Started: 50 * time.Second},
				{Place: "b", Revision: registry.NewRevision(2, 3)},
			},
		},
	}
	got, err := json.Marshal(Node{Process: 1<<64 - 1, Role: Agent, VM: "side-1", Place: "a", View: NewView(time.Minute, view)})
	const want = `{"process":"18446744073709551615","role":"agent","vm":"side-1","place":"a","view":{"era":2,"revision":40,` +
		`"version":7,"age_ms":250,"evacuations":[{"place":"a","era":1,"revision":90,"age_ms":10000},` +
		`{"place":"b","era":2,"revision":3,"age_ms":null}]}}`
	if err != nil || string(got) != want {
		t.Fatalf("%v\n got %s\nwant %s", err, got, want)
	}
	if id := NewView(time.Minute, view).ID(); id != view.Revision {
		t.Fatalf("got revision %v", id)
	}
}

// TestEvacuationBeforeTheStartOfTheClock guards against an age that is shown as unknown because the evacuation began
// before the process started, so that its start is negative on the clock of the process.
func TestEvacuationBeforeTheStartOfTheClock(t *testing.T) {
	e := NewEvacuation(time.Second, registry.Evacuation{Place: "a", Started: -9 * time.Second})
	if e.AgeMs == nil || *e.AgeMs != 10000 {
		t.Fatalf("got %+v, want an age of 10 s", e)
	}
}
