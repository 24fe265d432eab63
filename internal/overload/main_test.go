package overload

import (
	"testing"

	"standpoint/internal/testpeer"
)

// TestMain runs the tests, unless they are run apart.
func TestMain(m *testing.M) { testpeer.RunApart(m) }
