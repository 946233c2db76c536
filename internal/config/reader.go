package config

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"

	"tealledge/internal/sexp"
)

// Reader takes values out of expressions and gathers every mistake with its place.
type Reader struct{ errs []error }

// most mistakes that are told.
const mostErrors = 100

// Errors gives the mistakes found.
func (r *Reader) Errors() []error { return r.errs }

// Fail notes a mistake at a place.
func (r *Reader) Fail(n *sexp.Node, format string, args ...any) {
	if len(r.errs) < mostErrors {
		r.errs = append(r.errs, &sexp.Error{Pos: n.Pos, Text: fmt.Sprintf(format, args...)})
	}
}

// Fields reads a list of forms (NAME ...), each at most once, and calls what reads it.
func (r *Reader) Fields(n *sexp.Node, required []string, known map[string]func(*sexp.Node)) {
	seen := map[string]bool{}
	for _, f := range n.Args() {
		name := f.Head()
		read := known[name]
		switch {
		case name == "":
			r.Fail(f, "want a form (NAME ...) in %s", n.Head())
		case read == nil:
			r.Fail(f, "%s knows no form %q", n.Head(), name)
		case seen[name]:
			r.Fail(f, "%q stands twice in %s", name, n.Head())
		default:
			seen[name] = true
			read(f)
		}
	}
	for _, name := range required {
		if !seen[name] {
			r.Fail(n, "%s needs (%s ...)", n.Head(), name)
		}
	}
}

// arg gives the one argument of a form.
func (r *Reader) arg(n *sexp.Node) (string, bool) {
	if len(n.List) != 2 || n.List[1].IsList {
		r.Fail(n, "%s takes one value", n.Head())
		return "", false
	}
	return n.List[1].Text, true
}

// Text reads a form's one value, which must not be empty.
func (r *Reader) Text(n *sexp.Node) string {
	s, ok := r.arg(n)
	if ok && s == "" {
		r.Fail(n.List[1], "%s must not be empty", n.Head())
	}
	return s
}

// Name reads a name of letters, digits, '-', '_' and '.', 64 characters at most.
func (r *Reader) Name(n *sexp.Node) string {
	s, ok := r.arg(n)
	if !ok {
		return ""
	}
	if s == "" || len(s) > 64 || slices.ContainsFunc([]rune(s), func(c rune) bool {
		return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.')
	}) {
		r.Fail(n.List[1], "%s: %q is no name: 1 to 64 letters, digits, '-', '_', '.'", n.Head(), s)
	}
	return s
}

// Address reads host:port.
func (r *Reader) Address(n *sexp.Node) string {
	s, ok := r.arg(n)
	if ok {
		if _, _, err := net.SplitHostPort(s); err != nil {
			r.Fail(n.List[1], "%s: %v", n.Head(), err)
		}
	}
	return s
}

// Choice reads one of some words.
func (r *Reader) Choice(n *sexp.Node, words ...string) string {
	s, ok := r.arg(n)
	if ok && !slices.Contains(words, s) {
		r.Fail(n.List[1], "%s: %q is none of %v", n.Head(), s, words)
	}
	return s
}

// Flag reads yes or no.
func (r *Reader) Flag(n *sexp.Node) bool { return r.Choice(n, "yes", "no") == "yes" }

// Int reads a whole number within bounds.
func (r *Reader) Int(n *sexp.Node, least, most int) int {
	s, ok := r.arg(n)
	if !ok {
		return least
	}
	v, err := strconv.Atoi(s)
	if err != nil || v < least || v > most {
		r.Fail(n.List[1], "%s: %q is no whole number from %d to %d", n.Head(), s, least, most)
		return least
	}
	return v
}

// Num reads a number within bounds.
func (r *Reader) Num(n *sexp.Node, least, most float64) float64 {
	s, ok := r.arg(n)
	if !ok {
		return least
	}
	return r.num(n.List[1], s, least, most)
}

func (r *Reader) num(at *sexp.Node, s string, least, most float64) float64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= least && v <= most) {
		r.Fail(at, "%q is no number from %g to %g", s, least, most)
		return least
	}
	return v
}

// Span reads a time such as 250ms, 1.5s or 2m.
func (r *Reader) Span(n *sexp.Node, least, most time.Duration) time.Duration {
	s, ok := r.arg(n)
	if !ok {
		return least
	}
	v, err := time.ParseDuration(s)
	if err != nil || v < least || v > most {
		r.Fail(n.List[1], "%s: %q is no time from %v to %v (such as 250ms or 1.5s)", n.Head(), s, least, most)
		return least
	}
	return v
}
