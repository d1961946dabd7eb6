package pipeline

import (
	"cmp"
	"errors"
	"fmt"
	"iter"
	"maps"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"time"

	"cherrywall/internal/tuning"

	"go.yaml.in/yaml/v3"
)

const (
	maxParallel = 200 // copies of a job, as the published format has it
	maxExtends  = 11  // levels of extends, as the published format has it
)

// Problem is something that is wrong with a file, or that is only worth knowing.
type Problem struct {
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Text   string `json:"text"`
}

func (p Problem) String() string { return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Text) }

// Problems are all that is wrong with a file.
type Problems []Problem

func (ps Problems) Error() string {
	var b strings.Builder
	for i, p := range ps {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(p.String())
	}
	return b.String()
}

func (ps Problems) sorted() Problems {
	slices.SortStableFunc(ps, func(x, y Problem) int {
		return cmp.Or(cmp.Compare(x.Line, y.Line), cmp.Compare(x.Column, y.Column))
	})
	return slices.Compact(ps)
}

// positionError is a problem on its way out of a decoder.
type positionError struct{ Problem }

func (e positionError) Error() string { return e.String() }

func newPositionError(node *yaml.Node, text string) error {
	return positionError{Problem{node.Line, node.Column, text}}
}

// resolveAlias follows an alias to what it stands for.
func resolveAlias(node *yaml.Node) *yaml.Node {
	for node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	return node
}

// forEachKey calls do for each key of a mapping, in the order of the file.
func forEachKey(node *yaml.Node, do func(key string, v *yaml.Node) error) error {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if err := do(node.Content[i].Value, resolveAlias(node.Content[i+1])); err != nil {
			return err
		}
	}
	return nil
}

// problemCollector collects what is wrong.
type problemCollector struct {
	problems, notices Problems
	copiedNodes       int // copied, see copyTree
}

func (r *problemCollector) addProblem(node *yaml.Node, format string, args ...any) {
	r.problems = append(r.problems, Problem{node.Line, node.Column, fmt.Sprintf(format, args...)})
}

func (r *problemCollector) addNotice(node *yaml.Node, format string, args ...any) {
	r.notices = append(r.notices, Problem{node.Line, node.Column, fmt.Sprintf(format, args...)})
}

// addError notes a decoder's error, at the node if it tells no better place.
func (r *problemCollector) addError(node *yaml.Node, what string, err error) {
	var w positionError
	switch {
	case errors.As(err, &w):
		w.Text = what + ": " + w.Text
		r.problems = append(r.problems, w.Problem)
	default:
		r.addProblem(node, "%s: %s", what, describeDecodeError(err))
	}
}

// describeDecodeError puts the library's words for a wrong type into ours.
func describeDecodeError(err error) string {
	var te *yaml.TypeError
	if !errors.As(err, &te) {
		return err.Error()
	}
	text := strings.Join(te.Errors, "; ")
	for _, k := range []struct{ in, say string }{{"into int", "must be a whole number"}, {"into float64", "must be a number"},
		{"into bool", "must be true or false"}, {"into []string", "must be a list of texts"}, {"into string", "must be a text"}} {
		if strings.Contains(text, k.in) {
			return k.say
		}
	}
	return "has the wrong form"
}

// fieldsByKey finds the fields of a struct by their keys.
func fieldsByKey(t reflect.Type) map[string]int {
	out := map[string]int{}
	for i := range t.NumField() {
		if key, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ","); key != "" {
			out[key] = i
		}
	}
	return out
}

// decodeMapping decodes a mapping into a struct, key by key; unknown is asked about the others.
func (r *problemCollector) decodeMapping(node *yaml.Node, what string, into any, unknown func(key, v *yaml.Node)) {
	v := reflect.ValueOf(into).Elem()
	byKey := fieldsByKey(v.Type())
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, val := node.Content[i], resolveAlias(node.Content[i+1])
		at, known := byKey[key.Value]
		if !known {
			unknown(key, val)
			continue
		}
		if val.Kind == yaml.ScalarNode && val.Tag == "!!null" {
			continue // a key without a value is left out
		}
		name := what + key.Value
		if f := v.Field(at); f.Kind() == reflect.Struct && f.Type() == reflect.TypeFor[cluster]() {
			if val.Kind != yaml.MappingNode {
				r.addProblem(val, "%s: must be a mapping", name)
				continue
			}
			r.decodeMapping(val, name+".", f.Addr().Interface(), func(key, _ *yaml.Node) {
				r.addProblem(key, "%s.%s: unknown key%s", name, key.Value, suggestKey(key.Value, f.Type()))
			})
			continue
		}
		if err := val.Decode(v.Field(at).Addr().Interface()); err != nil {
			r.addError(val, name, err)
		}
	}
}

// suggestKey suggests a known key for one that is not.
func suggestKey(key string, t reflect.Type) string {
	return suggest(key, maps.Keys(fieldsByKey(t)), "%s")
}

// suggest suggests the known name that is most like one that is not, if any is.
func suggest(name string, known iter.Seq[string], form string) string {
	best, least := "", 3
	for k := range known {
		if d := editDistance(name, k); d < least || d == least && k < best {
			best, least = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; "+form+" is meant?", best)
}

// editDistance is how many letters have to be changed, added or left out.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		last := row[0]
		row[0] = i + 1
		for j := range len(b) {
			d := last
			if a[i] != b[j] {
				d++
			}
			last = row[j+1]
			row[j+1] = min(d, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

// copyTree copies a node, aliases resolved and merged keys laid under, so that it may be
// changed. A file may name itself again and again by aliases: the copies are bounded.
func (r *problemCollector) copyTree(node *yaml.Node, depth int) (*yaml.Node, error) {
	node = resolveAlias(node)
	if r.copiedNodes++; r.copiedNodes > tuning.MaxPipelineNodes || depth > tuning.MaxPipelineDepth {
		return nil, newPositionError(node, "the file unfolds to too much; fewer or smaller aliases and extends are needed")
	}
	if node.Tag == "!reference" {
		return nil, newPositionError(node, "!reference is not supported; extends or an anchor does the same")
	}
	c := *node
	c.Content, c.Anchor, c.Alias = nil, "", nil
	if node.Kind != yaml.MappingNode {
		for _, x := range node.Content {
			k, err := r.copyTree(x, depth+1)
			if err != nil {
				return nil, err
			}
			c.Content = append(c.Content, k)
		}
		return &c, nil
	}
	var under []*yaml.Node
	for i := 0; i+1 < len(node.Content); i += 2 {
		v, err := r.copyTree(node.Content[i+1], depth+1)
		if err != nil {
			return nil, err
		}
		if node.Content[i].Tag == "!!merge" {
			if v.Kind == yaml.SequenceNode {
				under = append(under, v.Content...)
			} else {
				under = append(under, v)
			}
			continue
		}
		k := *node.Content[i]
		c.Content = append(c.Content, &k, v)
	}
	for _, u := range under {
		if u.Kind != yaml.MappingNode {
			return nil, newPositionError(u, "<<: must be a mapping or a list of them")
		}
		for i := 0; i+1 < len(u.Content); i += 2 {
			if valueOf(&c, u.Content[i].Value) == nil {
				c.Content = append(c.Content, u.Content[i], u.Content[i+1])
			}
		}
	}
	return &c, nil
}

// valueOf is the value of a mapping's key, nil if there is none.
func valueOf(node *yaml.Node, key string) *yaml.Node {
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == key {
			return node.Content[i+1]
		}
	}
	return nil
}

// mergeMappings puts a mapping over another: its keys win, mappings in both are joined.
func mergeMappings(over, under *yaml.Node) *yaml.Node {
	if over == nil || under == nil || over.Kind != yaml.MappingNode || under.Kind != yaml.MappingNode {
		if over == nil {
			return under
		}
		return over
	}
	out := *over
	out.Content = slices.Clone(over.Content)
	for i := 0; i+1 < len(under.Content); i += 2 {
		key := under.Content[i].Value
		found := false
		for k := 0; k+1 < len(out.Content); k += 2 {
			if out.Content[k].Value == key {
				out.Content[k+1], found = mergeMappings(out.Content[k+1], under.Content[i+1]), true
				break
			}
		}
		if !found {
			out.Content = append(out.Content, under.Content[i], under.Content[i+1])
		}
	}
	return &out
}

var variablePattern = regexp.MustCompile(`\$\$|\$\{[A-Za-z_][A-Za-z0-9_]*\}|\$[A-Za-z_][A-Za-z0-9_]*`)

// expandVariables puts variables' values into all texts of a tree; $$ is a $. The tree is changed.
func (r *problemCollector) expandVariables(node *yaml.Node, what string, variables map[string]string) {
	for _, x := range node.Content {
		r.expandVariables(x, what, variables)
	}
	if node.Kind != yaml.ScalarNode || !strings.Contains(node.Value, "$") {
		return
	}
	node.Value = variablePattern.ReplaceAllStringFunc(node.Value, func(ref string) string {
		if ref == "$$" {
			return "$"
		}
		name := strings.Trim(ref, "${}")
		v, known := variables[name]
		if !known {
			r.addProblem(node, "%s: variable %s is not set", what, name)
		}
		return v
	})
	node.Tag, node.Style = "", 0 // a number that a variable holds is a number
}

// duration is a time such as 90s, 1h 30m or "2 days".
type duration time.Duration

var (
	durationPattern = regexp.MustCompile(`^\s*([0-9]+(?:\.[0-9]+)?)\s*([a-zA-Z]*)\s*(?:and|,)?`)
	durationUnits   = map[string]time.Duration{"": time.Second, "s": time.Second, "sec": time.Second, "secs": time.Second, "second": time.Second,
		"seconds": time.Second, "m": time.Minute, "min": time.Minute, "mins": time.Minute, "minute": time.Minute, "minutes": time.Minute,
		"h": time.Hour, "hr": time.Hour, "hrs": time.Hour, "hour": time.Hour, "hours": time.Hour,
		"d": 24 * time.Hour, "day": 24 * time.Hour, "days": 24 * time.Hour, "w": 7 * 24 * time.Hour, "week": 7 * 24 * time.Hour,
		"weeks": 7 * 24 * time.Hour}
)

func (d *duration) UnmarshalYAML(node *yaml.Node) error {
	rest, sum := node.Value, 0.0
	if node.Kind != yaml.ScalarNode || strings.TrimSpace(rest) == "" {
		return newPositionError(node, "must be a time such as 90s or 1h 30m")
	}
	for strings.TrimSpace(rest) != "" {
		m := durationPattern.FindStringSubmatch(rest)
		if m == nil {
			return newPositionError(node, "must be a time such as 90s or 1h 30m")
		}
		unit, known := durationUnits[strings.ToLower(m[2])]
		if !known {
			return newPositionError(node, fmt.Sprintf("unknown unit %q; s, m, h, d and w are known", m[2]))
		}
		var x float64
		if _, err := fmt.Sscan(m[1], &x); err != nil {
			return newPositionError(node, "must be a time such as 90s or 1h 30m")
		}
		sum += x * float64(unit)
		rest = rest[len(m[0]):]
	}
	if sum <= 0 || sum > float64(tuning.MaxPipelineDuration) {
		return newPositionError(node, "must be above 0 and at most 60 days")
	}
	*d = duration(sum)
	return nil
}
