package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// route and tenant are those of the operator's configuration.
type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"path-prefix"`
	Kind     string  `json:"kind"`
	Timeout  int     `json:"timeout-ms"`
	Latency  int     `json:"target-latency-ms"`
	Priority int     `json:"priority"`
	Service  string  `json:"service"`
	Attempts int     `json:"max-attempts"`
	Stretch  float64 `json:"stretch"`
	Public   bool    `json:"public"`
}

// batchRoute is a route as that of the class member-recon of the site corchera-sched.
var batchRoute = route{"r-3ajwyy7", hostName, "/pule252/", "unsafe", 3000, 3000, 2, serviceName, 3, 3.0, false}

// configuration returns the operator's configuration with that version.
func configuration(version, guaranteed int, routes ...route) string {
	c := map[string]any{
		"version": version,
		"routes":  routes,
		"services": []map[string]any{{
			"name": serviceName, "health-path": "/health", "max-connections": 64, "protocol": "h1", "tls": false,
			"enforces-capacity": false, "spare": false,
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{
			"name": "kaje80", "api-keys": []string{apiKey}, "priority": 1, "guaranteed-gpus": map[string]int{"gpu": guaranteed},
		}},
	}
	encoded, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return string(encoded)
}

// step is a step of a job.
type step struct {
	Count    int    `json:"count"`
	CPU      int64  `json:"cpu,omitempty"`
	Memory   int64  `json:"mem-request-mb,omitempty"`
	GPU      int64  `json:"gpu,omitempty"`
	Estimate int64  `json:"estimated-ms,omitempty"`
	Selector string `json:"node-selector,omitempty"`
	Lasting  bool   `json:"long-running,omitempty"`
	Apart    int    `json:"anti-affinity,omitempty"`
}

type job struct {
	Specification string `json:"specification"`
	Steps         []step `json:"steps"`
	Times         int    `json:"run-count,omitempty"`
	First         int64  `json:"first-run-ms,omitempty"`
	Interval      int64  `json:"interval-ms,omitempty"`
}

var clients = &http.Client{Timeout: 3 * time.Second}

// request makes one call of a client and returns the status, 0 for none, and the
// body.
func (d *deployment) request(front, method, path string, body any) (int, string) {
	var content []byte
	if body != nil {
		content, _ = json.Marshal(body)
	}
	r, err := http.NewRequest(method, "http://"+front+path, bytes.NewReader(content))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = hostName
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("X-Time-Remaining-Ms", "3000")
	r.Header.Set("Content-Type", "application/json")
	response, err := clients.Do(r)
	if err != nil {
		d.record("client: %s %s at %s: no answer (%v)", method, path, front, err)
		return 0, err.Error()
	}
	defer response.Body.Close()
	answered, _ := io.ReadAll(response.Body)
	d.record("client: %s %s at %s: %d %s", method, path, front, response.StatusCode, strings.TrimSpace(string(answered)))
	return response.StatusCode, string(answered)
}

// submit hands a job in, with up to 4 retries, and returns whether it was accepted.
func (d *deployment) submit(r route, id string, j job) bool {
	for try := range 5 {
		status, _ := d.request(d.fronts[try%len(d.fronts)], http.MethodPost, r.Prefix+id, j)
		switch {
		case status/100 == 2:
			return true
		case status != 0 && status != 502 && status != 504 && status != 503 && status != 429:
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state returns the status and the state of a job, as shown at a front machine.
func (d *deployment) state(front string, r route, id string) (int, string) {
	status, body := d.request(front, http.MethodGet, r.Prefix+id, nil)
	var found struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(body), &found)
	return status, found.State
}

func jobID(n int) string {
	return fmt.Sprintf("5c0e7a21d94b%04x", n)
}
