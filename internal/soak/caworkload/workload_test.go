package caworkload

import (
	"fmt"
	"math/rand"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/cell/caspec"
)

const exampleFile = "../../../examples/loads/firm.jsonc"

func readExample(t *testing.T) Workload {
	t.Helper()
	data, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	w, err := Parse(exampleFile, data)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func usual(int) float64 { return 1 }

func TestDrawIsDeterministic(t *testing.T) {
	w := readExample(t)
	draw := func(seed int64) []caspec.Submission {
		r := rand.New(rand.NewSource(seed))
		var list []caspec.Submission
		for i := range 50 {
			list = append(list, w.Draw(r, cawork.JobID(fmt.Sprint(i)), usual).Spec)
		}
		return list
	}
	if diff := cmp.Diff(draw(1), draw(1)); diff != "" {
		t.Errorf("jobs of one seed (-first +second):\n%s", diff)
	}
	if cmp.Equal(draw(1), draw(2)) {
		t.Error("two seeds draw the same jobs")
	}
}

// TestExampleHasKindsOfWork guards against an example without the work that it is meant for.
func TestExampleHasKindsOfWork(t *testing.T) {
	w := readExample(t)
	kinds := make(map[string]bool)
	r := rand.New(rand.NewSource(1))
	for i := range 2000 {
		j := w.Draw(r, cawork.JobID(fmt.Sprint(i)), usual)
		kinds["team "+string(j.Team.Name)], kinds["queue "+string(j.Queue.Name)] = true, true
		kinds[fmt.Sprintf("canceled %v", j.Canceled)] = true
		for k, s := range j.Spec.Steps {
			kinds[fmt.Sprintf("gang %v", s.Gang)] = true
			kinds[fmt.Sprintf("spread %v", s.MaxPerUpstream > 0)] = true
			kinds[fmt.Sprintf("after %v", len(s.After) > 0)] = true
			kinds[fmt.Sprintf("fails %v", j.Fails(k, 0, 1))] = true
			if !s.Size().Fits(w.Upstream.Resources()) {
				t.Errorf("task of %v does not fit an upstream", s.Size())
			}
		}
	}
	if diff := cmp.Diff(3+3+5*2, len(kinds)); diff != "" {
		t.Errorf("kinds of work in %v (-want +got):\n%s", kinds, diff)
	}
}

// TestSurgeRaisesRateOfOneTeam checks the share of a team that sends ten times its usual.
func TestSurgeRaisesRateOfOneTeam(t *testing.T) {
	w := Workload{Teams: []Team{{Name: "a", Share: 1}, {Name: "b", Share: 1}}}
	factor := func(team int) float64 { return []float64{10, 1}[team] }
	if diff := cmp.Diff(5.5, w.RateFactor(factor)); diff != "" {
		t.Errorf("factor of the rate (-want +got):\n%s", diff)
	}
}

func TestParseRejectsWorkload(t *testing.T) {
	data, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string][2]string{
		"an unknown field":           {`"zones"`, `"zone_count"`},
		"no zones":                   {`"zones": 3`, `"zones": 0`},
		"an advisor without a cost":  {`"cost_factor": 1`, `"cost_factor": 0`},
		"upstreams without room":     {`"cpu_milli": 32000`, `"cpu_milli": 0`},
		"a distribution without max": {`"max": 48`, `"max": 0`},
		"no JSON":                    {`{`, `[`},
	} {
		changed := strings.Replace(string(data), change[0], change[1], 1)
		if _, err := Parse("load.jsonc", []byte(changed)); err == nil {
			t.Errorf("a workload with %s is accepted", name)
		}
	}
}

func TestPolicyOfWorkload(t *testing.T) {
	w := readExample(t).WithLimitFactor(0, 0.5)
	team := w.Policy(7, "pool").Teams[0]
	want := caspec.Team{
		Name: "north", Weight: 600, Keys: []string{"key-of-north"},
		Limit: cawork.Resources{CPU: cawork.Cores(20 * 32), Memory: 20 * 128 * cawork.GiB},
	}
	if diff := cmp.Diff(want, team); diff != "" {
		t.Errorf("team with half of its limit (-want +got):\n%s", diff)
	}
	slow := Advisor{CostFactor: 2}.Actual(w.Queues[0].Approval.Spec())
	if diff := cmp.Diff(2*(410+10*5.9), float64(slow.Cost(10))/float64(time.Millisecond)); diff != "" {
		t.Errorf("time of a question at an advisor that is twice as slow (-want +got):\n%s", diff)
	}
}
