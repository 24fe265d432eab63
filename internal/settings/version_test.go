package settings

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNextVersion(t *testing.T) {
	_, err := NextVersion(4, 3, Version{Author: "a", Text: document})
	require.ErrorIs(t, err, ErrStale)
	_, err = NextVersion(4, 4, Version{Text: document})
	require.ErrorContains(t, err, "author")
	_, err = NextVersion(4, 4, Version{Author: "a", Text: "name = \"x\"\n"})
	require.ErrorContains(t, err, "name:")
	_, err = NextVersion(4, 4, Version{Author: "a", Text: strings.Repeat("#", MaxDocumentBytes+1)})
	require.ErrorContains(t, err, "bytes")
	next, err := NextVersion(4, 4, Version{Author: "a", Text: document})
	require.NoError(t, err)
	require.EqualValues(t, 5, next.Number)
}
