package external_test

import (
	"flag"
	"testing"

	"go.uber.org/goleak"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	goleak.VerifyTestMain(m)
}

// startCluster starts stand-ins and closes them when the test ends.
func startCluster(t *testing.T, o standin.ClusterOptions) *standin.Cluster {
	t.Helper()
	c, err := standin.Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// closeIdle closes a client's idle connections when the test ends.
func closeIdle[C any](t *testing.T, client C) C {
	t.Helper()
	t.Cleanup(any(client).(interface{ CloseIdleConnections() }).CloseIdleConnections)
	return client
}

func newTable(t *testing.T, c *standin.Cluster) external.TableService {
	t.Helper()
	return closeIdle(t, external.NewTableClient(external.ClientOptions{BaseURL: c.TableURL}))
}
