// Package strictjson decodes JSON into proto messages and reports every problem of
// the text at once instead of only the first.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Problem is one place at which the text does not match the message type.
type Problem struct {
	// Path names the field, for example "platform.table_url" or
	// "models[3].max_queue". It is empty for the complete text.
	Path    string
	Problem string
	Remedy  string
}

// Result lists the problems and the fields found in the text.
type Result struct {
	Problems []Problem
	// Present holds the path of each field that occurs in the text.
	Present map[string]bool
}

// Decode reads one JSON object into msg. Field names are as in the proto
// file. Fields with a problem keep their zero value; all others are set.
func Decode(data []byte, msg proto.Message) Result {
	d := &decoder{
		json:   json.NewDecoder(bytes.NewReader(data)),
		result: Result{Present: make(map[string]bool)},
	}
	d.json.UseNumber()
	if !utf8.Valid(data) {
		d.addProblem("", "the text is not UTF-8", "save it as UTF-8")
		return d.result
	}
	if err := d.document(msg.ProtoReflect()); err != nil {
		d.addProblem("", syntaxProblem(data, d.json.InputOffset(), err), "correct the JSON at that place")
	}
	return d.result
}

type decoder struct {
	json   *json.Decoder
	result Result
}

func (d *decoder) addProblem(path, problem, remedy string) {
	d.result.Problems = append(d.result.Problems, Problem{Path: path, Problem: problem, Remedy: remedy})
}

func (d *decoder) document(msg protoreflect.Message) error {
	if err := d.message("", msg); err != nil {
		return err
	}
	if _, err := d.json.Token(); !errors.Is(err, io.EOF) {
		return errors.New("text after the end of the object")
	}
	return nil
}

// message reads the object that starts at the next token.
func (d *decoder) message(path string, msg protoreflect.Message) error {
	tok, err := d.json.Token()
	if err != nil {
		return err
	}
	if tok != json.Delim('{') {
		d.addProblem(path, "must be an object, not "+describe(tok), "write it as {...}")
		return d.skip(tok)
	}
	for d.json.More() {
		if err := d.member(path, msg); err != nil {
			return err
		}
	}
	_, err = d.json.Token()
	return err
}

// member reads a member name and its value.
func (d *decoder) member(path string, msg protoreflect.Message) error {
	tok, err := d.json.Token()
	if err != nil {
		return err
	}
	name := tok.(string) // a token at this position in an object is always a string
	memberPath := join(path, name)
	fields := msg.Descriptor().Fields()
	field := fields.ByName(protoreflect.Name(name))
	if field == nil {
		d.addProblem(memberPath, "unknown field", unknownRemedy(name, fields))
		return d.skipNext()
	}
	if d.result.Present[memberPath] {
		d.addProblem(memberPath, "given twice", "keep one of the two")
		return d.skipNext()
	}
	d.result.Present[memberPath] = true
	if field.IsList() {
		return d.list(memberPath, msg, field)
	}
	if field.Message() != nil {
		return d.message(memberPath, msg.Mutable(field).Message())
	}
	value, ok, err := d.scalar(memberPath, field)
	if ok {
		msg.Set(field, value)
	}
	return err
}

// list reads an array of messages or scalars.
func (d *decoder) list(path string, msg protoreflect.Message, field protoreflect.FieldDescriptor) error {
	tok, err := d.json.Token()
	if err != nil {
		return err
	}
	if tok != json.Delim('[') {
		d.addProblem(path, "must be a list, not "+describe(tok), "write it as [...]")
		return d.skip(tok)
	}
	list := msg.Mutable(field).List()
	for i := 0; d.json.More(); i++ {
		if err := d.element(fmt.Sprintf("%s[%d]", path, i), list, field); err != nil {
			return err
		}
	}
	_, err = d.json.Token()
	return err
}

func (d *decoder) element(path string, list protoreflect.List, field protoreflect.FieldDescriptor) error {
	if field.Message() != nil {
		// An element with problems is kept, so that later indexes in paths stay correct.
		return d.message(path, list.AppendMutable().Message())
	}
	value, ok, err := d.scalar(path, field)
	if ok {
		list.Append(value)
	}
	return err
}

// skipNext discards the next value.
func (d *decoder) skipNext() error {
	tok, err := d.json.Token()
	if err != nil {
		return err
	}
	return d.skip(tok)
}

// skip discards the rest of the value that starts with tok.
func (d *decoder) skip(tok json.Token) error {
	depth := 0
	for {
		switch tok {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return nil
		}
		next, err := d.json.Token()
		if err != nil {
			return err
		}
		tok = next
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// syntaxProblem describes err with the line at which it occurred.
func syntaxProblem(data []byte, offset int64, err error) string {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = errors.New("the text ends too early")
		offset = int64(len(data))
	}
	before := data[:min(offset, int64(len(data)))]
	line := bytes.Count(before, []byte("\n")) + 1
	return fmt.Sprintf("no valid JSON at line %d: %v", line, err)
}
