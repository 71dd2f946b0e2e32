package secrets

import (
	"bytes"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// generateEnv runs Generate and returns the variables of its environment file.
func generateEnv(t *testing.T) map[string]string {
	t.Helper()
	dir := t.TempDir()
	if err := Generate(dir); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(filepath.Join(dir, EnvFile))
	if err != nil {
		t.Fatal(err)
	}
	env := make(map[string]string)
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		env[name] = strings.Trim(value, "'")
	}
	return env
}

func getenv(env map[string]string) func(string) string {
	return func(name string) string { return env[name] }
}

// handshake connects a TLS client and server over loopback and returns the error of each side.
func handshake(t *testing.T, client, server *tls.Config) (clientErr, serverErr error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, err = conn.Write([]byte("x"))
			conn.Close()
		}
		done <- err
	}()
	clientErr = dialAndRead(listener.Addr(), client)
	return clientErr, <-done
}

// dialAndRead reads one byte, because in TLS 1.3 the server verifies the client's certificate only after the client has
// completed its handshake.
func dialAndRead(addr net.Addr, config *tls.Config) error {
	raw, err := net.Dial(addr.Network(), addr.String())
	if err != nil {
		return err
	}
	defer raw.Close()
	_, err = tls.Client(raw, config).Read(make([]byte, 1))
	return err
}

func TestGeneratedSecretsLoad(t *testing.T) {
	env := generateEnv(t)
	keys, err := Load(getenv(env))
	if err != nil {
		t.Fatal(err)
	}
	if len(keys.ConnectionID[0]) != ConnectionIDKeySize || keys.ConnectionID[1] != nil || len(keys.Ticket[0]) != TicketKeySize || len(keys.Reset) != ResetKeySize {
		t.Fatal("a key has the wrong size")
	}
	clientErr, serverErr := handshake(t, keys.PeerClient, keys.PeerServer)
	if clientErr != nil || serverErr != nil {
		t.Fatalf("peer handshake: %v, %v", clientErr, serverErr)
	}
	caller, err := LoadCallerTLS(getenv(env))
	if err != nil {
		t.Fatal(err)
	}
	caller.ServerName = "127.0.0.1"
	if clientErr, serverErr := handshake(t, caller, keys.Server); clientErr != nil || serverErr != nil {
		t.Fatalf("caller handshake: %v, %v", clientErr, serverErr)
	}
}

func TestUntrustedCertificatesAreRejected(t *testing.T) {
	ours, err := Load(getenv(generateEnv(t)))
	if err != nil {
		t.Fatal(err)
	}
	theirs, err := Load(getenv(generateEnv(t)))
	if err != nil {
		t.Fatal(err)
	}
	anonymous := ours.PeerClient.Clone()
	anonymous.Certificates = nil
	untrusted := ours.PeerClient.Clone()
	untrusted.Certificates = theirs.PeerClient.Certificates
	for name, pair := range map[string][2]*tls.Config{
		"client of another authority": {untrusted, ours.PeerServer},
		"client without certificate":  {anonymous, ours.PeerServer},
		"server of another authority": {ours.PeerClient, theirs.PeerServer},
		"caller's server as a peer":   {ours.PeerClient, ours.Server},
	} {
		if clientErr, _ := handshake(t, pair[0], pair[1]); clientErr == nil {
			t.Errorf("%s: handshake succeeded", name)
		}
	}
}

func TestAllErrorsAreReportedWithoutValues(t *testing.T) {
	env := generateEnv(t)
	env[TicketKey+FileSuffix] = ""
	env[TicketKey] = "5ec2e7"
	env[ResetKey+FileSuffix] = "/nowhere/reset.key"
	env[PeerCA+FileSuffix] = ""
	_, err := Load(getenv(env))
	if err == nil {
		t.Fatal("accepted")
	}
	for _, want := range []string{TicketKey + ": want 64", ResetKey + FileSuffix, PeerCA + ": not set"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing from the error: %v", want, err)
		}
	}
	if strings.Contains(err.Error(), "5ec2e7") {
		t.Errorf("the error contains the secret: %v", err)
	}
}

func TestRotationKeepsThePreviousKey(t *testing.T) {
	env := generateEnv(t)
	old := bytes.Repeat([]byte{7}, ConnectionIDKeySize)
	env[ConnectionIDKeyPrevious] = hex.EncodeToString(old)
	keys, err := Load(getenv(env), PartConnectionID)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(keys.ConnectionID[1], old) || keys.PeerServer != nil {
		t.Fatal("the previous key is missing, or a part was loaded that was not requested")
	}
	printed := fmt.Sprintf("%v %+v %#v %s", keys, keys, keys, keys)
	if strings.Contains(printed, "7") {
		t.Fatalf("the formatted output contains the keys: %s", printed)
	}
}
