package main

import (
	"net"
	"sync/atomic"
)

const (
	// segmentOverhead is the IP and TCP headers of one segment with timestamps, in bytes.
	segmentOverhead = 52
	// segmentPayload is the payload of a full segment on an Ethernet path, in bytes.
	segmentPayload = 1448
)

// wire counts the bytes of links in both directions, with an estimate of the headers below TLS.
type wire struct {
	bytes atomic.Int64
}

func (w *wire) add(n int) {
	segments := (n + segmentPayload - 1) / segmentPayload
	w.bytes.Add(int64(n + segments*segmentOverhead))
}

// countingListener counts the bytes of the links that it accepts.
type countingListener struct {
	net.Listener
	wire *wire
}

// Accept waits for the next link.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, wire: l.wire}, nil
}

type countingConn struct {
	net.Conn
	wire *wire
}

// Read counts what the far end sent.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.wire.add(n)
	return n, err
}

// Write counts what this end sends.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.wire.add(n)
	return n, err
}
