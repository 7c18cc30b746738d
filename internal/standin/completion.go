package standin

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns token i of an engine's completion of a prompt. It depends only on
// the arguments, so that a test can detect a missing token or one of another
// request.
func Token(model, adapter, prompt string, i int) string {
	d := xxhash.New()
	for _, part := range []string{model, adapter, prompt, strconv.Itoa(i)} {
		_, _ = fmt.Fprintf(d, "%d:%s", len(part), part) // a Digest never fails
	}
	return fmt.Sprintf("%08x ", uint32(d.Sum64()))
}

// Completion returns the first n tokens of an engine's completion of a prompt.
func Completion(model, adapter, prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(model, adapter, prompt, i))
	}
	return b.String()
}
