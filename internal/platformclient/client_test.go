package platformclient_test

import (
	"net/http/httptest"
	"testing"

	"connectrpc.com/connect"
	"github.com/juju/errors"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/platformclient"
	standin "github.com/bramleyrack/bramleyrack/internal/standin/platform"
	"github.com/bramleyrack/bramleyrack/internal/traffic"
)

func newClient(t *testing.T, store *standin.Store, meter *traffic.Meter) *platformclient.Client {
	server := httptest.NewServer((&standin.Service{Store: store}).Handler())
	t.Cleanup(server.Close)
	return platformclient.New(platformclient.Config{URL: server.URL, Meter: meter})
}

func TestClientReadsPublishedValues(t *testing.T) {
	store, meter := standin.New(standin.Config{}), &traffic.Meter{}
	revision, err := store.Publish("tree", []byte("firm: agencia"))
	if err != nil {
		t.Fatal(err)
	}
	store.SetVM(&bramleyv1.VM{Name: "entry-1", Place: "north", Address: "127.0.0.1:9101"}, false)
	client := newClient(t, store, meter)
	got, err := client.Get(t.Context(), "tree")
	if err != nil || got.GetRevision() != revision || string(got.GetValue()) != "firm: agencia" {
		t.Fatalf("got %v, %v", got, err)
	}
	if got, err = client.Watch(t.Context(), "tree", revision-1); err != nil || got.GetRevision() != revision {
		t.Fatalf("got %v, %v", got, err)
	}
	vms, err := client.ListVMs(t.Context(), "north")
	if err != nil || len(vms) != 1 || vms[0].GetName() != "entry-1" {
		t.Fatalf("got %v, %v", vms, err)
	}
	if bytes := meter.Bytes(); bytes["configuration"] == 0 || bytes["membership"] == 0 {
		t.Fatalf("counted %v", bytes)
	}
}

func TestGetDuringOutageReturnsError(t *testing.T) {
	store := standin.New(standin.Config{})
	store.SetFault(&bramleyv1.SetFaultRequest{Outage: true})
	_, err := newClient(t, store, nil).Get(t.Context(), "tree")
	var failure *connect.Error
	if !errors.As(err, &failure) {
		t.Fatalf("got %v", err)
	}
}
