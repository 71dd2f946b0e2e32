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

// recordedPacket is the part of a line of a packet record that a conversion needs.
type recordedPacket struct {
	AtMicroseconds int64  `json:"at_us"`
	Service        string `json:"service"`
	Caller         string `json:"caller"`
}

// recordedFlow identifies a flow in a record.
type recordedFlow struct {
	service string
	caller  string
}

// minRecorded is the duration of a recorded flow of one packet.
const minRecorded = time.Millisecond

// Convert turns a record of packets, one JSON object a line, into events that open the same flows
// for the same time. services gives the number of each service by name.
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
		flows[key].For = max(at-flows[key].At, minRecorded)
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
