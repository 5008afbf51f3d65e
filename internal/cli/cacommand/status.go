package cacommand

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"text/tabwriter"

	"celeryarch.example/celeryarch/internal/base/cawork"
	"celeryarch.example/celeryarch/internal/config/cacell"
	"celeryarch.example/celeryarch/internal/config/cadocument"
	"celeryarch.example/celeryarch/internal/config/camerge"
)

const (
	// indent stands before what belongs to the line above.
	indent = "  "
	// columnGap is the space between two columns of a table.
	columnGap = 2
	// missing fills a cell of a table that a row lacks.
	missing = "-"
	// unlimited stands for an amount without limit.
	unlimited = "unlimited"
	// milliPerCore is the number of thousandths in a core.
	milliPerCore = 1000
)

// statusText lays the status of an entry out for reading: single values as
// lines, lists of objects as tables.
func statusText(status json.RawMessage) string {
	n, problems := camerge.Parse("", status)
	if len(problems) > 0 {
		return string(status) + "\n"
	}
	var b strings.Builder
	for _, m := range n.Members {
		writeMember(&b, m)
	}
	return b.String()
}

func writeMember(b *strings.Builder, m camerge.Member) {
	if m.Value.Kind != camerge.KindArray {
		fmt.Fprintf(b, "%s: %s\n", m.Name, cell(m.Value))
		return
	}
	fmt.Fprintf(b, "\n%s: %d\n", m.Name, len(m.Value.Elements))
	table := tabwriter.NewWriter(b, 0, 0, columnGap, ' ', 0)
	names := columns(m.Value)
	if len(names) > 0 {
		writeRow(table, names)
	}
	for _, e := range m.Value.Elements {
		writeRow(table, cells(e, names))
	}
	// A strings.Builder takes every write.
	_ = table.Flush()
}

func writeRow(table *tabwriter.Writer, cells []string) {
	fmt.Fprintf(table, "%s%s\n", indent, strings.Join(cells, "\t"))
}

// columns returns the names of the members of all objects of a list in the
// order of their first mention.
func columns(list camerge.Node) []string {
	var names []string
	known := map[string]bool{}
	for _, e := range list.Elements {
		for _, m := range e.Members {
			if !known[m.Name] {
				known[m.Name] = true
				names = append(names, m.Name)
			}
		}
	}
	return names
}

func cells(n camerge.Node, names []string) []string {
	if n.Kind != camerge.KindObject {
		return []string{cell(n)}
	}
	row := make([]string, len(names))
	for i, name := range names {
		row[i] = missing
		if value, ok := n.Member(name); ok {
			row[i] = cell(value)
		}
	}
	return row
}

// cell writes a value on one line.
func cell(n camerge.Node) string {
	switch n.Kind {
	case camerge.KindText:
		return n.Text
	case camerge.KindObject:
		return object(n)
	case camerge.KindArray:
		parts := make([]string, len(n.Elements))
		for i, e := range n.Elements {
			parts[i] = cell(e)
		}
		return strings.Join(parts, ",")
	default:
		return cadocument.Describe(n)
	}
}

func object(n camerge.Node) string {
	if r, ok := resources(n); ok {
		return r
	}
	parts := make([]string, len(n.Members))
	for i, m := range n.Members {
		parts[i] = m.Name + "=" + cell(m.Value)
	}
	return strings.Join(parts, " ")
}

// resources writes an amount of processors, memory and accelerators, for
// example "16 cores, 32GiB, 0 acc".
func resources(n camerge.Node) (string, bool) {
	cpu, hasCPU := number(n, "cpu_milli")
	memory, hasMemory := number(n, "memory_bytes")
	accelerators, hasAccelerators := number(n, "accelerators")
	if len(n.Members) != 3 || !hasCPU || !hasMemory || !hasAccelerators {
		return "", false
	}
	return fmt.Sprintf("%s cores, %s, %s acc",
		amount(cpu, strconv.FormatFloat(float64(cpu)/milliPerCore, 'f', -1, 64)),
		amount(memory, cadocument.FormatBytes(cawork.Bytes(memory))),
		amount(accelerators, strconv.FormatInt(accelerators, 10))), true
}

func number(n camerge.Node, name string) (int64, bool) {
	m, ok := n.Member(name)
	value, err := strconv.ParseInt(m.Text, 10, 64)
	return value, ok && err == nil
}

func amount(value int64, text string) string {
	if value >= cacell.UnlimitedAmount {
		return unlimited
	}
	return text
}
