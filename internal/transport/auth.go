package transport

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"time"
)

// Credentials protect sessions. The zero value protects nothing and is meant
// for loopback.
type Credentials struct {
	// Token is the secret that both ends prove to know; nil skips the proof.
	Token []byte
	// Server and Client are the TLS settings of either end; nil means plain TCP.
	Server *tls.Config
	Client *tls.Config
}

// ErrUnauthorized means that the peer does not know the shared token.
var ErrUnauthorized = errors.New("peer does not know the shared token: set security.token_file to the same token on every host")

const (
	nonceBytes       = 32
	handshakeTimeout = 3 * time.Second
)

// proveToken runs a mutual challenge and response over conn. Each end sends a
// nonce and answers the other's with an HMAC that names its own side, so that
// an answer can't be reflected.
func proveToken(conn net.Conn, token []byte, mine, theirs string) error {
	if token == nil {
		return nil
	}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return fmt.Errorf("set handshake deadline: %w", err)
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return fmt.Errorf("make nonce: %w", err)
	}
	peer, err := exchange(conn, nonce)
	if err != nil {
		return err
	}
	proof, err := exchange(conn, tokenProof(token, mine, peer, nonce))
	if err != nil {
		return err
	}
	if !hmac.Equal(proof, tokenProof(token, theirs, nonce, peer)) {
		return ErrUnauthorized
	}
	return conn.SetDeadline(time.Time{})
}

func exchange(conn net.Conn, out []byte) ([]byte, error) {
	if _, err := conn.Write(out); err != nil {
		return nil, fmt.Errorf("handshake: %w", err)
	}
	in := make([]byte, len(out))
	if _, err := io.ReadFull(conn, in); err != nil {
		return nil, fmt.Errorf("handshake: %w", err)
	}
	return in, nil
}

func tokenProof(token []byte, side string, challenge, own []byte) []byte {
	mac := hmac.New(sha256.New, token)
	mac.Write([]byte(side))
	mac.Write(challenge)
	mac.Write(own)
	return mac.Sum(nil)
}
