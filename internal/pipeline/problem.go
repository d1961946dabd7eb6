package pipeline

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Problem is an error in a file, or a notice about a file, with its position. Lines and columns start at 1.
type Problem struct {
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Text   string `json:"text"`
}

// String returns the problem as "line:column: text".
func (p Problem) String() string { return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Text) }

// Problems are all errors of a file, or all notices about it.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, problem := range ps {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// sorted returns the problems in the order of the file, without duplicates. It modifies ps in place.
func (ps Problems) sorted() Problems {
	slices.SortStableFunc(ps, func(x, y Problem) int {
		return cmp.Or(cmp.Compare(x.Line, y.Line), cmp.Compare(x.Column, y.Column))
	})
	return slices.Compact(ps)
}

// positionError is a problem that a decoder of a value returns. The decoder does not know the key of the
// value; addError puts the key before the text.
type positionError struct{ Problem }

// Error returns the problem with its position.
func (e positionError) Error() string { return e.String() }

func newPositionError(node *yaml.Node, text string) error {
	return positionError{Problem{node.Line, node.Column, text}}
}

// syntaxProblem converts a syntax error of the YAML library to a problem. It parses the text of the error,
// because the library gives the line only there.
func syntaxProblem(err error) Problem {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	rest, found := strings.CutPrefix(text, "line ")
	if !found {
		return Problem{1, 1, text}
	}
	number, description, _ := strings.Cut(rest, ": ")
	line, err := strconv.Atoi(number)
	if err != nil {
		return Problem{1, 1, text}
	}
	return Problem{line, 1, description}
}

// problemCollector collects the problems and notices of a file.
type problemCollector struct {
	problems, notices Problems
}

func (c *problemCollector) addProblem(node *yaml.Node, format string, args ...any) {
	c.problems = append(c.problems, Problem{node.Line, node.Column, fmt.Sprintf(format, args...)})
}

func (c *problemCollector) addNotice(node *yaml.Node, format string, args ...any) {
	c.notices = append(c.notices, Problem{node.Line, node.Column, fmt.Sprintf(format, args...)})
}

// addError adds a problem for an error that occurred when the value of a key was decoded. The problem has the
// position of the error if the error has one, otherwise the position of the node.
func (c *problemCollector) addError(node *yaml.Node, key string, err error) {
	var positioned positionError
	if errors.As(err, &positioned) {
		positioned.Text = key + ": " + positioned.Text
		c.problems = append(c.problems, positioned.Problem)
		return
	}
	c.addProblem(node, "%s: %s", key, describeDecodeError(err))
}

// typeErrorTexts maps parts of the YAML library's texts of type errors to texts for users.
var typeErrorTexts = []struct{ libraryText, text string }{
	{"into int", "must be a whole number"},
	{"into float64", "must be a number"},
	{"into bool", "must be true or false"},
	{"into []string", "must be a list of strings"},
	{"into string", "must be a string"},
}

// describeDecodeError returns a text for users that says what a value must be. For an error that is not a type
// error it returns the error's own text.
func describeDecodeError(err error) string {
	var typeError *yaml.TypeError
	if !errors.As(err, &typeError) {
		return err.Error()
	}
	libraryText := strings.Join(typeError.Errors, "; ")
	for _, expected := range typeErrorTexts {
		if strings.Contains(libraryText, expected.libraryText) {
			return expected.text
		}
	}
	return "has the wrong form"
}
