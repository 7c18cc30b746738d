package memory

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestKeysOfLongNamesAreShort(t *testing.T) {
	is := is.New(t)
	is.Equal(Key("9c41d07be2a35f68"), "9c41d07be2a35f68")
	long := strings.Repeat("x", 30<<10)
	is.True(len(Key(long+"a")) <= maxKeyBytes)
	is.Equal(Key(long+"a"), Key(long+"a"))
	is.True(Key(long+"a") != Key(long+"b"))
}
