// Package handover is the channel between the processes of one node while one takes over from another: a directory in
// which each process shows that it lives, files that are replaced as a whole, and sockets over which streams are
// passed. It decides nothing.
package handover
