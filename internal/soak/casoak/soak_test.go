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

// asProgram makes the test program run as celeryarch, so that the processes of
// a soak are built like the test.
const asProgram = "CELERYARCH_SOAK_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		os.Exit(int(cacommand.Run(os.Args[1:], os.Stdout, os.Stderr, carunner.Runners())))
	}
	os.Exit(m.Run())
}

// TestSeeds soaks cells by the seeds that CI runs, and by each that ever failed.
func TestSeeds(t *testing.T) {
	for _, seed := range []int64{1, 2} {
		report, err := casoak.Run(t.Context(), casoak.Options{
			Seed: seed, During: 6 * time.Second, Nodes: 4, Upstreams: 4,
			Program: []string{os.Args[0]}, Env: []string{asProgram + "=1"}, Dir: t.TempDir(), Run: os.Getpid() + int(seed),
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("seed %d: %s", seed, report)
		if diff := cmp.Diff([]string(nil), report.Broken); diff != "" {
			t.Errorf("promises broken with seed %d (-want +got):\n%s\nplan: %v", seed, diff, report.Plan)
		}
		if report.Accepted == 0 {
			t.Errorf("no job was accepted with seed %d", seed)
		}
	}
}
