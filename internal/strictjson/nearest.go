package strictjson

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// unknownRemedy names the field that the writer probably meant.
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

// Nearest returns the candidate that differs least from name, or "" when all
// differ in more than a third of their letters.
func Nearest(name string, candidates []string) string {
	const longestShare = 3
	best, bestDistance := "", 0
	plain := simplify(name)
	for _, candidate := range candidates {
		distance := editDistance(plain, simplify(candidate))
		if distance*longestShare > max(len(name), len(candidate)) {
			continue
		}
		if best == "" || distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// simplify lets camelCase and kebab-case match snake_case.
func simplify(name string) string {
	return strings.ToLower(strings.NewReplacer("_", "", "-", "").Replace(name))
}

// editDistance counts the insertions, deletions and replacements between a and b.
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
