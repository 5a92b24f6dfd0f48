package sesamework

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sesamestack/sesamestack/sesamerows"
)

// drawRun draws a run of a gang whose tasks are on targets of a few zones, with
// names up to the greatest length.
func drawRun(t *rapid.T) Run {
	r := Run{
		Number:     2,
		Checkpoint: string(make([]byte, rapid.IntRange(0, MaxCheckpointBytes/6).Draw(t, "checkpoint"))),
		Crashes:    map[int]int{},
	}
	name := rapid.IntRange(1, sesamerows.MaxNameBytes-10).Draw(t, "name")
	zones := rapid.IntRange(1, 3).Draw(t, "zones")
	perTarget := rapid.IntRange(1, 100).Draw(t, "perTarget")
	crashes := rapid.Bool().Draw(t, "crashes")
	for i := range rapid.IntRange(1, 3000).Draw(t, "tasks") {
		target := i / perTarget
		r.Members = append(r.Members, Member{
			Index:  i,
			Target: fmt.Sprintf("t/%0*d", name, target),
			Zone:   fmt.Sprintf("zone-%d", target%zones),
			Life:   1764892800000 + int64(target),
		})
		if crashes {
			r.Crashes[i] = 1
		}
	}
	for i := range MaxAvoided {
		r.Avoid = append(r.Avoid, fmt.Sprintf("t/%0*d", name, i))
	}
	return r
}

// TestSplit guards against runs whose row is larger than the store takes, and
// against parts that don't make up the run.
func TestSplit(t *testing.T) {
	u := UnitID{Job: "5c0e7a21d94b36f8", Index: GangIndex}
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		r := drawRun(t)
		var merged Run
		keys := map[sesamerows.Key]bool{}
		for i, part := range r.Split() {
			value, err := json.Marshal(part.Run)
			is.NoErr(err)
			write := sesamerows.Write{
				Key:   part.Row.Key(u),
				Value: value,
			}
			is.NoErr(write.CheckLimits())
			is.True(!keys[write.Key])
			keys[write.Key] = true
			unit, row, err := ParseRunKey(write.Key)
			is.NoErr(err)
			is.Equal(unit, u)
			is.Equal(row, part.Row)
			var read Run
			is.NoErr(json.Unmarshal(value, &read))
			if i == 0 {
				merged = read
			}
			merged = merged.With(read)
		}
		is.Equal(merged.Members, r.Members)
		is.Equal(len(merged.Crashes), len(r.Crashes))
	})
}

// TestMembersOfOneTarget checks that the size of a run follows the number of its
// targets, and that rows with an entry for each member can be read.
func TestMembersOfOneTarget(t *testing.T) {
	var members Members
	single := []string{}
	for i := range 3 {
		members = append(members, Member{
			Index:  i,
			Target: "t/node/id",
			Zone:   "zone",
			Life:   7,
		})
		single = append(single, fmt.Sprintf(`{"i":%d,"t":"t/node/id","z":"zone","l":7}`, i))
	}
	t.Run("one entry holds them", func(t *testing.T) {
		value, err := json.Marshal(members)
		is.New(t).NoErr(err)
		is.New(t).Equal(string(value), `[{"i":0,"t":"t/node/id","z":"zone","l":7,"c":3}]`)
	})
	t.Run("an entry for each member", func(t *testing.T) {
		var read Members
		value := "[" + single[0] + "," + single[1] + "," + single[2] + "]"
		is.New(t).NoErr(json.Unmarshal([]byte(value), &read))
		is.New(t).Equal(read, members)
	})
	t.Run("a range that no step can have", func(t *testing.T) {
		var read Members
		err := json.Unmarshal([]byte(`[{"i":0,"c":1000000}]`), &read)
		is.New(t).True(err != nil)
	})
}

// TestParseRunKey checks names that are no rows of a run.
func TestParseRunKey(t *testing.T) {
	for _, name := range []string{"job.0.0/", "job.0.0/0", "job.0.0/x", "job", ""} {
		t.Run(name, func(t *testing.T) {
			_, _, err := ParseRunKey(sesamerows.Key{
				Table: RunTable("zone"),
				Name:  name,
			})
			is.New(t).True(err != nil)
		})
	}
}

// TestRunSizes logs what a gang of 1,024 tasks takes in the store, by the number of
// its targets; docs/CAPACITY.md quotes it. All of it must fit into one transaction.
func TestRunSizes(t *testing.T) {
	const tasks = 1024
	u := UnitID{Job: "5c0e7a21d94b36f8", Index: GangIndex}
	for _, targets := range []int{11, 128, tasks} {
		t.Run(fmt.Sprint(targets), func(t *testing.T) {
			is := is.New(t)
			var r Run
			for i := range tasks {
				r.Members = append(r.Members, Member{
					Index:  i,
					Target: fmt.Sprintf("t/side-magdalena-a-%04d/i-%08x", i*targets/tasks, i*targets/tasks),
					Zone:   "magdalena-a",
					Life:   1764892800000,
				})
			}
			var change sesamerows.Transaction
			bytes := 0
			for _, part := range r.Split() {
				value, err := json.Marshal(part.Run)
				is.NoErr(err)
				bytes += len(value)
				change.Writes = append(change.Writes, sesamerows.Write{
					Key:   part.Row.Key(u),
					Value: value,
				})
			}
			is.NoErr(change.CheckLimits())
			t.Logf("%d rows, %d bytes of values, %d in a transaction", len(change.Writes), bytes, change.Bytes())
		})
	}
}
