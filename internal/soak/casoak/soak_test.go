package casoak_test

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/cli/cacommand"
	"celeryarch.example/celeryarch/internal/node/carunner"
	"celeryarch.example/celeryarch/internal/soak/casoak"
	"celeryarch.example/celeryarch/internal/soak/caworkload"
)

var addedSeeds = flag.Int("soak.seeds", 1, "number of seeds of each test with an added kind of fault")

// runProgramEnv makes the test binary run as celeryarch, so that the processes of
// a soak have the build flags of the test.
const runProgramEnv = "CELERYARCH_SOAK_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runProgramEnv) != "" {
		os.Exit(int(cacommand.Run(os.Args[1:], os.Stdout, os.Stderr, carunner.Runners())))
	}
	os.Exit(m.Run())
}

var (
	short = casoak.Options{Duration: 6 * time.Second, Nodes: 4, Upstreams: 4}
	long  = casoak.Options{Duration: 20 * time.Second, Nodes: 5, Upstreams: 8}
)

// TestSeeds runs soaks with the seeds of CI and with each seed that ever failed.
func TestSeeds(t *testing.T) {
	runSoaks(t, map[string]casoak.Options{
		"1": short.WithSeed(1), "2": short.WithSeed(2),
		"104, a start taken by a later incarnation": long.WithSeed(104),
		"112, a start taken by a later incarnation": long.WithSeed(112),
	})
}

// TestSeedsWithShrinkingCapacity guards against starts beyond a capacity that has shrunk.
func TestSeedsWithShrinkingCapacity(t *testing.T) {
	runSoaks(t, addedSoaks(3, casoak.FaultCapacity))
}

// TestSeedsWithDeadlyJobs guards against jobs that crash upstream after upstream.
func TestSeedsWithDeadlyJobs(t *testing.T) {
	runSoaks(t, addedSoaks(4, casoak.FaultDeadlyJob))
}

// TestSeedsWithChangingQueues guards against accepted jobs that do not go on once operators remove or replace their
// queues, beside losses of power and killed nodes.
func TestSeedsWithChangingQueues(t *testing.T) {
	soaks := addedSoaks(9, casoak.FaultQueues)
	for name, o := range soaks {
		o.Added = append(o.Added, casoak.FaultPowerLossAfterSubmit, casoak.FaultKillInDrain)
		soaks[name] = o
	}
	runSoaks(t, soaks)
}

// TestSeedsWithChangingTeams guards against jobs that run twice, are not found, or get a conflict once operators rename, swap
// and merge teams in a cell of two shards, beside losses of power and killed nodes.
func TestSeedsWithChangingTeams(t *testing.T) {
	soaks := addedSoaks(15, casoak.FaultTeams)
	for name, o := range soaks {
		o.Shards, o.Upstreams = 2, 12
		o.Added = append(o.Added, casoak.FaultPowerLossAfterSubmit, casoak.FaultKillInDrain)
		soaks[name] = o
	}
	runSoaks(t, soaks)
}

// TestSeedsWithOddEntries guards against entries that end, or follow the list of upstreams no
// more, since another writer left an odd entry in it, and against runs that are started twice.
func TestSeedsWithOddEntries(t *testing.T) {
	runSoaks(t, addedSoaks(7, casoak.FaultOddEntry))
}

// TestSeedsOfPlannedWork guards against calls that a node cuts as it stops, and against nodes that
// SIGHUP ends while they start or stop.
func TestSeedsOfPlannedWork(t *testing.T) {
	o := casoak.Options{Seed: 5, Duration: 8 * time.Second, Nodes: 6, Upstreams: 6, IsPlanned: true, IsPatient: true}
	soaks := make(map[string]casoak.Options, *addedSeeds)
	for seed := o.Seed; seed < o.Seed+int64(*addedSeeds); seed++ {
		soaks[strconv.FormatInt(seed, 10)] = o.WithSeed(seed)
	}
	runSoaks(t, soaks)
}

// TestSeedsWithPowerLossAfterAcknowledgement guards against work that is lost, or canceled work that goes
// on, since the power is lost soon after the acknowledgement, and against calls that are lost with a node that is
// killed while it drains.
func TestSeedsWithPowerLossAfterAcknowledgement(t *testing.T) {
	for kind, seed := range map[casoak.FaultKind]int64{
		casoak.FaultPowerLossAfterSubmit: 505, casoak.FaultPowerLossAfterCancel: 503, casoak.FaultKillInDrain: 501,
	} {
		t.Run(kind.String(), func(t *testing.T) {
			t.Parallel()
			runSoaks(t, addedSoaks(seed, kind))
		})
	}
}

const (
	// gangLoad is a workload of gangs and an advisor that takes its time, for few upstreams.
	gangLoad = "testdata/gangs.jsonc"
	// firmLoad is the workload of a firm.
	firmLoad = "../../../examples/loads/firm.jsonc"
)

// TestSeedsWithGangsAndAdvisor guards against jobs that have nothing running while there is room
// for them on upstreams that the advisor approves.
func TestSeedsWithGangsAndAdvisor(t *testing.T) {
	o := casoak.Options{Seed: 1, Duration: 8 * time.Second, Nodes: 4, Upstreams: 12}
	runSoaks(t, workSoaks(t, gangLoad, o, caworkload.Advisor{CostFactor: 1}))
}

// TestSeedsWithWaitingLoad guards against jobs that have nothing running while there is room for them,
// since all the load of a time without nodes comes at once when they are back.
func TestSeedsWithWaitingLoad(t *testing.T) {
	o := casoak.Options{Seed: 1, Duration: 8 * time.Second, Nodes: 4, Upstreams: 12, IsPatient: true}
	runSoaks(t, workSoaks(t, gangLoad, o, caworkload.Advisor{CostFactor: 1}))
}

// TestSeedsWithWaitingLoadAndSharedAdvisor guards against the same beside an advisor that handles one
// question of all nodes at a time.
func TestSeedsWithWaitingLoadAndSharedAdvisor(t *testing.T) {
	o := casoak.Options{Seed: 1, Duration: 8 * time.Second, Nodes: 9, Upstreams: 24, IsPatient: true}
	runSoaks(t, workSoaks(t, gangLoad, o, caworkload.Advisor{CostFactor: 1, OneTurn: true}))
}

// TestSeedsWithSharedAdvisor guards against jobs that have nothing running while there is room for
// them, since the nodes together ask more than an advisor answers that handles one question of all
// of them at a time.
func TestSeedsWithSharedAdvisor(t *testing.T) {
	o := casoak.Options{Seed: 1, Duration: 8 * time.Second, Nodes: 9, Upstreams: 24}
	runSoaks(t, workSoaks(t, gangLoad, o, caworkload.Advisor{CostFactor: 1, OneTurn: true}))
}

// TestSeedsWithSlowAdvisor guards against jobs that have nothing running while there is room for
// them, since the planner asks through one node while an advisor that takes longer than configured
// has time for the others.
func TestSeedsWithSlowAdvisor(t *testing.T) {
	const firstSeed = 16
	o := casoak.Options{Seed: firstSeed, Duration: 16 * time.Second, Nodes: 9, Upstreams: 48}
	runSoaks(t, workSoaks(t, firmLoad, o, caworkload.Advisor{CostFactor: 2}))
}

// workSoaks returns soaks with a workload, an advisor and the seeds from that of the options on.
func workSoaks(t *testing.T, path string, o casoak.Options, advisor caworkload.Advisor) map[string]casoak.Options {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	load, err := caworkload.Parse(path, data)
	if err != nil {
		t.Fatal(err)
	}
	load = load.WithAdvisor(advisor)
	o.Workload = &load
	soaks := make(map[string]casoak.Options, *addedSeeds)
	for seed := o.Seed; seed < o.Seed+int64(*addedSeeds); seed++ {
		soaks[strconv.FormatInt(seed, 10)] = o.WithSeed(seed)
	}
	return soaks
}

// addedSoaks returns short soaks with an added kind of fault.
func addedSoaks(firstSeed int64, kind casoak.FaultKind) map[string]casoak.Options {
	soaks := make(map[string]casoak.Options, *addedSeeds)
	for seed := firstSeed; seed < firstSeed+int64(*addedSeeds); seed++ {
		o := short.WithSeed(seed)
		o.Added = []casoak.FaultKind{kind}
		soaks[strconv.FormatInt(seed, 10)] = o
	}
	return soaks
}

// runSoaks runs soaks and checks that no guarantee was violated.
func runSoaks(t *testing.T, soaks map[string]casoak.Options) {
	t.Helper()
	for name, o := range soaks {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o.Command, o.Env = []string{os.Args[0]}, []string{runProgramEnv + "=1"}
			o.Dir, o.RunIndex = t.TempDir(), os.Getpid()+int(o.Seed)
			report, err := casoak.Run(t.Context(), o)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report)
			if diff := cmp.Diff([]string(nil), report.Broken); diff != "" {
				t.Errorf("guarantees violated (-want +got):\n%s\nplan: %v", diff, report.Plan)
			}
			if report.GivenUp > 0 {
				t.Errorf("%d jobs without a deadly task were given up", report.GivenUp)
			}
			if report.Accepted == 0 {
				t.Error("no job was accepted")
			}
		})
	}
}
