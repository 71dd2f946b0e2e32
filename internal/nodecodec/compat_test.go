package nodecodec_test

import (
	_ "embed"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"github.com/bramleyrack/bramleyrack/flow"
	nodev1 "github.com/bramleyrack/bramleyrack/gen/bramley/node/v1"
	"github.com/bramleyrack/bramleyrack/internal/frame"
	"github.com/bramleyrack/bramleyrack/internal/nodecodec"
	"github.com/bramleyrack/bramleyrack/registry"
)

// productionSchema is the schema of the messages in the version that deploy/system.toml names as production. Processes of
// that version run beside those of this one during an upgrade.
//
//go:embed testdata/node-4a49cd4.binpb
var productionSchema []byte

// productionMessage returns an empty message of the production version.
func productionMessage(t *testing.T, name protoreflect.Name) *dynamicpb.Message {
	t.Helper()
	var described descriptorpb.FileDescriptorProto
	if err := proto.Unmarshal(productionSchema, &described); err != nil {
		t.Fatal(err)
	}
	file, err := protodesc.NewFile(&described, nil)
	if err != nil {
		t.Fatal(err)
	}
	return dynamicpb.NewMessage(file.Messages().ByName(name))
}

// fill sets every field of a message to a value that differs from its default.
func fill(m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		switch {
		case field.IsList():
			list := m.Mutable(field).List()
			if field.Message() != nil {
				fill(list.AppendMutable().Message())
			} else {
				list.Append(valueOf(field))
			}
		case field.Message() != nil:
			fill(m.Mutable(field).Message())
		default:
			m.Set(field, valueOf(field))
		}
	}
}

// valueOf returns a value for a field that depends on its number.
func valueOf(field protoreflect.FieldDescriptor) protoreflect.Value {
	n := int(field.Number())
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(1)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(string(field.Name()))
	case protoreflect.FloatKind:
		return protoreflect.ValueOfFloat32(float32(n) / 2)
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(n) / 2)
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(n) << 8)
	}
	return protoreflect.ValueOfUint64(uint64(n) << 40)
}

// wantSameFields fails unless every field of a production message has the same value in the present message.
func wantSameFields(t *testing.T, production, present protoreflect.Message) {
	t.Helper()
	fields := production.Descriptor().Fields()
	for i := range fields.Len() {
		want := fields.Get(i)
		got := present.Descriptor().Fields().ByNumber(want.Number())
		if got == nil || got.Kind() != want.Kind() || got.IsList() != want.IsList() {
			t.Fatalf("field %v is not the same any more: %v", want.FullName(), got)
		}
		a, b := production.Get(want), present.Get(got)
		switch {
		case want.IsList() && want.Message() != nil:
			if a.List().Len() != b.List().Len() {
				t.Fatalf("field %v has %d elements and %d", want.FullName(), a.List().Len(), b.List().Len())
			}
			for n := range a.List().Len() {
				wantSameFields(t, a.List().Get(n).Message(), b.List().Get(n).Message())
			}
		case want.IsList():
			for n := range max(a.List().Len(), b.List().Len()) {
				if !a.List().Get(n).Equal(b.List().Get(n)) {
					t.Errorf("field %v: element %d is %v and %v", want.FullName(), n, a.List().Get(n), b.List().Get(n))
				}
			}
		case want.Message() != nil:
			wantSameFields(t, a.Message(), b.Message())
		case !a.Equal(b):
			t.Errorf("field %v is %v and %v", want.FullName(), a, b)
		}
	}
}

// presentMessages holds the messages that processes exchange, as this version encodes and decodes them.
var presentMessages = map[protoreflect.Name]interface {
	proto.Message
	frame.Message
	MarshalVT() ([]byte, error)
}{
	"Header": &nodev1.Header{}, "View": &nodev1.View{}, "FetchRequest": &nodev1.FetchRequest{},
}

// TestMessagesOfProductionAreRead covers an upgrade: this version must read every field that the one in production sends.
func TestMessagesOfProductionAreRead(t *testing.T) {
	for name, present := range presentMessages {
		production := productionMessage(t, name)
		fill(production)
		encoded, err := proto.Marshal(production)
		if err != nil {
			t.Fatal(err)
		}
		proto.Reset(present)
		if err := present.UnmarshalVT(encoded); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		wantSameFields(t, production, present.ProtoReflect())
	}
}

// TestProductionReadsMessages covers an upgrade: the version in production must read all that it knows of the messages of this
// one, and pass over the rest.
func TestProductionReadsMessages(t *testing.T) {
	for name, present := range presentMessages {
		proto.Reset(present)
		fill(present.ProtoReflect())
		encoded, err := present.MarshalVT()
		if err != nil {
			t.Fatal(err)
		}
		production := productionMessage(t, name)
		if err := proto.Unmarshal(encoded, production); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		wantSameFields(t, production, present.ProtoReflect())
	}
}

// headerInProduction returns the header of the production version in a datagram of this one.
func headerInProduction(t *testing.T, h *nodev1.Header) protoreflect.Message {
	t.Helper()
	encoded, err := h.MarshalVT()
	if err != nil {
		t.Fatal(err)
	}
	m := productionMessage(t, "Header")
	if err := proto.Unmarshal(encoded, m); err != nil {
		t.Fatal(err)
	}
	return m
}

// TestProductionTakesUnprovedDenialAsOutdated covers a balancer of the production version that searches all services: it must
// not reset a flow because of the denial of an agent whose server was asked and has not answered.
func TestProductionTakesUnprovedDenialAsOutdated(t *testing.T) {
	tracker := flow.NewTracker(flow.DefaultTrackerConfig("orders", flow.Endpoint{IP: flow.IP{10, 0, 0, 1}, Port: 80}), now)
	tracker.SetView(&registry.View{Content: &registry.Content{Configuration: &registry.Configuration{Version: 1}}})
	request := exampleRequest(0)
	request.Service = flow.ServiceHash("orders")
	asked := now + time.Second
	if v := tracker.FromNode(asked, &flow.Packet{Kind: flow.Other, Length: 10}, nil, request); v.Action != flow.ToServer {
		t.Fatalf("got %v", v.Action)
	}
	for range 10 {
		tracker.Check(asked + time.Second)
	}
	v, _, _ := tracker.NextUnanswered(asked + time.Second)
	h := nodev1.Header{Kind: nodev1.Kind_KIND_REPORT, Verdict: nodev1.Verdict_VERDICT_DENIED, Search: v.Request.SearchID, Outdated: v.Request.Outdated()}
	m := headerInProduction(t, &h)
	fields := m.Descriptor().Fields()
	if v.Note != flow.NoteDenied || !m.Get(fields.ByName("outdated")).Bool() || m.Get(fields.ByName("search")).Uint() != request.SearchID {
		t.Fatalf("note %v, header %v", v.Note, m.Interface())
	}
	// An agent of the production version that passes the search on keeps the mark, which is the revision zero.
	nodecodec.PutRequest(&h, &v.Request)
	if m := headerInProduction(t, &h); m.Get(m.Descriptor().Fields().ByName("changed")).Uint() != 0 {
		t.Fatalf("header %v", m.Interface())
	}
}

// TestProductionIgnoresUnansweredPackets covers a balancer of the production version and a packet that an agent returns because
// its server has not answered. That version must not take it for one that the server does not hold: it would search for the flow
// everywhere else, and reset it.
func TestProductionIgnoresUnansweredPackets(t *testing.T) {
	m := headerInProduction(t, &nodev1.Header{Kind: nodev1.Kind_KIND_RETURN_UNANSWERED})
	kind := m.Descriptor().Fields().ByName("kind")
	if known := kind.Enum().Values().ByNumber(m.Get(kind).Enum()); known != nil {
		t.Fatalf("the production version takes it for %s", known.Name())
	}
}

// TestStatusOfProductionStatesNoServer covers an agent of the production version, whose status must not count as that of the
// server at port 0 or of a service without a name.
func TestStatusOfProductionStatesNoServer(t *testing.T) {
	production := productionMessage(t, "Header")
	fill(production)
	encoded, err := proto.Marshal(production)
	if err != nil {
		t.Fatal(err)
	}
	var h nodev1.Header
	if err := h.UnmarshalVT(encoded); err != nil {
		t.Fatal(err)
	}
	if s := nodecodec.Status(&h, now, flow.IP{10, 0, 0, 1}); s.ServerPort != 0 || s.Process == 0 {
		t.Fatalf("got %+v", s)
	}
}

// TestLimitsOfProductionAreBounded covers a reader of the production version, which accepts entries with numbers that no
// server has and passes them on.
func TestLimitsOfProductionAreBounded(t *testing.T) {
	d := nodecodec.DecodeDelta(now, &nodev1.View{Upstreams: []*nodev1.Upstream{{Id: "odd", Slots: math.MaxUint32, ColdMs: math.MaxUint64}}})
	if u := d.Upstreams[0]; u.Slots != registry.MaxSlots || u.WarmAt != now+registry.MaxWarmUp {
		t.Fatalf("got %+v", u)
	}
}
