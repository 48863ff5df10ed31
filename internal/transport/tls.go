package transport

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/juju/errors"

	"github.com/samphirestream/samphirestream/internal/settings"
)

// Security authenticates connections between processes. A nil configuration
// means plaintext.
type Security struct {
	config *tls.Config
}

// NewSecurity reads the keys named in the settings.
func NewSecurity(s *settings.Settings) (*Security, error) {
	if s.InsecurePlaintext {
		return &Security{}, nil
	}
	cert, err := tls.LoadX509KeyPair(s.TLS.Certificate, s.TLS.Key)
	if err != nil {
		return nil, errors.Annotate(err, "reading tls.certificate and tls.key")
	}
	pem, err := os.ReadFile(s.TLS.Authority)
	if err != nil {
		return nil, errors.Annotate(err, "reading tls.authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.NotValidf("tls.authority %s: give a PEM certificate;", s.TLS.Authority)
	}
	return &Security{config: mutualConfig(cert, pool)}, nil
}

// mutualConfig returns a configuration that requires both sides to present a
// certificate of the authority. It does not check addresses against certificates,
// since VMs are replaced under new addresses.
func mutualConfig(cert tls.Certificate, pool *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{cert},
		ClientCAs:          pool,
		ClientAuth:         tls.RequireAndVerifyClientCert,
		InsecureSkipVerify: true, // the chain is verified below
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, pool)
		},
	}
}

func verifyChain(state tls.ConnectionState, pool *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.Unauthorizedf("peer without a certificate")
	}
	opts := x509.VerifyOptions{
		Roots:         pool,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, c := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(opts)
	return errors.Annotate(err, "verifying the peer's certificate")
}

func (s *Security) client(conn net.Conn) net.Conn {
	if s.config == nil {
		return conn
	}
	return tls.Client(conn, s.config)
}

func (s *Security) server(conn net.Conn) net.Conn {
	if s.config == nil {
		return conn
	}
	return tls.Server(conn, s.config)
}
