package settings

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

func writeFile(t *testing.T, name string, data []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// securityFiles writes a token and a self-signed certificate for 127.0.0.1.
func securityFiles(t *testing.T) *apiv1.SecuritySettings {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotAfter:              time.Now().Add(time.Hour),
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	keyBytes, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	certFile := writeFile(t, "cert.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}))
	return &apiv1.SecuritySettings{
		TokenFile:   writeFile(t, "token", []byte("0123456789abcdef\n")),
		TlsCertFile: certFile,
		TlsKeyFile:  writeFile(t, "key.pem", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyBytes})),
		TlsCaFile:   certFile,
	}
}

func TestCredentialsProtectSessions(t *testing.T) {
	is := is.New(t)
	creds, err := Credentials(securityFiles(t))
	is.NoErr(err)
	is.Equal(string(creds.Token), "0123456789abcdef") // without the line break
	server, err := transport.Listen("127.0.0.1:0", creds, nil, func(context.Context, *transport.Stream) {})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error)
	go func() { served <- server.Serve(ctx) }()
	defer func() {
		cancel()
		is.NoErr(<-served)
	}()

	addr := server.Addr()
	session, err := transport.Dial(ctx, addr, creds)
	is.NoErr(err)
	is.NoErr(session.Close())
	_, err = transport.Dial(ctx, addr, transport.Credentials{Token: creds.Token})
	is.True(err != nil) // no TLS
	otherAuthority, err := Credentials(securityFiles(t))
	is.NoErr(err)
	_, err = transport.Dial(ctx, addr, otherAuthority)
	is.True(err != nil) // certificate of another authority
	is.True(ListenerTLS(creds).ClientCAs == nil)
	is.True(ListenerTLS(transport.Credentials{}) == nil)
}

func TestCredentialsWithoutFiles(t *testing.T) {
	creds, err := Credentials(nil)
	is := is.New(t)
	is.NoErr(err)
	is.Equal(creds, transport.Credentials{})
}

func TestCredentialsProblems(t *testing.T) {
	_, err := Credentials(&apiv1.SecuritySettings{
		TokenFile:   writeFile(t, "token", []byte("short")),
		TlsCertFile: "absent.pem", TlsKeyFile: "absent.pem",
		TlsCaFile: writeFile(t, "ca.pem", []byte(strings.Repeat("x", 9))),
	})
	wantProblems(t, err, []string{"security.token_file: the token in", "security.tls_cert_file: open absent.pem", "security.tls_ca_file: no certificate in"})
}
