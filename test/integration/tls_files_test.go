package integration

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
	"testing"
	"time"

	"github.com/samphirestream/samphirestream/internal/settings"
)

// newTLSFiles writes a certificate authority and a certificate with its key, which
// all processes of a fleet use, and returns the file names.
func newTLSFiles(t testing.TB, dir string) settings.TLS {
	t.Helper()
	files := settings.TLS{
		Certificate: filepath.Join(dir, "node.crt"),
		Key:         filepath.Join(dir, "node.key"),
		Authority:   filepath.Join(dir, "authority.crt"),
	}
	caKey, nodeKey := newPrivateKey(t), newPrivateKey(t)
	ca := certTemplate(1, true)
	caDER := signCert(t, ca, ca, caKey, caKey)
	nodeDER := signCert(t, certTemplate(2, false), ca, nodeKey, caKey)
	keyDER, err := x509.MarshalECPrivateKey(nodeKey)
	if err != nil {
		t.Fatal(err)
	}
	writePEM(t, files.Authority, "CERTIFICATE", caDER)
	writePEM(t, files.Certificate, "CERTIFICATE", nodeDER)
	writePEM(t, files.Key, "EC PRIVATE KEY", keyDER)
	return files
}

func newPrivateKey(t testing.TB) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func certTemplate(serial int64, ca bool) *x509.Certificate {
	usage := x509.KeyUsageDigitalSignature
	if ca {
		usage |= x509.KeyUsageCertSign
	}
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: usage, IsCA: ca, BasicConstraintsValid: true,
	}
}

func signCert(t testing.TB, cert, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) []byte {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, cert, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	return der
}

func writePEM(t testing.TB, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}
