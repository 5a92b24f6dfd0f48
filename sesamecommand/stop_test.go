package sesamecommand_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/sesamestack/sesamestack/sesameapi"
	"github.com/sesamestack/sesamestack/sesamemodel"
)

// openLongPolls is how many long polls are open when an entry stops.
const openLongPolls = 20

// longPoll asks an entry once, without a retry, for a job's status when it has
// ended, with a wait of up to 20 s. It sends to sent when the request is
// written, and decodes the complete answer.
func (c *cluster) longPoll(entry, job string, sent chan<- struct{}, answer *sesameapi.JobStatus) error {
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) {
			sent <- struct{}{}
		},
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, entry+"/v1/jobs/"+job+"?wait=20s", nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+bookkeepers)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(answer)
}

// testGracefulStop stops an entry with open long polls, which must all be
// answered, and the agent of a running job, which must still end as done. Then
// it stops the rest of the cluster.
func (c *cluster) testGracefulStop(t *testing.T) {
	file := c.writeFile("slow", `{"work": "sum", "run": "3s", "output": 50000}`)
	job := c.submit(t, 0, bookkeepers, "--class", "reconciliation", "--kind", "executor", "--payload", file)
	eventually(t, "the job to run", func() bool {
		return c.status(t, bookkeepers, job).State == sesamemodel.Running
	})
	executor := c.processes[string(c.status(t, bookkeepers, job).Targets[0])]

	is := is.New(t)
	var open errgroup.Group
	sent := make(chan struct{}, openLongPolls)
	answers := make([]sesameapi.JobStatus, openLongPolls)
	for i := range openLongPolls {
		open.Go(func() error {
			return c.longPoll(c.entries[1], job, sent, &answers[i])
		})
	}
	for range openLongPolls {
		<-sent
	}
	is.Equal(c.processes["entry-b"].stop(t), 0)
	is.NoErr(open.Wait())
	for _, answer := range answers {
		is.Equal(answer.ID, sesamemodel.JobID(job))
	}
	is.Equal(executor.stop(t), 0)
	ended, err := c.client(0, bookkeepers).Wait(context.Background(), sesamemodel.JobID(job))
	is.NoErr(err)
	is.Equal(ended.State, sesamemodel.Done)
	c.stopInOrder(t)
}

// stopInOrder stops the processes that still run: first the agents, then their
// targets, then the entries and last the platform. Each must exit with code 0.
func (c *cluster) stopInOrder(t *testing.T) {
	t.Helper()
	is := is.New(t)
	for _, order := range []func(name string) bool{
		func(name string) bool {
			return !strings.HasSuffix(name, "-target") && !strings.HasPrefix(name, "entry-") && name != "platform"
		},
		func(name string) bool { return strings.HasSuffix(name, "-target") },
		func(name string) bool { return strings.HasPrefix(name, "entry-") },
		func(name string) bool { return name == "platform" },
	} {
		for name, p := range c.processes {
			if order(name) && p.isRunning() {
				is.Equal(p.stop(t), 0)
			}
		}
	}
}
