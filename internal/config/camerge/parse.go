package camerge

import (
	"bytes"
	"errors"
	"fmt"
	"regexp"
	"strconv"

	"github.com/tailscale/hujson"

	"celeryarch.example/celeryarch/internal/config/caproblem"
)

// MaxFileSize is the largest file that is read, in bytes.
const MaxFileSize = 1 << 20

// maxDepth is the deepest nesting of objects and arrays in a file.
const maxDepth = 32

var syntaxError = regexp.MustCompile(`line (\d+), column (\d+)`)

// Parse reads one file of JSON with comments. The name is used in problems.
func Parse(name string, data []byte) (Node, caproblem.List) {
	if len(data) > MaxFileSize {
		return Node{}, refuse(caproblem.Position{File: name}, "file is larger than %d bytes", MaxFileSize)
	}
	if at, deep := tooDeep(data); deep {
		return Node{}, refuse(newLines(name, data).at(at), "nested deeper than %d levels", maxDepth)
	}
	value, err := hujson.Parse(data)
	if err != nil {
		return Node{}, syntaxProblem(name, err)
	}
	p := parser{lines: newLines(name, data)}
	root := p.node(value, "")
	if root.Kind != KindObject {
		p.refuse(root.At, "", "the file must hold an object, not %s", root.Kind)
	}
	return root, p.problems
}

func refuse(at caproblem.Position, format string, args ...any) caproblem.List {
	return caproblem.List{{At: at, Reason: fmt.Sprintf(format, args...)}}
}

func syntaxProblem(name string, err error) caproblem.List {
	at := caproblem.Position{File: name, Line: 1, Column: 1}
	if m := syntaxError.FindStringSubmatch(err.Error()); m != nil {
		at.Line, _ = strconv.Atoi(m[1])
		at.Column, _ = strconv.Atoi(m[2])
	}
	reason := err
	if inner := errors.Unwrap(err); inner != nil {
		reason = inner
	}
	return refuse(at, "%s", reason)
}

// tooDeep finds the first bracket that is nested too deep. It counts brackets
// outside strings and comments, so that the recursive parser below it is never
// given input that exhausts its stack.
func tooDeep(data []byte) (offset int, deep bool) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i = endOfString(data, i)
		case '/':
			i = endOfComment(data, i)
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > maxDepth {
			return i, true
		}
	}
	return 0, false
}

func endOfString(data []byte, i int) int {
	for i++; i < len(data) && data[i] != '"'; i++ {
		if data[i] == '\\' {
			i++
		}
	}
	return i
}

func endOfComment(data []byte, i int) int {
	rest := data[i:]
	end := -1
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = bytes.IndexByte(rest, '\n')
	case bytes.HasPrefix(rest, []byte("/*")):
		end = bytes.Index(rest[2:], []byte("*/")) + 3
		if end < 3 {
			end = -1
		}
	default:
		return i
	}
	if end < 0 {
		return len(data)
	}
	return i + end
}

type parser struct {
	lines    lines
	problems caproblem.List
}

func (p *parser) refuse(at caproblem.Position, path, format string, args ...any) {
	p.problems = append(p.problems, caproblem.Problem{At: at, Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (p *parser) node(v hujson.Value, path string) Node {
	at := p.lines.at(v.StartOffset)
	switch v := v.Value.(type) {
	case *hujson.Object:
		return p.object(v, at, path)
	case *hujson.Array:
		n := Node{Kind: KindArray, At: at}
		for i, e := range v.Elements {
			n.Elements = append(n.Elements, p.node(e, JoinPath(path, strconv.Itoa(i))))
		}
		return n
	case hujson.Literal:
		return Node{Kind: literalKind(v), Text: v.String(), At: at}
	}
	return Node{At: at}
}

func (p *parser) object(o *hujson.Object, at caproblem.Position, path string) Node {
	n := Node{Kind: KindObject, At: at}
	first := map[string]caproblem.Position{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		nameAt := p.lines.at(m.Name.StartOffset)
		member := JoinPath(path, name)
		if before, ok := first[name]; ok {
			p.refuse(nameAt, member, "stands twice in this file, first on line %d", before.Line)
			continue
		}
		first[name] = nameAt
		n.Members = append(n.Members, Member{Name: name, NameAt: nameAt, Value: p.node(m.Value, member)})
	}
	return n
}

// JoinPath returns the path of a member below a path.
func JoinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func literalKind(l hujson.Literal) Kind {
	switch l.Kind() {
	case '"':
		return KindText
	case '0':
		return KindNumber
	case 't', 'f':
		return KindBool
	default:
		return KindNull
	}
}

// lines turns byte offsets into positions.
type lines struct {
	file   string
	starts []int
}

func newLines(file string, data []byte) lines {
	l := lines{file: file, starts: []int{0}}
	for i, b := range data {
		if b == '\n' {
			l.starts = append(l.starts, i+1)
		}
	}
	return l
}

func (l lines) at(offset int) caproblem.Position {
	line, after := 0, len(l.starts)
	for after-line > 1 {
		middle := (line + after) / 2
		if l.starts[middle] <= offset {
			line = middle
		} else {
			after = middle
		}
	}
	return caproblem.Position{File: l.file, Line: line + 1, Column: offset - l.starts[line] + 1}
}
