package sesamecommand_test

import (
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/platform/emulator"
	"github.com/sesamestack/sesamestack/sesameclock"
	"github.com/sesamestack/sesamestack/sesamecommand"
	"github.com/sesamestack/sesamestack/sesamerows"
)

// TestHostedCheck guards against a check that names entries unlike the file, prints
// keys, takes another configuration than the store's for the one in force, or
// exits with the wrong code.
func TestHostedCheck(t *testing.T) {
	is := is.New(t)
	rows := sesamerows.NewMemory(sesameclock.Wrap(clockwork.NewRealClock()))
	server := httptest.NewServer(emulator.NewStoreHandler(rows))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	put := func(value string) {
		_, err := rows.Commit(t.Context(), sesamerows.Transaction{
			Writes: []sesamerows.Write{{
				Key: sesamerows.Key{
					Table: "op",
					Name:  "config",
				},
				Value: []byte(value),
			}},
		})
		is.NoErr(err)
	}
	folder := t.TempDir()
	write := func(name, text string) string {
		file := filepath.Join(folder, name)
		is.NoErr(os.WriteFile(file, []byte(text), 0o600))
		return file
	}
	encoded, err := emulator.EncodePolicy(crowdPolicy())
	is.NoErr(err)
	config := string(encoded)
	old := write("old.json", config)
	// The changed configuration keeps the version.
	changed := write("new.json", strings.NewReplacer(`"stretch":3`, `"stretch":0`, `"max-body-bytes":262144`,
		`"max-body-bytes":4096`, `["key"]`, `["secret"]`).Replace(config))
	const findings = `error: queue "batch": stretch: 0 is not above 0
error: policy: version: 1 is not higher than the one in force, 1
warning: limits: max-header-bytes: 16384 is more than a body may have, 4096
changed: queue "batch": stretch: 3 -> 0
changed: team "team": api-keys: 1 added, 1 removed
changed: limits: max-body-bytes: 262144 -> 4096
`
	is.Equal(assertCommand(t, sesamecommand.ExitOK, "hosted", "check", old), "no findings\n")
	is.Equal(assertCommand(t, sesamecommand.ExitOK, "hosted", "check", old, "--store", address), "no findings\n") // none in force
	is.Equal(assertCommand(t, sesamecommand.ExitInput, "hosted", "check", changed, "--against", old), findings+changed+" has errors\n")
	put(config)
	is.Equal(assertCommand(t, sesamecommand.ExitInput, "hosted", "check", changed, "--store", address), findings+changed+" has errors\n")
	put("{")
	assertContains(t, assertCommand(t, sesamecommand.ExitOK, "hosted", "check", old, "--store", address), "warning: policy: the one in force can't be read")
	is.Equal(assertCommand(t, sesamecommand.ExitInput, "hosted", "check", "-"),
		"error: policy: line 1: is not JSON: unexpected end of JSON input\n- has errors\n")
	assertCommand(t, sesamecommand.ExitInput, "hosted", "check", old, "--against", old, "--store", address)
	assertCommand(t, sesamecommand.ExitFailure, "hosted", "check", filepath.Join(folder, "none.json"))
	server.Close()
	assertCommand(t, sesamecommand.ExitFailure, "hosted", "check", old, "--store", address)
}
