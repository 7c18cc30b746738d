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

// minTokenBytes is the length below which a token counts as guessable.
const minTokenBytes = 16

// checkSecurity demands a token and TLS when a listener is beyond loopback.
func checkSecurity(c *checker, s *apiv1.SecuritySettings, beyond []exposed) {
	checkTLSFiles(c, s)
	if len(beyond) == 0 {
		return
	}
	names := make([]string, 0, len(beyond))
	for _, l := range beyond {
		names = append(names, l.field+" "+l.addr.String())
	}
	reason := "missing, though others can reach " + strings.Join(names, ", ")
	needed := []struct{ field, value, remedy string }{
		{"security.token_file", s.GetTokenFile(), "name a file with the shared token, or listen on 127.0.0.1"},
		{"security.tls_cert_file", s.GetTlsCertFile(), "name this host's certificate (PEM), or listen on 127.0.0.1"},
		{"security.tls_key_file", s.GetTlsKeyFile(), "name this host's key (PEM), or listen on 127.0.0.1"},
		{"security.tls_ca_file", s.GetTlsCaFile(), "name the authority that signs the hosts' certificates (PEM), or listen on 127.0.0.1"},
	}
	for _, n := range needed {
		if n.value == "" && !c.faulty[n.field] {
			c.add(n.field, reason, n.remedy)
		}
	}
}

// checkTLSFiles demands all three TLS files or none.
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
		if f.value == "" && !c.faulty[f.field] {
			c.add(f.field, "missing beside the other TLS files", "set tls_cert_file, tls_key_file and tls_ca_file, or none of them")
		}
	}
}

// Credentials reads the token and the TLS files. Settings without any give
// credentials that protect nothing. A file that can't be used gives an *Error.
func Credentials(s *apiv1.SecuritySettings) (transport.Credentials, error) {
	c := &checker{faulty: make(map[string]bool)}
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

// readTLS makes mutual TLS: each end shows a certificate of the same authority.
// A client may do without one.
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

// ListenerTLS returns the TLS settings of a process's HTTP listeners, whose
// clients show a bearer token in place of a certificate. It is nil without TLS.
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
