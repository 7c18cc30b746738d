package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

// minTokenBytes is the minimum token length; shorter tokens count as guessable.
const minTokenBytes = 16

// checkSecurity requires a token and TLS when a listener is not on loopback.
func checkSecurity(c *checker, s *apiv1.SecuritySettings, exposed []exposedListener) {
	checkTLSFiles(c, s)
	if len(exposed) == 0 {
		return
	}
	names := make([]string, 0, len(exposed))
	for _, l := range exposed {
		names = append(names, l.field+" "+l.addr.String())
	}
	reason := "missing, but other hosts can reach " + strings.Join(names, ", ")
	needed := []struct{ field, value, remedy string }{
		{"security.token_file", s.GetTokenFile(), "name a file with the shared token, or listen on 127.0.0.1"},
		{"security.tls_cert_file", s.GetTlsCertFile(), "name this host's certificate (PEM), or listen on 127.0.0.1"},
		{"security.tls_key_file", s.GetTlsKeyFile(), "name this host's key (PEM), or listen on 127.0.0.1"},
		{"security.tls_ca_file", s.GetTlsCaFile(), "name the authority that signs the hosts' certificates (PEM), or listen on 127.0.0.1"},
	}
	for _, n := range needed {
		if n.value == "" && !c.invalid[n.field] {
			c.add(n.field, reason, n.remedy)
		}
	}
}

// checkTLSFiles requires all three TLS files or none.
func checkTLSFiles(c *checker, s *apiv1.SecuritySettings) {
	files := []struct{ field, value string }{
		{"security.tls_cert_file", s.GetTlsCertFile()},
		{"security.tls_key_file", s.GetTlsKeyFile()},
		{"security.tls_ca_file", s.GetTlsCaFile()},
	}
	given := 0
	for _, f := range files {
		if f.value != "" {
			given++
		}
	}
	if given == 0 || given == len(files) {
		return
	}
	for _, f := range files {
		if f.value == "" && !c.invalid[f.field] {
			c.add(f.field, "missing, but other TLS files are set", "set tls_cert_file, tls_key_file and tls_ca_file, or none of them")
		}
	}
}

// Credentials reads the token and the TLS files. Without any, the credentials are
// empty and provide no protection. It returns an *Error for files that can't be
// read or are invalid.
func Credentials(s *apiv1.SecuritySettings) (transport.Credentials, error) {
	c := &checker{invalid: make(map[string]bool)}
	creds := transport.Credentials{Token: readToken(c, s.GetTokenFile())}
	if s.GetTlsCertFile() != "" || s.GetTlsKeyFile() != "" || s.GetTlsCaFile() != "" {
		creds.Server, creds.Client = readTLS(c, s)
	}
	if err := c.err("security"); err != nil {
		return transport.Credentials{}, err
	}
	return creds, nil
}

func readToken(c *checker, path string) []byte {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		c.add("security.token_file", err.Error(), "name a file that this user can read")
		return nil
	}
	token := strings.TrimSpace(string(data))
	if len(token) < minTokenBytes {
		c.add("security.token_file", fmt.Sprintf("the token in %s has %d bytes", path, len(token)),
			fmt.Sprintf("write at least %d random bytes into it, the same on every host", minTokenBytes))
	}
	return []byte(token)
}

// readTLS returns configurations for mutual TLS: each side presents a certificate
// signed by the same authority. A client configuration may have no certificate.
func readTLS(c *checker, s *apiv1.SecuritySettings) (server, client *tls.Config) {
	var certs []tls.Certificate
	if s.GetTlsCertFile() != "" || s.GetTlsKeyFile() != "" {
		cert, err := tls.LoadX509KeyPair(s.GetTlsCertFile(), s.GetTlsKeyFile())
		if err != nil {
			c.add("security.tls_cert_file", err.Error(), "name a PEM certificate and its key")
		}
		certs = append(certs, cert)
	}
	authority, err := readAuthority(s.GetTlsCaFile())
	if err != nil {
		c.add("security.tls_ca_file", err.Error(), "name a PEM file with the authority's certificate")
	}
	server = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: certs,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authority,
	}
	client = &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: certs,
		RootCAs:      authority,
	}
	return server, client
}

// ListenerTLS returns the TLS configuration of HTTP listeners, whose clients send a
// bearer token instead of a certificate. It is nil when TLS is not configured.
func ListenerTLS(creds transport.Credentials) *tls.Config {
	if creds.Server == nil {
		return nil
	}
	listener := creds.Server.Clone()
	listener.ClientAuth = tls.NoClientCert
	listener.ClientCAs = nil
	return listener
}

func readAuthority(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.New("no certificate in " + path)
	}
	return pool, nil
}
