// Package camerge parses JSON with comments and merges a folder of such files
// into one document that records the source position of each value.
package camerge

import (
	"celeryarch.example/celeryarch/internal/config/caproblem"
)

//go:generate go tool enumer -type=Kind -trimprefix=Kind -transform=snake -output=kind_names.go

// Kind is the kind of a JSON value.
type Kind int

// The kinds of JSON values.
const (
	KindNull Kind = iota
	KindBool
	KindNumber
	KindText
	KindObject
	KindArray
)

// Node is a JSON value with its source position. Nodes are immutable.
type Node struct {
	Kind Kind
	// Text is the unescaped string, or the literal of a number or bool.
	Text     string
	Members  []Member
	Elements []Node
	Position caproblem.Position
}

// Member is a name and its value in an object.
type Member struct {
	Name         string
	NamePosition caproblem.Position
	Value        Node
}

// Member returns the value of the member with the name.
func (n Node) Member(name string) (Node, bool) {
	for _, m := range n.Members {
		if m.Name == name {
			return m.Value, true
		}
	}
	return Node{}, false
}

// Find returns the node at the path of member names, or its deepest existing
// ancestor when there is none.
func (n Node) Find(path ...string) Node {
	for _, name := range path {
		child, ok := n.Member(name)
		if !ok {
			return n
		}
		n = child
	}
	return n
}
