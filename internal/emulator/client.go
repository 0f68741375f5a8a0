package emulator

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"basaltcross.example/basaltcross/internal/pause"
)

// clientTimeout is how long a client waits for a connection and for its response.
const clientTimeout = 400 * time.Millisecond

// Client hands messages in to one node, one after the other, and keeps its connection open between them.
type Client struct {
	Platform      *Platform
	Node          int
	Addr          string
	Name          string // unique; also the key of messages of ordered classes
	Classes       []Class
	TimeToLive    time.Duration // time to live of each message
	MaxPause      time.Duration // upper bound of the pause between two requests
	Seed          uint64
	AbandonNext   func() bool // reports whether to close the connection within the next request; may be nil
	HalfCloseNext func() bool // reports whether to half-close the connection after the next request; may be nil
	Ends          Ends

	conn       net.Conn
	reader     *bufio.Reader
	used       bool
	lastNumber int
	r          *rand.Rand
}

// Run hands in messages until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.r = rand.New(rand.NewPCG(c.Seed, 0xc))
	c.Ends.seed(c.Seed)
	for ctx.Err() == nil {
		c.handIn(ctx)
		pause.For(ctx, time.Duration(c.r.Int64N(int64(c.MaxPause)+1)))
	}
	c.drop()
}

func (c *Client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// newHistory returns the history of the next request, with its ID, class and key.
func (c *Client) newHistory() *History {
	class := c.Classes[c.r.IntN(len(c.Classes))]
	c.lastNumber++
	x := &History{ID: fmt.Sprintf("%s-%d", c.Name, c.lastNumber), Node: c.Node, Class: class, Number: c.lastNumber,
		MaxCalls: c.Ends.drawLimit()}
	if class.Ordered {
		x.Key = c.Name
	}
	return x
}

// encodeRequest returns a request as it is sent.
func (c *Client) encodeRequest(x *History) string {
	var b strings.Builder
	dest := len(c.Name) // any number that is the same for all messages of a key
	for _, ch := range c.Name {
		dest += int(ch)
	}
	if !x.Class.Ordered {
		dest += x.Number
	}
	body := strings.Repeat("x", c.r.IntN(900))
	fmt.Fprintf(&b,
		"POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\nX-Addressing: dest=%d\r\n",
		x.ID, x.Class.Name, c.TimeToLive.Milliseconds(), dest%len(c.Platform.Hosts))
	if x.Class.Effect == Deduplicated {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", x.ID)
	}
	if x.Key != "" {
		fmt.Fprintf(&b, "Cookie: about=%s\r\n", x.Key)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

// handIn hands in one message. If an idle connection turns out to be closed, a further message goes out on a
// new one.
func (c *Client) handIn(ctx context.Context) {
	for range 2 {
		fresh := c.conn == nil
		if fresh && !c.dial(ctx) {
			return
		}
		x := c.newHistory()
		reply := c.exchange(x, fresh)
		c.Platform.Record.Replied(x.ID, reply)
		if reply.accepted() {
			c.Ends.withdraw(c.Platform.Record, x.ID)
		}
		if !reply.Complete || reply.End != "" {
			c.drop()
		}
		if fresh || reply.Complete || reply.Text != "" || reply.End == "timeout" {
			return
		}
	}
}

func (c *Client) dial(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// exchange sends a request and reads its response. fresh is whether it is the first on its connection.
func (c *Client) exchange(x *History, fresh bool) Reply {
	text := c.encodeRequest(x)
	x.Sent = time.Now()
	x.Deadline = x.Sent.Add(c.TimeToLive)
	c.Platform.Record.Sent(x)
	abandon := c.AbandonNext != nil && c.AbandonNext()
	if abandon {
		text = text[:len(text)/2]
	}
	_, err := io.WriteString(c.conn, text)
	if abandon {
		c.drop()
		return Reply{At: time.Now(), End: "left", Fresh: fresh}
	}
	if err != nil {
		return Reply{At: time.Now(), End: connectionEnd(err), Fresh: fresh}
	}
	halfClose := c.HalfCloseNext != nil && c.HalfCloseNext()
	if tcp, ok := c.conn.(*net.TCPConn); ok && halfClose {
		_ = tcp.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(clientTimeout))
	reply := c.read()
	if halfClose {
		c.drop()
	}
	reply.Fresh = fresh
	return reply
}

// read reads one response, and keeps what was read of it.
func (c *Client) read() Reply {
	var got strings.Builder
	tee := bufio.NewReaderSize(io.TeeReader(c.reader, &got), 16)
	r, err := http.ReadResponse(tee, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
	}
	reply := Reply{At: time.Now(), Text: got.String()}
	if err != nil {
		reply.End = connectionEnd(err)
		return reply
	}
	reply.Status, reply.Complete = r.StatusCode, true
	if tee.Buffered() > 0 || c.reader.Buffered() > 0 {
		reply.End = "more"
	} else if r.Close {
		reply.End = "close"
	}
	return reply
}

// connectionEnd returns how a connection ended, as Reply.End names it.
func connectionEnd(err error) string {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "timeout"
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return "reset"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "eof"
	}
	return "error: " + strconv.Quote(err.Error())
}
