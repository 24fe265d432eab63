// Package entries is the actor of the endpoints: it watches the platform's discovery and tells the
// core of every change.
package endpoints
