// Package settings reads and checks the settings file of a router. It reports all
// problems of a file at once, each with a remedy.
package settings

import (
	"fmt"
	"os"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/strictjson"
)

// LoadRouter reads a router's settings file and fills in the defaults. It returns
// an *Error for a file that can't be read or is invalid.
func LoadRouter(path string) (*apiv1.RouterSettings, error) {
	data, err := read(path)
	if err != nil {
		return nil, err
	}
	return ParseRouter(path, data)
}

// ParseRouter reads a router's settings from JSON and fills in the defaults. The
// path is used only in the *Error that it returns for invalid settings.
func ParseRouter(path string, data []byte) (*apiv1.RouterSettings, error) {
	s := &apiv1.RouterSettings{}
	c := decode(data, s)
	setRouterDefaults(s, c.present)
	checkRouter(c, s)
	if err := c.err(path); err != nil {
		return nil, err
	}
	return s, nil
}

func read(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		problem := Problem{Problem: err.Error(), Remedy: "name a file that this user can read"}
		return nil, &Error{Path: path, Problems: []Problem{problem}}
	}
	return data, nil
}

func decode(data []byte, msg proto.Message) *checker {
	result := strictjson.Decode(data, msg)
	c := &checker{present: result.Present, invalid: make(map[string]bool)}
	for _, p := range result.Problems {
		c.add(p.Path, p.Problem, p.Remedy)
		c.malformed = c.malformed || p.Path == ""
	}
	return c
}

// Problem is one reason why a settings file is invalid.
type Problem struct {
	// Field is the path of the field, for example "platform.table_url". It is
	// empty for the complete file.
	Field   string `json:"field"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s; %s", p.Problem, p.Remedy)
	}
	return fmt.Sprintf("%s: %s; %s", p.Field, p.Problem, p.Remedy)
}
