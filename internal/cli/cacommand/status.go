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
	// indent precedes the rows of a table.
	indent = "  "
	// columnGap is the number of spaces between two columns.
	columnGap = 2
	// missingValue fills a column for which a row has no value.
	missingValue = "-"
	// unlimited replaces an amount that has no limit.
	unlimited = "unlimited"
	// milliPerCore is the number of thousandths in a core.
	milliPerCore = 1000
)

// statusText formats the status of an entry as text: single values as lines,
// lists as tables.
func statusText(status json.RawMessage) string {
	root, problems := camerge.Parse("", status)
	if len(problems) > 0 {
		return string(status) + "\n"
	}
	var b strings.Builder
	for _, m := range root.Members {
		writeMember(&b, m)
	}
	return b.String()
}

func writeMember(b *strings.Builder, m camerge.Member) {
	if m.Value.Kind != camerge.KindArray {
		fmt.Fprintf(b, "%s: %s\n", m.Name, formatValue(m.Value))
		return
	}
	fmt.Fprintf(b, "\n%s: %d\n", m.Name, len(m.Value.Elements))
	table := tabwriter.NewWriter(b, 0, 0, columnGap, ' ', 0)
	columns := columnNames(m.Value)
	if len(columns) > 0 {
		writeRow(table, columns)
	}
	for _, e := range m.Value.Elements {
		writeRow(table, rowValues(e, columns))
	}
	// Writes to a strings.Builder do not fail.
	_ = table.Flush()
}

func writeRow(table *tabwriter.Writer, values []string) {
	fmt.Fprintf(table, "%s%s\n", indent, strings.Join(values, "\t"))
}

// columnNames returns the names of the members of all objects of a list, in the
// order of their first occurrence.
func columnNames(list camerge.Node) []string {
	var names []string
	seen := map[string]bool{}
	for _, e := range list.Elements {
		for _, m := range e.Members {
			if !seen[m.Name] {
				seen[m.Name] = true
				names = append(names, m.Name)
			}
		}
	}
	return names
}

func rowValues(n camerge.Node, columns []string) []string {
	if n.Kind != camerge.KindObject {
		return []string{formatValue(n)}
	}
	row := make([]string, len(columns))
	for i, name := range columns {
		row[i] = missingValue
		if value, ok := n.Member(name); ok {
			row[i] = formatValue(value)
		}
	}
	return row
}

// formatValue formats a value on one line.
func formatValue(n camerge.Node) string {
	switch n.Kind {
	case camerge.KindText:
		return n.Text
	case camerge.KindObject:
		return formatObject(n)
	case camerge.KindArray:
		parts := make([]string, len(n.Elements))
		for i, e := range n.Elements {
			parts[i] = formatValue(e)
		}
		return strings.Join(parts, ",")
	default:
		return cadocument.Describe(n)
	}
}

func formatObject(n camerge.Node) string {
	if r, ok := formatResources(n); ok {
		return r
	}
	parts := make([]string, len(n.Members))
	for i, m := range n.Members {
		parts[i] = m.Name + "=" + formatValue(m.Value)
	}
	return strings.Join(parts, " ")
}

// formatResources formats an amount of processors, memory and accelerators, for
// example "16 cores, 32GiB, 0 acc".
func formatResources(n camerge.Node) (string, bool) {
	cpu, hasCPU := integerMember(n, "cpu_milli")
	memory, hasMemory := integerMember(n, "memory_bytes")
	accelerators, hasAccelerators := integerMember(n, "accelerators")
	if len(n.Members) != 3 || !hasCPU || !hasMemory || !hasAccelerators {
		return "", false
	}
	return fmt.Sprintf("%s cores, %s, %s acc",
		formatAmount(cpu, strconv.FormatFloat(float64(cpu)/milliPerCore, 'f', -1, 64)),
		formatAmount(memory, cadocument.FormatBytes(cawork.Bytes(memory))),
		formatAmount(accelerators, strconv.FormatInt(accelerators, 10))), true
}

func integerMember(n camerge.Node, name string) (int64, bool) {
	m, ok := n.Member(name)
	value, err := strconv.ParseInt(m.Text, 10, 64)
	return value, ok && err == nil
}

func formatAmount(value int64, text string) string {
	if value >= cacell.UnlimitedAmount {
		return unlimited
	}
	return text
}
