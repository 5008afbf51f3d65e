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

// MaxFileSize is the maximum size of a file in bytes.
const MaxFileSize = 1 << 20

// maxDepth is the maximum nesting depth of objects and arrays in a file.
const maxDepth = 32

var errorPosition = regexp.MustCompile(`line (\d+), column (\d+)`)

// Parse parses one file of JSON with comments. Problems contain the name.
func Parse(name string, data []byte) (Node, caproblem.List) {
	if len(data) > MaxFileSize {
		return Node{}, problemf(caproblem.Position{File: name}, "file is larger than %d bytes", MaxFileSize)
	}
	if offset, found := findExcessDepth(data); found {
		return Node{}, problemf(newLineIndex(name, data).position(offset), "nested deeper than %d levels", maxDepth)
	}
	value, err := hujson.Parse(data)
	if err != nil {
		return Node{}, syntaxProblem(name, err)
	}
	p := parser{lines: newLineIndex(name, data)}
	root := p.convert(value, "")
	if root.Kind != KindObject {
		p.reportf(root.Position, "", "the file must contain an object, not %s", root.Kind)
	}
	return root, p.problems
}

func problemf(at caproblem.Position, format string, args ...any) caproblem.List {
	return caproblem.List{{At: at, Reason: fmt.Sprintf(format, args...)}}
}

func syntaxProblem(name string, err error) caproblem.List {
	at := caproblem.Position{File: name, Line: 1, Column: 1}
	if m := errorPosition.FindStringSubmatch(err.Error()); m != nil {
		at.Line, _ = strconv.Atoi(m[1])
		at.Column, _ = strconv.Atoi(m[2])
	}
	reason := err
	if inner := errors.Unwrap(err); inner != nil {
		reason = inner
	}
	return problemf(at, "%s", reason)
}

// findExcessDepth returns the offset of the first bracket that is nested deeper
// than maxDepth. It counts brackets outside strings and comments. Parse calls it
// before the recursive parser, so that no input can exhaust the stack.
func findExcessDepth(data []byte) (offset int, found bool) {
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
	lines    lineIndex
	problems caproblem.List
}

func (p *parser) reportf(at caproblem.Position, path, format string, args ...any) {
	p.problems = append(p.problems, caproblem.Problem{At: at, Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (p *parser) convert(v hujson.Value, path string) Node {
	at := p.lines.position(v.StartOffset)
	switch v := v.Value.(type) {
	case *hujson.Object:
		return p.convertObject(v, at, path)
	case *hujson.Array:
		n := Node{Kind: KindArray, Position: at}
		for i, e := range v.Elements {
			n.Elements = append(n.Elements, p.convert(e, JoinPath(path, strconv.Itoa(i))))
		}
		return n
	case hujson.Literal:
		return Node{Kind: literalKind(v), Text: v.String(), Position: at}
	}
	return Node{Position: at}
}

func (p *parser) convertObject(o *hujson.Object, at caproblem.Position, path string) Node {
	n := Node{Kind: KindObject, Position: at}
	firstPositions := map[string]caproblem.Position{}
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		nameAt := p.lines.position(m.Name.StartOffset)
		memberPath := JoinPath(path, name)
		if firstAt, ok := firstPositions[name]; ok {
			p.reportf(nameAt, memberPath, "appears twice in this file, first on line %d", firstAt.Line)
			continue
		}
		firstPositions[name] = nameAt
		n.Members = append(n.Members, Member{Name: name, NamePosition: nameAt, Value: p.convert(m.Value, memberPath)})
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

// lineIndex converts byte offsets to positions.
type lineIndex struct {
	file   string
	starts []int
}

func newLineIndex(file string, data []byte) lineIndex {
	l := lineIndex{file: file, starts: []int{0}}
	for i, b := range data {
		if b == '\n' {
			l.starts = append(l.starts, i+1)
		}
	}
	return l
}

func (l lineIndex) position(offset int) caproblem.Position {
	line, end := 0, len(l.starts)
	for end-line > 1 {
		middle := (line + end) / 2
		if l.starts[middle] <= offset {
			line = middle
		} else {
			end = middle
		}
	}
	return caproblem.Position{File: l.file, Line: line + 1, Column: offset - l.starts[line] + 1}
}
