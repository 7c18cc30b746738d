package progress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
)

const silence = 200 * time.Millisecond

func TestSilenceEndsTheCall(t *testing.T) {
	is := is.New(t)
	ctx, watch := WithTimeout(context.Background(), silence)
	defer watch.Stop()
	<-ctx.Done()
	err := watch.Err(ctx.Err())
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.Equal(err.Error(), "silent for 200ms: no data moved: context deadline exceeded: context canceled")
}

// A reader that gets a byte now and then is not ended for the time that it takes in all.
func TestDataExtendsTheCall(t *testing.T) {
	is := is.New(t)
	ctx, watch := WithTimeout(context.Background(), silence)
	defer watch.Stop()
	r := Reader(ctx, bytes.NewReader(make([]byte, 8)))
	for range 8 {
		_, err := io.ReadFull(r, make([]byte, 1))
		is.NoErr(err)
		time.Sleep(silence / 4)
	}
	is.NoErr(ctx.Err())
	<-ctx.Done() // the data has ended
}

func TestErrorOfTheCallIsKept(t *testing.T) {
	is := is.New(t)
	parent, cancel := context.WithCancel(context.Background())
	_, watch := WithTimeout(parent, time.Hour)
	is.Equal(watch.Err(io.ErrUnexpectedEOF), io.ErrUnexpectedEOF)
	is.NoErr(watch.Err(nil))
	is.Equal(Reader(parent, io.MultiReader()), io.MultiReader()) // not watched
	cancel()
	is.Equal(watch.Err(io.ErrUnexpectedEOF), io.ErrUnexpectedEOF) // not the watch's doing
}
