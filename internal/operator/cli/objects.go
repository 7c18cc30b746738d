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

// selector chooses objects by kind and name; empty parts choose all.
type selector struct {
	kind, name string
}

func parseSelector(text string) (selector, error) {
	kind, name, _ := strings.Cut(text, "/")
	if !slices.Contains(kinds, kind) {
		return selector{}, usage("no kind %q: choose one of %s", kind, strings.Join(kinds, ", "))
	}
	return selector{kind, name}, nil
}

func (s selector) matches(o config.Object) bool {
	return (s.kind == "" || s.kind == o.Kind) && (s.name == "" || s.name == o.Name)
}

// shownObject is one object as "get" prints it.
type shownObject struct {
	Kind   string          `json:"kind"`
	Name   string          `json:"name"`
	Object json.RawMessage `json:"object"`
}

func showObjects(cmd *cli.Command, reply *operator.ObjectsReply, selected selector) error {
	if selected == (selector{}) && cmd.String(flagOutput) == outputJSON {
		// The whole set is shown as "apply" reads it.
		return show(cmd, reply.Set, nil)
	}
	set, faults := config.ParseSet(reply.Set)
	if err := faults.Err(); err != nil {
		return fmt.Errorf("the router is of another version than this client: %w", err)
	}
	var objects []shownObject
	for _, o := range config.Objects(set) {
		if !selected.matches(o) {
			continue
		}
		data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(o.Message)
		if err != nil {
			return err
		}
		objects = append(objects, shownObject{Kind: o.Kind, Name: o.Name, Object: data})
	}
	if len(objects) == 0 && selected.name != "" {
		return &operator.Error{
			Kind:    operator.KindNotFound,
			Message: fmt.Sprintf("no object %s/%s in revision %d", selected.kind, selected.name, reply.Revision.Revision),
			Remedy:  fmt.Sprintf("see \"ragwortdoor get %s\"", selected.kind),
		}
	}
	return show(cmd, objects, func(w io.Writer) { writeObjects(w, reply.Revision, objects) })
}

func writeObjects(w io.Writer, revision operator.Revision, objects []shownObject) {
	writeRevision(w, revision)
	row(w, "KIND", "NAME", "OBJECT")
	for _, o := range objects {
		var compact bytes.Buffer
		// The data comes from protojson, so it is valid.
		_ = json.Compact(&compact, o.Object)
		row(w, o.Kind, o.Name, compact.String())
	}
}
