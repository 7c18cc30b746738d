package config

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
)

// testFleet has one host of 48 GiB in each pool of the sample set.
var testFleet = FleetOf(external.HostListing{Hosts: []external.Host{
	{ID: "r1", Role: external.RoleRouter},
	{ID: "e1", Role: external.RoleUpstream, Pool: "lm-pool", FailureDomain: "songino", MemoryMiB: 1024},
	{ID: "e2", Role: external.RoleUpstream, Pool: "lm-pool", FailureDomain: "songino", MemoryMiB: 48 << 10},
	{ID: "s1", Role: external.RoleUpstream, Pool: "giveaway-app", FailureDomain: "songino"},
}})

func TestCheckProblems(t *testing.T) {
	for _, test := range []struct {
		name   string
		modify func(*apiv1.ObjectSet)
		// want lists the expected problems, each as a prefix of its text.
		want []string
	}{
		{"valid", func(*apiv1.ObjectSet) {}, nil},
		{"no deployment", func(s *apiv1.ObjectSet) { s.Deployment = nil }, []string{"deployment: missing"}},
		{"deployment limits", func(s *apiv1.ObjectSet) {
			s.Deployment = &apiv1.Deployment{ColdStartWeight: -1}
		}, []string{
			"deployment.name: missing", "deployment.cold_start_weight: -1", "deployment.weight_store_loads_per_second: 0",
			"deployment.weight_store_parallel_loads: 0", "deployment.adapter_parallel_loads: 0",
		}},
		{"missing references", func(s *apiv1.ObjectSet) {
			s.Models[0].Version, s.Models[0].Placement, s.Models[0].PriorityClass = "x", "singl", ""
		}, []string{
			`models/manifest-reader.version: "x" is not in`,
			`models/manifest-reader.placement: "singl" is not in the set's placements; did you mean "single"?`,
			"models/manifest-reader.priority_class: missing",
		}},
		{
			"version of another model", func(s *apiv1.ObjectSet) { s.Models[0].Version = s.Models[1].Version },
			[]string{`models/manifest-reader.version: "pickup-summary-v1" belongs to model "pickup-summary"`},
		},
		{
			"model limits", func(s *apiv1.ObjectSet) { s.Models[0].MaxQueue, s.Models[0].KeepAliveMs = 0, 1<<31 },
			[]string{"models/manifest-reader.max_queue: 0 is out", "models/manifest-reader.keep_alive_ms: 2147483648 is out"},
		},
		{
			"duplicate model", func(s *apiv1.ObjectSet) { s.Models = append(s.Models, s.Models[0]) },
			[]string{"models/manifest-reader.name: given to two objects"},
		},
		{"names", func(s *apiv1.ObjectSet) {
			s.Services[0].Name, s.PriorityClasses[2].Name = "a:b", ""
		}, []string{"priority_classes[2].name: missing", `services/a:b.name: "a:b" is not a valid name`}},
		{"aliases", func(s *apiv1.ObjectSet) {
			s.Models[0].Aliases = []string{"pickup-summary", "shared", "a:b", "own", "own"}
			s.Models[2].Aliases = []string{"shared", "family-chat"}
		}, []string{
			`models/manifest-reader.aliases: "pickup-summary" is the name of another`,
			`models/manifest-reader.aliases: "shared" is an alias of manifest-reader and family-chat`,
			`models/manifest-reader.aliases: "a:b" is not a valid name`,
			`models/manifest-reader.aliases: "own" is listed twice`,
			`models/family-chat.aliases: "shared" is an alias of manifest-reader and family-chat`,
			`models/family-chat.aliases: "family-chat" is the model's own name`,
		}},
		{"alias cycle", func(s *apiv1.ObjectSet) {
			s.Models[0].Aliases, s.Models[1].Aliases = []string{"pickup-summary"}, []string{"family-chat"}
			s.Models[2].Aliases = []string{"manifest-reader"}
		}, []string{
			"models/manifest-reader.aliases: cycle of aliases: manifest-reader -> pickup-summary -> family-chat -> manifest-reader",
			"models/pickup-summary.aliases: cycle", "models/family-chat.aliases: cycle",
		}},
		{"versions", func(s *apiv1.ObjectSet) {
			s.Versions = append(s.Versions, &apiv1.Version{Name: "v9", Model: "absent"})
		}, []string{
			`versions/v9.model: "absent" is not in`, "versions/v9.checkpoint: missing", "versions/v9.memory_mib: 0 is out",
		}},
		{"adapters", func(s *apiv1.ObjectSet) {
			s.Adapters = append(s.Adapters, s.Adapters[0], &apiv1.Adapter{Name: "b", Model: "absent"})
		}, []string{
			"adapters/manifest-reader:adapter-000.name: given to two", `adapters/absent:b.model: "absent" is not in`,
			"adapters/absent:b.checkpoint: missing", "adapters/absent:b.memory_mib: 0 is out",
		}},
		{"memory", func(s *apiv1.ObjectSet) {
			s.Versions[0].MemoryMib, s.Versions[1].MemoryMib = 48<<10+1, 48<<10
		}, []string{
			"models/manifest-reader.version: the version takes 49153 MiB, but the largest host of pool \"lm-pool\" has 49152",
			"adapters/manifest-reader:adapter-000.memory_mib: the adapter with its model takes",
			"adapters/pickup-summary:adapter-001.memory_mib: the adapter with its model takes",
			"adapters/manifest-reader:adapter-045.memory_mib", "adapters/pickup-summary:adapter-046.memory_mib",
		}},
		{"placements", func(s *apiv1.ObjectSet) {
			s.Placements[0] = &apiv1.Placement{Name: "single", MaxReplicas: 2, FailureDomains: []string{"a", "a"}}
			s.Placements[1].MaxReplicas = 0
		}, []string{
			"placements/single.pool: missing",
			"placements/single.engine_slots: 0 is out", `placements/single.failure_domains: "a" is listed twice`,
			"placements/spread.max_replicas: 0 is out",
		}},
		{"priority classes", func(s *apiv1.ObjectSet) {
			s.PriorityClasses[0] = &apiv1.PriorityClass{Name: "urgent", Priority: 1001}
		}, []string{
			"priority_classes/urgent.priority: 1001", "priority_classes/urgent.default_deadline_ms: 0", "priority_classes/urgent.ageing_ms: 0",
		}},
		{"services", func(s *apiv1.ObjectSet) {
			call := &apiv1.RepeatableCall{Method: "get", PathPrefix: "lists?x"}
			s.Services[0] = &apiv1.Service{Name: "app", Repeatable: []*apiv1.RepeatableCall{call, call}}
		}, []string{
			"services/app.pool: missing", "services/app.default_deadline_ms: 0",
			`services/app.repeatable[0].method: "get" is not a supported method`, `services/app.repeatable[0].path_prefix: "lists?x" does not start`,
			"services/app.repeatable[0].path_prefix: \"lists?x\" contains a query",
			"services/app.repeatable[1].method", "services/app.repeatable[1].path_prefix", "services/app.repeatable[1].path_prefix",
			"services/app.repeatable[1]: \"get lists?x\" is listed twice",
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			set := sample.OffcutGiveaway().Set()
			test.modify(set)
			problems := Check(set, testFleet)
			is.Equal(len(problems), len(test.want)) // all problems in one check, each once
			for i, problem := range problems {
				if !strings.HasPrefix(problem.String(), test.want[i]) {
					t.Errorf("problem %d is %q, want prefix %q", i, problem, test.want[i])
				}
				is.True(problem.Remedy != "")
			}
			is.Equal(problems.Err() == nil, len(test.want) == 0)
		})
	}
}

func TestSamplesAreValid(t *testing.T) {
	for _, shape := range sample.Shapes() {
		is.New(t).NoErr(Check(shape.Set(), Fleet{}).Err())
	}
}

func TestWarnings(t *testing.T) {
	is := is.New(t)
	set := sample.OffcutGiveaway().Set()
	set.Versions = append(set.Versions, &apiv1.Version{Name: "old", Model: "family-chat"})
	set.Placements[1].FailureDomains = []string{"songino", "sonigno"}
	set.Services[0].Pool = "absent"
	warnings := Warnings(set, testFleet)
	is.Equal(len(warnings), 4)
	is.Equal(warnings[0].Object+" "+warnings[0].Field, "placements/single max_replicas")
	is.Equal(warnings[1].Problem, `the host list names no host of pool "lm-pool" in "sonigno"`)
	is.Equal(warnings[2].Object, "versions/old")
	is.Equal(warnings[3].Object+" "+warnings[3].Field, "services/giveaway-app pool")
	is.Equal(len(Warnings(set, Fleet{})), 2) // without a host list, pools are not checked
}

func TestParseSetListsAllProblems(t *testing.T) {
	is := is.New(t)
	_, problems := ParseSet([]byte(`{
		"models": [{"name": "a", "maxQueue": 3, "keep_alive_ms": "5s"}, {"max_queue": -1, "aliases": "x", "zzz": {"a": [1]}}],
		"adapters": [{"model": "m", "name": "b", "memory_mib": 1.5}],
		"deployment": {"idle_weight": "2", "name": 3, "name": "d"},
		"model": []
	}`))
	var lines []string
	for _, p := range problems {
		lines = append(lines, p.String())
	}
	is.Equal(strings.Join(lines, "\n"), strings.TrimSpace(`
models/a.maxQueue: unknown field; did you mean "max_queue"?
models/a.keep_alive_ms: must be a whole number from 0 to 4294967295, not the string "5s"; write the number of milliseconds without a unit or quotes
models[1].max_queue: must be a whole number from 0 to 4294967295, not the number -1; write a whole number from 0 to 4294967295
models[1].aliases: must be a list, not the string "x"; write it as [...]
models[1].zzz: unknown field; remove it, or use one of name, version, placement, priority_class, max_queue, keep_alive_ms, aliases
adapters/m:b.memory_mib: must be a whole number from 0 to 4294967295, not the number 1.5; write the number of MiB without a unit or quotes
deployment.idle_weight: must be a number, not the string "2"; write the value without quotes
deployment.name: must be a string, not the number 3; put the value in quotes
deployment.name: given twice; keep one of the two
model: unknown field; did you mean "models"?`))
}

func TestParseSetSyntax(t *testing.T) {
	for text, want := range map[string]string{
		"":                "no valid JSON at line 1: the text ends too early",
		"{\n \"models\"":  "no valid JSON at line 2: the text ends too early",
		"{} {}":           "no valid JSON at line 1: text after the end of the object",
		"[]":              "must be an object, not a list",
		"{\"models\": 1,": "must be a list, not the number 1",
	} {
		_, problems := ParseSet([]byte(text))
		if len(problems) == 0 || problems[0].Problem != want {
			t.Errorf("%q: %v, want %q", text, problems, want)
		}
	}
}

func TestSetRoundTrip(t *testing.T) {
	is := is.New(t)
	set := sample.StrazcaSal().Set()
	text, err := FormatSet(set)
	is.NoErr(err)
	parsed, problems := ParseSet(text)
	is.NoErr(problems.Err())
	is.True(proto.Equal(parsed, set))
	body, err := EncodeSet(set)
	is.NoErr(err)
	decoded, err := DecodeSet(body)
	is.NoErr(err)
	is.True(proto.Equal(decoded, set))
	again, err := EncodeSet(parsed)
	is.NoErr(err)
	is.Equal(BodyKey(again), BodyKey(body)) // equal sets have the same key
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	before, after := sample.OffcutGiveaway().Set(), sample.OffcutGiveaway().Set()
	is.Equal(len(Diff(before, after)), 0)
	after.Models[0].MaxQueue = 9
	after.Models[0].Aliases = []string{"m", "n"}
	after.Deployment.Name = "new"
	after.Services[0].Repeatable[0].PathPrefix = "/x"
	after.Placements[0].Name = "one"
	var lines []string
	for _, change := range Diff(before, after) {
		lines = append(lines, change.String())
	}
	is.Equal(strings.Join(lines, "\n"), strings.TrimSpace(`
changed deployment.name: "offcut-giveaway" -> "new"
changed models/manifest-reader.aliases: [] -> ["m", "n"]
changed models/manifest-reader.max_queue: 256 -> 9
added placements/one
removed placements/single
changed services/giveaway-app.repeatable: [{"method":"GET","path_prefix":"/lists"}] -> [{"method":"GET","path_prefix":"/x"}]`))
}

// designSizeSet returns a set with the number of objects that the system is
// designed for.
func designSizeSet() *apiv1.ObjectSet {
	shape := sample.OffcutGiveaway()
	shape.Models, shape.Adapters = 650, 9600
	set := shape.Set()
	for _, a := range set.GetAdapters() {
		// Names of real checkpoints hardly compress, so use hashes.
		a.Checkpoint = fmt.Sprintf("adapters/%016x", xxhash.Sum64String(a.GetCheckpoint()))
	}
	return set
}

func BenchmarkPublishPath(b *testing.B) {
	set := designSizeSet()
	body, err := EncodeSet(set)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("check", func(b *testing.B) {
		for b.Loop() {
			if len(Check(set, testFleet)) > 0 {
				b.Fatal("the set has problems")
			}
		}
	})
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			_, _ = EncodeSet(set)
		}
		b.ReportMetric(float64(len(body)), "bodybytes")
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			_, _ = DecodeSet(body)
		}
	})
	b.Run("index", func(b *testing.B) {
		for b.Loop() {
			NewIndex(1, set)
		}
	})
	b.Run("heap", func(b *testing.B) {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		objects := newFakeObjects()
		objects.bodies[BodyKey(body)] = body
		loader := NewLoader(objects)
		index, err := loader.Load(context.Background(), &apiv1.HeadRow{BodyKey: BodyKey(body)})
		if err != nil {
			b.Fatal(err)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heapbytes")
		runtime.KeepAlive(index)
		runtime.KeepAlive(loader)
	})
}
