package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

const testToken = "0123456789abcdef"

// securityFiles writes a token and a self-signed certificate for 127.0.0.1.
func securityFiles(t *testing.T) *apiv1.SecuritySettings {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true,
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	keyBytes, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	dir := t.TempDir()
	write := func(name string, data []byte) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, data, 0o600))
		return path
	}
	certFile := write("cert.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}))
	return &apiv1.SecuritySettings{
		TokenFile:   write("token", []byte(testToken)),
		TlsCertFile: certFile,
		TlsKeyFile:  write("key.pem", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyBytes})),
		TlsCaFile:   certFile,
	}
}

// newTLSClient returns a client that trusts the certificate authority of the settings
// and presents no client certificate.
func newTLSClient(t testing.TB, security *apiv1.SecuritySettings) *http.Client {
	t.Helper()
	data, err := os.ReadFile(security.GetTlsCaFile())
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(data)
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
}

// With credentials, routers use TLS and the token among themselves, callers need no
// certificate and operators need the token.
func TestTLSAndToken(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineConfig{testEngineConfig()}, set: testSet(1), security: securityFiles(t)})
	for router := range d.routers {
		wantComplete(t, d.chat(router, "model-0", "encrypted", 5), "model-0", "encrypted", 5)
	}
	status := func(token string) int {
		request, err := http.NewRequest(http.MethodGet, "https://"+d.routerSettings[0].GetOperatorListen()+"/v1/status", nil)
		is.NoErr(err)
		request.Header.Set("Authorization", "Bearer "+token)
		response, err := d.client.Do(request)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response.StatusCode
	}
	is.Equal(status("guess"), http.StatusUnauthorized)
	is.Equal(status(testToken), http.StatusOK)
	plainResponse, err := http.Get("http://" + d.routerSettings[0].GetListen() + "/readyz")
	is.NoErr(err)
	is.Equal(plainResponse.StatusCode, http.StatusBadRequest) // plain HTTP to a TLS port
	is.NoErr(plainResponse.Body.Close())
}
