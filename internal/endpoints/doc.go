// Package endpoints watches the discovery of backends, caches the endpoint list, applies what operators override by hand, and
// notifies the core of every change.
package endpoints
