package config

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"time"

	"tealledge/internal/sexp"
)

// Reader extracts values from expressions and collects the mistakes found, each with its position.
type Reader struct{ errs []error }

// maxErrors limits the number of mistakes that are reported.
const maxErrors = 100

// Errors returns the mistakes found.
func (r *Reader) Errors() []error { return r.errs }

// Fail records a mistake at the position of a node.
func (r *Reader) Fail(n *sexp.Node, format string, args ...any) {
	if len(r.errs) < maxErrors {
		r.errs = append(r.errs, &sexp.Error{Pos: n.Pos, Text: fmt.Sprintf(format, args...)})
	}
}

// Fields reads a list of forms (NAME ...) and calls the reader of each name. Each name may appear once; the required
// names must appear.
func (r *Reader) Fields(n *sexp.Node, required []string, readers map[string]func(*sexp.Node)) {
	seen := map[string]bool{}
	for _, form := range n.Args() {
		name := form.Head()
		read := readers[name]
		switch {
		case name == "":
			r.Fail(form, "want a form (NAME ...) in %s", n.Head())
		case read == nil:
			r.Fail(form, "%s: unknown form %q", n.Head(), name)
		case seen[name]:
			r.Fail(form, "%q appears twice in %s", name, n.Head())
		default:
			seen[name] = true
			read(form)
		}
	}
	for _, name := range required {
		if !seen[name] {
			r.Fail(n, "%s needs (%s ...)", n.Head(), name)
		}
	}
}

// argument returns the only argument of a form.
func (r *Reader) argument(n *sexp.Node) (string, bool) {
	if len(n.List) != 2 || n.List[1].IsList {
		r.Fail(n, "%s takes one value", n.Head())
		return "", false
	}
	return n.List[1].Text, true
}

// Text reads the only value of a form, which must not be empty.
func (r *Reader) Text(n *sexp.Node) string {
	text, ok := r.argument(n)
	if ok && text == "" {
		r.Fail(n.List[1], "%s must not be empty", n.Head())
	}
	return text
}

// Name reads a name of at most 64 letters, digits, '-', '_' and '.'.
func (r *Reader) Name(n *sexp.Node) string {
	name, ok := r.argument(n)
	if !ok {
		return ""
	}
	if name == "" || len(name) > 64 || slices.ContainsFunc([]rune(name), func(c rune) bool {
		return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.')
	}) {
		r.Fail(n.List[1], "%s: %q is not a name: 1 to 64 letters, digits, '-', '_', '.'", n.Head(), name)
	}
	return name
}

// Address reads an address of the form HOST:PORT.
func (r *Reader) Address(n *sexp.Node) string {
	address, ok := r.argument(n)
	if ok {
		if _, _, err := net.SplitHostPort(address); err != nil {
			r.Fail(n.List[1], "%s: %v", n.Head(), err)
		}
	}
	return address
}

// Choice reads a word that must be one of choices.
func (r *Reader) Choice(n *sexp.Node, choices ...string) string {
	word, ok := r.argument(n)
	if ok && !slices.Contains(choices, word) {
		r.Fail(n.List[1], "%s: %q is not one of %v", n.Head(), word, choices)
	}
	return word
}

// Flag reads yes or no and returns true for yes.
func (r *Reader) Flag(n *sexp.Node) bool { return r.Choice(n, "yes", "no") == "yes" }

// Int reads a whole number from minValue to maxValue.
func (r *Reader) Int(n *sexp.Node, minValue, maxValue int) int {
	text, ok := r.argument(n)
	if !ok {
		return minValue
	}
	value, err := strconv.Atoi(text)
	if err != nil || value < minValue || value > maxValue {
		r.Fail(n.List[1], "%s: %q is not a whole number from %d to %d", n.Head(), text, minValue, maxValue)
		return minValue
	}
	return value
}

// Float reads a number from minValue to maxValue.
func (r *Reader) Float(n *sexp.Node, minValue, maxValue float64) float64 {
	text, ok := r.argument(n)
	if !ok {
		return minValue
	}
	return r.parseFloat(n.List[1], text, minValue, maxValue)
}

func (r *Reader) parseFloat(node *sexp.Node, text string, minValue, maxValue float64) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= minValue && value <= maxValue) {
		r.Fail(node, "%q is not a number from %g to %g", text, minValue, maxValue)
		return minValue
	}
	return value
}

// Duration reads a duration such as 250ms, 1.5s or 2m, from minValue to maxValue.
func (r *Reader) Duration(n *sexp.Node, minValue, maxValue time.Duration) time.Duration {
	text, ok := r.argument(n)
	if !ok {
		return minValue
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < minValue || value > maxValue {
		r.Fail(n.List[1], "%s: %q is not a duration from %v to %v (such as 250ms or 1.5s)", n.Head(), text,
			minValue, maxValue)
		return minValue
	}
	return value
}
