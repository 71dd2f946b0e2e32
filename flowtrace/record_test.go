package flowtrace_test

import (
	"strings"
	"testing"
	"time"

	"github.com/bramleyrack/bramleyrack/flowtrace"
)

const packetRecord = `{"at_us":1000,"service":"desk","caller":"127.0.0.1:1","balancer":"127.0.0.1:9","bytes":1280,"header":"c6"}
{"at_us":2000,"service":"photos","caller":"127.0.0.1:2","balancer":"127.0.0.1:8","bytes":1280,"header":"c6"}
{"at_us":9000,"service":"desk","caller":"127.0.0.1:1","balancer":"127.0.0.1:8","bytes":40,"header":"46"}
`

func TestConvertKeepsFlows(t *testing.T) {
	events, err := flowtrace.Convert(strings.NewReader(packetRecord), map[string]uint32{"desk": 1, "photos": 2})
	if err != nil || len(events) != 2 {
		t.Fatalf("got %v and error %v, want 2 events", events, err)
	}
	first := events[0]
	if first.At != time.Millisecond || first.For != 8*time.Millisecond || first.Service != 1 {
		t.Fatalf("first flow is %+v, want service 1 from 1ms for 8ms", first)
	}
}

func TestConvertRefusesUnknownService(t *testing.T) {
	if _, err := flowtrace.Convert(strings.NewReader(packetRecord), map[string]uint32{"desk": 1}); err == nil {
		t.Fatal("accepted an unknown service")
	}
}
