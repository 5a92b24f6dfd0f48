package sesameplanner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sesamestack/sesamestack/sesamemodel"
)

// deployment describes one simulated platform; its size is baseWorkers times
// scale.
type deployment struct {
	name     string
	zones    int
	capacity sesamemodel.Resources
	packing  float64
	scale    int
}

// deployments returns the platforms that the replay simulates.
func deployments(scale int) []deployment {
	return []deployment{
		{
			name:     "corchera",
			zones:    3,
			capacity: sesamemodel.Resources{Cores: 130, Memory: 500000, Accelerators: 8},
			packing:  0.2,
			scale:    scale,
		},
		{
			name:     "hlasy",
			zones:    4,
			capacity: sesamemodel.Resources{Cores: 60, Memory: 250000, Accelerators: 8},
			packing:  0.8,
			scale:    scale,
		},
	}
}

const (
	// baseWorkers is the number of workers at scale 1, the size of the
	// platforms today.
	baseWorkers = 10
	// maxCellSize is the most workers in one cell.
	maxCellSize = 24
	// day is the length of the simulated load.
	day = 24 * time.Hour
	// burstStart is when the burst of a scenario starts.
	burstStart = 6 * time.Hour
)

// cells spreads the platform's workers evenly over its zones.
func (d deployment) cells() []sesamemodel.Cell {
	var cells []sesamemodel.Cell
	workers := baseWorkers * d.scale
	for z := range d.zones {
		left := workers/d.zones + min(1, max(0, workers%d.zones-z))
		for c := 0; left > 0; c++ {
			size := min(left, maxCellSize)
			left -= size
			cells = append(cells, newCell(fmt.Sprintf("z%d-%d", z, c), fmt.Sprint("z", z), size, d.capacity))
		}
	}
	return cells
}

// contracts returns four contracts for each unit of scale. Together they
// guarantee 48 of its 80 accelerators: a rack of three workers to the first
// team, two single workers to the second and half a worker to each other.
func (d deployment) contracts() []sesamemodel.Contract {
	all := 8 * baseWorkers * d.scale
	var contracts []sesamemodel.Contract
	for i := range d.scale {
		contracts = append(contracts,
			newContract(fmt.Sprintf("large%02d", i), 2, all, shape(3, 8, sesamemodel.SpanRack)),
			newContract(fmt.Sprintf("middle%02d", i), 2, all, shape(1, 8, sesamemodel.SpanWorker), shape(1, 8, sesamemodel.SpanWorker)),
			newContract(fmt.Sprintf("one%02d", i), 1, all, shape(1, 4, sesamemodel.SpanWorker)),
			newContract(fmt.Sprintf("two%02d", i), 1, all, shape(1, 4, sesamemodel.SpanWorker)),
		)
	}
	for i := range contracts {
		contracts[i].Classes = []sesamemodel.Class{
			{Name: "urgent", Urgency: sesamemodel.Urgent},
			{Name: "short", Urgency: sesamemodel.Normal},
			{Name: "medium", Urgency: sesamemodel.Normal},
			{Name: "large", Urgency: sesamemodel.Batch},
		}
		contracts[i].Limits.RetriesPerHour = 1000
	}
	return contracts
}

// simulatedJob is a job with its real behaviour, which the planner does not
// know.
type simulatedJob struct {
	job sesamemodel.Job
	// realRunTime is the run time without interruption.
	realRunTime time.Duration
	// broken jobs fail on every target.
	broken bool
	// cancelAt is the time since startTime at which the job is cancelled if it
	// is still queued; 0 means never.
	cancelAt time.Duration
}

// scenario describes the load of one day.
type scenario struct {
	name string
	// load is the fraction of all accelerators that steady work asks for.
	load float64
	// burstShort and burstLarge are how many short and large jobs a burst adds
	// for each unit of scale.
	burstShort, burstLarge int
	// declaredError spreads declared run times around the real ones: the
	// standard deviation of the logarithm of their ratio, for each team's
	// class.
	declaredError float64
	// cancelled is the fraction of the burst's short jobs that are cancelled 20
	// minutes after its start.
	cancelled float64
	// badWorkers is the fraction of workers on which every task fails.
	badWorkers float64
	// broken is the fraction of jobs that fail on every target.
	broken float64
}

// scenarios returns the loads to compare policies under.
func scenarios() []scenario {
	return []scenario{
		{name: "mild day", load: 0.45},
		{name: "small burst", load: 0.45, burstShort: 200},
		{name: "large burst", load: 0.45, burstLarge: 10},
		{name: "wrong run times", load: 0.8, declaredError: 1.2},
		{name: "cancel wave", load: 0.45, burstShort: 300, cancelled: 0.7},
		{name: "bad workers", load: 0.45, badWorkers: 0.1, broken: 0.03},
	}
}

// generator draws the jobs of one day from a seed.
type generator struct {
	random     *rand.Rand
	deployment deployment
	scenario   scenario
	works      []simulatedJob
}

// generate returns the jobs of one day, sorted by submission: steady work until
// it asks for the scenario's load, then the burst.
func generate(d deployment, s scenario, seed uint64) []simulatedJob {
	g := &generator{
		random:     rand.New(rand.NewPCG(seed, 1)),
		deployment: d,
		scenario:   s,
	}
	asked := 0.0
	for asked < s.load*float64(8*baseWorkers*d.scale)*day.Hours() {
		w := g.addSteady()
		asked += w.realRunTime.Hours() * float64(w.job.Spec.TotalResources().Accelerators)
	}
	for range s.burstShort * d.scale {
		g.add("one00", "short", g.randomTime(burstStart, 5*time.Minute))
	}
	for range s.burstLarge * d.scale {
		g.add(g.team("large"), "large", g.randomTime(burstStart, 5*time.Minute))
	}
	slices.SortFunc(g.works, func(a, b simulatedJob) int {
		return a.job.Submitted.Compare(b.job.Submitted)
	})
	return g.works
}

// randomTime draws a time from the interval of that length that begins at
// start.
func (g *generator) randomTime(start, length time.Duration) time.Duration {
	return start + time.Duration(g.random.Float64()*float64(length))
}

// team draws one of the teams of a kind.
func (g *generator) team(kind string) string {
	return fmt.Sprintf("%s%02d", kind, g.random.IntN(g.deployment.scale))
}

// addSteady adds one job of steady work at a random time: 5% large, 25% medium,
// 10% urgent and 60% short jobs.
func (g *generator) addSteady() simulatedJob {
	at := g.randomTime(0, day)
	kind := []string{"large", "middle", "one", "two"}[g.random.IntN(4)]
	x := g.random.Float64()
	switch {
	case x < 0.05:
		return g.add(g.team("large"), "large", at)
	case x < 0.3:
		return g.add(g.team(kind), "medium", at)
	case x < 0.4:
		return g.add(g.team(kind), "urgent", at)
	}
	return g.add(g.team(kind), "short", at)
}

// add adds one job with a size and run time drawn for its class. Run times are
// between low and high minutes.
func (g *generator) add(team, class string, at time.Duration) simulatedJob {
	tasks, accelerators, span := 1, 1+g.random.IntN(2), sesamemodel.Span("")
	low, high := 5.0, 30.0
	urgency := sesamemodel.Normal
	switch class {
	case "urgent":
		accelerators = 1 + g.random.IntN(4)
		low, high = 2, 10
		urgency = sesamemodel.Urgent
	case "medium":
		accelerators = 4 + 4*g.random.IntN(2)
		low, high = 30, 120
	case "large":
		tasks, accelerators, span = 2+g.random.IntN(2), 8, sesamemodel.SpanRack
		low, high = 60, 240
		urgency = sesamemodel.Batch
	}
	length := time.Duration((low + g.random.Float64()*(high-low)) * float64(time.Minute))
	j := newJob(fmt.Sprintf("j%05d", len(g.works)), team, tasks, accelerators, span)
	j.Submitted = startTime.Add(at)
	j.Urgency = urgency
	j.Spec.Class = class
	j.Spec.Checkpoints = g.random.Float64() < map[string]float64{"short": 0.3, "urgent": 0.1, "medium": 0.7, "large": 0.8}[class]
	j.Spec.AtMostOnce = class == "urgent" && g.random.Float64() < 0.2
	j.Spec.RunTime = g.declaredRunTime(team, class, length)
	w := simulatedJob{
		job:         j,
		realRunTime: length,
		broken:      g.random.Float64() < g.scenario.broken,
	}
	if team == "one00" && class == "short" && g.random.Float64() < g.scenario.cancelled {
		w.cancelAt = burstStart + 20*time.Minute
	}
	g.works = append(g.works, w)
	return w
}

// declaredRunTime returns the run time that the caller declares: the real one
// times a random factor for the team's class and a smaller one for the job.
func (g *generator) declaredRunTime(team, class string, length time.Duration) time.Duration {
	classRandom := rand.New(rand.NewPCG(uint64(len(team))*31+uint64(team[0]), uint64(class[0])))
	factor := math.Exp(g.scenario.declaredError*classRandom.NormFloat64() + (0.05+g.scenario.declaredError/4)*g.random.NormFloat64())
	return time.Duration(float64(length) * factor)
}
