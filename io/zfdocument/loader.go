// Package zfdocument parses and validates the project's JSON documents: bundles,
// settings and announcements. It reports all faults of a document at once.
package zfdocument

import (
	"bytes"
	"cmp"
	"embed"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"unicode/utf8"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"zinniafront/core/zfbundle"
)

//go:embed schema/*.json
var schemaFiles embed.FS

// Kind names a kind of document.
type Kind string

// The kinds of document.
const (
	KindBundle       Kind = "bundle"
	KindSettings     Kind = "settings"
	KindAnnouncement Kind = "announcement"
)

// Error lists every fault of one document.
type Error struct {
	Kind   Kind
	Faults []zfbundle.Fault
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("%s has %d fault(s)", e.Kind, len(e.Faults)))
	for _, fault := range e.Faults {
		lines = append(lines, "  "+fault.Error())
	}
	return strings.Join(lines, "\n")
}

// Schema returns the published JSON schema of a kind of document.
func Schema(kind Kind) ([]byte, error) {
	text, err := schemaFiles.ReadFile("schema/" + string(kind) + ".json")
	return text, errors.Wrap(err, "read schema")
}

// compiledSchemas holds the compiled schema of each kind of document. A schema is
// compiled on first use, as compiling takes milliseconds and a process doesn't
// read every kind.
var compiledSchemas = map[Kind]func() (*jsonschema.Schema, error){
	KindBundle:       sync.OnceValues(func() (*jsonschema.Schema, error) { return compileSchema(KindBundle) }),
	KindSettings:     sync.OnceValues(func() (*jsonschema.Schema, error) { return compileSchema(KindSettings) }),
	KindAnnouncement: sync.OnceValues(func() (*jsonschema.Schema, error) { return compileSchema(KindAnnouncement) }),
}

func compileSchema(kind Kind) (*jsonschema.Schema, error) {
	text, err := Schema(kind)
	if err != nil {
		return nil, err
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, errors.Wrap(err, "decode schema")
	}
	compiler := jsonschema.NewCompiler()
	compiler.AssertFormat()
	if err := compiler.AddResource(string(kind), document); err != nil {
		return nil, errors.Wrap(err, "add schema")
	}
	schema, err := compiler.Compile(string(kind))
	return schema, errors.Wrap(err, "compile schema")
}

// load validates text against the schema of its kind and decodes it into target.
func load(kind Kind, text []byte, target any) error {
	schema, err := compiledSchemas[kind]()
	if err != nil {
		return err
	}
	if fault := checkSyntax(text); fault != nil {
		return &Error{
			Kind:   kind,
			Faults: []zfbundle.Fault{*fault},
		}
	}
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return &Error{
			Kind: kind,
			Faults: []zfbundle.Fault{{
				Path:    "/",
				Problem: err.Error(),
				Allowed: "one JSON document",
			}},
		}
	}
	if err := schema.Validate(document); err != nil {
		return &Error{
			Kind:   kind,
			Faults: schemaFaults(err),
		}
	}
	return errors.Wrap(json.Unmarshal(text, target), "decode document")
}

// schemaFaults flattens a schema validation error to a sorted list of its leaves.
func schemaFaults(err error) []zfbundle.Fault {
	invalid, ok := errors.Cause(err).(*jsonschema.ValidationError)
	if !ok {
		return []zfbundle.Fault{{
			Path:    "/",
			Problem: err.Error(),
		}}
	}
	printer := message.NewPrinter(language.English)
	faults := make([]zfbundle.Fault, 0, 4)
	var visit func(e *jsonschema.ValidationError)
	visit = func(e *jsonschema.ValidationError) {
		for _, cause := range e.Causes {
			visit(cause)
		}
		if len(e.Causes) == 0 {
			faults = append(faults, zfbundle.Fault{
				Path:    "/" + strings.Join(e.InstanceLocation, "/"),
				Problem: e.ErrorKind.LocalizedString(printer),
			})
		}
	}
	visit(invalid)
	sortFaults(faults)
	return faults
}

func sortFaults(faults []zfbundle.Fault) {
	slices.SortFunc(faults, func(a, b zfbundle.Fault) int {
		return cmp.Or(strings.Compare(a.Path, b.Path), strings.Compare(a.Problem, b.Problem))
	})
}

// mergeFaults adds checkFaults, the faults that the schema can't express, to err, the
// result of the schema validation. A path with a schema fault is not reported again.
func mergeFaults(kind Kind, err error, checkFaults []zfbundle.Fault) error {
	merged := &Error{
		Kind: kind,
	}
	var schemaError *Error
	if errors.As(err, &schemaError) {
		merged.Faults = append(merged.Faults, schemaError.Faults...)
	}
	for _, fault := range checkFaults {
		reported := slices.ContainsFunc(merged.Faults, func(f zfbundle.Fault) bool { return f.Path == fault.Path })
		if !reported || schemaError == nil {
			merged.Faults = append(merged.Faults, fault)
		}
	}
	if len(merged.Faults) == 0 {
		return err
	}
	sortFaults(merged.Faults)
	return merged
}

// checkSyntax returns the first syntax error or duplicate key, or nil. The JSON
// decoders would silently keep the last value of a duplicate key, and replace bytes that
// are not UTF-8.
func checkSyntax(text []byte) *zfbundle.Fault {
	if !utf8.Valid(text) {
		return &zfbundle.Fault{
			Path:    "/",
			Problem: "bytes that are not UTF-8",
			Allowed: "JSON in UTF-8",
		}
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if fault := checkValue(decoder, ""); fault != nil {
		return fault
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return &zfbundle.Fault{
			Path:    "/",
			Problem: "text after the document",
			Allowed: "one JSON document",
		}
	}
	return nil
}

func checkValue(decoder *json.Decoder, path string) *zfbundle.Fault {
	token, err := decoder.Token()
	if err != nil {
		return syntaxFault(decoder, path, err)
	}
	switch token {
	case json.Delim('{'):
		return checkObject(decoder, path)
	case json.Delim('['):
		for i := 0; decoder.More(); i++ {
			if fault := checkValue(decoder, path+"/"+strconv.Itoa(i)); fault != nil {
				return fault
			}
		}
		_, err = decoder.Token()
	}
	if err != nil {
		return syntaxFault(decoder, path, err)
	}
	return nil
}

func checkObject(decoder *json.Decoder, path string) *zfbundle.Fault {
	seen := make(map[string]bool)
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return syntaxFault(decoder, path, err)
		}
		key, _ := token.(string)
		memberPath := path + "/" + key
		if seen[key] {
			return &zfbundle.Fault{
				Path:    memberPath,
				Problem: "stands twice",
				Allowed: "each key once",
			}
		}
		seen[key] = true
		if fault := checkValue(decoder, memberPath); fault != nil {
			return fault
		}
	}
	if _, err := decoder.Token(); err != nil {
		return syntaxFault(decoder, path, err)
	}
	return nil
}

func syntaxFault(decoder *json.Decoder, path string, err error) *zfbundle.Fault {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &zfbundle.Fault{
		Path:    path + "/",
		Problem: fmt.Sprintf("%s at byte %d", err, decoder.InputOffset()),
		Allowed: "one JSON document",
	}
}
