package sesameapi

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestDocumentedProblems checks that the table in docs/API.md lists every problem
// type with its status.
func TestDocumentedProblems(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/API.md")
	is.NoErr(err)
	for problem, k := range problemInfos {
		name := strings.TrimPrefix(string(problem), problemPrefix)
		line := fmt.Sprintf("| `%s` | %d |", name, k.status)
		if !strings.Contains(string(page), line) {
			t.Errorf("docs/API.md lacks the line %q", line)
		}
	}
}
