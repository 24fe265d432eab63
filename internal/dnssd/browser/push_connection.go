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
	connectTimeout = 2 * time.Second // for TCP and TLS together, and for the first response
	writeTimeout   = time.Second
	maxMessageSize = 65_535 // bytes of one message, whose length has two bytes (RFC 8490, 5.4)
)

// pushUnavailableError reports that the server offers no push session, and why.
type pushUnavailableError struct{ reason string }

// Error implements error.
func (e *pushUnavailableError) Error() string { return "the server offers no push: " + e.reason }

// retryDelayError reports that the server wants no session for a time.
type retryDelayError struct{ delay time.Duration }

// Error implements error.
func (e *retryDelayError) Error() string {
	return fmt.Sprintf("the server wants no session for %v", e.delay)
}

// runPushSession has one push session, and returns why it ended. start is called once its cache is complete, before the
// first snapshot is published.
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

// secure puts TLS over a connection where it is configured; host is the name that the server's certificate must have.
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

// locatePushServer is the push server's host:port and its host name: as configured, or by the domain's SRV record
// (RFC 8765, 6.1).
func (b *Browser) locatePushServer(ctx context.Context) (address, host string, err error) {
	if b.PushAddress != "" {
		host, _, err = net.SplitHostPort(b.PushAddress)
		return b.PushAddress, host, err
	}
	if b.TLS == nil {
		return "", "", &pushUnavailableError{"no root certificate is configured, and no address"}
	}
	service := "_dns-push-tls._tcp." + b.domain
	answer, err := b.client.Query(ctx, service, record.SRV)
	if err != nil {
		return "", "", err
	}
	var targets []record.Target
	for _, r := range answer.Records {
		targets = append(targets, r.Server)
	}
	target, err := record.Choose(targets, 0)
	if err != nil {
		return "", "", &pushUnavailableError{"no SRV record of " + service}
	}
	return b.resolvePushServer(ctx, target)
}

// resolvePushServer looks up the address of a push server.
func (b *Browser) resolvePushServer(ctx context.Context, target record.Target) (address, host string, err error) {
	for _, kind := range []record.Kind{record.A, record.AAAA} {
		answer, err := b.client.Query(ctx, target.Host, kind)
		if err != nil {
			return "", "", err
		}
		if len(answer.Records) == 0 {
			continue
		}
		ip := answer.Records[0].IP
		if !ip.IsLoopback() {
			return "", "", &pushUnavailableError{fmt.Sprintf("its address, %v, is no loopback address", ip)}
		}
		address = net.JoinHostPort(ip.String(), strconv.Itoa(int(target.Port)))
		return address, strings.TrimSuffix(target.Host, "."), nil
	}
	return "", "", &pushUnavailableError{"no address of " + target.Host}
}

// readMessages passes complete messages on to inbox until the connection ends or done is closed.
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

// writeMessage writes one message behind its length, in one write.
func writeMessage(conn net.Conn, raw []byte, now time.Time) error {
	if len(raw) > maxMessageSize {
		return fmt.Errorf("a message of %d bytes", len(raw))
	}
	_ = conn.SetWriteDeadline(now.Add(writeTimeout)) // on a closed connection the write says so
	frame := binary.BigEndian.AppendUint16(make([]byte, 0, len(raw)+2), uint16(len(raw)))
	_, err := conn.Write(append(frame, raw...))
	return err
}
