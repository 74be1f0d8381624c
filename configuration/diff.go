package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Difference is one value that a change sets, alters or takes away.
type Difference struct {
	// Subtree is the path of the subtree.
	Subtree string
	// Path is the place in the subtree, a JSON Pointer in which the items of
	// lists go by their names.
	Path string
	// Before and After are JSON values; empty means that there is none.
	Before string
	After  string
}

// String is the difference in one line.
func (d Difference) String() string {
	switch {
	case d.Before == "":
		return fmt.Sprintf("%s + %s: %s", d.Subtree, d.Path, d.After)
	case d.After == "":
		return fmt.Sprintf("%s - %s: %s", d.Subtree, d.Path, d.Before)
	default:
		return fmt.Sprintf("%s ~ %s: %s -> %s", d.Subtree, d.Path, d.Before, d.After)
	}
}

// differences compares two contents of a subtree; empty means none.
func differences(subtree, before, after string) []Difference {
	olds, news := flatten(before), flatten(after)
	paths := maps.Clone(olds)
	maps.Copy(paths, news)
	var all []Difference
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if olds[path] == news[path] {
			continue
		}
		all = append(all, Difference{
			Subtree: subtree,
			Path:    path,
			Before:  olds[path],
			After:   news[path],
		})
	}

	return all
}

// flatten returns the scalars of a JSON document by their places.
func flatten(content string) map[string]string {
	values := map[string]string{}
	if content == "" {
		return values
	}
	var doc any
	if err := json.Unmarshal([]byte(content), &doc); err != nil {
		panic(fmt.Sprintf("configuration: content is not JSON: %v", err))
	}
	flattenInto(values, "", doc)

	return values
}

func flattenInto(values map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, item := range v {
			flattenInto(values, path+"/"+name, item)
		}
	case []any:
		for i, item := range v {
			flattenInto(values, path+"/"+nameOf(i, item), item)
		}
	case nil:
	default:
		encoded, err := json.Marshal(v)
		if err != nil {
			panic(fmt.Sprintf("configuration: encode %v: %v", v, err))
		}
		values[path] = string(encoded)
	}
}

// nameOf identifies an item of a list by what is unique in it, so that an
// item moved inside its list is no difference.
func nameOf(index int, item any) string {
	switch v := item.(type) {
	case string:
		return strings.ReplaceAll(v, "/", "~1")
	case map[string]any:
		for _, field := range []string{"Name", "Model", "Path"} {
			if name, ok := v[field].(string); ok {
				return strings.ReplaceAll(name, "/", "~1")
			}
		}
	}

	return fmt.Sprint(index)
}
