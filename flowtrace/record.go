package flowtrace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
)

// recordedPacket holds the fields of a line of a packet record that Convert needs.
type recordedPacket struct {
	AtMicroseconds int64  `json:"at_us"`
	Service        string `json:"service"`
	Caller         string `json:"caller"`
}

// recordedFlow identifies a flow in a packet record.
type recordedFlow struct {
	service string
	caller  string
}

// minRecordedDuration is the duration given to a recorded flow of one packet, since a duration of zero would keep the
// flow open until the trace ends.
const minRecordedDuration = time.Millisecond

// Convert turns a packet record with one JSON object per line into events that open the same flows for the same
// durations. services maps the name of each service to its number.
func Convert(r io.Reader, services map[string]uint32) ([]Event, error) {
	flows := map[recordedFlow]*Event{}
	decoder := json.NewDecoder(bufio.NewReader(r))
	for {
		var p recordedPacket
		err := decoder.Decode(&p)
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, errors.Annotate(err, "packet record")
		}
		number, ok := services[p.Service]
		if !ok {
			return nil, errors.NotFoundf("service %q of the packet record", p.Service)
		}
		at := time.Duration(p.AtMicroseconds) * time.Microsecond
		key := recordedFlow{service: p.Service, caller: p.Caller}
		if flows[key] == nil {
			flows[key] = &Event{At: at, Kind: Open, Service: number, Count: 1}
		}
		flows[key].For = max(at-flows[key].At, minRecordedDuration)
	}
	var events []Event
	for _, e := range flows {
		events = append(events, *e)
	}
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.For, b.For), cmp.Compare(a.Service, b.Service))
	})
	return events, nil
}

// Write writes a trace in YAML.
func Write(w io.Writer, t *Trace) error {
	return errors.Annotate(yaml.NewEncoder(w).Encode(t), "trace")
}
