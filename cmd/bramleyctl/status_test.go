package main

import (
	"bytes"
	"context"
	"flag"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	bramleyv1 "github.com/bramleyrack/bramleyrack/gen/bramley/v1"
	"github.com/bramleyrack/bramleyrack/internal/peer"
	"github.com/bramleyrack/bramleyrack/internal/secrets"
	"github.com/google/subcommands"
)

// fakeProcess answers Status calls. It has revision 7 in force, and 8 after callsBefore calls.
type fakeProcess struct {
	bramleyv1.DRPCPeerServiceUnimplementedServer
	vm          string
	callsBefore int32
	calls       atomic.Int32
}

func (p *fakeProcess) Status(context.Context, *bramleyv1.StatusRequest) (*bramleyv1.StatusResponse, error) {
	revision := uint64(7)
	if p.calls.Add(1) > p.callsBefore {
		revision = 8
	}
	return &bramleyv1.StatusResponse{
		Identity: &bramleyv1.Identity{Vm: p.vm, Role: bramleyv1.VMRole_VM_ROLE_UPSTREAM},
		State:    bramleyv1.ProcessState_PROCESS_STATE_SERVING,
		Revision: revision,
		Load:     &bramleyv1.Load{Flows: 3, BusySlots: 2, Slots: 5},
	}, nil
}

// freeAddr returns a loopback address that nothing listens on.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// statusFixture is a status command for two processes, of which the second gets the revision later.
type statusFixture struct {
	command *statusCommand
	out     bytes.Buffer
	errOut  bytes.Buffer
}

func newStatusFixture(t *testing.T, callsBefore int32) *statusFixture {
	t.Helper()
	dir := t.TempDir()
	if err := secrets.Generate(dir); err != nil {
		t.Fatal(err)
	}
	env := readEnvFile(t, dir+"/"+secrets.EnvFile)
	keys, err := secrets.Load(env, secrets.PartPeer)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	var addresses []string
	for i, vm := range []string{"server-1", "server-2"} {
		addr := freeAddr(t)
		addresses = append(addresses, addr.String())
		process := &fakeProcess{vm: vm, callsBefore: callsBefore * int32(i)}
		go func() { done <- peer.Serve(ctx, addr, keys.PeerServer, process) }()
	}
	t.Cleanup(func() {
		cancel()
		<-done
		<-done
	})
	waitForListeners(t, addresses)
	f := &statusFixture{}
	f.command = &statusCommand{
		term:      terminal{out: &f.out, err: &f.errOut},
		output:    output{format: formatText},
		processes: strings.Join(addresses, ","),
		timeout:   time.Minute,
		interval:  time.Millisecond,
		getenv:    env,
	}
	return f
}

func waitForListeners(t *testing.T, addresses []string) {
	t.Helper()
	for _, address := range addresses {
		for {
			conn, err := net.Dial("tcp", address)
			if err == nil {
				conn.Close()
				break
			}
			if t.Context().Err() != nil {
				t.Fatal(err)
			}
		}
	}
}

// readEnvFile returns a getenv function for the variables in a file.
func readEnvFile(t *testing.T, path string) func(string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	values := make(map[string]string)
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		values[name] = strings.Trim(value, "'")
	}
	return func(name string) string { return values[name] }
}

func (f *statusFixture) run(t *testing.T) subcommands.ExitStatus {
	t.Helper()
	return f.command.Execute(t.Context(), flag.NewFlagSet("status", flag.ContinueOnError))
}

func TestStatusMarksLaggingProcesses(t *testing.T) {
	f := newStatusFixture(t, 1000)
	if status := f.run(t); status != exitFailed {
		t.Fatalf("exit %d: %s", status, f.errOut.String())
	}
	assertContains(t, f.out.String(), "server-1", "server-2", "2/5", "lags", "revision=8 processes=2 in_force=1 lagging=1 unreachable=0")
}

func TestStatusWatchEndsWhenInForce(t *testing.T) {
	f := newStatusFixture(t, 5)
	f.command.watch = true
	f.command.revision = 8
	if status := f.run(t); status != subcommands.ExitSuccess {
		t.Fatalf("exit %d: %s", status, f.errOut.String())
	}
	assertContains(t, f.out.String(), "revision=8 processes=2 in_force=2 lagging=0 unreachable=0")
}

func TestStatusReportsUnreachableProcesses(t *testing.T) {
	f := newStatusFixture(t, 0)
	f.command.processes += "," + freeAddr(t).String()
	if status := f.run(t); status != exitFailed {
		t.Fatalf("exit %d", status)
	}
	assertContains(t, f.out.String(), "in_force=2 lagging=0 unreachable=1", "refused")
}

func TestStatusNeedsCertificates(t *testing.T) {
	f := newStatusFixture(t, 0)
	f.command.getenv = func(string) string { return "" }
	if status := f.run(t); status != exitFailed {
		t.Fatalf("exit %d", status)
	}
	assertContains(t, f.errOut.String(), secrets.PeerCertificate, secrets.PeerKey, secrets.PeerCA)
}
