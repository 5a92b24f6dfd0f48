package sesamereview_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sesamestack/sesamestack/sesamereview"
	"github.com/sesamestack/sesamestack/sesamework"
)

// configuration returns one that is checked without findings.
func configuration() sesamereview.Configuration {
	queue := func(name string, priority int) sesamework.Queue {
		return sesamework.Queue{
			Name:    name,
			Host:    "jobs.example",
			Prefix:  "/" + name + "/",
			Timeout: 3 * time.Second,
			Terms: sesamework.Terms{
				Service:  "train",
				Priority: priority,
				Attempts: 3,
				Stretch:  1.5,
				Latency:  5000,
			},
		}
	}
	return sesamereview.Configuration{
		Policy: &sesamework.Policy{
			Number: 4,
			Queues: []sesamework.Queue{queue("urgent", 0), queue("batch", 2)},
			Teams: []sesamework.Team{
				{
					Name:       "crews",
					Keys:       []string{"secret-1", "secret-2"},
					Guaranteed: 8,
				},
				{
					Name:       "buyers",
					Keys:       []string{"secret-3"},
					Guaranteed: 16,
				},
			},
			Bounds: sesamework.Bounds{
				HeaderBytes:   16384,
				BodyBytes:     262144,
				HeaderTimeout: 3 * time.Second,
				IdleTimeout:   15 * time.Second,
			},
		},
		Services: []string{"train"},
	}
}

// TestCheck guards against faults that an operator is not told of, and against
// findings without a fault. Each case makes the changes that its name says.
func TestCheck(t *testing.T) {
	type config = sesamereview.Configuration
	first := func(c *config) *sesamework.Queue { return &c.Policy.Queues[0] }
	second := func(c *config) *sesamework.Queue { return &c.Policy.Queues[1] }
	team := func(c *config) *sesamework.Team { return &c.Policy.Teams[1] }
	for _, c := range []struct {
		name   string
		change func(c *config)
		want   string
	}{
		{"nothing", func(*config) {}, ""},
		{"version not raised", func(c *config) { c.Policy.Number = 3 }, "error policy number"},
		{"two queues of one name", func(c *config) { second(c).Name = "urgent" }, `error queue "urgent" name, warning queue "batch" `},
		{"same host in another case and prefix", func(c *config) {
			second(c).Host, second(c).Prefix = "JOBS.example", "/urgent/"
		}, `error queue "batch" prefix`},
		{"longer prefix inside another queue's", func(c *config) { second(c).Prefix = "/urgent/batch/" }, ""},
		{"queues without a name", func(c *config) { first(c).Name, second(c).Name = "", "" },
			`error queue 1 name, error queue 2 name, warning queue "urgent" , warning queue "batch" `},
		{"queue without a host", func(c *config) { first(c).Host = "" }, `error queue "urgent" host`},
		{"queue without a prefix", func(c *config) { first(c).Prefix = "" }, `error queue "urgent" prefix`},
		{"queue without a service", func(c *config) { first(c).Terms.Service = "" }, `error queue "urgent" service`},
		{"host with a port", func(c *config) { first(c).Host = "jobs.example:80" }, `error queue "urgent" host`},
		{"host as a URL", func(c *config) { first(c).Host = "http://jobs.example" }, `error queue "urgent" host`},
		{"prefix without leading slash", func(c *config) { first(c).Prefix = "urgent/" }, `error queue "urgent" prefix`},
		{"prefix without trailing slash", func(c *config) { first(c).Prefix = "/urgent" }, `error queue "urgent" prefix`},
		{"negative priority", func(c *config) { second(c).Terms.Priority = -1 }, `error queue "batch" priority`},
		{"no attempts", func(c *config) { first(c).Terms.Attempts = 0 }, `error queue "urgent" attempts`},
		{"stretch of 0", func(c *config) { first(c).Terms.Stretch = 0 }, `error queue "urgent" stretch`},
		{"negative latency", func(c *config) { first(c).Terms.Latency = -1 }, `error queue "urgent" latency`},
		{"negative timeout", func(c *config) { first(c).Timeout = -time.Second }, `error queue "urgent" timeout`},
		{"key of two teams", func(c *config) { team(c).Keys = []string{"secret-2"} }, `error team "buyers" keys`},
		{"key twice in one team", func(c *config) { team(c).Keys = []string{"secret-3", "secret-3"} }, ""},
		{"empty keys", func(c *config) {
			c.Policy.Teams[0].Keys[0], team(c).Keys[0] = "", ""
		}, `error team "crews" keys, error team "buyers" keys`},
		{"teams without a name", func(c *config) { c.Policy.Teams[0].Name, team(c).Name = "", "" },
			`error team 1 name, error team 2 name, warning team "crews" , warning team "buyers" `},
		{"two teams of one name", func(c *config) { team(c).Name = "crews" }, `error team "crews" name, warning team "buyers" `},
		{"negative guarantee before one that is too high", func(c *config) {
			c.Policy.Teams[0].Guaranteed, team(c).Guaranteed = -1, 33
		}, `error team "crews" guarantee, error team "buyers" guarantee`},
		{"guarantees above the accelerators", func(c *config) { team(c).Guaranteed = 25 }, `error team "buyers" guarantee`},
		{"guarantees of all accelerators", func(c *config) { team(c).Guaranteed = 24 }, ""},
		{"negative limits", func(c *config) {
			c.Policy.Bounds = sesamework.Bounds{
				HeaderBytes:   -1,
				BodyBytes:     -1,
				HeaderTimeout: -time.Second,
				IdleTimeout:   -time.Second,
			}
		}, "error limits header bytes, error limits body bytes, error limits header timeout, error limits idle timeout"},
		{"upper limits not set", func(c *config) { c.Policy.Bounds.BodyBytes, c.Policy.Bounds.IdleTimeout = 0, 0 }, ""},
		{"head larger than a body", func(c *config) { c.Policy.Bounds.BodyBytes = 4096 }, "warning limits header bytes"},
		{"head slower than an idle connection", func(c *config) { c.Policy.Bounds.IdleTimeout = time.Second }, "warning limits header timeout"},
		{"head slower than a request", func(c *config) { second(c).Timeout = time.Second }, "warning limits header timeout"},
		{"no key for queues that are not public", func(c *config) {
			first(c).Public = true
			c.Policy.Teams[0].Keys, c.Policy.Teams[1].Keys = nil, nil
		}, `error queue "batch" public`},
		{"urgent queue without a guarantee", func(c *config) {
			c.Policy.Teams[0].Guaranteed, c.Policy.Teams[1].Guaranteed = 0, 0
		}, `warning queue "urgent" priority`},
		{"service not listed", func(c *config) { second(c).Terms.Service = "trian" }, `error queue "batch" service`},
		{"no list of services", func(c *config) { c.Services = nil }, ""},
		{"service without a queue", func(c *config) { c.Services = append(c.Services, "render") }, `warning service "render" `},
		{"queue removed", func(c *config) { c.Policy.Queues = c.Policy.Queues[:1] }, `warning queue "batch" `},
		{"all queues removed", func(c *config) { c.Policy.Queues, c.Services = nil, nil },
			`warning policy , warning queue "urgent" , warning queue "batch" `},
		{"team removed", func(c *config) { c.Policy.Teams = c.Policy.Teams[:1] }, `warning team "buyers" `},
	} {
		t.Run(c.name, func(t *testing.T) {
			inForce, proposed := configuration(), configuration()
			inForce.Policy.Number = 3
			c.change(&proposed)
			var found []string
			for _, f := range sesamereview.Check(proposed, sesamereview.Options{
				InForce:      &inForce,
				Accelerators: 32,
			}) {
				found = append(found, fmt.Sprintf("%s %s %s", f.Severity, f.Entry, f.Field))
				is.New(t).True(!strings.Contains(f.Problem, "secret"))
			}
			is.New(t).Equal(strings.Join(found, ", "), c.want)
		})
	}
}

// TestCompare guards against changes that an operator is not shown, and against
// keys in what is shown.
func TestCompare(t *testing.T) {
	is := is.New(t)
	before, after := configuration(), configuration()
	is.Equal(len(sesamereview.Compare(before, after)), 0)
	after.Services = []string{"render"}
	after.Policy.Queues[0].Name = "pressing"
	after.Policy.Queues[1].Terms.Latency = 250
	after.Policy.Teams[0].Guaranteed = 16
	after.Policy.Teams[0].Keys = []string{"secret-2", "secret-4", "secret-5"}
	after.Policy.Teams[1].Name = "sellers"
	after.Policy.Bounds.BodyBytes = 4096
	var found []string
	for _, c := range sesamereview.Compare(before, after) {
		found = append(found, fmt.Sprintf("%s %s %s %s", c.Action, c.Entry, c.Field, c.Detail))
	}
	is.Equal(strings.Join(found, "\n"), `removed service "train"  
added service "render"  
removed queue "urgent"  
added queue "pressing"  
changed queue "batch" latency 5s -> 250ms
removed team "buyers"  
added team "sellers"  
changed team "crews" guarantee 8 -> 16
changed team "crews" keys 2 added, 1 removed
changed limits body bytes 262144 -> 4096`)
}
