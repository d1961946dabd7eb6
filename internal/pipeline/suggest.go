package pipeline

import (
	"fmt"
	"iter"
	"maps"
	"reflect"
)

// maxSuggestedDistance is the maximum edit distance, in bytes, between an unknown name and a known name that is
// suggested for it.
const maxSuggestedDistance = 2

// suggestKey returns a text that suggests a key of a struct type for an unknown key, in the form that suggest
// returns.
func suggestKey(key string, structType reflect.Type) string {
	return suggest(key, maps.Keys(fieldsByKey(structType)), "%s")
}

// suggest returns a text that suggests the known name closest to an unknown name. The caller appends this text
// to the text of a problem. format formats the known name. suggest returns "" if no known name is within
// maxSuggestedDistance.
func suggest(name string, knownNames iter.Seq[string], format string) string {
	closest, closestDistance := "", maxSuggestedDistance+1
	for candidate := range knownNames {
		distance := editDistance(name, candidate)
		if distance < closestDistance || distance == closestDistance && candidate < closest {
			closest, closestDistance = candidate, distance
		}
	}
	if closest == "" {
		return ""
	}
	return fmt.Sprintf("; "+format+" is meant?", closest)
}

// editDistance returns the Levenshtein distance: the minimum number of bytes that have to be changed, inserted or
// removed to turn a into b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitution := diagonal
			if a[i] != b[j] {
				substitution++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitution, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
