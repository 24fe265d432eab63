// Package loopback finds addresses for servers that tests and the laboratory start as processes of their own.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
)

const (
	// firstPort is below the ports that the kernel gives to outgoing connections.
	firstPort = 21000
	// maxHosts is the maximum number of hosts that are tried.
	maxHosts = 50
)

// FreeAddresses returns count addresses of one host that are free for TCP and UDP. The host is a random address of the
// loopback range that nothing else here uses: neither another program nor an outgoing connection takes a port there
// before the caller does, or while a process that was killed restarts.
func FreeAddresses(count int) ([]string, error) {
	for range maxHosts {
		host := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(250))
		if found := freePorts(host, count); len(found) == count {
			return found, nil
		}
	}
	return nil, errors.New("too few free ports on random loopback addresses")
}

// FreeAddress returns one address as FreeAddresses does.
func FreeAddress() (string, error) {
	found, err := FreeAddresses(1)
	if err != nil {
		return "", err
	}
	return found[0], nil
}

// freePorts returns up to count free addresses of a host; fewer if it finds one in use.
func freePorts(host string, count int) []string {
	var found []string
	for port := firstPort; len(found) < count; port++ {
		address := net.JoinHostPort(host, strconv.Itoa(port))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			break
		}
		defer listener.Close()
		packets, err := net.ListenPacket("udp", address)
		if err != nil {
			break
		}
		defer packets.Close()
		found = append(found, address)
	}
	return found
}
