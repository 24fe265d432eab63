// Package handover lets the processes of one node communicate while one takes over from another. In a shared directory
// each process has a live file, which shows that it is running, and a socket, over which others pass it streams; a
// record and learned state are shared in files that are replaced atomically. The package makes no decisions of its own.
package handover
