// Package secrets loads the keys and certificates of a process from its environment.
//
// A secret NAME is read from the file that NAME_FILE names or else from NAME itself: keys as
// hexadecimal digits, certificates as PEM. Two connection-ID and ticket keys are valid at a time, so
// that they can be rotated. Nothing here is ever printed.
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

// The environment variables of the secrets, each of which may carry the suffix FileSuffix.
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
	// CallerCA is the authority that callers trust; no daemon needs it.
	CallerCA = "BRAMLEY_CA"
)

// FileSuffix turns the name of a secret into the name of the variable that holds its file.
const FileSuffix = "_FILE"

// Sizes of the keys, in bytes.
const (
	ConnectionIDKeySize = 16
	TicketKeySize       = 32
	ResetKeySize        = 32
)

// PeerName is the DNS name in every peer certificate. Peers are reached by IP numbers that are
// reused, so the certificate names the role and not the address.
const PeerName = "peer.bramleyrack.internal"

// Part is a group of secrets that a program needs together.
type Part int

// The parts of Keys.
const (
	PartConnectionID Part = iota
	PartTicket
	PartReset
	PartServer
	PartPeer
)

// Keys holds the secrets of one process. The second key of a pair is nil outside a rotation.
type Keys struct {
	ConnectionID, Ticket [2][]byte
	Reset                []byte
	// Server is the TLS side towards callers.
	Server *tls.Config
	// PeerServer and PeerClient authenticate both ends of a link between processes.
	PeerServer, PeerClient *tls.Config
}

// String hides the keys from logs and formatted output.
func (k *Keys) String() string {
	return "secrets.Keys(redacted)"
}

// GoString hides the keys from %#v.
func (k *Keys) GoString() string {
	return k.String()
}

// Load reads the named parts, or all of them when none is named. All faults are reported together,
// by the name of the variable and never with a value.
func Load(getenv func(string) string, parts ...Part) (*Keys, error) {
	if len(parts) == 0 {
		parts = []Part{PartConnectionID, PartTicket, PartReset, PartServer, PartPeer}
	}
	l := &loader{getenv: getenv}
	keys := &Keys{}
	for _, part := range parts {
		l.load(keys, part)
	}
	if len(l.faults) > 0 {
		return nil, stderrors.Join(l.faults...)
	}
	return keys, nil
}

type loader struct {
	getenv func(string) string
	faults []error
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

func (l *loader) fault(name, format string, args ...any) {
	l.faults = append(l.faults, errors.Errorf(name+": "+format, args...))
}

// text returns the value of a secret and the variable that it came from.
func (l *loader) text(name string, required bool) (text, source string) {
	if path := l.getenv(name + FileSuffix); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			l.fault(name+FileSuffix, "%v", err)
			return "", ""
		}
		return string(data), name + FileSuffix
	}
	text = l.getenv(name)
	if text == "" && required {
		l.fault(name, "not set, and neither is %s", name+FileSuffix)
	}
	return text, name
}

func (l *loader) key(name string, size int, required bool) []byte {
	text, source := l.text(name, required)
	if text == "" {
		return nil
	}
	key, err := hex.DecodeString(strings.TrimSpace(text))
	if err != nil || len(key) != size {
		l.fault(source, "want %d hexadecimal digits", 2*size)
		return nil
	}
	return key
}

func (l *loader) certificate(certName, keyName string) (tls.Certificate, bool) {
	cert, _ := l.text(certName, true)
	key, _ := l.text(keyName, true)
	if cert == "" || key == "" {
		return tls.Certificate{}, false
	}
	pair, err := tls.X509KeyPair([]byte(cert), []byte(key))
	if err != nil {
		l.fault(certName, "certificate and %s don't fit: %v", keyName, err)
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
	text, source := l.text(name, true)
	if text == "" {
		return nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM([]byte(text)) {
		l.fault(source, "no PEM certificate")
		return nil
	}
	return pool
}

// LoadCallerTLS returns the TLS side of a caller, which trusts BRAMLEY_CA or BRAMLEY_CA_FILE.
func LoadCallerTLS(getenv func(string) string) (*tls.Config, error) {
	l := &loader{getenv: getenv}
	pool := l.pool(CallerCA)
	if len(l.faults) > 0 {
		return nil, stderrors.Join(l.faults...)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}, nil
}
