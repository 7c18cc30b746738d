package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/ragwortdoor/ragwortdoor/internal/operator"
)

// writeOutput writes a value to standard output, as JSON or by calling table,
// depending on --output.
func writeOutput(cmd *cli.Command, value any, table func(w io.Writer)) error {
	out := cmd.Root().Writer
	if cmd.String(flagOutput) == outputJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	columns := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	table(columns)
	return columns.Flush()
}

// writeRow writes a table row with tab-separated cells.
func writeRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

func formatTime(unixMs int64) string {
	if unixMs == 0 {
		return "-"
	}
	return time.UnixMilli(unixMs).UTC().Format(time.RFC3339)
}

func writeRevision(w io.Writer, r operator.Revision) {
	fmt.Fprintf(w, "revision %d by %s at %s: %s\n", r.Revision, orDash(r.Author), formatTime(r.UnixMs), orDash(r.Message))
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
