package daemon

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/crowdtest"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// Crowds of callers and of operators that are not ours to control, as in package platform.
const (
	crowdMemoryMb       = 144
	crowdMaxDescriptors = 3075
	crowdBodyBytes      = 4 << 20
	crowdHeadBytes      = 15 << 10
)

var crowdBounds = crowdtest.Bounds{PeakMb: 100, Descriptors: 1500}

const crowdStart = "POST /services/" + testService + "/book HTTP/1.1\r\nHost: h\r\n"

var crowdBodyStart = fmt.Sprintf("%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", crowdStart, crowdBodyBytes)

// playCrowd plays a crowd at a router of the native deployment, which is built without the race
// detector. It must live, stay within its bounds, and serve an ordinary request afterwards.
func playCrowd(t *testing.T, security *apiv1.SecuritySettings, crowds func(cfg *apiv1.RouterSettings) []crowdtest.Crowd) {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "ragwortdoord")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/ragwortdoord").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	d := deploy(t, deploymentOptions{services: []standin.ServiceConfig{{}}, set: testSet(1), security: security})
	cfg := d.newRouterSettings(0, false)
	cfg.MaxBodyBytes, cfg.MemoryMb, cfg.MaxDescriptors = crowdBodyBytes, crowdMemoryMb, crowdMaxDescriptors
	path := filepath.Join(d.dir, "crowd.json")
	if err := os.WriteFile(path, encodeSettings(t, cfg), 0o600); err != nil {
		t.Fatal(err)
	}
	logs, err := os.Create(filepath.Join(d.dir, "crowd.log"))
	if err != nil {
		t.Fatal(err)
	}
	router := startProgram(t, binary, "router", cfg.GetHost(), path, logs)
	d.routers = append(d.routers, router)
	d.waitReady(0)
	serves := func() bool { return d.callService(0, `{"stack": 17}`).status == http.StatusOK }
	d.eventually("an ordinary request is served", serves)
	check := crowdtest.Watch(t, router.cmd.Process.Pid, crowdBounds)
	crowdtest.Play(t, crowds(cfg)...)
	d.eventually("an ordinary request is served after the crowd", serves)
	check()
}

// Guards against a deployment in which callers may take any amount of memory.
func TestCrowdOfBodies(t *testing.T) {
	playCrowd(t, nil, func(cfg *apiv1.RouterSettings) []crowdtest.Crowd {
		return []crowdtest.Crowd{{Dial: crowdtest.TCP(cfg.GetListen()), Size: 100, Member: crowdtest.Pieces(crowdBodyStart, crowdBodyBytes, 64<<10)}}
	})
}

func TestCrowdOfPieces(t *testing.T) {
	start := strings.Replace(crowdBodyStart, "/services/"+testService+"/book", "/v1/chat/completions", 1)
	playCrowd(t, nil, func(cfg *apiv1.RouterSettings) []crowdtest.Crowd {
		return []crowdtest.Crowd{{Dial: crowdtest.TCP(cfg.GetListen()), Size: 100, Member: crowdtest.Pieces(start, crowdBodyBytes, 2<<10)}}
	})
}

func TestCrowdOfHeads(t *testing.T) {
	playCrowd(t, nil, func(cfg *apiv1.RouterSettings) []crowdtest.Crowd {
		return []crowdtest.Crowd{{Dial: crowdtest.TCP(cfg.GetListen()), Size: 1500, Member: crowdtest.Send(crowdStart + crowdtest.Lines(crowdHeadBytes))}}
	})
}

// Guards against bodies that are small and whose parsed form is large.
func TestCrowdOfChatMessages(t *testing.T) {
	messages := "{\"model\":\"none\",\"messages\":[{}" + strings.Repeat(",{}", (crowdBodyBytes-100)/3) + "]}"
	request := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(messages), messages)
	playCrowd(t, nil, func(cfg *apiv1.RouterSettings) []crowdtest.Crowd {
		return []crowdtest.Crowd{{Dial: crowdtest.TCP(cfg.GetListen()), Size: 20, Member: crowdtest.Send(request)}}
	})
}

// Guards against callers that don't read responses: the stand-in responds with the body of the request.
func TestCrowdThatReadsNoResponse(t *testing.T) {
	const size, requests = 900 << 10, 20
	request := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", crowdStart, size, strings.Repeat("x", size))
	playCrowd(t, nil, func(cfg *apiv1.RouterSettings) []crowdtest.Crowd {
		return []crowdtest.Crowd{{Dial: crowdtest.TCP(cfg.GetListen()), Size: 80, Member: func(c net.Conn) {
			for range requests {
				crowdtest.Send(request)(c)
			}
		}}}
	})
}

// Guards against the operators' listener, which takes bodies of up to 64 MiB.
func TestCrowdAtOperatorAPI(t *testing.T) {
	const size = 32 << 20
	start := fmt.Sprintf("POST /v1/apply HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n{\"x\":\"", size)
	playCrowd(t, nil, func(cfg *apiv1.RouterSettings) []crowdtest.Crowd {
		return []crowdtest.Crowd{
			{Dial: crowdtest.TCP(cfg.GetOperatorListen()), Size: 20, Member: crowdtest.Pieces(start, size, 64<<10)},
			{Dial: crowdtest.TCP(cfg.GetOperatorListen()), Size: 100, Member: crowdtest.Send("GET /healthz HTTP/1.1\r\n" + crowdtest.Lines(900<<10))},
		}
	})
}

// Guards against heads whose lines only show once they are decrypted, and against connections that
// stop within the handshake.
func TestCrowdOverTLS(t *testing.T) {
	security := securityFiles(t)
	playCrowd(t, security, func(cfg *apiv1.RouterSettings) []crowdtest.Crowd {
		encrypted := func() (net.Conn, error) {
			return tls.Dial("tcp", cfg.GetListen(), &tls.Config{InsecureSkipVerify: true}) // the test's own certificate
		}
		return []crowdtest.Crowd{
			{Dial: encrypted, Size: 600, Member: crowdtest.Send(crowdStart + crowdtest.Lines(crowdHeadBytes))},
			{Dial: crowdtest.TCP(cfg.GetListen()), Size: 600, Member: crowdtest.Send("\x16\x03\x01\x40\x00\x01\x00\xff\xff" + strings.Repeat("x", 16000))},
		}
	})
}

// Guards against a request whose prompt has so many parts that the router can't tell the scheduler.
func TestChatOfManyMessagesIsServed(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineConfig{testEngineConfig()}, set: testSet(1)})
	body := `{"model":"model-0","max_tokens":2,"messages":[{}` + strings.Repeat(",{}", 300_000) + `]}`
	for i := range d.routers {
		response, err := d.client.Post(d.url(i)+"/v1/chat/completions", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			t.Errorf("router %d: status %d", i, response.StatusCode)
		}
	}
}
