// Package secrets loads the keys and certificates of a process from its environment.
//
// A secret NAME is read from the file that the variable NAME_FILE points to or, if that is not set, from the variable
// NAME itself. Keys are hexadecimal, certificates and private keys are PEM. The current and the previous
// connection-ID key and ticket key are valid at the same time, so that keys can be rotated. No secret is ever
// printed.
package secrets

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	stderrors "errors"
	"os"
	"strings"

	"github.com/juju/errors"
)

// Environment variables of the secrets. With the suffix FileSuffix, each holds the path of a file instead.
const (
	ConnectionIDKey         = "BRAMLEY_CONNECTION_ID_KEY"
	ConnectionIDKeyPrevious = "BRAMLEY_CONNECTION_ID_KEY_PREVIOUS"
	TicketKey               = "BRAMLEY_TICKET_KEY"
	TicketKeyPrevious       = "BRAMLEY_TICKET_KEY_PREVIOUS"
	ResetKey                = "BRAMLEY_RESET_KEY"
	ServerCertificate       = "BRAMLEY_SERVER_CERTIFICATE"
	ServerKey               = "BRAMLEY_SERVER_KEY"
	PeerCertificate         = "BRAMLEY_PEER_CERTIFICATE"
	PeerKey                 = "BRAMLEY_PEER_KEY"
	PeerCA                  = "BRAMLEY_PEER_CA"
	// CallerCA is the certificate authority that callers trust. No daemon needs it.
	CallerCA = "BRAMLEY_CA"
)

// FileSuffix turns the name of a secret into the name of the variable that holds the path of its file.
const FileSuffix = "_FILE"

// Key sizes in bytes.
const (
	ConnectionIDKeySize = 16
	TicketKeySize       = 32
	ResetKeySize        = 32
)

// PeerName is the DNS name in every peer certificate. Peers are dialed by IP address, and addresses are reused, so the
// certificate names the role and not the address.
const PeerName = "peer.bramleyrack.internal"

// Part is a group of secrets that a program needs together.
type Part int

// Parts of Keys.
const (
	PartConnectionID Part = iota
	PartTicket
	PartReset
	PartServer
	PartPeer
)

// Keys holds the secrets of one process. A pair holds the current key and the previous one, which is nil outside a
// rotation.
type Keys struct {
	ConnectionID, Ticket [2][]byte
	Reset                []byte
	// Server is the TLS server configuration for connections from callers.
	Server *tls.Config
	// PeerServer and PeerClient are the mutual TLS configurations of the two ends of a link between processes.
	PeerServer, PeerClient *tls.Config
}

// String redacts the keys in logs and formatted output.
func (k *Keys) String() string {
	return "secrets.Keys(redacted)"
}

// GoString redacts the keys in the output of %#v.
func (k *Keys) GoString() string {
	return k.String()
}

// Load reads the given parts, or all parts if none is given. It reports all errors at once. They name the variable and
// never contain the value of a secret.
func Load(getenv func(string) string, parts ...Part) (*Keys, error) {
	if len(parts) == 0 {
		parts = []Part{PartConnectionID, PartTicket, PartReset, PartServer, PartPeer}
	}
	l := &loader{getenv: getenv}
	keys := &Keys{}
	for _, part := range parts {
		l.load(keys, part)
	}
	if len(l.errs) > 0 {
		return nil, stderrors.Join(l.errs...)
	}
	return keys, nil
}

type loader struct {
	getenv func(string) string
	errs   []error
}

func (l *loader) load(keys *Keys, part Part) {
	switch part {
	case PartConnectionID:
		keys.ConnectionID[0] = l.key(ConnectionIDKey, ConnectionIDKeySize, true)
		keys.ConnectionID[1] = l.key(ConnectionIDKeyPrevious, ConnectionIDKeySize, false)
	case PartTicket:
		keys.Ticket[0] = l.key(TicketKey, TicketKeySize, true)
		keys.Ticket[1] = l.key(TicketKeyPrevious, TicketKeySize, false)
	case PartReset:
		keys.Reset = l.key(ResetKey, ResetKeySize, true)
	case PartServer:
		keys.Server = l.server()
	case PartPeer:
		keys.PeerServer, keys.PeerClient = l.peer()
	}
}

func (l *loader) addError(name, format string, args ...any) {
	l.errs = append(l.errs, errors.Errorf(name+": "+format, args...))
}

// lookUp returns the value of a secret and the name of the variable that it came from.
func (l *loader) lookUp(name string, required bool) (text, source string) {
	if path := l.getenv(name + FileSuffix); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			l.addError(name+FileSuffix, "%v", err)
			return "", ""
		}
		return string(data), name + FileSuffix
	}
	text = l.getenv(name)
	if text == "" && required {
		l.addError(name, "not set, and neither is %s", name+FileSuffix)
	}
	return text, name
}

func (l *loader) key(name string, size int, required bool) []byte {
	text, source := l.lookUp(name, required)
	if text == "" {
		return nil
	}
	key, err := hex.DecodeString(strings.TrimSpace(text))
	if err != nil || len(key) != size {
		l.addError(source, "want %d hexadecimal digits", 2*size)
		return nil
	}
	return key
}

func (l *loader) certificate(certName, keyName string) (tls.Certificate, bool) {
	cert, _ := l.lookUp(certName, true)
	key, _ := l.lookUp(keyName, true)
	if cert == "" || key == "" {
		return tls.Certificate{}, false
	}
	pair, err := tls.X509KeyPair([]byte(cert), []byte(key))
	if err != nil {
		l.addError(certName, "certificate and %s are not a valid pair: %v", keyName, err)
		return tls.Certificate{}, false
	}
	return pair, true
}

func (l *loader) server() *tls.Config {
	pair, ok := l.certificate(ServerCertificate, ServerKey)
	if !ok {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}
}

func (l *loader) peer() (server, client *tls.Config) {
	pair, ok := l.certificate(PeerCertificate, PeerKey)
	pool := l.pool(PeerCA)
	if !ok || pool == nil {
		return nil, nil
	}
	server = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
	}
	client = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ServerName:   PeerName,
	}
	return server, client
}

func (l *loader) pool(name string) *x509.CertPool {
	text, source := l.lookUp(name, true)
	if text == "" {
		return nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(text)) {
		l.addError(source, "contains no PEM certificate")
		return nil
	}
	return pool
}

// LoadCallerTLS returns the TLS client configuration of a caller. It trusts the certificate authority in BRAMLEY_CA or
// BRAMLEY_CA_FILE.
func LoadCallerTLS(getenv func(string) string) (*tls.Config, error) {
	l := &loader{getenv: getenv}
	pool := l.pool(CallerCA)
	if len(l.errs) > 0 {
		return nil, stderrors.Join(l.errs...)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}, nil
}
