package sesamesettings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamecontention"
	"github.com/sesamestack/sesamestack/sesamesettings"
)

// hostedEntryYAML is a valid settings file of an entry in a hosted deployment.
const hostedEntryYAML = `id: front-a-1
place: {region: r, zone: a}
callers: "10.0.0.1:8001"
ready: "10.0.0.1:8002"
store: "10.0.0.9:8003"
memory: 284
drain: 6s
`

// hostedAgentYAML is a valid settings file of an agent in a hosted deployment.
const hostedAgentYAML = `id: side-a-1
place: {region: r, zone: a}
reports: "10.0.0.2:8001"
service: svc1
store: "10.0.0.9:8003"
memory: 152
lease: 6000ms
`

// writeSettings writes a settings file to a temporary directory and returns its
// path.
func writeSettings(t *testing.T, text string) string {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	is.New(t).NoErr(os.WriteFile(file, []byte(text), 0o600))
	return file
}

// TestHosted checks that valid settings of hosted processes load and that Check
// reports mistakes in them. Each invalid case is named by a part of its message.
func TestHosted(t *testing.T) {
	t.Run("an entry", func(t *testing.T) {
		is := is.New(t)
		entry, err := sesamesettings.LoadHostedEntry(writeSettings(t, hostedEntryYAML+"cores:\ndescriptors:\n"))
		is.NoErr(err)
		is.True(entry.Cores == nil) // the platform's configuration has no value for it
		is.True(entry.Descriptors == nil)
		entry, err = sesamesettings.LoadHostedEntry(writeSettings(t, hostedEntryYAML+"cores: 0.192\n"))
		is.NoErr(err)
		is.Equal(*entry.Cores, 0.192)
		is.Equal(entry.DrainTimeout, 6*time.Second)
		is.Equal(entry.Log.Format, "json")
		is.Equal(entry.Contention, sesamecontention.ByOrder)
	})
	t.Run("an entry with evacuations", func(t *testing.T) {
		is := is.New(t)
		entry, err := sesamesettings.LoadHostedEntry(writeSettings(t, hostedEntryYAML+"evacuation: 5000ms\n"))
		is.NoErr(err)
		is.Equal(entry.Evacuation, 5*time.Second)
		// As deploy/entry.yaml renders it with and without the bound.
		entry, err = sesamesettings.LoadHostedEntry(writeSettings(t, hostedEntryYAML+"evacuation: 05000ms\n"))
		is.NoErr(err)
		is.Equal(entry.Evacuation, 5*time.Second)
		entry, err = sesamesettings.LoadHostedEntry(writeSettings(t, hostedEntryYAML+"evacuation: 0ms\n"))
		is.NoErr(err)
		is.Equal(entry.Evacuation, time.Duration(0))
	})
	t.Run("an entry with speeds", func(t *testing.T) {
		is := is.New(t)
		entry, err := sesamesettings.LoadHostedEntry(writeSettings(t, hostedEntryYAML))
		is.NoErr(err)
		is.Equal(entry.Speeds, sesamesettings.SpeedsOff) // earlier deployments are placed as before
		entry, err = sesamesettings.LoadHostedEntry(writeSettings(t, hostedEntryYAML+"speeds: auto\n"))
		is.NoErr(err)
		is.Equal(entry.Speeds, sesamesettings.SpeedsAuto)
	})
	t.Run("an agent", func(t *testing.T) {
		is := is.New(t)
		agent, err := sesamesettings.LoadHostedAgent(writeSettings(t, hostedAgentYAML))
		is.NoErr(err)
		is.Equal(agent.MaxLease, 6*time.Second)
	})
	for name, text := range map[string]string{
		"unknown key":             hostedEntryYAML + "calers: x\n",
		"evacuation: is 10ms":     hostedEntryYAML + "evacuation: 10ms\n",
		"expected IP:port":        strings.Replace(hostedEntryYAML, "10.0.0.9:8003", "store.example:8003", 1),
		"descriptors: is 10":      hostedEntryYAML + "descriptors: 10\n",
		"guard.bytes: is 10":      hostedEntryYAML + "guard: {bytes: 10}\n",
		"memory: is 1":            strings.Replace(hostedAgentYAML, "152", "1", 1),
		"a duration such as":      strings.Replace(hostedAgentYAML, "6000ms", "6000", 1),
		"service: is missing":     strings.Replace(hostedAgentYAML, "service: svc1\n", "", 1),
		"contention: is \"valu\"": hostedEntryYAML + "contention: valu\n",
		"speeds: is":              hostedEntryYAML + "speeds: on\n",
		"cores: is -1":            hostedEntryYAML + "cores: -1\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := sesamesettings.Check(writeSettings(t, text))
			if err == nil || !strings.Contains(err.Error(), name) {
				t.Errorf("error is %v, expected it to contain %q", err, name)
			}
		})
	}
}
