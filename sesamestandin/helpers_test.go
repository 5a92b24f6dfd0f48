package sesamestandin_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

// background runs f in a goroutine; the test waits for it at its end.
func background(t *testing.T, f func()) {
	t.Helper()
	var group errgroup.Group
	group.Go(func() error {
		f()
		return nil
	})
	t.Cleanup(func() {
		_ = group.Wait()
	})
}

// assertBody checks that the body of a GET contains part.
func assertBody(is *is.I, url, part string) {
	is.Helper()
	response, err := http.Get(url)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.True(strings.Contains(string(body), part))
}
