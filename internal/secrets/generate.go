package secrets

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"
)

const (
	// certificateLifetime is the validity period of generated certificates.
	certificateLifetime = 90 * 24 * time.Hour
	// clockSkew backdates certificates, because the clock of another machine may lag behind by this much.
	clockSkew = time.Hour

	secretFileMode os.FileMode = 0o600
	secretDirMode  os.FileMode = 0o700

	// EnvFile is the name of the generated environment file, which sets the variables that point to the other files.
	EnvFile = "env"
)

// Generate writes a full set of secrets for one machine to dir: two certificate authorities, one for callers and one
// for peers, a certificate from each, random keys, and an environment file that points to them. It is meant for trials
// and tests.
func Generate(dir string) error {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return errors.Annotate(err, "resolving the output directory")
	}
	if err := os.MkdirAll(dir, secretDirMode); err != nil {
		return errors.Annotate(err, "creating the output directory")
	}
	g := &generator{dir: dir}
	for _, step := range []func() error{g.writeCallerFiles, g.writePeerFiles, g.writeKeyFiles, g.writeEnvFile} {
		if err := step(); err != nil {
			return errors.Annotatef(err, "generating secrets in %s", dir)
		}
	}
	return nil
}

type generator struct {
	dir string
	env []string
}

// write writes one secret to a file and adds the variable that points to it to the environment file.
func (g *generator) write(variable, file string, data []byte) error {
	path := filepath.Join(g.dir, file)
	if err := os.WriteFile(path, data, secretFileMode); err != nil {
		return err
	}
	g.env = append(g.env, fmt.Sprintf("%s%s=%s", variable, FileSuffix, shellQuote(path)))
	return nil
}

func shellQuote(path string) string {
	return "'" + strings.ReplaceAll(path, "'", `'\''`) + "'"
}

func (g *generator) writeCallerFiles() error {
	ca, err := newAuthority("bramleyrack callers")
	if err != nil {
		return err
	}
	cert, key, err := ca.issue(&x509.Certificate{
		Subject:     pkix.Name{CommonName: "bramleyrack server"},
		DNSNames:    []string{"localhost"},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	if err != nil {
		return err
	}
	if err := g.write(CallerCA, "ca.pem", ca.pem); err != nil {
		return err
	}
	if err := g.write(ServerCertificate, "server.pem", cert); err != nil {
		return err
	}
	return g.write(ServerKey, "server.key", key)
}

func (g *generator) writePeerFiles() error {
	ca, err := newAuthority("bramleyrack peers")
	if err != nil {
		return err
	}
	cert, key, err := ca.issue(&x509.Certificate{
		Subject:     pkix.Name{CommonName: PeerName},
		DNSNames:    []string{PeerName},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return err
	}
	if err := g.write(PeerCA, "peer-ca.pem", ca.pem); err != nil {
		return err
	}
	if err := g.write(PeerCertificate, "peer.pem", cert); err != nil {
		return err
	}
	return g.write(PeerKey, "peer.key", key)
}

func (g *generator) writeKeyFiles() error {
	keys := []struct {
		variable, file string
		size           int
	}{
		{ConnectionIDKey, "connection-id.key", ConnectionIDKeySize},
		{TicketKey, "ticket.key", TicketKeySize},
		{ResetKey, "reset.key", ResetKeySize},
	}
	for _, k := range keys {
		secret := make([]byte, k.size)
		rand.Read(secret)
		if err := g.write(k.variable, k.file, []byte(hex.EncodeToString(secret)+"\n")); err != nil {
			return err
		}
	}
	return nil
}

func (g *generator) writeEnvFile() error {
	text := strings.Join(g.env, "\n") + "\n"
	return os.WriteFile(filepath.Join(g.dir, EnvFile), []byte(text), secretFileMode)
}

// authority is a certificate authority whose private key is discarded after use and never written to disk.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newAuthority(name string) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: name},
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	if err := setValidity(template); err != nil {
		return nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &authority{cert: cert, key: key, pem: encodePEM("CERTIFICATE", der)}, nil
}

func (a *authority) issue(template *x509.Certificate) (cert, key []byte, err error) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	if err := setValidity(template); err != nil {
		return nil, nil, err
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &privateKey.PublicKey, a.key)
	if err != nil {
		return nil, nil, err
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		return nil, nil, err
	}
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", pkcs8), nil
}

// serialLimit keeps the random serial numbers within the 20 bytes that X.509 allows.
var serialLimit = new(big.Int).Lsh(big.NewInt(1), 158)

func setValidity(template *x509.Certificate) error {
	serial, err := rand.Int(rand.Reader, serialLimit)
	if err != nil {
		return err
	}
	now := time.Now()
	template.SerialNumber = serial
	template.NotBefore = now.Add(-clockSkew)
	template.NotAfter = now.Add(certificateLifetime)
	return nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
