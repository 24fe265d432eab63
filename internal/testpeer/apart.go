package testpeer

import (
	"fmt"
	"os"
	"testing"
)

// apartVariable is the environment variable with which known-red.sh has some packages pass over their tests, where it
// runs those of all packages together, to run them alone afterwards.
const apartVariable = "STANDPOINT_OVERLOAD_APART"

// RunApart runs the tests of a package and exits, unless its tests are run apart.
func RunApart(m *testing.M) {
	if os.Getenv(apartVariable) != "" {
		fmt.Println("run apart from the tests of other packages")
		return
	}
	os.Exit(m.Run())
}
