// Package devcert issues certificates for development and tests. It must not be used in production.
//
// # Usage
//
//	authority, err := devcert.NewAuthority()
//	files, err := authority.Write(dir, "entry-1", 24*time.Hour)
//	certificates := peer.Certificates{Authority: files.Authority, Certificate: files.Certificate, Key: files.Key}
package devcert

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// ServerName is the name for which the certificates of entry instances are valid.
const ServerName = "entry.chivetiller.internal"

const authorityValidity = 10 * 365 * 24 * time.Hour

// Authority is a certificate authority whose key is only in memory.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Files are the paths of a certificate, its key and the certificate of its authority.
type Files struct{ Authority, Certificate, Key string }

// NewAuthority returns a new authority.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate key of the authority")
	}
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "chivetiller development authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(authorityValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	certificate, err := createCertificate(template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// Write issues a certificate and writes it with its key and the authority into the directory.
// Each existing file is replaced atomically.
func (a *Authority) Write(dir, name string, validity time.Duration) (Files, error) {
	return a.WriteForServerName(dir, name, ServerName, validity)
}

// WriteForServerName is Write for another server name.
func (a *Authority) WriteForServerName(dir, name, serverName string, validity time.Duration) (Files, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Files{}, eris.Wrap(err, "generate key of the certificate")
	}
	certificate, err := createCertificate(&x509.Certificate{
		Subject:     pkix.Name{CommonName: name},
		DNSNames:    []string{serverName},
		NotBefore:   time.Now().Add(-time.Hour),
		NotAfter:    time.Now().Add(validity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Files{}, err
	}
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Files{}, eris.Wrap(err, "encode key")
	}
	files := Files{
		Authority:   filepath.Join(dir, "authority.pem"),
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+".key"),
	}
	for _, f := range []struct {
		path, blockType string
		der             []byte
	}{
		{files.Key, "PRIVATE KEY", der},
		{files.Certificate, "CERTIFICATE", certificate.Raw},
		{files.Authority, "CERTIFICATE", a.certificate.Raw},
	} {
		if err := replaceFile(f.path, pem.EncodeToMemory(&pem.Block{Type: f.blockType, Bytes: f.der})); err != nil {
			return Files{}, err
		}
	}
	return files, nil
}

func createCertificate(template, parent *x509.Certificate, public *ecdsa.PublicKey, key *ecdsa.PrivateKey) (*x509.Certificate, error) {
	const serialBits = 127
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "generate serial number")
	}
	template.SerialNumber = serial
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, key)
	if err != nil {
		return nil, eris.Wrap(err, "create certificate")
	}
	return x509.ParseCertificate(der)
}

func replaceFile(path string, data []byte) error {
	temporary := path + ".new"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
