package stage

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Client is a consumer with one channel to a router.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// Dial opens a channel to a router.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Send writes bytes to the router.
func (client *Client) Send(data string) error {
	_, err := io.WriteString(client.conn, data)
	return err
}

// Receive reads one whole answer within the given time.
func (client *Client) Receive(within time.Duration) (*http.Response, []byte, error) {
	if err := client.conn.SetReadDeadline(time.Now().Add(within)); err != nil {
		return nil, nil, err
	}
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(response.Body)
	return response, body, err
}

// Close closes the channel.
func (client *Client) Close() { _ = client.conn.Close() }

// Head returns the head of a request without its last empty line.
func Head(method, path, attempt, key string, deadlineMs int) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: site.example\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		method, path, attempt, deadlineMs, key)
}
