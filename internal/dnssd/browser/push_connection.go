package browser

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"standpoint/internal/dnssd/record"
)

const (
	// connectTimeout bounds the TCP connection and TLS handshake together, and the wait for the first response.
	connectTimeout = 2 * time.Second
	// writeTimeout bounds the write of one message.
	writeTimeout = time.Second
	// maxMessageSize is the maximum size of a message in bytes; its length field has two bytes (RFC 8490, 5.4).
	maxMessageSize = 65_535
)

// pushUnavailableError reports that no push session can be opened with the server, and the reason.
type pushUnavailableError struct{ reason string }

// Error implements error.
func (e *pushUnavailableError) Error() string { return "push service unavailable: " + e.reason }

// retryDelayError reports that the server has requested that no session be opened before the delay has passed.
type retryDelayError struct{ delay time.Duration }

// Error implements error.
func (e *retryDelayError) Error() string {
	return fmt.Sprintf("push server requested a retry delay of %v", e.delay)
}

// runPushSession runs one push session and returns the reason for its end. start is called before the first snapshot is
// published: once the session's cache is complete or initialSyncTimeout has passed.
func (b *Browser) runPushSession(ctx context.Context, start func()) error {
	address, host, err := b.locatePushServer(ctx)
	if err != nil {
		return err
	}
	connecting, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	raw, err := (&net.Dialer{}).DialContext(connecting, "tcp", address)
	if err != nil {
		return err
	}
	defer raw.Close()
	conn, err := b.secure(connecting, raw, host)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	return newPushSession(b, conn).run(ctx, start)
}

// secure returns conn with TLS on top if TLS is configured. host is the name that the server's certificate must be
// valid for, unless the configuration has another one.
func (b *Browser) secure(ctx context.Context, conn net.Conn, host string) (net.Conn, error) {
	if b.TLS == nil {
		return conn, nil
	}
	config := b.TLS.Clone()
	if config.ServerName == "" {
		config.ServerName = host
	}
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, err
	}
	return secured, nil
}

// locatePushServer returns the push server's host:port and its host name, from the configured address or the domain's
// SRV record (RFC 8765, 6.1).
func (b *Browser) locatePushServer(ctx context.Context) (address, host string, err error) {
	if b.PushAddress != "" {
		host, _, err = net.SplitHostPort(b.PushAddress)
		return b.PushAddress, host, err
	}
	if b.TLS == nil {
		return "", "", &pushUnavailableError{"neither a root certificate nor an address is configured"}
	}
	service := "_dns-push-tls._tcp." + b.domain
	response, err := b.client.Query(ctx, service, record.SRV)
	if err != nil {
		return "", "", err
	}
	var targets []record.Target
	for _, r := range response.Records {
		targets = append(targets, r.Server)
	}
	target, err := record.Choose(targets, 0)
	if err != nil {
		return "", "", &pushUnavailableError{"no usable SRV record for " + service}
	}
	return b.resolvePushServer(ctx, target)
}

// resolvePushServer queries the address of a push server and returns its host:port and host name.
func (b *Browser) resolvePushServer(ctx context.Context, target record.Target) (address, host string, err error) {
	for _, kind := range []record.Kind{record.A, record.AAAA} {
		response, err := b.client.Query(ctx, target.Host, kind)
		if err != nil {
			return "", "", err
		}
		if len(response.Records) == 0 {
			continue
		}
		ip := response.Records[0].IP
		if !ip.IsLoopback() {
			return "", "", &pushUnavailableError{fmt.Sprintf("address %v is not a loopback address", ip)}
		}
		address = net.JoinHostPort(ip.String(), strconv.Itoa(int(target.Port)))
		return address, strings.TrimSuffix(target.Host, "."), nil
	}
	return "", "", &pushUnavailableError{"no address of " + target.Host}
}

// readMessages forwards complete messages to inbox until a read fails or done is closed.
func readMessages(r io.Reader, inbox chan<- []byte, done <-chan struct{}) error {
	buffered := bufio.NewReader(r)
	var size [2]byte
	for {
		if _, err := io.ReadFull(buffered, size[:]); err != nil {
			return err
		}
		raw := make([]byte, binary.BigEndian.Uint16(size[:]))
		if _, err := io.ReadFull(buffered, raw); err != nil {
			return err
		}
		select {
		case inbox <- raw:
		case <-done:
			return nil
		}
	}
}

// writeMessage writes one message, preceded by its length, in a single write.
func writeMessage(conn net.Conn, raw []byte, now time.Time) error {
	if len(raw) > maxMessageSize {
		return fmt.Errorf("push message of %d bytes exceeds the maximum size", len(raw))
	}
	_ = conn.SetWriteDeadline(now.Add(writeTimeout)) // on a closed connection the write returns the error
	frame := binary.BigEndian.AppendUint16(make([]byte, 0, len(raw)+2), uint16(len(raw)))
	_, err := conn.Write(append(frame, raw...))
	return err
}
