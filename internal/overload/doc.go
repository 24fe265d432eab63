// Package overload has the tests of node processes under the platform's smallest limits, with crowds of misbehaving
// clients. They are run apart from all others, since both would disturb each other.
package overload
