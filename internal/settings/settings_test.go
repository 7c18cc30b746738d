package settings

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	validRouter = `{
		"host": "r1", "failure_domain": "songino", "listen": "127.0.0.1:8080",
		"operator_listen": "127.0.0.1:8081", "peer_listen": "127.0.0.1:8082",
		"platform": {"table_url": "http://127.0.0.1:9000", "object_url": "http://127.0.0.1:9001", "host_list_url": "http://127.0.0.1:9002"}
	}`
)

// replace returns text with the first occurrence of old replaced.
func replace(text, old, replacement string) string {
	if !strings.Contains(text, old) {
		panic("text does not contain " + old)
	}
	return strings.Replace(text, old, replacement, 1)
}

func addFields(text, fields string) string { return replace(text, "{", "{"+fields+",") }

// wantProblems checks the number of problems and the prefix of each.
func wantProblems(t *testing.T, err error, want []string) {
	t.Helper()
	is := is.New(t)
	if len(want) == 0 {
		is.NoErr(err)
		return
	}
	var invalid *Error
	is.True(errors.As(err, &invalid))
	var got []string
	for _, p := range invalid.Problems {
		got = append(got, p.String())
		is.True(p.Remedy != "")
	}
	if len(got) != len(want) {
		t.Fatalf("problems:\n%s", strings.Join(got, "\n"))
	}
	for i := range want {
		if !strings.HasPrefix(got[i], want[i]) {
			t.Errorf("problem %q, want %q", got[i], want[i])
		}
	}
}

func TestRouterProblems(t *testing.T) {
	for _, test := range []struct {
		name string
		text string
		want []string
	}{
		{"valid", validRouter, nil},
		{"no JSON", "host: r1", []string{"no valid JSON at line 1"}},
		{"empty", "{}", []string{
			"host: missing", "failure_domain: missing", "listen: missing", "operator_listen: missing", "peer_listen: missing",
			"platform.table_url: missing", "platform.object_url: missing", "platform.host_list_url: missing",
		}},
		{"unknown and mistyped", addFields(validRouter, `"table_pol_ms": 1, "lease_ttl_ms": "5s", "log": {"level": 1, "colour": "x"}`), []string{
			`table_pol_ms: unknown field; did you mean "table_poll_ms"?`,
			`lease_ttl_ms: must be a whole number from 0 to 4294967295, not the string "5s"; write the number of milliseconds`,
			"log.level: must be a string, not the number 1", "log.colour: unknown field; remove it",
		}},
		{"addresses", replace(replace(replace(validRouter, "127.0.0.1:8080", "localhost:8080"), "127.0.0.1:8081", "127.0.0.1:0"), "127.0.0.1:8082", "127.0.0.1"), []string{
			`listen: "localhost:8080" is not of the form IP:PORT; write the IP address`, "operator_listen: port 0", `peer_listen: "127.0.0.1" is not of the form IP:PORT`,
		}},
		{"same address twice", replace(validRouter, "127.0.0.1:8081", "127.0.0.1:8080"), []string{"operator_listen: same address as listen"}},
		{"URLs", replace(replace(replace(validRouter, "http://127.0.0.1:9000", "table.example:9000"), "http://127.0.0.1:9001", "http://store:9001"), "127.0.0.1:9002", "127.0.0.1:9002/hosts?x=1"), []string{
			`platform.table_url: "table.example:9000" is not an http or https URL`, `platform.object_url: "store" is not an IP address`,
			"platform.host_list_url: must not have a path or query",
		}},
		{"reachable from other hosts without credentials", replace(replace(validRouter, "127.0.0.1:8080", "0.0.0.0:8080"), "127.0.0.1:8082", "10.1.2.3:8082"), []string{
			"security.token_file: missing, but other hosts can reach listen 0.0.0.0:8080, peer_listen 10.1.2.3:8082",
			"security.tls_cert_file: missing", "security.tls_key_file: missing", "security.tls_ca_file: missing",
		}},
		{"certificate without key", addFields(validRouter, `"security": {"tls_cert_file": "c.pem"}`), []string{"security.tls_key_file: missing, but other TLS files are set", "security.tls_ca_file: missing, but other TLS files are set"}},
		{"out of range", addFields(validRouter, `"max_body_bytes": 1, "memory_mb": 1, "max_descriptors": 9, "stop_timeout_ms": 0, "lease_ttl_ms": 1, "table_poll_ms": 1,
			"stop_linger_ms": 99999, "retry_budget": -1, "cores": 0, "log": {"level": "loud"}`), []string{
			`log.level: "loud" is not known; choose one of debug`,
			"max_body_bytes: 1 is out of range; choose a number from 1024 to 67108864", "stop_timeout_ms: 0", "stop_linger_ms: 99999", "lease_ttl_ms: 1 is out",
			"table_poll_ms: 1", "retry_budget: -1", "memory_mb: 1 is out", "max_descriptors: 9", "cores: 0",
		}},
		{"yes instead of true", addFields(validRouter, `"engines_check_fences": "yes"`), []string{
			`engines_check_fences: must be true or false, not the string "yes"; write the value without quotes`,
		}},
		{"lease shorter than two calls", addFields(validRouter, `"lease_ttl_ms": 1500`), []string{"lease_ttl_ms: one slow call of the table service would end the lease; choose at least 2000"}},
		{"platform out of range", replace(validRouter, `"table_url"`, `"call_timeout_ms": 1, "retry_budget": 2, "table_url"`), []string{
			"platform.call_timeout_ms: 1", "platform.retry_budget: 2",
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ParseRouter("router.json", []byte(test.text))
			wantProblems(t, err, test.want)
		})
	}
}

func TestDefaults(t *testing.T) {
	is := is.New(t)
	s, err := ParseRouter("router.json", []byte(validRouter))
	is.NoErr(err)
	is.Equal(s.GetPlatform().GetCallTimeoutMs(), uint32(1000))
	is.Equal(s.GetPlatform().GetRetryBudget(), 0.1)
	is.Equal(s.GetMaxBodyBytes(), uint32(1048576))
	is.Equal(s.GetStopTimeoutMs(), uint32(120000))
	is.Equal(s.GetLeaseTtlMs(), uint32(5000))
	is.Equal(s.GetTablePollMs(), uint32(500))
	is.Equal(s.GetRetryBudget(), 0.2)
	is.Equal(s.GetLog().GetLevel(), "info")
	is.Equal(s.GetCores(), 1.0)
	is.Equal(s.GetStopLingerMs(), uint32(3000))

	s, err = ParseRouter("router.json", []byte(addFields(validRouter, `"stop_linger_ms": 0, "retry_budget": 0`)))
	is.NoErr(err)
	is.Equal(s.GetStopLingerMs(), uint32(0)) // an explicit zero is kept
	is.Equal(s.GetRetryBudget(), 0.0)
}

func TestUnreadableFile(t *testing.T) {
	_, err := LoadRouter(filepath.Join(t.TempDir(), "absent.json"))
	wantProblems(t, err, []string{"open "})
	_, err = LoadRouter(t.TempDir())
	wantProblems(t, err, []string{"read "})
}
