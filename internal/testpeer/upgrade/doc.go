// Package upgrade runs a node whose processes replace each other on one listening socket, as the platform upgrades it,
// with backends that hang and go on and with clients that record how each stream ended. Only tests use it.
package upgrade
