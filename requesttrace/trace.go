// Package requesttrace replays traces of requests in virtual time against the decisions of package
// admission and against simpler ways of dispatch, so that their outcomes can be compared.
package requesttrace

import (
	"encoding/csv"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// Request is one request of a trace.
type Request struct {
	// At is when the caller sends the request, from the start of the trace.
	At time.Duration
	// Caller numbers the caller; all requests of a caller arrive over one flow.
	Caller int
	// ServiceTime is how long an upstream takes for the request.
	ServiceTime time.Duration
	// Timeout is how long the caller waits for the answer.
	Timeout time.Duration
}

const fields = 4

var header = []string{"at_us", "caller", "work_us", "patience_us"}

// Write writes a trace as comma-separated values.
func Write(w io.Writer, trace []Request) error {
	out := csv.NewWriter(w)
	if err := out.Write(header); err != nil {
		return errors.Trace(err)
	}
	for _, r := range trace {
		record := []string{
			strconv.FormatInt(r.At.Microseconds(), 10),
			strconv.Itoa(r.Caller),
			strconv.FormatInt(r.ServiceTime.Microseconds(), 10),
			strconv.FormatInt(r.Timeout.Microseconds(), 10),
		}
		if err := out.Write(record); err != nil {
			return errors.Trace(err)
		}
	}
	out.Flush()
	return errors.Trace(out.Error())
}

// Read reads a trace that Write has written.
func Read(r io.Reader) ([]Request, error) {
	in := csv.NewReader(r)
	in.FieldsPerRecord = fields
	records, err := in.ReadAll()
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(records) == 0 || !slices.Equal(records[0], header) {
		return nil, errors.New("trace has no header")
	}
	trace := make([]Request, 0, len(records)-1)
	for line, record := range records[1:] {
		request, err := parse(record)
		if err != nil {
			return nil, errors.Annotatef(err, "record %d", line+1)
		}
		trace = append(trace, request)
	}
	return trace, nil
}

func parse(record []string) (Request, error) {
	var values [fields]int64
	for i, field := range record {
		value, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return Request{}, errors.Trace(err)
		}
		values[i] = value
	}
	return Request{
		At:          time.Duration(values[0]) * time.Microsecond,
		Caller:      int(values[1]),
		ServiceTime: time.Duration(values[2]) * time.Microsecond,
		Timeout:     time.Duration(values[3]) * time.Microsecond,
	}, nil
}

// Scale returns the trace at a multiple of its load over the same length of time: the requests come closer
// together by the factor, and the trace is repeated to fill the time.
func Scale(trace []Request, factor float64) []Request {
	if len(trace) == 0 {
		return nil
	}
	length := trace[len(trace)-1].At + time.Millisecond
	var scaled []Request
	for round := 0; ; round++ {
		for _, r := range trace {
			at := time.Duration(float64(r.At+time.Duration(round)*length) / factor)
			if at >= length {
				return scaled
			}
			r.At = at
			scaled = append(scaled, r)
		}
	}
}
