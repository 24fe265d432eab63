// Package upgrade has the tests of upgrades on real processes under the limits of the platform. They are run apart from
// the tests of other packages, since their time limits are those of real clients.
package upgrade
