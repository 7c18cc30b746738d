// Package settings reads the settings file of a router. It reports every
// fault of a file at once, each with its remedy.
package settings

import (
	"fmt"
	"os"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/strictjson"
)

// LoadRouter reads a router's settings file and fills in the defaults. A file
// that can't be used gives an *Error.
func LoadRouter(path string) (*apiv1.RouterSettings, error) {
	data, err := read(path)
	if err != nil {
		return nil, err
	}
	return ParseRouter(path, data)
}

// ParseRouter reads a router's settings from JSON; path is for messages.
func ParseRouter(path string, data []byte) (*apiv1.RouterSettings, error) {
	s := &apiv1.RouterSettings{}
	c := decode(data, s)
	defaultRouter(s, c.present)
	checkRouter(c, s)
	if err := c.err(path); err != nil {
		return nil, err
	}
	return s, nil
}

func read(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		fault := Problem{Problem: err.Error(), Remedy: "name a file that this user can read"}
		return nil, &Error{Path: path, Problems: []Problem{fault}}
	}
	return data, nil
}

func decode(data []byte, msg proto.Message) *checker {
	result := strictjson.Decode(data, msg)
	c := &checker{present: result.Present, faulty: make(map[string]bool)}
	for _, f := range result.Problems {
		c.add(f.Path, f.Problem, f.Remedy)
		c.unreadable = c.unreadable || f.Path == ""
	}
	return c
}

// Problem is one reason why a settings file can't be used.
type Problem struct {
	// Field is the path of the field, for example "platform.table_url". It is
	// empty for the file as a whole.
	Field   string `json:"field"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// String formats the fault on one line.
func (f Problem) String() string {
	if f.Field == "" {
		return fmt.Sprintf("%s; %s", f.Problem, f.Remedy)
	}
	return fmt.Sprintf("%s: %s; %s", f.Field, f.Problem, f.Remedy)
}
