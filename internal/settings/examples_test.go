package settings

import (
	"testing"

	"github.com/matryer/is"
)

func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	_, err := LoadRouter("../../examples/router.json")
	is.NoErr(err)
}
