package config

import (
	"cmp"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"unicode"
)

// maxNameBytes is the maximum length of a name, in bytes.
const maxNameBytes = 64

// checker validates values and collects the problems found.
type checker struct {
	positions positions
	problems  []Problem
}

// err returns the problems in the order of the text as an *InvalidError, or nil
// if there are none.
func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(c.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return &InvalidError{Problems: c.problems}
}

func (c *checker) report(path string, code ProblemCode, detail string) {
	line, column := c.positions.find(path)
	c.problems = append(c.problems, Problem{Code: code, Path: path, Line: line, Column: column, Detail: detail})
}

func (c *checker) reportAt(path string, offset int, code ProblemCode, detail string) {
	line, column := c.positions.lineColumn(offset)
	c.problems = append(c.problems, Problem{Code: code, Path: path, Line: line, Column: column, Detail: detail})
}

// name checks a name that is used in object keys and URL paths.
func (c *checker) name(path, name string) {
	if name == "" {
		c.report(path, ProblemMissing, "a name is needed")
		return
	}
	if len(name) > maxNameBytes {
		c.report(path, ProblemName, fmt.Sprintf("name has more than %d bytes", maxNameBytes))
		return
	}
	for i, r := range name {
		inside := i > 0 && (r == '-' || r == '_' || r == '.')
		if !inside && !unicode.IsLetter(r) && !unicode.IsDigit(r) {
			c.report(path, ProblemName, fmt.Sprintf("name %q has other characters than letters, digits and inner '-', '_', '.'", name))
			return
		}
	}
}

// unique checks a name, reports a duplicate if seen contains it, and adds it to
// seen.
func (c *checker) unique(path, name string, seen map[string]bool) {
	c.name(path, name)
	if seen[name] && name != "" {
		c.report(path, ProblemDuplicate, fmt.Sprintf("%q is given twice", name))
	}
	seen[name] = true
}

// reference reports a reference to a name of the given kind that isn't defined.
func (c *checker) reference(path, name, kind string, defined bool) {
	if !defined {
		c.report(path, ProblemReference, fmt.Sprintf("there is no %s %q", kind, name))
	}
}

// oneOf checks that value is one of the allowed values.
func (c *checker) oneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.report(path, ProblemRange, fmt.Sprintf("%q is none of %q", value, allowed))
	}
}

// address checks that address is an IP address and port.
func (c *checker) address(path, address string) {
	if address == "" {
		c.report(path, ProblemMissing, "an IP address and port is needed")
		return
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		c.report(path, ProblemRange, fmt.Sprintf("%q is not an IP address and port", address))
	}
}

// httpURL checks that text is an absolute HTTP or HTTPS URL.
func (c *checker) httpURL(path, text string) {
	if text == "" {
		c.report(path, ProblemMissing, "a URL is needed")
		return
	}
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.report(path, ProblemRange, fmt.Sprintf("%q is not an absolute HTTP URL", text))
	}
}

// file checks that a file name is given.
func (c *checker) file(path, name string) {
	if name == "" {
		c.report(path, ProblemMissing, "a file is needed")
	}
}

// within checks that low <= value <= high.
func within[N cmp.Ordered](c *checker, path string, value, low, high N) {
	if value < low || value > high {
		c.report(path, ProblemRange, fmt.Sprintf("%v is not within %v and %v", value, low, high))
	}
}

// atLeast checks that low <= value.
func atLeast[N cmp.Ordered](c *checker, path string, value, low N) {
	if value < low {
		c.report(path, ProblemRange, fmt.Sprintf("%v is less than %v", value, low))
	}
}

// positive checks that value is greater than zero.
func positive[N ~int | ~int64 | ~float64](c *checker, path string, value N) {
	if value <= 0 {
		c.report(path, ProblemRange, fmt.Sprintf("%v is not positive", value))
	}
}
