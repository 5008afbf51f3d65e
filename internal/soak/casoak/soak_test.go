package casoak_test

import (
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/cli/cacommand"
	"celeryarch.example/celeryarch/internal/node/carunner"
	"celeryarch.example/celeryarch/internal/soak/casoak"
)

// runProgramEnv makes the test binary run as celeryarch, so that the processes of
// a soak have the build flags of the test.
const runProgramEnv = "CELERYARCH_SOAK_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runProgramEnv) != "" {
		os.Exit(int(cacommand.Run(os.Args[1:], os.Stdout, os.Stderr, carunner.Runners())))
	}
	os.Exit(m.Run())
}

// TestSeeds runs soaks with the seeds of CI and with each seed that ever failed.
func TestSeeds(t *testing.T) {
	short := casoak.Options{Duration: 6 * time.Second, Nodes: 4, Upstreams: 4}
	long := casoak.Options{Duration: 20 * time.Second, Nodes: 5, Upstreams: 8}
	for name, o := range map[string]casoak.Options{
		"1": short.WithSeed(1), "2": short.WithSeed(2),
		"104, a start taken by a later incarnation": long.WithSeed(104),
		"112, a start taken by a later incarnation": long.WithSeed(112),
	} {
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
			if report.Accepted == 0 {
				t.Error("no job was accepted")
			}
		})
	}
}
