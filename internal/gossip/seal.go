package gossip

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// MaxDatagramBytes keeps a datagram below the usual path MTU.
const MaxDatagramBytes = 1200

const tagBytes = 16 // of the HMAC-SHA256

// ErrBadTag means that a datagram does not come from a holder of the token.
var ErrBadTag = errors.New("datagram with a wrong tag: set security.token_file to the same token on every host")

// seal encodes a message and puts a tag before it. Without a token the tag is
// zero.
func seal(token []byte, m *apiv1.Gossip) ([]byte, error) {
	out, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, tagBytes, MaxDatagramBytes), m)
	if err != nil {
		return nil, fmt.Errorf("encode gossip: %w", err)
	}
	copy(out, tag(token, out[tagBytes:]))
	return out, nil
}

// open checks the tag and decodes the message.
func open(token, datagram []byte) (*apiv1.Gossip, error) {
	if len(datagram) < tagBytes || !hmac.Equal(datagram[:tagBytes], tag(token, datagram[tagBytes:])) {
		return nil, ErrBadTag
	}
	m := &apiv1.Gossip{}
	if err := proto.Unmarshal(datagram[tagBytes:], m); err != nil {
		return nil, fmt.Errorf("decode gossip: %w", err)
	}
	return m, nil
}

func tag(token, body []byte) []byte {
	if token == nil {
		return make([]byte, tagBytes)
	}
	mac := hmac.New(sha256.New, token)
	mac.Write(body)
	return mac.Sum(nil)[:tagBytes]
}
