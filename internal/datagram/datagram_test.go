package datagram_test

import (
	"bytes"
	"net/netip"
	"testing"

	"google.golang.org/protobuf/proto"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/datagram"
)

func header() *bramleyv1.DatagramHeader {
	return &bramleyv1.DatagramHeader{
		Kind:       bramleyv1.DatagramKind_DATAGRAM_KIND_FORWARD,
		Service:    2,
		Server:     7,
		Revision:   11,
		Caller:     datagram.EncodeAddr(netip.MustParseAddrPort("127.0.0.1:4000")),
		Balancer:   datagram.EncodeAddr(netip.MustParseAddrPort("[::1]:4001")),
		Candidates: []uint32{8, 9},
	}
}

func TestSplitReversesAppend(t *testing.T) {
	want := header()
	var got bramleyv1.DatagramHeader
	for range 2 {
		payload, err := datagram.Split(datagram.Append(nil, want, []byte("packet")), &got)
		if err != nil || string(payload) != "packet" || !proto.Equal(want, &got) {
			t.Fatalf("payload %q header %v error %v", payload, &got, err)
		}
	}
	address, err := datagram.DecodeAddr(got.Balancer)
	if err != nil || address != netip.MustParseAddrPort("[::1]:4001") {
		t.Fatalf("address %v error %v", address, err)
	}
}

func FuzzSplit(f *testing.F) {
	f.Add(datagram.Append(nil, header(), []byte("packet")))
	f.Add([]byte{})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(t *testing.T, b []byte) {
		var h bramleyv1.DatagramHeader
		payload, err := datagram.Split(b, &h)
		if err != nil {
			return
		}
		var again bramleyv1.DatagramHeader
		copied, err := datagram.Split(datagram.Append(nil, &h, payload), &again)
		if err != nil || !bytes.Equal(copied, payload) || !proto.Equal(&h, &again) {
			t.Fatalf("%v became %v, error %v", &h, &again, err)
		}
	})
}

func BenchmarkAppend(b *testing.B) {
	h := header()
	payload := make([]byte, 1200)
	buffer := make([]byte, 0, datagram.MaxDatagram)
	b.ReportAllocs()
	for b.Loop() {
		buffer = datagram.Append(buffer[:0], h, payload)
	}
}

func BenchmarkSplit(b *testing.B) {
	packet := datagram.Append(nil, header(), make([]byte, 1200))
	var h bramleyv1.DatagramHeader
	b.ReportAllocs()
	for b.Loop() {
		if _, err := datagram.Split(packet, &h); err != nil {
			b.Fatal(err)
		}
	}
}
