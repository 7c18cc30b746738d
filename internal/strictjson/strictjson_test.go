package strictjson

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const valid = `{
	"deployment": {"name": "d", "idle_weight": 1.5e1, "weight_store_parallel_loads": 4},
	"models": [{"name": "a", "max_queue": 3, "aliases": ["x", "y"]}, {"name": "\u00e9", "keep_alive_ms": 0}],
	"services": [{"name": "s", "repeatable": [{"method": "GET", "path_prefix": "/"}]}]
}`

// TestAcceptsOnlyWhatProtojsonReads edits a valid text at random. When Decode reports no
// problem, protojson must decode the text into the same message.
func TestAcceptsOnlyWhatProtojsonReads(t *testing.T) {
	pieces := []string{"", "{", "}", "[", "]", ",", ":", `"`, "0", "-1", "1.5", "1e3", "null", "true", `"name"`, "\\", "\xff", " "}
	rapid.Check(t, func(t *rapid.T) {
		text := valid
		for range rapid.IntRange(0, 4).Draw(t, "edits") {
			at := rapid.IntRange(0, len(text)).Draw(t, "at")
			end := min(at+rapid.IntRange(0, 3).Draw(t, "cut"), len(text))
			text = text[:at] + rapid.SampledFrom(pieces).Draw(t, "piece") + text[end:]
		}
		got, want := &apiv1.ObjectSet{}, &apiv1.ObjectSet{}
		result := Decode([]byte(text), got)
		err := protojson.Unmarshal([]byte(text), want)
		if len(result.Problems) > 0 {
			for _, p := range result.Problems {
				if p.Problem == "" || p.Remedy == "" {
					t.Fatalf("problem without text or remedy: %+v", p)
				}
			}
			return
		}
		if err != nil {
			t.Fatalf("accepted, but protojson reports %v:\n%s", err, text)
		}
		if !proto.Equal(got, want) {
			t.Fatalf("read as %v, but protojson reads %v", got, want)
		}
	})
}

func TestPresent(t *testing.T) {
	is := is.New(t)
	result := Decode([]byte(valid), &apiv1.ObjectSet{})
	is.Equal(len(result.Problems), 0)
	is.True(result.Present["models[1].keep_alive_ms"]) // zero in the text
	is.True(!result.Present["models[0].keep_alive_ms"])
}

func TestNearest(t *testing.T) {
	names := strings.Fields("max_queue max_replicas min_replicas name")
	for name, want := range map[string]string{
		"maxQueue": "max_queue", "max-replica": "max_replicas", "min_replcas": "min_replicas", "Name": "name", "zzz": "", "": "",
	} {
		is.New(t).Equal(Nearest(name, names), want)
	}
}
