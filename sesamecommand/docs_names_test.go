package sesamecommand_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	// pageName matches what a page names in the source: a test, benchmark or
	// fuzz target, a .go file, or a package with a path in it, if any.
	pageName = regexp.MustCompile(`\b(?:(?:Test|Benchmark|Fuzz)[A-Z]\w*|(?:[\w-]+/)*\w+\.go\b|platform/\w[\w/.-]*\b|sesame[a-z]+(?:/[\w/.-]*\w)?)`)
	testFunc = regexp.MustCompile(`(?m)^func ((?:Test|Benchmark|Fuzz)\w+)\(`)
)

// sourceNames returns the tests, files and folders of the module's source, and
// the base names of its .go files.
func sourceNames(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	is.New(t).NoErr(filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || path == ".." {
			return err
		}
		if d.IsDir() && strings.HasPrefix(d.Name(), ".") {
			return filepath.SkipDir
		}
		names[filepath.ToSlash(path[len("../"):])] = true
		if filepath.Ext(path) != ".go" {
			return nil
		}
		names[d.Name()] = true
		source, err := os.ReadFile(path)
		for _, m := range testFunc.FindAllSubmatch(source, -1) {
			names[string(m[1])] = true
		}
		return err
	}))
	return names
}

// TestDocsNames checks that what pages name in the source exists there.
func TestDocsNames(t *testing.T) {
	names := sourceNames(t)
	for _, placeholder := range []string{"TestName", "sesamestack", "sesamestack/sesamestack/PACKAGE"} {
		names[placeholder] = true
	}
	pages := []string{"../README.md", "../CONTRIBUTING.md"}
	for _, pattern := range []string{"../docs/*.md", "../docs/*/*.md"} {
		found, err := filepath.Glob(pattern)
		is.New(t).NoErr(err)
		pages = append(pages, found...)
	}
	for _, page := range pages {
		text, err := os.ReadFile(page)
		is.New(t).NoErr(err)
		for _, name := range pageName.FindAllString(string(text), -1) {
			if !names[name] {
				t.Errorf("%s names %s, which the source does not have", strings.TrimPrefix(page, "../"), name)
			}
		}
	}
}
