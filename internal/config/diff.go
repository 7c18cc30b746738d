package config

import (
	"cmp"
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Action is the kind of a Change.
type Action string

// Actions of a change.
const (
	Added   Action = "added"
	Removed Action = "removed"
	Changed Action = "changed"
)

// Change is one difference between two object sets.
type Change struct {
	// Object is "KIND/NAME", or "deployment".
	Object string `json:"object"`
	// Field is empty when the object itself was added or removed.
	Field  string `json:"field,omitempty"`
	Action Action `json:"action"`
	// Before and After are the values of the field as JSON.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String formats the change as one line.
func (c Change) String() string {
	if c.Field == "" {
		return fmt.Sprintf("%s %s", c.Action, c.Object)
	}
	return fmt.Sprintf("%s %s.%s: %s -> %s", c.Action, c.Object, c.Field, c.Before, c.After)
}

// Diff lists the changes that turn a into b, ordered by object and field.
func Diff(a, b *apiv1.ObjectSet) []Change {
	before, after := objectsByLabel(a), objectsByLabel(b)
	var changes []Change
	for label, old := range before {
		current, exists := after[label]
		if !exists {
			changes = append(changes, Change{Object: label, Action: Removed})
			continue
		}
		changes = append(changes, diffFields(label, old, current)...)
	}
	for label := range after {
		if _, existed := before[label]; !existed {
			changes = append(changes, Change{Object: label, Action: Added})
		}
	}
	slices.SortFunc(changes, func(x, y Change) int {
		return cmp.Or(cmp.Compare(x.Object, y.Object), cmp.Compare(x.Field, y.Field))
	})
	return changes
}

func objectsByLabel(set *apiv1.ObjectSet) map[string]proto.Message {
	byLabel := make(map[string]proto.Message)
	for _, o := range Objects(set) {
		label := o.Kind + "/" + o.Name
		if o.Kind == KindDeployment {
			// A set has one deployment, so a new name is a changed field.
			label = o.Kind
		}
		byLabel[label] = o.Message
	}
	return byLabel
}

func diffFields(label string, before, after proto.Message) []Change {
	if proto.Equal(before, after) {
		return nil
	}
	var changes []Change
	old, current := before.ProtoReflect(), after.ProtoReflect()
	fields := old.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if old.Get(field).Equal(current.Get(field)) {
			continue
		}
		changes = append(changes, Change{
			Object: label,
			Field:  string(field.Name()),
			Action: Changed,
			Before: formatField(old, field),
			After:  formatField(current, field),
		})
	}
	return changes
}

// formatField formats one field as JSON.
func formatField(msg protoreflect.Message, field protoreflect.FieldDescriptor) string {
	value := msg.Get(field)
	if !field.IsList() {
		return formatScalar(value)
	}
	text := "["
	list := value.List()
	for i := range list.Len() {
		if i > 0 {
			text += ", "
		}
		text += formatElement(list.Get(i), field)
	}
	return text + "]"
}

func formatElement(value protoreflect.Value, field protoreflect.FieldDescriptor) string {
	if field.Message() == nil {
		return formatScalar(value)
	}
	data, err := formatMessage(value.Message().Interface())
	if err != nil {
		return value.String()
	}
	return string(data)
}

func formatScalar(value protoreflect.Value) string {
	if text, isString := value.Interface().(string); isString {
		return fmt.Sprintf("%q", text)
	}
	return value.String()
}
