package sesamesettings

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// decode reads the document into out, a pointer to a struct with yaml tags. It
// adds a problem for each unknown or repeated key and each value of a wrong
// type. Fields with a problem keep the value that out had before.
func (d *document) decode(out any) {
	d.decodeValue(d.root, reflect.ValueOf(out).Elem(), "")
}

// durationType tells durations apart from other fields of kind int64.
var durationType = reflect.TypeFor[time.Duration]()

// decodeValue reads the node at the path key into out, by the kind of out. Null
// values and YAML aliases are problems, but a pointer stays nil for null: a platform
// fills in nothing for what it does not have.
func (d *document) decodeValue(n *yaml.Node, out reflect.Value, key string) {
	if n.Kind == yaml.AliasNode {
		d.addProblem(key, "is a YAML alias, which is not supported")
		return
	}
	if out.Kind() == reflect.Pointer {
		if n.Tag != "!!null" {
			out.Set(reflect.New(out.Type().Elem()))
			d.decodeValue(n, out.Elem(), key)
		}
		return
	}
	if n.Tag == "!!null" {
		d.addProblem(key, "is empty")
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.decodeStruct(n, out, key)
	case reflect.Map:
		d.decodeMap(n, out, key)
	case reflect.Slice:
		d.decodeSlice(n, out, key)
	default:
		d.decodeScalar(n, out, key)
	}
}

// decodeStruct reads a mapping whose keys are the yaml tags of the fields of
// out.
func (d *document) decodeStruct(n *yaml.Node, out reflect.Value, key string) {
	if n.Kind != yaml.MappingNode {
		d.addProblem(key, "is %s, expected a mapping with the keys %s", describeNode(n), strings.Join(fieldNames(out.Type()), ", "))
		return
	}
	fields := fieldIndexes(out.Type())
	for i := 0; i+1 < len(n.Content); i += 2 {
		name := n.Content[i]
		path, fresh := d.recordKey(name, key)
		if !fresh {
			continue
		}
		index, ok := fields[name.Value]
		if !ok {
			d.addProblem(path, "unknown key, expected one of %s", strings.Join(fieldNames(out.Type()), ", "))
			continue
		}
		d.decodeValue(n.Content[i+1], out.Field(index), path)
	}
}

// decodeMap reads a mapping with arbitrary keys into a Go map.
func (d *document) decodeMap(n *yaml.Node, out reflect.Value, key string) {
	if n.Kind != yaml.MappingNode {
		d.addProblem(key, "is %s, expected a mapping", describeNode(n))
		return
	}
	out.Set(reflect.MakeMap(out.Type()))
	for i := 0; i+1 < len(n.Content); i += 2 {
		name := n.Content[i]
		path, fresh := d.recordKey(name, key)
		if !fresh {
			continue
		}
		item := reflect.New(out.Type().Elem()).Elem()
		d.decodeValue(n.Content[i+1], item, path)
		out.SetMapIndex(reflect.ValueOf(name.Value), item)
	}
}

// recordKey stores the line of a key in a mapping at the path parent. It returns
// the key's path and whether this is its first occurrence; a repeated key is a
// problem.
func (d *document) recordKey(name *yaml.Node, parent string) (string, bool) {
	path := name.Value
	if parent != "" {
		path = parent + "." + name.Value
	}
	if first, ok := d.keyLines[path]; ok {
		d.problems = append(d.problems, &ProblemError{
			File:    d.file,
			Line:    name.Line,
			Key:     path,
			Message: fmt.Sprintf("is set twice, first on line %d", first),
		})
		return path, false
	}
	d.keyLines[path] = name.Line
	return path, true
}

// decodeSlice reads a list into a Go slice.
func (d *document) decodeSlice(n *yaml.Node, out reflect.Value, key string) {
	if n.Kind != yaml.SequenceNode {
		d.addProblem(key, "is %s, expected a list", describeNode(n))
		return
	}
	items := reflect.MakeSlice(out.Type(), len(n.Content), len(n.Content))
	for i, item := range n.Content {
		path := fmt.Sprintf("%s[%d]", key, i)
		d.keyLines[path] = item.Line
		d.decodeValue(item, items.Index(i), path)
	}
	out.Set(items)
}

// decodeScalar reads a single value. For a string, a value that YAML reads as
// another type, such as 8080 or true, must be in quotes.
func (d *document) decodeScalar(n *yaml.Node, out reflect.Value, key string) {
	expected := expectedValue(out.Type())
	if n.Kind != yaml.ScalarNode {
		d.addProblem(key, "is %s, expected %s", describeNode(n), expected)
		return
	}
	if out.Kind() == reflect.String && n.Tag != "!!str" {
		d.addProblem(key, "is %s, expected %s in quotes", describeNode(n), expected)
		return
	}
	item := reflect.New(out.Type())
	if err := n.Decode(item.Interface()); err != nil {
		d.addProblem(key, "is %s, expected %s", describeNode(n), expected)
		return
	}
	out.Set(item.Elem())
}

// describeNode returns what a node is, for messages: the kind of a mapping or
// list, or else the value in quotes.
func describeNode(n *yaml.Node) string {
	switch n.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	}
	return fmt.Sprintf("%q", n.Value)
}

// expectedValue returns in words which values the type accepts, for messages.
func expectedValue(t reflect.Type) string {
	if t == durationType {
		return "a duration such as 500ms or 2s"
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "a whole number"
	}
	return "a string"
}

// fieldIndexes returns the index of each field of a struct type by its key in
// YAML. Fields without a key, or with the key -, can't be set by a file.
func fieldIndexes(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		name := t.Field(i).Tag.Get("yaml")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

// fieldNames returns the YAML keys of a struct type in alphabetical order.
func fieldNames(t reflect.Type) []string {
	var names []string
	for name := range fieldIndexes(t) {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
