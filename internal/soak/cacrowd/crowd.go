// Package cacrowd plays a crowd of callers that send requests of legal size and stop just short of their
// end, with their connections left open.
package cacrowd

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"time"
)

//go:generate go tool enumer -type=Kind -trimprefix=Kind -transform=snake -output=kind_names.go

// Kind is what the callers of a crowd send.
type Kind int

// The kinds of crowds.
const (
	// KindShortHeaderLines sends very many header lines with names of their own.
	KindShortHeaderLines Kind = iota
	// KindRepeatedHeaderLines sends very many header lines with the same name.
	KindRepeatedHeaderLines
	// KindWholeBodies sends a large body at once, and KindBodiesInPieces one piece after the other.
	KindWholeBodies
	KindBodiesInPieces
	// KindLargeChunks and KindSmallChunks send a large body in chunks.
	KindLargeChunks
	KindSmallChunks
)

const (
	// bodyBytes is the length of a large body, and missingBytes how much of it is not sent.
	bodyBytes    = 262_000
	missingBytes = 90
	// pieceBytes is the length of a piece of a body.
	pieceBytes = 8 << 10
	// largeChunkBytes and smallChunkBytes are the lengths of chunks.
	largeChunkBytes = 32 << 10
	smallChunkBytes = 16
	// headerLines is the number of header lines, of six bytes each.
	headerLines = 2300
	// sendTimeout bounds one write: a server may stop to read.
	sendTimeout = 2 * time.Second
)

// Crowd is a crowd with its open connections.
type Crowd struct {
	conns []net.Conn
}

// Open opens a number of connections to the address and sends a request of the kind on each, in pieces that
// take turns. Connections that the server refuses or closes are left out. The target is a path that takes
// jobs, and the headers are lines that every request has.
func Open(address string, kind Kind, connections int, target string, headers ...string) *Crowd {
	c := &Crowd{}
	for range connections {
		conn, err := net.DialTimeout("tcp", address, sendTimeout)
		if err != nil {
			continue
		}
		c.conns = append(c.conns, conn)
	}
	head := "POST " + target + " HTTP/1.1\r\n" + strings.Join(headers, "\r\n") + "\r\n"
	open := c.conns
	for _, piece := range kind.pieces(head) {
		var left []net.Conn
		for _, conn := range open {
			if send(conn, piece) {
				left = append(left, conn)
			}
		}
		open = left
	}
	return c
}

// send reports whether the piece was sent.
func send(conn net.Conn, piece []byte) bool {
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
	_, err := conn.Write(piece)
	return err == nil
}

// Close closes all connections.
func (c *Crowd) Close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// pieces returns what each caller sends, in the pieces in which it sends it.
func (k Kind) pieces(head string) [][]byte {
	switch k {
	case KindShortHeaderLines, KindRepeatedHeaderLines:
		return [][]byte{append([]byte(head), k.headerLines()...)}
	case KindWholeBodies:
		return [][]byte{append(lengthHead(head), body(bodyBytes-missingBytes)...)}
	case KindBodiesInPieces:
		return append([][]byte{lengthHead(head)}, split(body(bodyBytes-missingBytes), pieceBytes)...)
	case KindLargeChunks:
		return chunks(head, largeChunkBytes)
	default:
		return chunks(head, smallChunkBytes)
	}
}

// headerLines returns header lines of six bytes, and a body of a hundred bytes short of its last.
func (k Kind) headerLines() []byte {
	const names = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	var lines bytes.Buffer
	for i := range headerLines {
		if k == KindRepeatedHeaderLines {
			i = 0
		}
		fmt.Fprintf(&lines, "%c%c:x\r\n", names[i%len(names)], names[i/len(names)%len(names)])
	}
	lines.WriteString("Content-Length: 100\r\n\r\n")
	lines.Write(body(99))
	return lines.Bytes()
}

func lengthHead(head string) []byte {
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", head, bodyBytes)
}

// chunks returns a body in chunks, without the last one.
func chunks(head string, size int) [][]byte {
	pieces := [][]byte{[]byte(head + "Transfer-Encoding: chunked\r\n\r\n")}
	var encoded bytes.Buffer
	for sent := 0; sent+size < bodyBytes; sent += size {
		fmt.Fprintf(&encoded, "%x\r\n", size)
		encoded.Write(body(size))
		encoded.WriteString("\r\n")
	}
	return append(pieces, split(encoded.Bytes(), largeChunkBytes)...)
}

func body(n int) []byte { return bytes.Repeat([]byte(" "), n) }

func split(b []byte, size int) [][]byte {
	var pieces [][]byte
	for len(b) > size {
		pieces, b = append(pieces, b[:size]), b[size:]
	}
	return append(pieces, b)
}
