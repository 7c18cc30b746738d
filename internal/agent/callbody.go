package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// errShortBody means that the caller's body ended before its last chunk.
var errShortBody = errors.New("the body was cut: send the call again from its start")

// callBody turns the chunks of a call into a reader. The methods feed and cut
// belong to the receiving goroutine, open and close to the calling one.
type callBody struct {
	first   chan *apiv1.BodyChunk // holds the first chunk
	started bool                  // used by feed only
	reader  *io.PipeReader
	writer  *io.PipeWriter
}

func newCallBody() *callBody {
	reader, writer := io.Pipe()
	return &callBody{first: make(chan *apiv1.BodyChunk, 1), reader: reader, writer: writer}
}

// feed passes one chunk on. It blocks while the service reads slowly, and so
// holds back the router.
func (b *callBody) feed(chunk *apiv1.BodyChunk) {
	if chunk == nil {
		return
	}
	if !b.started {
		b.started = true
		b.first <- chunk
	} else if len(chunk.GetData()) > 0 {
		_, _ = b.writer.Write(chunk.GetData()) // fails once the call has ended
	}
	if chunk.GetLast() {
		_ = b.writer.Close()
	}
}

// cut ends a body whose last chunk did not come; it has no effect after it.
func (b *callBody) cut() { _ = b.writer.CloseWithError(errShortBody) }

func (b *callBody) close() { _ = b.reader.Close() }

// open waits for the first chunk. A body of one chunk has a known length, so
// that the service gets it with a Content-Length.
func (b *callBody) open(ctx context.Context) (io.Reader, error) {
	select {
	case chunk := <-b.first:
		return b.after(chunk), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (b *callBody) after(chunk *apiv1.BodyChunk) io.Reader {
	data := chunk.GetData()
	switch {
	case chunk.GetLast() && len(data) == 0:
		return http.NoBody
	case chunk.GetLast():
		return bytes.NewReader(data)
	default:
		return io.MultiReader(bytes.NewReader(data), b.reader)
	}
}
