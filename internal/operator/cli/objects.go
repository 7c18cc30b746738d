package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/operator"
)

var kinds = []string{
	config.KindModels, config.KindVersions, config.KindAdapters, config.KindPlacements,
	config.KindPriorityClasses, config.KindServices, config.KindDeployment,
}

// selector selects objects by kind and name; empty fields match all.
type selector struct {
	kind, name string
}

func parseSelector(text string) (selector, error) {
	kind, name, _ := strings.Cut(text, "/")
	if !slices.Contains(kinds, kind) {
		return selector{}, usageErrorf("unknown kind %q: choose one of %s", kind, strings.Join(kinds, ", "))
	}
	return selector{kind, name}, nil
}

func (s selector) matches(o config.Object) bool {
	return (s.kind == "" || s.kind == o.Kind) && (s.name == "" || s.name == o.Name)
}

// objectOutput is an object in the JSON output of "get".
type objectOutput struct {
	Kind   string          `json:"kind"`
	Name   string          `json:"name"`
	Object json.RawMessage `json:"object"`
}

func writeObjectsOutput(cmd *cli.Command, reply *operator.ObjectsReply, selected selector) error {
	if selected == (selector{}) && cmd.String(flagOutput) == outputJSON {
		// The complete set is written in the format that "apply" reads.
		return writeOutput(cmd, reply.Set, nil)
	}
	set, problems := config.ParseSet(reply.Set)
	if err := problems.Err(); err != nil {
		return fmt.Errorf("cannot read the object set, as the router has another version than this ragwortdoor command: %w", err)
	}
	var objects []objectOutput
	for _, o := range config.Objects(set) {
		if !selected.matches(o) {
			continue
		}
		data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(o.Message)
		if err != nil {
			return err
		}
		objects = append(objects, objectOutput{Kind: o.Kind, Name: o.Name, Object: data})
	}
	if len(objects) == 0 && selected.name != "" {
		return &operator.Error{
			Kind:    operator.KindNotFound,
			Message: fmt.Sprintf("no object %s/%s in revision %d", selected.kind, selected.name, reply.Revision.Revision),
			Remedy:  fmt.Sprintf("see \"ragwortdoor get %s\"", selected.kind),
		}
	}
	return writeOutput(cmd, objects, func(w io.Writer) { writeObjectTable(w, reply.Revision, objects) })
}

func writeObjectTable(w io.Writer, revision operator.Revision, objects []objectOutput) {
	writeRevision(w, revision)
	writeRow(w, "KIND", "NAME", "OBJECT")
	for _, o := range objects {
		var compact bytes.Buffer
		// protojson returned the data, so it is valid JSON.
		_ = json.Compact(&compact, o.Object)
		writeRow(w, o.Kind, o.Name, compact.String())
	}
}
