// Package sexp parses S-expressions and records the position of each node. Settings files and day scripts use it.
//
// The syntax has lists in parentheses, atoms, strings in double quotes with the escapes \" \\ \n \t, and comments from
// ';' to the end of the line.
package sexp

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// Limits of the input.
const (
	MaxBytes = 4 << 20
	MaxDepth = 32
	MaxNodes = 400_000
)

// Pos is a position in a file. Lines and columns count from 1; a column is a character, not a byte.
type Pos struct {
	File      string
	Line, Col int
}

func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col) }

// Error is a mistake in the input and its position.
type Error struct {
	Pos  Pos
	Text string
}

func (e *Error) Error() string { return e.Pos.String() + ": " + e.Text }

// Node is a list (IsList) or an atom. Quoted atoms were written as strings.
type Node struct {
	Pos    Pos
	IsList bool
	Quoted bool
	Text   string
	List   []*Node
}

// Head returns the text of the first item of a list, or "" if there is none or it is not an atom.
func (n *Node) Head() string {
	if n.IsList && len(n.List) > 0 && !n.List[0].IsList {
		return n.List[0].Text
	}
	return ""
}

// Args returns the items of a list after the first.
func (n *Node) Args() []*Node {
	if len(n.List) == 0 {
		return nil
	}
	return n.List[1:]
}

type reader struct {
	text   string
	offset int
	pos    Pos
	nodes  int
}

// Read parses the expressions of a text; file is used in positions only. The error is an *Error.
func Read(file, text string) ([]*Node, error) {
	r := &reader{text: text, pos: Pos{file, 1, 1}}
	if len(text) > MaxBytes {
		return nil, &Error{r.pos, fmt.Sprintf("%d bytes, %d at most", len(text), MaxBytes)}
	}
	if !utf8.ValidString(text) {
		return nil, &Error{r.pos, "not UTF-8"}
	}
	var list []*Node
	for {
		r.skipSpace()
		if r.offset == len(r.text) {
			return list, nil
		}
		n, err := r.readNode(0)
		if err != nil {
			return nil, err
		}
		list = append(list, n)
	}
}

// next consumes one character and advances the position.
func (r *reader) next() (c rune) {
	c, size := utf8.DecodeRuneInString(r.text[r.offset:])
	r.offset += size
	if c == '\n' {
		r.pos.Line, r.pos.Col = r.pos.Line+1, 1
	} else {
		r.pos.Col++
	}
	return c
}

// skipSpace skips white space and comments.
func (r *reader) skipSpace() {
	for r.offset < len(r.text) {
		switch c := r.text[r.offset]; {
		case c == ';':
			for r.offset < len(r.text) && r.text[r.offset] != '\n' {
				r.next()
			}
		case strings.IndexByte(" \t\r\n", c) >= 0:
			r.next()
		default:
			return
		}
	}
}

// readNode reads the expression at the current offset, which must not be the end of the text.
func (r *reader) readNode(depth int) (*Node, error) {
	n := &Node{Pos: r.pos}
	if r.nodes++; r.nodes > MaxNodes {
		return nil, &Error{r.pos, fmt.Sprintf("more than %d expressions", MaxNodes)}
	}
	switch r.text[r.offset] {
	case '(':
		if depth == MaxDepth {
			return nil, &Error{r.pos, fmt.Sprintf("nested more than %d levels deep", MaxDepth)}
		}
		n.IsList = true
		r.next()
		for {
			r.skipSpace()
			if r.offset == len(r.text) {
				return nil, &Error{n.Pos, "'(' is not closed"}
			}
			if r.text[r.offset] == ')' {
				r.next()
				return n, nil
			}
			item, err := r.readNode(depth + 1)
			if err != nil {
				return nil, err
			}
			n.List = append(n.List, item)
		}
	case ')':
		return nil, &Error{r.pos, "')' without an open '('"}
	case '"':
		return n, r.readString(n)
	}
	start := r.offset
	for r.offset < len(r.text) && strings.IndexByte(" \t\r\n();\"", r.text[r.offset]) < 0 {
		r.next()
	}
	n.Text = r.text[start:r.offset]
	return n, nil
}

// readString reads a quoted string into n.
func (r *reader) readString(n *Node) error {
	n.Quoted = true
	var value strings.Builder
	r.next()
	for r.offset < len(r.text) {
		start := r.pos
		switch c := r.next(); c {
		case '"':
			n.Text = value.String()
			return nil
		case '\\':
			if r.offset == len(r.text) {
				return &Error{n.Pos, "string is not closed"}
			}
			c = r.next()
			i := strings.IndexRune(`"\nt`, c)
			if i < 0 {
				return &Error{start, fmt.Sprintf("unknown escape \\%c", c)}
			}
			value.WriteByte("\"\\\n\t"[i])
		default:
			value.WriteRune(c)
		}
	}
	return &Error{n.Pos, "string is not closed"}
}
