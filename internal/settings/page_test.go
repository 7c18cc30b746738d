package settings

import (
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

const settingsPage = "../../docs/operators/settings.md"

// TestPageListsEveryField checks that the operators' page lists every field.
func TestPageListsEveryField(t *testing.T) {
	page, err := os.ReadFile(settingsPage)
	if err != nil {
		t.Fatal(err)
	}
	for _, settings := range []protoreflect.ProtoMessage{&apiv1.RouterSettings{}} {
		for _, path := range fieldPaths("", settings.ProtoReflect().Descriptor()) {
			if !strings.Contains(string(page), "`"+path+"`") {
				t.Errorf("%s does not list %s", settingsPage, path)
			}
		}
	}
}

func fieldPaths(prefix string, message protoreflect.MessageDescriptor) []string {
	var paths []string
	for i := range message.Fields().Len() {
		field := message.Fields().Get(i)
		path := prefix + string(field.Name())
		if field.Message() != nil {
			paths = append(paths, fieldPaths(path+".", field.Message())...)
			continue
		}
		paths = append(paths, path)
	}
	return paths
}

// TestPageExampleIsValid parses the example of the operators' page.
func TestPageExampleIsValid(t *testing.T) {
	page, err := os.ReadFile(settingsPage)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "```json\n")
	example, _, found := strings.Cut(rest, "```")
	if !found {
		t.Fatal("the page has no example")
	}
	if _, err := ParseRouter("example", []byte(example)); err != nil {
		t.Fatal(err)
	}
}
