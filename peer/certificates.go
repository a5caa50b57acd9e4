package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
)

// ServerName is the name for which the certificate of every entry instance has to be valid. A certificate
// of the same authority for another name is refused, so that the authority can serve other purposes too.
const ServerName = "entry.chivetiller.internal"

// protocolName is the ALPN name of the protocol between entry instances.
const protocolName = "chivetiller-peer/1"

// Certificates are the paths of PEM files.
type Certificates struct {
	// Authority is the certificate of the authority that issues the certificates of peers. It may hold several while it is replaced.
	Authority   string
	Certificate string
	Key         string
}

// material reads the certificate files for each handshake, so that renewed files are used without a restart.
// Handshakes are rare, so that the files need no watching. If the files cannot be read, the last good ones are used.
type material struct {
	paths  Certificates
	logger hclog.Logger

	mu          sync.Mutex
	certificate tls.Certificate
	authorities *x509.CertPool
}

func newMaterial(paths Certificates, logger hclog.Logger) (*material, error) {
	m := &material{paths: paths, logger: logger}
	if err := m.read(); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *material) read() error {
	certificate, err := tls.LoadX509KeyPair(m.paths.Certificate, m.paths.Key)
	if err != nil {
		return eris.Wrap(err, "read certificate")
	}
	data, err := os.ReadFile(m.paths.Authority)
	if err != nil {
		return eris.Wrap(err, "read authority")
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(data) {
		return eris.Errorf("file %q holds no certificate", m.paths.Authority)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.certificate, m.authorities = certificate, authorities
	return nil
}

func (m *material) current() (tls.Certificate, *x509.CertPool) {
	if err := m.read(); err != nil {
		m.logger.Error("Certificate files cannot be read. The last good ones stay in use.", "error", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.certificate, m.authorities
}

func (m *material) client() *tls.Config {
	certificate, authorities := m.current()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocolName},
		ServerName:             ServerName,
		RootCAs:                authorities,
		Certificates:           []tls.Certificate{certificate},
		SessionTicketsDisabled: true,
	}
}

func (m *material) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities := m.current()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				NextProtos:             []string{protocolName},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              authorities,
				Certificates:           []tls.Certificate{certificate},
				SessionTicketsDisabled: true,
				VerifyConnection: func(state tls.ConnectionState) error {
					return state.PeerCertificates[0].VerifyHostname(ServerName)
				},
			}, nil
		},
	}
}
