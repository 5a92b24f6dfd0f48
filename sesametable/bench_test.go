package sesametable_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/sesamestack/sesamestack/sesamelog"
	"github.com/sesamestack/sesamestack/sesamesettings"
	"github.com/sesamestack/sesamestack/sesamestandin"
	"github.com/sesamestack/sesamestack/sesametable"
)

// benchClient returns a client without rate limits, over loopback HTTP, of a
// table with that many rows, each with a value of size bytes.
func benchClient(b *testing.B, rows, size int) *sesametable.Client {
	b.Helper()
	store := sesamestandin.NewStore(clockwork.NewRealClock())
	server := httptest.NewServer(sesamestandin.NewPlatformHandler(store, sesamelog.Discard()))
	b.Cleanup(server.Close)
	client := sesametable.NewClient(sesametable.Options{
		Platform: sesamesettings.Platform{
			URL:         server.URL,
			CallTimeout: 10 * time.Second,
		},
	})
	for row := range rows {
		must(b, client.Commit(b.Context(), puts(sesametable.Put{
			Key:   benchKey(row),
			Value: make([]byte, size),
		})))
	}
	b.ReportAllocs()
	b.ResetTimer()
	return client
}

// benchKey returns the key of the row with that number.
func benchKey(row int) string {
	return fmt.Sprintf("row/%06d", row)
}

// must ends the benchmark on an error.
func must(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

// BenchmarkGet reads one row with values of 300 B and 8 KiB.
func BenchmarkGet(b *testing.B) {
	for _, size := range []int{300, 8 << 10} {
		b.Run(fmt.Sprintf("%dB", size), func(b *testing.B) {
			client := benchClient(b, 1, size)
			for b.Loop() {
				_, err := client.Get(b.Context(), benchKey(0))
				must(b, err)
			}
		})
	}
}

// BenchmarkScan reads up to 500 rows in one scan.
func BenchmarkScan(b *testing.B) {
	for _, rows := range []int{1, 100, 500} {
		b.Run(fmt.Sprintf("%drows", rows), func(b *testing.B) {
			client := benchClient(b, rows, 300)
			for b.Loop() {
				_, err := client.Scan(b.Context(), "row/", "", rows)
				must(b, err)
			}
		})
	}
}

// BenchmarkCommit replaces up to 16 rows in one transaction.
func BenchmarkCommit(b *testing.B) {
	for _, rows := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("%drows", rows), func(b *testing.B) {
			client := benchClient(b, rows, 300)
			version := uint64(0)
			for b.Loop() {
				version++
				must(b, client.Commit(b.Context(), benchTransaction(rows, version)))
			}
		})
	}
}

// benchTransaction replaces the first rows of the table, each at that version.
func benchTransaction(rows int, version uint64) sesametable.Transaction {
	var t sesametable.Transaction
	for row := range rows {
		t.Puts = append(t.Puts, sesametable.Put{
			Key:     benchKey(row),
			Version: version,
			Value:   make([]byte, 300),
		})
	}
	return t
}

// BenchmarkCommitParallel commits from several goroutines, each to its own row.
func BenchmarkCommitParallel(b *testing.B) {
	client := benchClient(b, 0, 0)
	var next atomic.Int64
	b.RunParallel(func(p *testing.PB) {
		key := fmt.Sprintf("worker/%d", next.Add(1))
		version := uint64(0)
		for p.Next() {
			must(b, client.Commit(context.Background(), puts(put(key, version))))
			version++
		}
	})
}

// BenchmarkObject stores and reads an object of 1 MiB.
func BenchmarkObject(b *testing.B) {
	body := bytes.Repeat([]byte("x"), 1<<20)
	client := benchClient(b, 0, 0)
	for b.Loop() {
		must(b, client.PutObject(b.Context(), "result", body))
		read, _, err := client.GetObject(b.Context(), "result")
		must(b, err)
		_, err = io.Copy(io.Discard, read)
		must(b, err)
		must(b, read.Close())
	}
}
