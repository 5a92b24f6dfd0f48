package sesamecommand_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamecommand"
)

// TestStory checks that the lines of one job are selected from several logs,
// with and without text before the JSON, and sorted by time.
func TestStory(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(folder, name)
		is.NoErr(os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	entry := write("entry.log", `{"event":7000,"job":"a1","level":"info","msg":"job accepted","policy":3,"process":"entry-1","time":"2026-01-01T00:00:01.000Z"}
{"event":7000,"job":"b2","level":"info","msg":"job accepted","process":"entry-1","time":"2026-01-01T00:00:02.000Z"}
not JSON
`)
	agent := write("agent.log", `  25.1 side-1 {"event":7207,"how":"done","job":"a1","msg":"run ended on target","process":"side-1","time":"2026-01-01T00:00:03.000Z"}
  24.9 side-1 {"event":7203,"job":"a1","msg":"run started","process":"side-1","run":1,"time":"2026-01-01T00:00:01.500Z"}
`)
	t.Run("the lines of a job in order", func(t *testing.T) {
		is := is.New(t)
		text := assertCommand(t, sesamecommand.ExitOK, "story", "a1", agent, entry)
		is.Equal(text, `2026-01-01T00:00:01.000Z  entry-1                job accepted policy=3
2026-01-01T00:00:01.500Z  side-1                 run started run=1
2026-01-01T00:00:03.000Z  side-1                 run ended on target how="done"
`)
	})
	t.Run("a job that no line names", func(t *testing.T) {
		assertContains(t, assertCommand(t, sesamecommand.ExitOK, "story", "c3", entry), `no log line names job "c3"`)
	})
	t.Run("a file that does not exist", func(t *testing.T) {
		assertCommand(t, sesamecommand.ExitFailure, "story", "a1", filepath.Join(folder, "none.log"))
	})
}
