package workspace

import (
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestParseBearer(t *testing.T) {
	for value, want := range map[string]string{
		"Bearer abc":           "abc",
		"bearer abc":           "abc",
		" Bearer   abc ":       "abc",
		"Bearer a+/=._~-":      "a+/=._~-",
		"":                     "",
		"Bearer":               "",
		"Bearer ":              "",
		"abc":                  "",
		"Basic abc":            "",
		"Bearer abc def":       "",
		"Bearer abc, Bearer d": "",
		"Bearer a\x00c":        "",
		"Bearer a\u00e9":       "",
		"Bearer\tabc":          "",
	} {
		key, ok := ParseBearer([]string{value})
		if ok != (want != "") || ok && key != DigestKey(want) {
			t.Errorf("%q: key found %v, want %q", value, ok, want)
		}
	}
	_, ok := ParseBearer([]string{"Bearer a", "Bearer a"})
	is.New(t).True(!ok) // a second header may be that of somebody else
	_, ok = ParseBearer([]string{"Bearer " + strings.Repeat("k", maxKeyBytes+1)})
	is.New(t).True(!ok)
}

// Only what a workspace's key itself would give is found.
func FuzzParseBearer(f *testing.F) {
	for _, seed := range []string{"Bearer secret", "bearer  secret ", "Bearer secre", "Basic secret", "Bearer secret\r\nX: y", "\x00", "Bearer secret,secret"} {
		f.Add(seed)
	}
	set, _ := NewSet(1, []Workspace{{Name: "w", Keys: []Key{DigestKey("secret")}}})
	f.Fuzz(func(t *testing.T, value string) {
		key, ok := ParseBearer([]string{value})
		if !ok {
			if key != (Key{}) || set.Holder(key) != nil {
				t.Fatalf("%q gives a key and none", value)
			}
			return
		}
		fields := strings.Fields(value)
		if len(fields) != 2 || !strings.EqualFold(fields[0], "bearer") {
			t.Fatalf("%q passes as a bearer token", value)
		}
		if (set.Holder(key) != nil) != (fields[1] == "secret") {
			t.Fatalf("%q is taken for another key", value)
		}
	})
}

func TestSetLeavesOutWhatIsAmbiguous(t *testing.T) {
	is := is.New(t)
	a, b, c := DigestKey("a"), DigestKey("b"), DigestKey("c")
	set, errs := NewSet(7, []Workspace{
		{Name: "one", Keys: []Key{a, a}},
		{Name: "two", Keys: []Key{b, a}}, // whose requests would those with key a be?
		{Name: "one", Keys: []Key{c}},
		{Name: "three", Keys: []Key{b}},
	})
	is.Equal(len(errs), 2)
	is.Equal(set.Holder(a).Name, "one")
	is.Equal(set.Holder(b).Name, "three")
	is.Equal(set.Holder(c), nil)
	is.Equal(set.Holder(Key{}), nil)
	is.Equal(len(set.All()), 2)
	is.True(set.AsksForKeys())
	is.True(!OpenSet(1).AsksForKeys())
	is.True(!(*Set)(nil).AsksForKeys())
	is.Equal(Newer(set, OpenSet(8)).Version, int64(8))
	is.Equal(Newer(set, nil), set)
}

func TestCheck(t *testing.T) {
	negative := -1
	for name, w := range map[string]Workspace{
		"no name":        {},
		"blank":          {Name: " w"},
		"line break":     {Name: "w\r\nX-Other: 1"},
		"long":           {Name: strings.Repeat("w", maxNameBytes+1)},
		"negative rate":  {Name: "w", Quota: Quota{PerSecond: -1}},
		"infinite rate":  {Name: "w", Quota: Quota{PerSecond: math.Inf(1)}},
		"no number":      {Name: "w", Quota: Quota{PerSecond: math.NaN()}},
		"negative burst": {Name: "w", Quota: Quota{Burst: -1}},
		"negative cost":  {Name: "w", Quota: Quota{PlainCost: -1}},
		"priority":       {Name: "w", Priority: &negative},
	} {
		if w.Check() == nil {
			t.Errorf("%s: no error", name)
		}
	}
	is.New(t).NoErr((&Workspace{Name: "Port office 2", Quota: Quota{PerSecond: 0.5, Burst: 3}}).Check())
	err := CheckKeys("w", []string{"good", "not good"})
	is.New(t).True(err != nil && !strings.Contains(err.Error(), "good"))
}

func TestCost(t *testing.T) {
	is := is.New(t)
	tokens := Quota{CountsTokens: true, PlainCost: 200}
	is.Equal(tokens.Cost(1540, true), int64(1540))
	is.Equal(tokens.Cost(1540, false), int64(200))
	is.Equal(tokens.Cost(0, true), int64(1))
	is.Equal(tokens.Cost(math.MaxInt64, true), int64(maxAmount))
	is.Equal(Quota{}.Cost(1540, true), int64(1))
}
