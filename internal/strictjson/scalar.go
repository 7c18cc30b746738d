package strictjson

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// scalar reads a string, number or boolean. The result is false when the value
// does not match the type of the field.
func (d *decoder) scalar(path string, field protoreflect.FieldDescriptor) (protoreflect.Value, bool, error) {
	tok, err := d.json.Token()
	if err != nil {
		return protoreflect.Value{}, false, err
	}
	value, ok := convert(tok, field.Kind())
	if !ok {
		d.addProblem(path, "must be "+expected(field.Kind())+", not "+describe(tok), scalarRemedy(field, tok))
	}
	return value, ok, d.skip(tok)
}

func convert(tok json.Token, kind protoreflect.Kind) (protoreflect.Value, bool) {
	switch v := tok.(type) {
	case string:
		return protoreflect.ValueOfString(v), kind == protoreflect.StringKind
	case bool:
		return protoreflect.ValueOfBool(v), kind == protoreflect.BoolKind
	case json.Number:
		return convertNumber(v.String(), kind)
	default:
		return protoreflect.Value{}, false
	}
}

func convertNumber(text string, kind protoreflect.Kind) (protoreflect.Value, bool) {
	switch kind {
	case protoreflect.Uint32Kind:
		n, err := strconv.ParseUint(text, 10, 32)
		return protoreflect.ValueOfUint32(uint32(n)), err == nil
	case protoreflect.Uint64Kind:
		n, err := strconv.ParseUint(text, 10, 64)
		return protoreflect.ValueOfUint64(n), err == nil
	case protoreflect.Int64Kind:
		n, err := strconv.ParseInt(text, 10, 64)
		return protoreflect.ValueOfInt64(n), err == nil
	case protoreflect.DoubleKind:
		f, err := strconv.ParseFloat(text, 64)
		return protoreflect.ValueOfFloat64(f), err == nil
	default:
		return protoreflect.Value{}, false
	}
}

func expected(kind protoreflect.Kind) string {
	switch kind {
	case protoreflect.StringKind:
		return "a string"
	case protoreflect.BoolKind:
		return "true or false"
	case protoreflect.Uint32Kind:
		return "a whole number from 0 to 4294967295"
	case protoreflect.Uint64Kind:
		return "a whole number of at least 0"
	case protoreflect.Int64Kind:
		return "a whole number"
	case protoreflect.DoubleKind:
		return "a number"
	default:
		return "of kind " + kind.String()
	}
}

// units maps the suffix of a field name to the unit of the field.
var units = []struct{ suffix, unit string }{
	{"_ms", "milliseconds"},
	{"_mib", "MiB"},
	{"_bytes", "bytes"},
	{"_per_second", "events per second"},
}

func scalarRemedy(field protoreflect.FieldDescriptor, tok json.Token) string {
	for _, u := range units {
		if strings.HasSuffix(string(field.Name()), u.suffix) {
			return "write the number of " + u.unit + " without a unit or quotes"
		}
	}
	if _, isString := tok.(string); isString {
		return "write the value without quotes"
	}
	if field.Kind() == protoreflect.StringKind {
		return "put the value in quotes"
	}
	return "write " + expected(field.Kind())
}

func describe(tok json.Token) string {
	switch v := tok.(type) {
	case string:
		return fmt.Sprintf("the string %q", v)
	case json.Number:
		return "the number " + v.String()
	case bool:
		return strconv.FormatBool(v)
	case json.Delim:
		if v == '{' {
			return "an object"
		}
		return "a list"
	default:
		return "null"
	}
}
