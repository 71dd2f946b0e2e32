package main

import (
	"net"
	"sync/atomic"
)

const (
	// segmentOverhead is the size of the IPv4 and TCP headers of a segment with timestamps, in bytes.
	segmentOverhead = 52
	// segmentPayload is the payload of a full segment on an Ethernet path, in bytes.
	segmentPayload = 1448
)

// byteCounter counts the bytes of connections in both directions, including an estimate of the IP and TCP
// headers.
type byteCounter struct {
	bytes atomic.Int64
}

func (c *byteCounter) add(n int) {
	segments := (n + segmentPayload - 1) / segmentPayload
	c.bytes.Add(int64(n + segments*segmentOverhead))
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	counter *byteCounter
}

// Accept returns the next connection, which counts its bytes.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, counter: l.counter}, nil
}

type countingConn struct {
	net.Conn
	counter *byteCounter
}

// Read counts the bytes that the peer sent.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.add(n)
	return n, err
}

// Write counts the bytes sent to the peer.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.add(n)
	return n, err
}
