package caevent_test

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

const catalogue = "../../../docs/EVENTS.md"

// row matches a row of the catalogue: number and name of an event.
var row = regexp.MustCompile("(?m)^\\| ([0-9]+) \\| `([a-z_]+)` \\|")

// listed is a row of the catalogue.
type listed struct {
	Number int
	Name   string
}

func TestCatalogueListsEveryEvent(t *testing.T) {
	page, err := os.ReadFile(catalogue)
	if err != nil {
		t.Fatal(err)
	}
	var got, want []listed
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		number, err := strconv.Atoi(m[1])
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, listed{Number: number, Name: m[2]})
	}
	for _, n := range caevent.NumberValues() {
		want = append(want, listed{Number: int(n), Name: n.String()})
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("rows of %s mismatch (-want +got):\n%s", catalogue, diff)
	}
}
