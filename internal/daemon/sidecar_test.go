package daemon

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

func TestSidecarMetricsDemandTheToken(t *testing.T) {
	const token = "0123456789abcdef"
	s := &Sidecar{agent: newAgent(&apiv1.SidecarSettings{Host: "e1"}, log.New(io.Discard), Policies{})}
	for _, test := range []struct {
		path, header string
		want         int
	}{
		{"/debug/vars", "", http.StatusUnauthorized},
		{"/debug/vars", "Bearer wrong", http.StatusUnauthorized},
		{"/debug/vars", "Bearer " + token, http.StatusOK},
		{"/healthz", "", http.StatusOK},
	} {
		request := httptest.NewRequest(http.MethodGet, test.path, nil)
		request.Header.Set("Authorization", test.header)
		reply := httptest.NewRecorder()
		s.operatorHandler([]byte(token)).ServeHTTP(reply, request)
		is.New(t).Equal(reply.Code, test.want)
	}
}
