package external_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// The host list is transferred again only after it has changed.
func TestHostListIsReadOnlyWhenChanged(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c, err := standin.Start(ctx, standin.ClusterOptions{})
	is.NoErr(err)
	defer c.Close()
	hosts := closeIdle(t, external.NewHostListClient(external.ClientOptions{BaseURL: c.HostListURL}))
	for change := range 3 {
		c.Hosts.Add(external.Host{ID: string(rune('a' + change))})
		for range 4 {
			listing, err := hosts.Hosts(ctx)
			is.NoErr(err)
			is.Equal(len(listing.Hosts), change+1)
		}
	}
	is.Equal(c.Hosts.Counts().Reads, int64(12))
	is.Equal(c.Hosts.Counts().Unchanged, int64(9))
}
