package sesameapi

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// FuzzJobRequest checks that any body is either refused with a Malformed or Invalid
// problem, or decodes to a request within its bounds that is the same after it is
// encoded and decoded again.
func FuzzJobRequest(f *testing.F) {
	seeds := []string{
		`{"class":"pricing","kind":"executor","tasks":1,"task":{"slots":1}}`,
		`{"class":"train","kind":"worker","tasks":4,"task":{"accelerators":8,"cores":16,"memory":65536},"span":"rack","runtime":"90m","checkpoints":true}`,
		`{"class":"reconcile","kind":"executor","tasks":1,"task":{"slots":1},"once":true,"payload":"aGFydmVzdA=="}`,
		`{"tasks":1e9}`,
		`{"tasks":-1,"task":{"accelerators":9223372036854775807}}`,
		`{"runtime":"-1h"}`,
		`{"payload":"%%"}`,
		`{"class":1}`,
		`{"other":1}`,
		`[]`,
		`null`,
		``,
		`{}{}`,
		`{"class":"\ud800"}`,
	}
	for _, seed := range seeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		q, err := decode[JobRequest](body)
		if err != nil {
			if !isProblem(err, Malformed) && !isProblem(err, Invalid) {
				t.Fatalf("%q is refused by %v", body, err)
			}
			return
		}
		if len(q.Validate()) > 0 {
			return
		}
		checkBounds(t, q)
		checkRoundTrip(t, q)
	})
}

// checkBounds fails if a valid request's needs or run time are out of bounds.
func checkBounds(t *testing.T, q JobRequest) {
	t.Helper()
	need := q.spec("cork", sesamemodel.Class{}).TotalResources()
	if need.Negative() || need.IsZero() || q.Tasks < 1 || q.Tasks > MaxTasks {
		t.Fatalf("%+v is accepted, it needs %+v", q, need)
	}
	if spec := q.spec("cork", sesamemodel.Class{}); spec.RunTime < 0 || spec.RunTime > MaxRuntime {
		t.Fatalf("run time %s is accepted", spec.RunTime)
	}
}

// checkRoundTrip fails if the request changes when it is encoded and decoded.
func checkRoundTrip(t *testing.T, q JobRequest) {
	t.Helper()
	text, err := json.Marshal(q)
	if err != nil {
		t.Fatal(err)
	}
	again, err := decode[JobRequest](text)
	if err != nil {
		t.Fatal(err)
	}
	if len(q.Payload) == 0 {
		q.Payload = nil
	}
	if !reflect.DeepEqual(q, again) {
		t.Fatalf("%+v became %+v", q, again)
	}
}

// FuzzChangeRequest checks that a valid request to change contracts has contracts
// within their bounds, and at most one for each team.
func FuzzChangeRequest(f *testing.F) {
	f.Add([]byte(`{"base":1,"changes":[{"team":"cork","removed":true}]}`))
	f.Add([]byte(`{"base":1,"changes":[{"team":"cork","contract":{"team":"cork","classes":[{"name":"a","urgency":"urgent"}],"limits":{"open":1,"rate":1,"burst":1},"tokens":["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]}}]}`))
	f.Add([]byte(`{"changes":[{"team":"a"},{"team":"a"}]}`))
	f.Add([]byte(`{"base":-1}`))
	f.Add([]byte(`{"changes":[{"contract":{"limits":{"rate":1e999}}}]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		q, err := decode[ChangeRequest](body)
		if err != nil || len(q.Validate()) > 0 {
			return
		}
		seen := map[sesamemodel.TeamID]bool{}
		for _, c := range q.Changes {
			if seen[c.Team] {
				t.Fatalf("team %q is changed twice", c.Team)
			}
			seen[c.Team] = true
			if !c.Removed && (c.Contract.Limits.OpenJobs < 1 || len(c.Contract.TokenDigests) == 0) {
				t.Fatalf("contract %+v is accepted", c.Contract)
			}
		}
	})
}
