package sesamedispatch_test

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/sesamestack/sesamestack/sesameintake"
	"github.com/sesamestack/sesamestack/sesamerows"
	"github.com/sesamestack/sesamestack/sesamework"
)

// policySource decodes the policy from a row of the store. The other rows of its
// table are named after evacuated zones.
type policySource struct {
	follower  *sesamerows.Follower
	evacuated map[string]bool
}

// policyKey names the row of the policy: its number in decimal digits.
var policyKey = sesamerows.Key{
	Table: "policies",
	Name:  "newest",
}

// putPolicy puts the policy with that number into force.
func (w *world) putPolicy(number int64) {
	_, err := w.store.Commit(w.ctx, sesamerows.Transaction{
		Writes: []sesamerows.Write{{
			Key:   policyKey,
			Value: fmt.Append(nil, number),
		}},
	})
	if err != nil {
		w.t.Error(err)
	}
}

// Next returns the newest policy, if there is a newer one, and the evacuated zones.
func (p *policySource) Next(ctx context.Context) (sesameintake.PolicyUpdate, error) {
	batch, err := p.follower.Next(ctx)
	if err != nil {
		return sesameintake.PolicyUpdate{}, err
	}
	update := sesameintake.PolicyUpdate{
		ReadAt: batch.Now,
	}
	if batch.Snapshot {
		clear(p.evacuated)
	}
	for _, row := range batch.Rows {
		if row.Key != policyKey {
			p.evacuated[row.Key.Name] = !row.Removed
			continue
		}
		var number int64
		if _, err := fmt.Sscan(string(row.Value), &number); err != nil {
			return update, err
		}
		update.Policy = testPolicy(number, row.Version)
	}
	for _, zone := range slices.Sorted(maps.Keys(p.evacuated)) {
		if p.evacuated[zone] {
			update.Evacuated = append(update.Evacuated, zone)
		}
	}
	return update, nil
}

// testPolicy returns a policy that guarantees team-a 16 accelerators, and has
// queues for urgent, normal and batch jobs.
func testPolicy(number int64, version sesamerows.Version) *sesamework.Policy {
	p := &sesamework.Policy{
		Number: number,
		Guard: sesamerows.Expect{
			Key:     policyKey,
			Version: version,
		},
		Teams: []sesamework.Team{
			{
				Name:       "team-a",
				Keys:       []string{"key-a"},
				Guaranteed: 16,
			},
			{
				Name: "team-b",
				Keys: []string{"key-b"},
			},
		},
	}
	for i, name := range []string{"urgent", "normal", "batch"} {
		p.Queues = append(p.Queues, sesamework.Queue{
			Name:   name,
			Host:   "host",
			Prefix: "/" + name + "/",
			Terms: sesamework.Terms{
				Service:  "service",
				Priority: i,
				Attempts: testAttempts,
				Stretch:  2,
				Latency:  1000,
			},
		})
	}
	return p
}
