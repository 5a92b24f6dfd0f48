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

// maxFileBytes bounds a settings or contract file, in bytes.
const maxFileBytes = 1 << 20

// document is one YAML document with the faults found in it so far.
type document struct {
	file string
	root *yaml.Node
	// keyLines holds the line of each key that the document sets.
	keyLines map[string]int
	problems []*ProblemError
}

// readDocuments returns all YAML documents of a file; empty ones are left out.
func readDocuments(file string) ([]*document, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, fileProblem(file, 0, errors.UnwrapAll(err).Error())
	}
	if len(content) > maxFileBytes {
		return nil, fileProblem(file, 0, fmt.Sprintf("is longer than %d bytes", maxFileBytes))
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
			return nil, syntaxProblem(file, err)
		}
		if isEmptyDocument(&node) {
			continue
		}
		documents = append(documents, &document{
			file:     file,
			root:     node.Content[0],
			keyLines: map[string]int{},
		})
	}
}

func isEmptyDocument(n *yaml.Node) bool {
	return len(n.Content) == 0 || n.Content[0].Tag == "!!null"
}

var yamlErrorPattern = regexp.MustCompile(`^(?:yaml: )?(?:line (\d+): )?(.*)`)

// syntaxProblem turns the YAML library's message into a fault.
func syntaxProblem(file string, err error) error {
	parts := yamlErrorPattern.FindStringSubmatch(err.Error())
	line, _ := strconv.Atoi(parts[1])
	return fileProblem(file, line, parts[2])
}

func fileProblem(file string, line int, problem string) error {
	return validationErrorOrNil([]*ProblemError{
		{
			File:    file,
			Line:    line,
			Message: problem,
		},
	})
}

// addProblem records a problem of the key. The line is that of the key, or of the
// nearest key above it that is set.
func (d *document) addProblem(key, format string, args ...any) {
	d.problems = append(d.problems, &ProblemError{
		File:    d.file,
		Line:    d.lineOf(key),
		Key:     key,
		Message: fmt.Sprintf(format, args...),
	})
}

func (d *document) lineOf(key string) int {
	for ; key != ""; key = parentKey(key) {
		if line, ok := d.keyLines[key]; ok {
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

// isSet reports whether the document sets the key.
func (d *document) isSet(key string) bool {
	_, ok := d.keyLines[key]
	return ok
}

// hasProblem reports whether the key already has a fault, so that further checks
// of the same value say nothing new.
func (d *document) hasProblem(key string) bool {
	for _, f := range d.problems {
		if f.Key == key {
			return true
		}
	}
	return false
}
