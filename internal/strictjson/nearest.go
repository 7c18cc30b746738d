package strictjson

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// unknownRemedy suggests the known field that is closest to an unknown one.
func unknownRemedy(name string, fields protoreflect.FieldDescriptors) string {
	names := make([]string, 0, fields.Len())
	for i := range fields.Len() {
		names = append(names, string(fields.Get(i).Name()))
	}
	if near := Nearest(name, names); near != "" {
		return fmt.Sprintf("did you mean %q?", near)
	}
	return "remove it, or use one of " + strings.Join(names, ", ")
}

// Nearest returns the candidate with the least edit distance to name, or "" when
// that exceeds a third of the longer name for all of them. Case, underscores and
// hyphens do not count.
func Nearest(name string, candidates []string) string {
	const maxDistanceDivisor = 3
	best, bestDistance := "", 0
	normalized := normalize(name)
	for _, candidate := range candidates {
		distance := editDistance(normalized, normalize(candidate))
		if distance*maxDistanceDivisor > max(len(name), len(candidate)) {
			continue
		}
		if best == "" || distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// normalize makes camelCase and kebab-case equal to snake_case.
func normalize(name string) string {
	return strings.ToLower(strings.NewReplacer("_", "", "-", "").Replace(name))
}

// editDistance returns the Levenshtein distance between a and b, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replace := diagonal
			if a[i] != b[j] {
				replace++
			}
			diagonal = row[j+1]
			row[j+1] = min(replace, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
