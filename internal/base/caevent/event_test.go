package caevent_test

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"celeryarch.example/celeryarch/internal/base/caevent"
)

const cataloguePath = "../../../docs/EVENTS.md"

// rowPattern matches a row of the catalogue, which starts with the number and
// the name of an event.
var rowPattern = regexp.MustCompile("(?m)^\\| ([0-9]+) \\| `([a-z_]+)` \\|")

// catalogueRow is a row of the catalogue.
type catalogueRow struct {
	Number int
	Name   string
}

func TestCatalogueListsEveryEvent(t *testing.T) {
	page, err := os.ReadFile(cataloguePath)
	if err != nil {
		t.Fatal(err)
	}
	var got, want []catalogueRow
	for _, m := range rowPattern.FindAllStringSubmatch(string(page), -1) {
		number, err := strconv.Atoi(m[1])
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, catalogueRow{Number: number, Name: m[2]})
	}
	for _, n := range caevent.NumberValues() {
		want = append(want, catalogueRow{Number: int(n), Name: n.String()})
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("rows of %s mismatch (-want +got):\n%s", cataloguePath, diff)
	}
}
