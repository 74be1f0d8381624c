package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"papayastair.dev/papayastair/schema"
	"papayastair.dev/papayastair/wire"
)

const (
	// _anyPort is the end of an address to listen on that takes a free port.
	_anyPort         = ":0"
	_schemaFile      = "settings.json"
	_processSettings = "ProcessSettings"
	_subtree         = "Subtree"
)

// ParseProcess reads the settings of one process from a file. Its error is
// of type Problems.
func ParseProcess(file string) (wire.ProcessSettings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return wire.ProcessSettings{}, unreadable(file, err)
	}

	return DecodeProcess(file, content)
}

// ParseSubtree reads one subtree of the shared hierarchy from a file. Its
// error is of type Problems.
func ParseSubtree(file string) (wire.Subtree, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return wire.Subtree{}, unreadable(file, err)
	}

	return DecodeSubtree(file, content)
}

// DecodeProcess is ParseProcess for content that is at hand; file names it in
// problems.
func DecodeProcess(file string, content []byte) (wire.ProcessSettings, error) {
	settings, problems := decode[wire.ProcessSettings](_processSettings, file, content)
	if len(problems) > 0 {
		return wire.ProcessSettings{}, problems
	}
	addresses := map[string]string{}
	for _, a := range []struct{ field, address string }{
		{field: "CallerAddress", address: settings.CallerAddress},
		{field: "PeerAddress", address: settings.PeerAddress},
		{field: "OperatorAddress", address: settings.OperatorAddress},
	} {
		if other, ok := addresses[a.address]; ok && !strings.HasSuffix(a.address, _anyPort) {
			problems = append(problems, newProblem(file, "/"+a.field, "the same address as "+other))
		}
		addresses[a.address] = a.field
	}

	return settings, problems.Err()
}

// DecodeSubtree is ParseSubtree for content that is at hand; file names it in
// problems.
func DecodeSubtree(file string, content []byte) (wire.Subtree, error) {
	subtree, problems := decode[wire.Subtree](_subtree, file, content)

	return subtree, problems.Err()
}

// Encode returns the canonical JSON of a subtree: the same bytes for the same
// content, which DecodeSubtree takes if the subtree is valid.
func Encode(subtree wire.Subtree) string {
	content, err := json.Marshal(subtree)
	if err != nil {
		panic(fmt.Sprintf("settings: encode %s: %v", subtree.Path, err))
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(content))
	if err != nil {
		panic(fmt.Sprintf("settings: encode %s: %v", subtree.Path, err))
	}
	dropEmpty(doc)
	content, err = json.Marshal(doc)
	if err != nil {
		panic(fmt.Sprintf("settings: encode %s: %v", subtree.Path, err))
	}

	return string(content)
}

// dropEmpty removes lists without items, so that a list that is nil and one
// that is empty are the same.
func dropEmpty(doc any) {
	switch value := doc.(type) {
	case map[string]any:
		for name, item := range value {
			if list, ok := item.([]any); item == nil || ok && len(list) == 0 {
				delete(value, name)
			}
			dropEmpty(item)
		}
	case []any:
		for _, item := range value {
			dropEmpty(item)
		}
	}
}

// decode checks content against a definition of the schema, fills in the
// defaults and returns the typed value.
func decode[T any](definition, file string, content []byte) (T, Problems) {
	var value T
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(content))
	if err != nil {
		return value, Problems{newProblem(file, "/", "not JSON: "+err.Error()+lineOf(content, err))}
	}
	checked := _schemas[definition]
	if err := checked.Validate(doc); err != nil {
		return value, schemaProblems(file, err)
	}
	applyDefaults(checked, doc)
	complete, err := json.Marshal(doc)
	if err != nil {
		return value, Problems{newProblem(file, "/", err.Error())}
	}
	if err := json.Unmarshal(complete, &value); err != nil {
		return value, Problems{typeProblem(file, err)}
	}

	return value, nil
}

func newProblem(file, path, reason string) Problem {
	return Problem{
		File:   file,
		Path:   path,
		Reason: reason,
	}
}

func unreadable(file string, err error) Problems {
	return Problems{newProblem(file, "/", err.Error())}
}

// lineOf says on which line a syntax error is, if err tells.
func lineOf(content []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return ""
	}
	offset := min(int(syntax.Offset), len(content))

	return fmt.Sprintf(" (line %d)", 1+bytes.Count(content[:offset], []byte("\n")))
}

// typeProblem is for numbers that the schema lets pass and Go's int doesn't
// hold.
func typeProblem(file string, err error) Problem {
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) {
		return newProblem(file, "/", err.Error())
	}
	path := "/" + strings.ReplaceAll(mismatch.Field, ".", "/")

	return newProblem(file, path, mismatch.Value+" is not a whole number of at most 64 bits")
}

// schemaProblems flattens the tree of a validation error into its leaves.
func schemaProblems(file string, err error) Problems {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return Problems{newProblem(file, "/", err.Error())}
	}
	printer := message.NewPrinter(language.English)
	var problems Problems
	var visit func(e *jsonschema.ValidationError)
	visit = func(e *jsonschema.ValidationError) {
		if len(e.Causes) == 0 {
			reason := e.ErrorKind.LocalizedString(printer)
			problems = append(problems, newProblem(file, "/"+strings.Join(e.InstanceLocation, "/"), reason))
		}
		for _, cause := range e.Causes {
			visit(cause)
		}
	}
	visit(invalid)
	slices.SortFunc(problems, func(a, b Problem) int { return strings.Compare(a.String(), b.String()) })

	return problems
}

// applyDefaults sets each property that doc lacks to its default.
func applyDefaults(s *jsonschema.Schema, doc any) {
	for s.Ref != nil {
		s = s.Ref
	}
	switch value := doc.(type) {
	case map[string]any:
		for name, property := range s.Properties {
			if _, ok := value[name]; !ok && property.Default != nil {
				value[name] = copyDefault(*property.Default)
			}
			applyDefaults(property, value[name])
		}
	case []any:
		for _, item := range value {
			applyDefaults(s.Items2020, item)
		}
	}
}

// copyDefault keeps nested defaults out of the shared schema.
func copyDefault(value any) any {
	if _, ok := value.(map[string]any); ok {
		return map[string]any{}
	}

	return value
}

// _schemas are the compiled definitions by name.
var _schemas = compile(_processSettings, _subtree)

func compile(definitions ...string) map[string]*jsonschema.Schema {
	content, err := schema.Files.ReadFile(_schemaFile)
	if err != nil {
		panic(fmt.Sprintf("settings: schema %s: %v", _schemaFile, err))
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(content))
	if err != nil {
		panic(fmt.Sprintf("settings: schema %s: %v", _schemaFile, err))
	}
	compiler := jsonschema.NewCompiler()
	compiler.RegisterFormat(&jsonschema.Format{
		Name:     "ip-port",
		Validate: checkAddress,
	})
	compiler.RegisterFormat(&jsonschema.Format{
		Name:     "listen-ip-port",
		Validate: checkListenAddress,
	})
	compiler.AssertFormat()
	if err := compiler.AddResource(_schemaFile, doc); err != nil {
		panic(fmt.Sprintf("settings: schema %s: %v", _schemaFile, err))
	}
	schemas := map[string]*jsonschema.Schema{}
	for _, definition := range definitions {
		schemas[definition] = compiler.MustCompile(_schemaFile + "#/$defs/" + definition)
	}

	return schemas
}

// checkListenAddress accepts an IP:port to listen on, whose port may be 0 to
// take a free one.
func checkListenAddress(value any) error {
	text, ok := value.(string)
	if !ok {
		return nil
	}
	if address, err := netip.ParseAddrPort(text); err == nil && address.Port() == 0 {
		text = netip.AddrPortFrom(address.Addr(), 1).String()
	}

	return checkAddress(text)
}

// checkAddress accepts an IP:port that others can connect to.
func checkAddress(value any) error {
	text, ok := value.(string)
	if !ok {
		return nil
	}
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return errors.New("not an IP:port")
	case address.Port() == 0:
		return errors.New("port 0 can't be connected to")
	case address.Addr().IsUnspecified():
		return errors.New("an unspecified IP can't be connected to")
	}

	return nil
}
