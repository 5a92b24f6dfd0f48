package sesameguard_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesameguard"
)

// shortFields returns that many fields without a value, each with its own name.
func shortFields(fields int) string {
	var out strings.Builder
	for i := range fields {
		fmt.Fprintf(&out, "f%d:\r\n", i)
	}
	return out.String()
}

// keepingHandler drops the fields of heads before it reads bodies.
func keepingHandler(h http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		sesameguard.KeepFields(r, "Kept")
		if len(r.Header) > 1 || r.Header.Get("Kept") != "yes" {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		h.ServeHTTP(w, r)
	}
}

// fieldsPost returns a request with that many short fields beside those named, and
// a body.
func fieldsPost(path string, fields int, named ...string) string {
	head := "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n" + strings.Join(named, "")
	return head + shortFields(fields) + "\r\n" + `""`
}

// TestFields guards against heads of many fields, however short, that together
// exceed the bound, and against ones that keep others out.
func TestFields(t *testing.T) {
	// assertBeside checks how a request is answered beside one of 400 fields that
	// is being handled and takes nearly all the room.
	assertBeside := func(t *testing.T, request string, status int) {
		t.Helper()
		const room = 90 << 10
		release := make(chan struct{})
		address := serve(t, 100, room, nil, readHandler(release))
		first := dial(t, address, fieldsPost("/wait", 400))
		time.Sleep(100 * time.Millisecond)
		dial(t, address, request).assertStatus(status)
		close(release)
		first.assertStatus(http.StatusOK)
	}
	t.Run("one such head is served whatever the bound is", func(t *testing.T) {
		address := serve(t, 100, 1, nil, readHandler(nil))
		dial(t, address, fieldsPost("/", 4000)).assertStatus(http.StatusOK)
	})
	t.Run("many fields", func(t *testing.T) {
		assertBeside(t, fieldsPost("/", 400), http.StatusServiceUnavailable)
	})
	t.Run("many fields without an end", func(t *testing.T) {
		assertBeside(t, strings.TrimSuffix(fieldsPost("/", 400), "\r\n"+`""`), http.StatusServiceUnavailable)
	})
	t.Run("few fields", func(t *testing.T) {
		assertBeside(t, fieldsPost("/", 50), http.StatusOK)
	})
	t.Run("names of trailers", func(t *testing.T) {
		names := strings.ReplaceAll(shortFields(400), ":\r\n", ",")
		assertBeside(t, fieldsPost("/", 0, "Transfer-Encoding: chunked\r\nTrailer: "+names+"z\r\n"), http.StatusServiceUnavailable)
	})
	t.Run("a head that comes with the request before", func(t *testing.T) {
		const room = 90 << 10
		release := make(chan struct{})
		defer close(release)
		address := serve(t, 100, room, nil, readHandler(release))
		dial(t, address, fieldsPost("/wait", 400))
		time.Sleep(100 * time.Millisecond)
		second := dial(t, address, get+fieldsPost("/", 400))
		is.New(t).Equal(second.statuses(2), []int{http.StatusOK, http.StatusServiceUnavailable})
	})
	t.Run("dropped fields take nothing", func(t *testing.T) {
		const room = 90 << 10
		release := make(chan struct{})
		address := serve(t, 100, room, nil, keepingHandler(readHandler(release)))
		var callers []caller
		for range 3 {
			callers = append(callers, dial(t, address, fieldsPost("/wait", 400, "Kept: yes\r\n")))
			time.Sleep(100 * time.Millisecond)
		}
		close(release)
		for _, c := range callers {
			c.assertStatus(http.StatusOK)
		}
	})
}

// TestPipelined guards against the loss of requests that come at once, whatever
// lines their bodies have.
func TestPipelined(t *testing.T) {
	body := jsonText(10) + strings.Repeat("\n", 1000)
	long := post("/", len(body)) + body
	for name, requests := range map[string][]string{
		"short ones":              {get, get, get},
		"bodies of many lines":    {long, long, long, get},
		"both, one after another": {get, long, get, long},
	} {
		t.Run(name, func(t *testing.T) {
			address := serve(t, 100, 1<<20, nil, readHandler(nil))
			for _, status := range dial(t, address, strings.Join(requests, "")).statuses(len(requests)) {
				is.New(t).Equal(status, http.StatusOK)
			}
		})
	}
}
