package sesamesettings

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// maxFile bounds a settings or contract file, in bytes.
const maxFile = 1 << 20

// document is one YAML document with the faults found in it so far.
type document struct {
	file string
	root *yaml.Node
	// lines holds the line of each key that the document sets.
	lines  map[string]int
	faults []*FaultError
}

// readDocuments returns all YAML documents of a file; empty ones are left out.
func readDocuments(file string) ([]*document, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, fileFault(file, 0, errors.UnwrapAll(err).Error())
	}
	if len(content) > maxFile {
		return nil, fileFault(file, 0, fmt.Sprintf("is longer than %d bytes", maxFile))
	}
	return parseDocuments(file, content)
}

func parseDocuments(file string, content []byte) ([]*document, error) {
	var documents []*document
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	for {
		var node yaml.Node
		err := decoder.Decode(&node)
		if errors.Is(err, io.EOF) {
			return documents, nil
		}
		if err != nil {
			return nil, syntaxFault(file, err)
		}
		if isEmpty(&node) {
			continue
		}
		documents = append(documents, &document{
			file:  file,
			root:  node.Content[0],
			lines: map[string]int{},
		})
	}
}

func isEmpty(n *yaml.Node) bool {
	return len(n.Content) == 0 || n.Content[0].Tag == "!!null"
}

var lineInMessage = regexp.MustCompile(`^(?:yaml: )?(?:line (\d+): )?(.*)`)

// syntaxFault turns the YAML library's message into a fault.
func syntaxFault(file string, err error) error {
	parts := lineInMessage.FindStringSubmatch(err.Error())
	line, _ := strconv.Atoi(parts[1])
	return fileFault(file, line, parts[2])
}

func fileFault(file string, line int, problem string) error {
	return faultsOrNil([]*FaultError{
		{
			File:    file,
			Line:    line,
			Problem: problem,
		},
	})
}

// fault records a problem of the key. The line is that of the key, or of the
// nearest key above it that is set.
func (d *document) fault(key, format string, args ...any) {
	d.faults = append(d.faults, &FaultError{
		File:    d.file,
		Line:    d.line(key),
		Key:     key,
		Problem: fmt.Sprintf(format, args...),
	})
}

func (d *document) line(key string) int {
	for ; key != ""; key = parentKey(key) {
		if line, ok := d.lines[key]; ok {
			return line
		}
	}
	return d.root.Line
}

// parentKey returns the key without its last part: a for a.b and for a[0].
func parentKey(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '.' || key[i] == '[' {
			return key[:i]
		}
	}
	return ""
}

// has reports whether the document sets the key.
func (d *document) has(key string) bool {
	_, ok := d.lines[key]
	return ok
}

// faulty reports whether the key already has a fault, so that further checks
// of the same value say nothing new.
func (d *document) faulty(key string) bool {
	for _, f := range d.faults {
		if f.Key == key {
			return true
		}
	}
	return false
}
