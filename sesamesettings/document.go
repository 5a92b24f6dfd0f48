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

// maxFileBytes is the largest settings or contract file that is read.
const maxFileBytes = 1 << 20

// document is one parsed YAML document of a file with the problems found in it
// so far. Its methods that start with check add a problem for each invalid
// value.
type document struct {
	// file is the path that problems name.
	file string
	root *yaml.Node
	// keyLines holds the line, from 1, of each key and list item that decode has
	// read, by path, such as place.zone or tokens[0].
	keyLines map[string]int
	problems []*ProblemError
}

// readDocuments reads a file and returns its YAML documents except empty ones.
// The error is a *ValidationError, also when the file can't be read.
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

// parseDocuments is readDocuments for content that is already in memory; file
// is the path that problems name.
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

// isEmptyDocument reports whether a YAML document holds nothing or only null.
func isEmptyDocument(n *yaml.Node) bool {
	return len(n.Content) == 0 || n.Content[0].Tag == "!!null"
}

// yamlErrorPattern splits an error message of the YAML library into the line
// number, if there is one, and the rest.
var yamlErrorPattern = regexp.MustCompile(`^(?:yaml: )?(?:line (\d+): )?(.*)`)

// syntaxProblem returns a YAML library error as a *ValidationError with the line
// taken from the message, because the library reports it only there.
func syntaxProblem(file string, err error) error {
	parts := yamlErrorPattern.FindStringSubmatch(err.Error())
	line, _ := strconv.Atoi(parts[1])
	return fileProblem(file, line, parts[2])
}

// fileProblem returns a *ValidationError with one problem that has no key. Line
// 0 means the whole file.
func fileProblem(file string, line int, problem string) error {
	return validationErrorOrNil([]*ProblemError{
		{
			File:    file,
			Line:    line,
			Message: problem,
		},
	})
}

// addProblem records a problem with the value of a key, given as a path such as
// place.zone. The message is formatted as by fmt.Sprintf.
func (d *document) addProblem(key, format string, args ...any) {
	d.problems = append(d.problems, &ProblemError{
		File:    d.file,
		Line:    d.lineOf(key),
		Key:     key,
		Message: fmt.Sprintf(format, args...),
	})
}

// lineOf returns the line of a key; if the document doesn't set it, that of the
// nearest parent key that is set, or else the first line of the document.
func (d *document) lineOf(key string) int {
	for ; key != ""; key = parentKey(key) {
		if line, ok := d.keyLines[key]; ok {
			return line
		}
	}
	return d.root.Line
}

// parentKey returns the path without its last part: a for a.b and for a[0], and
// an empty string for a top-level key.
func parentKey(key string) string {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '.' || key[i] == '[' {
			return key[:i]
		}
	}
	return ""
}

// isSet reports whether the document has the key, also with an invalid value.
func (d *document) isSet(key string) bool {
	_, ok := d.keyLines[key]
	return ok
}

// hasProblem reports whether a problem of the key is already recorded. Further
// checks of its value are then skipped, since they would only report the same
// mistake again.
func (d *document) hasProblem(key string) bool {
	for _, f := range d.problems {
		if f.Key == key {
			return true
		}
	}
	return false
}
