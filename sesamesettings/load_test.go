package sesamesettings_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamemodel"
	"github.com/sesamestack/sesamestack/sesamesettings"
)

// testDigest is a valid SHA-256 digest in hex.
const testDigest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

// entryYAML is a valid settings file of an entry with the required keys only.
const entryYAML = `id: entry-1
place:
  region: south
  zone: a
http: 0.0.0.0:8080
wire: 10.0.0.5:8081
operators:
  ana: ` + testDigest + `
platform:
  url: http://10.0.0.1:7000
`

// agentYAML is a valid settings file of an agent with the required keys and its
// kind.
const agentYAML = `id: worker-1
kind: worker
place:
  region: south
  zone: a
  rack: a1
wire: 10.0.1.1:8081
http: 10.0.1.1:8080
entries: [10.0.0.5:8081]
target: http://127.0.0.1:9000
platform:
  url: http://10.0.0.1:7000
`

// contractYAML is a valid contract that guarantees 16 accelerators.
const contractYAML = `team: crews
weight: 2
guarantees:
- workers: 2
  accelerators: 8
  span: rack
classes:
- name: estimate
  urgency: normal
limits:
  open: 100
  rate: 10
  burst: 20
tokens:
- ` + testDigest + `
`

// writeFile writes a file to a new temporary directory and returns its path.
func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	is.New(t).NoErr(os.WriteFile(file, []byte(content), 0o600))
	return file
}

// assertProblems fails the test unless err is a *ValidationError with exactly
// the expected problems in this order. They are written without the file's name.
func assertProblems(t *testing.T, file string, err error, expected ...string) {
	t.Helper()
	var invalid *sesamesettings.ValidationError
	if !errors.As(err, &invalid) {
		t.Fatalf("error is %v, expected a *ValidationError", err)
	}
	var found []string
	for _, p := range invalid.Problems {
		found = append(found, strings.TrimPrefix(p.Error(), file+":"))
	}
	is.New(t).Equal(strings.Join(found, "\n"), strings.Join(expected, "\n"))
}

// TestLoadEntry checks the defaults of an entry's settings, and the line, key
// and message of each kind of problem.
func TestLoadEntry(t *testing.T) {
	t.Run("fills in the defaults", func(t *testing.T) {
		is := is.New(t)
		e, err := sesamesettings.LoadEntry(writeFile(t, "entry.yaml", entryYAML))
		is.NoErr(err)
		is.Equal(e.ID, "entry-1")
		is.Equal(e.Leases, sesamesettings.DefaultLeases())
		is.Equal(e.Platform.CallTimeout, 2*time.Second)
	})
	t.Run("reports all problems in one pass", func(t *testing.T) {
		file := writeFile(t, "entry.yaml", `id: entry-1
place:
  region: south
  zome: a
http: entry.example:8080
wire: 0.0.0.0:8081
operators: {}
platform:
  url: 10.0.0.1
  reads: many
leases:
  heartbeat: 5
maxbody: 1024
maxbody: 2048
`)
		_, err := sesamesettings.LoadEntry(file)
		assertProblems(t, file, err,
			`2: place.zone: is missing`,
			`4: place.zome: unknown key, expected one of cell, rack, region, zone`,
			`5: http: is "entry.example:8080", expected IP:port such as 10.0.0.5:7000`,
			`6: wire: is "0.0.0.0:8081", which other processes cannot dial; expected the address of this VM`,
			`7: operators: is empty, expected at least one name with its token's digest`,
			`9: platform.url: is "10.0.0.1", expected a URL such as http://10.0.0.5:7000`,
			`10: platform.reads: is "many", expected a number`,
			`12: leases.heartbeat: is "5", expected a duration such as 500ms or 2s`,
			`14: maxbody: is set twice, first on line 13`,
		)
	})
	t.Run("bounds what the process may use", func(t *testing.T) {
		file := writeFile(t, "entry.yaml", entryYAML+"memory: 16\ndescriptors: 10\n")
		_, err := sesamesettings.LoadEntry(file)
		line := strings.Count(entryYAML, "\n")
		assertProblems(t, file, err,
			fmt.Sprintf("%d: memory: is 16, expected 32 to 1048576", line+1),
			fmt.Sprintf("%d: descriptors: is 10, expected 400 to 1048576", line+2),
		)
	})
	t.Run("checks the relations between lease times", func(t *testing.T) {
		file := writeFile(t, "entry.yaml", entryYAML+`leases:
  heartbeat: 1s
  lease: 1500ms
  margin: 1500ms
  grace: 2s
`)
		_, err := sesamesettings.LoadEntry(file)
		assertProblems(t, file, err,
			`13: leases.lease: is 1.5s, expected at least 2 times the heartbeat of 1s`,
			`14: leases.margin: is 1.5s, expected less than the lease of 1.5s`,
			`15: leases.grace: is 2s, expected at most 1.6s, so that urgent work starts within 2.6s`,
		)
	})
	t.Run("names the line of a syntax error", func(t *testing.T) {
		file := writeFile(t, "entry.yaml", "id: a\nplace: [\n")
		_, err := sesamesettings.LoadEntry(file)
		var invalid *sesamesettings.ValidationError
		is.New(t).True(errors.As(err, &invalid))
		is.New(t).True(invalid.Problems[0].Line > 0)
	})
	t.Run("names a missing file", func(t *testing.T) {
		_, err := sesamesettings.LoadEntry("nowhere.yaml")
		is.New(t).Equal(err.Error(), "nowhere.yaml: no such file or directory")
	})
}

// TestLoadAgent checks the rules that only an agent's settings have: a worker
// needs a rack, and each of the entries is an IP:port.
func TestLoadAgent(t *testing.T) {
	t.Run("accepts a valid file", func(t *testing.T) {
		_, err := sesamesettings.LoadAgent(writeFile(t, "agent.yaml", agentYAML))
		is.New(t).NoErr(err)
	})
	t.Run("a worker needs a rack", func(t *testing.T) {
		file := writeFile(t, "agent.yaml", strings.Replace(agentYAML, "  rack: a1\n", "", 1))
		_, err := sesamesettings.LoadAgent(file)
		assertProblems(t, file, err, `3: place.rack: is missing`)
	})
	t.Run("entries are IP addresses", func(t *testing.T) {
		file := writeFile(t, "agent.yaml", strings.Replace(agentYAML, "10.0.0.5:8081", "balancer:80", 1))
		_, err := sesamesettings.LoadAgent(file)
		assertProblems(t, file, err, `9: entries[0]: is "balancer:80", expected IP:port such as 10.0.0.5:7000`)
	})
}

// TestLoadContracts checks how contract files are read and which problems of
// contracts are reported.
func TestLoadContracts(t *testing.T) {
	t.Run("reads several documents of a file", func(t *testing.T) {
		is := is.New(t)
		second := strings.Replace(contractYAML, "crews", "buyers", 1)
		contracts, err := sesamesettings.LoadContracts(writeFile(t, "c.yaml", contractYAML+"---\n"+second))
		is.NoErr(err)
		is.Equal(len(contracts), 2)
		is.Equal(contracts[0].Team, sesamemodel.TeamID("buyers"))
		is.Equal(contracts[1].GuaranteedAccelerators(), 16)
	})
	t.Run("a team has one contract", func(t *testing.T) {
		file := writeFile(t, "c.yaml", contractYAML+"---\n"+contractYAML)
		_, err := sesamesettings.LoadContracts(file)
		assertProblems(t, file, err, `17: team: "crews" has another contract at `+file+`:1`)
	})
	t.Run("reports all problems in one pass", func(t *testing.T) {
		file := writeFile(t, "c.yaml", `team: Crews
guarantees:
- workers: 2
  accelerators: 65
  span: worker
- 7
classes:
- name: estimate
  urgency: soon
- name: estimate
  urgency: normal
limits:
  open: 100
tokens: [secret]
`)
		_, err := sesamesettings.LoadContracts(file)
		assertProblems(t, file, err,
			`1: team: is "Crews", expected 1 to 63 small letters, digits and hyphens`,
			`1: weight: is missing, expected 1 to 1000`,
			`3: guarantees[0].workers: is 2, expected 1 within the span worker`,
			`4: guarantees[0].accelerators: is 65, expected 1 to 64`,
			`6: guarantees[1]: is "7", expected a mapping with the keys accelerators, span, workers`,
			`9: classes[0].urgency: is "soon", expected one of urgent, normal, batch`,
			`10: classes[1].name: "estimate" is also the name of another class`,
			`12: limits.rate: is missing, expected 0.001 to 10000`,
			`12: limits.burst: is missing, expected 1 to 100000`,
			`14: tokens[0]: is "secret", expected a SHA-256 in 64 small hex digits; `+"`sesamestack token` prints one",
		)
	})
}

// TestCheck checks that the kind of a file is recognized by its keys and that
// conflicts between files are reported.
func TestCheck(t *testing.T) {
	t.Run("recognizes each kind of file", func(t *testing.T) {
		is := is.New(t)
		files, err := sesamesettings.Check(
			writeFile(t, "entry.yaml", entryYAML),
			writeFile(t, "agent.yaml", agentYAML),
			writeFile(t, "contract.yaml", contractYAML),
			writeFile(t, "platform.yaml", "http: 10.0.0.1:7000\n"),
		)
		is.NoErr(err)
		is.Equal(files, 4)
	})
	t.Run("lease times agree between files", func(t *testing.T) {
		entry := writeFile(t, "entry.yaml", entryYAML)
		agent := writeFile(t, "agent.yaml", agentYAML+"leases:\n  lease: 6s\n")
		_, err := sesamesettings.Check(entry, agent)
		assertProblems(t, agent, err, `13: leases: differ from those of `+entry+`; all processes need the same`)
	})
	t.Run("an id is used once", func(t *testing.T) {
		first := writeFile(t, "a.yaml", agentYAML)
		second := writeFile(t, "b.yaml", agentYAML)
		_, err := sesamesettings.Check(first, second)
		assertProblems(t, second, err, `1: id: "worker-1" is also the id at `+first+`:1`)
	})
}

// FuzzCheck checks files of arbitrary content: Check must not panic, and its
// error must be a *ValidationError.
func FuzzCheck(f *testing.F) {
	f.Add([]byte(entryYAML))
	f.Add([]byte(agentYAML))
	f.Add([]byte(contractYAML + "---\n" + contractYAML))
	f.Add([]byte("a: &x [*x]\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		file := filepath.Join(t.TempDir(), "any.yaml")
		is.New(t).NoErr(os.WriteFile(file, content, 0o600))
		_, err := sesamesettings.Check(file)
		var invalid *sesamesettings.ValidationError
		if err != nil && !errors.As(err, &invalid) {
			t.Fatalf("error is %T, expected *ValidationError", err)
		}
	})
}
