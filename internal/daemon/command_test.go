package daemon

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	is.New(t).NoErr(os.WriteFile(bad, []byte(`{"bogus": 1}`), 0o600))
	for _, tc := range []struct {
		name string
		args []string
		want int
	}{
		{"help", []string{"--help"}, ExitOK},
		{"no settings", []string{"router"}, ExitSettings},
		{"invalid settings", []string{"router", "--check", "--settings", bad}, ExitSettings},
		{"unreadable settings", []string{"router", "--settings", bad + ".none"}, ExitSettings},
		{"valid settings", []string{"router", "--check", "--settings", "../../examples/router.json"}, ExitOK},
		{"unknown flag", []string{"router", "--frob"}, ExitSettings},
		{"unknown command", []string{"frob"}, ExitSettings},
		{"unknown deployment", []string{"dev", "--deployment", "none"}, ExitSettings},
		{"unknown log level", []string{"dev", "--log-level", "loud"}, ExitSettings},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := Main(context.Background(), append([]string{"ragwortdoord"}, tc.args...))
			is.New(t).Equal(got, tc.want)
		})
	}
}
