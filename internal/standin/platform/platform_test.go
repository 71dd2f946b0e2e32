package platform

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
)

// publish publishes a value under the key that the tests read and returns its revision.
func publish(t *testing.T, s *Store, value string) uint64 {
	t.Helper()
	revision, err := s.Publish("tree", []byte(value))
	if err != nil {
		t.Fatal(err)
	}
	return revision
}

func TestWatchReturnsNextRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := &Service{Store: New(Config{CallsPerSecond: 10})}
		first := publish(t, service.Store, "one")
		answers := make(chan *bramleyv1.GetResponse, 1)
		go func() {
			answer, err := service.Watch(context.Background(), connect.NewRequest(&bramleyv1.WatchRequest{Key: "tree", AfterRevision: first}))
			if err != nil {
				t.Error(err)
				return
			}
			answers <- answer.Msg
		}()
		synctest.Wait()
		if waiting := service.Store.stats().GetWaiting(); waiting != 1 {
			t.Fatalf("%d watches are waiting, want 1", waiting)
		}
		second := publish(t, service.Store, "two")
		if answer := <-answers; answer.GetRevision() != second || string(answer.GetValue()) != "two" {
			t.Fatalf("got %v", answer)
		}
	})
}

// The two waiting watches take two of the three calls of each second. A new second has its own budget.
func TestBudgetCountsWaitingWatches(t *testing.T) {
	now := time.Unix(100, 0)
	store := New(Config{CallsPerSecond: 3, Now: func() time.Time { return now }})
	store.addWaiting(2)
	if err := store.charge(); err != nil {
		t.Fatal(err)
	}
	if err := store.charge(); !errors.Is(err, ErrBudget) {
		t.Fatalf("got %v, want ErrBudget", err)
	}
	now = now.Add(time.Second)
	if err := store.charge(); err != nil {
		t.Fatal(err)
	}
}

func TestFaults(t *testing.T) {
	now := time.Unix(100, 0)
	store := New(Config{Now: func() time.Time { return now }})
	old := publish(t, store, "old")
	publish(t, store, "new")
	store.SetFault(&bramleyv1.SetFaultRequest{StaleRevision: old, VmListLagMs: 5000})
	if v, _, err := store.read("tree"); err != nil || string(v.value) != "old" {
		t.Fatalf("stale read got %q, %v", v.value, err)
	}
	store.SetVM(&bramleyv1.VM{Name: "a"}, false)
	if vms, _ := store.listVMs(""); len(vms) != 0 {
		t.Fatal("list shows the VM before the lag has passed")
	}
	now = now.Add(5 * time.Second)
	if vms, _ := store.listVMs(""); len(vms) != 1 {
		t.Fatal("list lacks the VM after the lag has passed")
	}
	store.SetFault(&bramleyv1.SetFaultRequest{Outage: true})
	if _, _, err := store.read("tree"); !errors.Is(err, ErrOutage) {
		t.Fatalf("got %v, want ErrOutage", err)
	}
}
