package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/strictjson"
)

// ParseSet decodes a set from JSON with the field names of objects.proto. It
// returns all syntax errors, unknown fields and wrong types at once; the set is
// then nil.
func ParseSet(data []byte) (*apiv1.ObjectSet, Problems) {
	set := &apiv1.ObjectSet{}
	result := strictjson.Decode(data, set)
	if len(result.Problems) == 0 {
		return set, nil
	}
	names := newObjectNames(set)
	problems := make(Problems, 0, len(result.Problems))
	for _, f := range result.Problems {
		object, field := names.splitPath(f.Path)
		problems = append(problems, Problem{Object: object, Field: field, Problem: f.Problem, Remedy: f.Remedy})
	}
	return nil, problems
}

// FormatSet encodes a set as indented JSON that ParseSet can read.
func FormatSet(set *apiv1.ObjectSet) ([]byte, error) {
	compact, err := formatMessage(set)
	if err != nil {
		return nil, err
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, compact, "", "  "); err != nil {
		return nil, fmt.Errorf("indent object set: %w", err)
	}
	return indented.Bytes(), nil
}

// formatMessage encodes a message as compact JSON. The white space that protojson
// writes is not stable, so it is removed.
func formatMessage(msg proto.Message) ([]byte, error) {
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(msg)
	if err != nil {
		return nil, fmt.Errorf("format as JSON: %w", err)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, data); err != nil {
		return nil, fmt.Errorf("format as JSON: %w", err)
	}
	return compact.Bytes(), nil
}

// objectNames holds the names of a set's objects by kind and index.
type objectNames map[string][]string

func newObjectNames(set *apiv1.ObjectSet) objectNames {
	names := make(objectNames)
	for _, object := range Objects(set) {
		names[object.Kind] = append(names[object.Kind], object.Name)
	}
	return names
}

// splitPath splits a path such as "models[3].max_queue" into the label of the object,
// "models/NAME", and the field, "max_queue". The object is empty if the path leads
// to none.
func (n objectNames) splitPath(path string) (object, field string) {
	kind, rest, found := strings.Cut(path, "[")
	if !found {
		return "", path
	}
	indexText, field, _ := strings.Cut(rest, "]")
	index, err := strconv.Atoi(indexText)
	if err != nil || index >= len(n[kind]) {
		return "", path
	}
	return objectLabel(kind, n[kind][index], index), strings.TrimPrefix(field, ".")
}

// objectLabel returns "KIND/NAME", or "KIND[INDEX]" for an object without a name.
func objectLabel(kind, name string, index int) string {
	if name == "" {
		return fmt.Sprintf("%s[%d]", kind, index)
	}
	return kind + "/" + name
}
