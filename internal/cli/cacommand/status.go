package cacommand

import (
	"encoding/json"
	"strings"

	"celeryarch.example/celeryarch/internal/config/cadocument"
	"celeryarch.example/celeryarch/internal/config/camerge"
)

// statusText lays the status of an entry out as indented lines. A list of
// objects becomes a table with a row for each.
func statusText(status json.RawMessage) string {
	n, problems := camerge.Parse("", status)
	if len(problems) > 0 {
		return string(status) + "\n"
	}
	var b strings.Builder
	writeObject(&b, n, "")
	return b.String()
}

const indent = "  "

func writeObject(b *strings.Builder, n camerge.Node, before string) {
	for _, m := range n.Members {
		switch m.Value.Kind {
		case camerge.KindObject:
			b.WriteString(before + m.Name + ":\n")
			writeObject(b, m.Value, before+indent)
		case camerge.KindArray:
			b.WriteString(before + m.Name + ":\n")
			writeList(b, m.Value, before+indent)
		default:
			b.WriteString(before + m.Name + ": " + plain(m.Value) + "\n")
		}
	}
}

func writeList(b *strings.Builder, n camerge.Node, before string) {
	for _, e := range n.Elements {
		b.WriteString(before + row(e) + "\n")
	}
}

// row writes a value on one line.
func row(n camerge.Node) string {
	if n.Kind != camerge.KindObject && n.Kind != camerge.KindArray {
		return plain(n)
	}
	var cells []string
	for _, m := range n.Members {
		cells = append(cells, m.Name+"="+row(m.Value))
	}
	for _, e := range n.Elements {
		cells = append(cells, row(e))
	}
	return strings.Join(cells, " ")
}

func plain(n camerge.Node) string {
	if n.Kind == camerge.KindText {
		return n.Text
	}
	return cadocument.Describe(n)
}
