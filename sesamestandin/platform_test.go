package sesamestandin_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamesettings"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesametable"
)

// startPlatform serves a new store over HTTP and returns it with a client and
// the base URL.
func startPlatform(t *testing.T) (*sesamestandin.Store, *sesametable.Client, string) {
	t.Helper()
	store := sesamestandin.NewStore(clockwork.NewRealClock())
	server := httptest.NewServer(sesamestandin.NewPlatformHandler(store, sesamelog.Discard()))
	t.Cleanup(server.Close)
	client := sesametable.NewClient(sesametable.Options{
		Platform: sesamesettings.Platform{
			URL:         server.URL,
			CallTimeout: 2 * time.Second,
		},
	})
	return store, client, server.URL
}

// put returns a transaction that writes one row if it has this version.
func put(key string, version uint64, value string) sesametable.Transaction {
	return sesametable.Transaction{
		Puts: []sesametable.Put{
			{
				Key:     key,
				Version: version,
				Value:   []byte(value),
			},
		},
	}
}

// assertRow checks the value and version of a row.
func assertRow(ctx context.Context, is *is.I, table sesametable.Table, key, value string, version uint64) {
	is.Helper()
	row, err := table.Get(ctx, key)
	is.NoErr(err)
	is.Equal(string(row.Value), value)
	is.Equal(row.Version, version)
}

// TestPlatform checks the HTTP interface with the client that the programs
// use.
func TestPlatform(t *testing.T) {
	ctx := context.Background()

	t.Run("rows with odd keys come back", func(t *testing.T) {
		is := is.New(t)
		_, client, _ := startPlatform(t)
		for _, key := range []string{"a/b", "team/Čaj & co?", "x/50%/y", "z//z"} {
			is.NoErr(client.Commit(ctx, put(key, 0, key)))
			assertRow(ctx, is, client, key, key, 1)
		}
		rows, err := sesametable.ScanAll(ctx, client, "team/")
		is.NoErr(err)
		is.Equal(len(rows), 1)
	})

	t.Run("a conflict names row and versions", func(t *testing.T) {
		is := is.New(t)
		_, client, _ := startPlatform(t)
		is.NoErr(client.Commit(ctx, put("a", 0, "1")))
		var conflict *sesametable.ConflictError
		is.True(errors.As(client.Commit(ctx, put("a", 0, "2")), &conflict))
		is.Equal(*conflict, sesametable.ConflictError{
			Key:      "a",
			Expected: 0,
			Found:    1,
		})
	})

	t.Run("a missing row or object is not found", func(t *testing.T) {
		is := is.New(t)
		_, client, _ := startPlatform(t)
		var missing *sesametable.NotFoundError
		_, err := client.Get(ctx, "a")
		is.True(errors.As(err, &missing))
		_, _, err = client.GetObject(ctx, "a")
		is.True(errors.As(err, &missing))
	})

	t.Run("objects come back whole", func(t *testing.T) {
		is := is.New(t)
		_, client, _ := startPlatform(t)
		text := strings.Repeat("estimate ", 300_000)
		is.NoErr(client.PutObject(ctx, "result/j/1/0", []byte(text)))
		body, length, err := client.GetObject(ctx, "result/j/1/0")
		is.NoErr(err)
		is.Equal(length, int64(len(text)))
		read, err := io.ReadAll(body)
		is.NoErr(err)
		is.NoErr(body.Close())
		is.True(string(read) == text)
	})

	t.Run("faults set over HTTP lose every second answer", func(t *testing.T) {
		is := is.New(t)
		store, client, url := startPlatform(t)
		response, err := http.Post(url+"/v1/faults", "application/json", strings.NewReader(`{"loseEvery":2}`))
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		for version := range uint64(4) {
			is.NoErr(client.Commit(ctx, put("a", version, "v")))
		}
		assertRow(ctx, is, client, "a", "v", 4)
		is.Equal(store.Counters().Writes, 7) // commits 2, 4 and 6 are repeated
	})
}

// TestStore checks versions of deleted rows, scans and late writes of the
// store itself.
func TestStore(t *testing.T) {
	ctx := context.Background()

	t.Run("versions of a deleted row do not return", func(t *testing.T) {
		is := is.New(t)
		store := sesamestandin.NewStore(clockwork.NewFakeClock())
		is.NoErr(store.Commit(ctx, put("a", 0, "1")))
		is.NoErr(store.Commit(ctx, sesametable.Transaction{
			Deletes: []sesametable.Delete{
				{
					Key:     "a",
					Version: 1,
				},
			},
		}))
		is.NoErr(store.Commit(ctx, put("a", 0, "2")))
		assertRow(ctx, is, store, "a", "2", 3)
	})

	t.Run("scans page in the order of keys", func(t *testing.T) {
		is := is.New(t)
		store := sesamestandin.NewStore(clockwork.NewFakeClock())
		for _, key := range []string{"p/c", "p/a", "q", "p/b", "o"} {
			is.NoErr(store.Commit(ctx, put(key, 0, key)))
		}
		rows, err := store.Scan(ctx, "p/", "p/a", 10)
		is.NoErr(err)
		is.Equal(len(rows), 2)
		is.Equal(rows[0].Key, "p/b")
		is.Equal(rows[1].Key, "p/c")
	})

	t.Run("a late write takes effect at its time", func(t *testing.T) {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		store := sesamestandin.NewStore(clock)
		store.SetFaults(sesamestandin.Faults{
			ApplyDelay: time.Minute,
			OnWrite: func(int) sesamestandin.WriteFault {
				return sesamestandin.AppliedLate
			},
		})
		var unknown *sesametable.OutcomeUnknownError
		is.True(errors.As(store.Commit(ctx, put("a", 0, "1")), &unknown))
		_, err := store.Get(ctx, "a")
		var missing *sesametable.NotFoundError
		is.True(errors.As(err, &missing))
		clock.Advance(time.Minute)
		assertRow(ctx, is, store, "a", "1", 1)
	})
}
