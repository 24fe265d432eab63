// Package crowd runs a node process under the smallest limits of the platform, and loads it with many misbehaving
// clients beside well-behaved ones. Only tests use it.
package crowd
