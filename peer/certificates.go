package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"
)

// ServerName is the DNS name that the certificate of every entry instance has to contain. A certificate of the
// same authority for another name is refused, so that the authority can serve other purposes too.
const ServerName = "entry.chivetiller.internal"

// alpnProtocol is the ALPN name of the protocol between entry instances.
const alpnProtocol = "chivetiller-peer/1"

// Certificates are the paths of PEM files.
type Certificates struct {
	// Authority holds the certificate of the authority that issues the certificates of peers. While the authority
	// is being replaced, it may hold several.
	Authority   string
	Certificate string
	Key         string
}

// certificateLoader loads the certificate files for each handshake, so that renewed files take effect without a restart.
// Handshakes are rare enough that the files need no watcher. If the files cannot be loaded, the last valid ones are used.
type certificateLoader struct {
	paths  Certificates
	logger hclog.Logger

	mu          sync.Mutex
	certificate tls.Certificate
	authorities *x509.CertPool
}

func newCertificateLoader(paths Certificates, logger hclog.Logger) (*certificateLoader, error) {
	m := &certificateLoader{paths: paths, logger: logger}
	if err := m.load(); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *certificateLoader) load() error {
	certificate, err := tls.LoadX509KeyPair(m.paths.Certificate, m.paths.Key)
	if err != nil {
		return eris.Wrap(err, "load certificate")
	}
	data, err := os.ReadFile(m.paths.Authority)
	if err != nil {
		return eris.Wrap(err, "read certificate of the authority")
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

func (m *certificateLoader) current() (tls.Certificate, *x509.CertPool) {
	if err := m.load(); err != nil {
		m.logger.Error("Certificate files cannot be loaded; the last valid ones stay in use.", "error", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.certificate, m.authorities
}

func (m *certificateLoader) clientConfig() *tls.Config {
	certificate, authorities := m.current()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{alpnProtocol},
		ServerName:             ServerName,
		RootCAs:                authorities,
		Certificates:           []tls.Certificate{certificate},
		SessionTicketsDisabled: true,
	}
}

func (m *certificateLoader) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authorities := m.current()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				NextProtos:             []string{alpnProtocol},
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
