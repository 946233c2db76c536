// Package sexp reads S-expressions with the place of each part, for settings and day scripts.
//
// The form: lists in parentheses, atoms, strings in double quotes with the escapes \" \\ \n \t, comments from
// ';' to the end of the line.
package sexp

import (
	"fmt"
	"strings"
	"unicode/utf8"
)

// Bounds of what is read.
const (
	MaxBytes = 4 << 20
	MaxDepth = 32
	MaxNodes = 400_000
)

// Pos is a place in a file; lines and columns count from 1, columns in characters.
type Pos struct {
	File      string
	Line, Col int
}

func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col) }

// Error is a mistake at a place.
type Error struct {
	Pos  Pos
	Text string
}

func (e *Error) Error() string { return e.Pos.String() + ": " + e.Text }

// Node is a list (IsList) or an atom; Quoted atoms were written as strings.
type Node struct {
	Pos    Pos
	IsList bool
	Quoted bool
	Text   string
	List   []*Node
}

// Head gives the first atom of a list, "" where there is none.
func (n *Node) Head() string {
	if n.IsList && len(n.List) > 0 && !n.List[0].IsList {
		return n.List[0].Text
	}
	return ""
}

// Args gives what follows the first item of a list.
func (n *Node) Args() []*Node {
	if len(n.List) == 0 {
		return nil
	}
	return n.List[1:]
}

type reader struct {
	text  string
	at    int
	pos   Pos
	nodes int
}

// Read gives the expressions of a text. The error is an *Error with its place.
func Read(file, text string) ([]*Node, error) {
	r := &reader{text: text, pos: Pos{file, 1, 1}}
	if len(text) > MaxBytes {
		return nil, &Error{r.pos, fmt.Sprintf("%d bytes, %d at most", len(text), MaxBytes)}
	}
	if !utf8.ValidString(text) {
		return nil, &Error{r.pos, "not UTF-8"}
	}
	var out []*Node
	for {
		r.skip()
		if r.at == len(r.text) {
			return out, nil
		}
		n, err := r.node(0)
		if err != nil {
			return nil, err
		}
		out = append(out, n)
	}
}

func (r *reader) step() (c rune) {
	c, size := utf8.DecodeRuneInString(r.text[r.at:])
	r.at += size
	if c == '\n' {
		r.pos.Line, r.pos.Col = r.pos.Line+1, 1
	} else {
		r.pos.Col++
	}
	return c
}

func (r *reader) skip() {
	for r.at < len(r.text) {
		switch c := r.text[r.at]; {
		case c == ';':
			for r.at < len(r.text) && r.text[r.at] != '\n' {
				r.step()
			}
		case strings.IndexByte(" \t\r\n", c) >= 0:
			r.step()
		default:
			return
		}
	}
}

func (r *reader) node(depth int) (*Node, error) {
	n := &Node{Pos: r.pos}
	if r.nodes++; r.nodes > MaxNodes {
		return nil, &Error{r.pos, fmt.Sprintf("over %d expressions", MaxNodes)}
	}
	switch r.text[r.at] {
	case '(':
		if depth == MaxDepth {
			return nil, &Error{r.pos, fmt.Sprintf("nested over %d deep", MaxDepth)}
		}
		n.IsList = true
		r.step()
		for {
			r.skip()
			if r.at == len(r.text) {
				return nil, &Error{n.Pos, "'(' is not closed"}
			}
			if r.text[r.at] == ')' {
				r.step()
				return n, nil
			}
			item, err := r.node(depth + 1)
			if err != nil {
				return nil, err
			}
			n.List = append(n.List, item)
		}
	case ')':
		return nil, &Error{r.pos, "')' closes nothing"}
	case '"':
		return n, r.quoted(n)
	}
	from := r.at
	for r.at < len(r.text) && strings.IndexByte(" \t\r\n();\"", r.text[r.at]) < 0 {
		r.step()
	}
	n.Text = r.text[from:r.at]
	return n, nil
}

func (r *reader) quoted(n *Node) error {
	n.Quoted = true
	var b strings.Builder
	r.step()
	for r.at < len(r.text) {
		at := r.pos
		switch c := r.step(); c {
		case '"':
			n.Text = b.String()
			return nil
		case '\\':
			if r.at == len(r.text) {
				return &Error{n.Pos, "string is not closed"}
			}
			c = r.step()
			i := strings.IndexRune(`"\nt`, c)
			if i < 0 {
				return &Error{at, fmt.Sprintf("unknown escape \\%c", c)}
			}
			b.WriteByte("\"\\\n\t"[i])
		default:
			b.WriteRune(c)
		}
	}
	return &Error{n.Pos, "string is not closed"}
}
