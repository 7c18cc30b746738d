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

// Credentials authenticate and encrypt sessions. The zero value does neither and is
// meant for loopback.
type Credentials struct {
	// Token is the shared secret that both ends prove they know; nil skips this check.
	Token []byte
	// Server and Client are the TLS configurations of the accepting and the dialing
	// end; nil means plain TCP.
	Server *tls.Config
	Client *tls.Config
}

// ErrUnauthorized means that the peer does not know the shared token.
var ErrUnauthorized = errors.New("peer does not know the shared token: set security.token_file to the same token on every host")

const (
	nonceBytes       = 32
	handshakeTimeout = 3 * time.Second
)

// authenticate runs a mutual challenge-response handshake over conn. Each end sends a
// nonce and returns an HMAC of the peer's nonce that includes its own side, so that
// the HMAC can't be reflected to its sender.
func authenticate(conn net.Conn, token []byte, localSide, remoteSide string) error {
	if token == nil {
		return nil
	}
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return fmt.Errorf("set handshake deadline: %w", err)
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return fmt.Errorf("generate nonce: %w", err)
	}
	peerNonce, err := swapMessages(conn, nonce)
	if err != nil {
		return err
	}
	peerMAC, err := swapMessages(conn, tokenMAC(token, localSide, peerNonce, nonce))
	if err != nil {
		return err
	}
	if !hmac.Equal(peerMAC, tokenMAC(token, remoteSide, nonce, peerNonce)) {
		return ErrUnauthorized
	}
	return conn.SetDeadline(time.Time{})
}

// swapMessages sends out and reads a message of the same length.
func swapMessages(conn net.Conn, out []byte) ([]byte, error) {
	if _, err := conn.Write(out); err != nil {
		return nil, fmt.Errorf("handshake: %w", err)
	}
	in := make([]byte, len(out))
	if _, err := io.ReadFull(conn, in); err != nil {
		return nil, fmt.Errorf("handshake: %w", err)
	}
	return in, nil
}

func tokenMAC(token []byte, side string, challenge, ownNonce []byte) []byte {
	mac := hmac.New(sha256.New, token)
	mac.Write([]byte(side))
	mac.Write(challenge)
	mac.Write(ownNonce)
	return mac.Sum(nil)
}
