package sesamecommand_test

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

const (
	// refusedCallers is how many callers send refusedRequests each, of which each has
	// a path of longPath bytes and is refused.
	refusedCallers  = 16
	refusedRequests = 320
	longPath        = 15_000
)

// restartSilenced replaces a process by one that logs each request to an output
// that nobody reads.
func (c *cluster) restartSilenced(name string, args ...string) *process {
	is := is.New(c.t)
	first := c.processes[name]
	is.NoErr(first.cmd.Process.Kill())
	<-first.exited
	settings, err := os.ReadFile(filepath.Join(c.directory, name+".yaml"))
	is.NoErr(err)
	file := c.writeFile("silenced.yaml", string(settings)+"log: {level: debug}\n")
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	c.t.Cleanup(func() {
		reader.Close()
		writer.Close()
	})
	p := &process{
		name:   "silenced",
		cmd:    exec.Command(binary, append(args, "--settings", file)...),
		log:    &lockedBuffer{},
		exited: make(chan struct{}),
	}
	p.cmd.Stdout = writer
	p.cmd.Stderr = writer
	is.NoErr(p.cmd.Start())
	var waiting sync.WaitGroup
	waiting.Go(func() {
		p.cmd.Wait()
		close(p.exited)
	})
	c.processes[p.name] = p
	return p
}

// refuseMany sends requests with long paths, which are refused. A caller that gets
// no answer sends no more.
func refuseMany(address string) {
	var callers sync.WaitGroup
	for range refusedCallers {
		callers.Go(func() {
			client := http.Client{
				Timeout:   callTimeout,
				Transport: &http.Transport{},
			}
			defer client.CloseIdleConnections()
			for range refusedRequests {
				response, err := client.Get("http://" + address + "/" + strings.Repeat("x", longPath))
				if err != nil {
					return
				}
				response.Body.Close()
			}
		})
	}
	callers.Wait()
}

// TestCrowdsOfLogLines guards against a process that exceeds its memory, or stops
// answering, because its callers cause log lines and nobody reads its output.
func TestCrowdsOfLogLines(t *testing.T) {
	requireCrowds(t)
	assertLives := func(t *testing.T, s *crowdServer) {
		t.Helper()
		refuseMany(s.address)
		s.assertSurvives(crowd{})
	}
	t.Run("hosted entry", func(t *testing.T) {
		e := startCrowdEntry(t)
		p := e.restartSilenced("entry", "hosted", "entry")
		assertLives(t, newCrowdServer(t, p, e.address, crowdDescriptors-crowdFiles, e.request))
	})
	t.Run("entry", func(t *testing.T) {
		e := startOwnEntry(t)
		p := e.restartSilenced("entry", "entry")
		assertLives(t, newCrowdServer(t, p, e.http, maxCrowdDescriptors, func(id int) (int, error) {
			// This one is refused and logged, too.
			if _, err := get(t, e.http, "/none")(id); err != nil {
				return 0, err
			}
			return e.contracts(id)
		}))
	})
}
