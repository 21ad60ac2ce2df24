package configrpc

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/evacuation"
	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// serviceName is the name under which net/rpc registers the service, and
	// methodName the name of its only method.
	serviceName = "Configuration"
	methodName  = serviceName + ".Row"
	// maxConnections bounds the connections that a server handles at a time.
	maxConnections = 4
	// connectionTimeout bounds the lifetime of a connection to the server.
	connectionTimeout = 2 * time.Second
	// maxRowBytes bounds the decompressed value of a row.
	maxRowBytes = 64 << 20
)

// ErrNone means that the other router has no newer row.
var ErrNone = errors.New("no newer configuration")

// Row is the configuration row, with the value and version that it has in the
// store.
type Row struct {
	Value   []byte
	Version ident.Revision
	// ReadAt is the revision up to which the sending router has read the table, and Evacuated
	// the zones evacuated at ReadAt. Both are zero from a router of an earlier release.
	// Service.Set ignores them: see SetReadAt.
	Evacuated []evacuation.State
	ReadAt    ident.Revision
}

// Args is the request for a row with a version higher than After.
type Args struct {
	After ident.Revision
}

// Reply holds a row whose value is compressed with gzip. A Version of zero means
// that there is no newer row.
type Reply struct {
	Packed  []byte
	Version ident.Revision
	// Evacuated and ReadAt are as in Row. A router of an earlier program leaves them out.
	Evacuated []evacuation.State
	ReadAt    ident.Revision
}

// Service serves the configuration row that a router has in force. The zero value
// has no row. It is safe for concurrent use.
type Service struct {
	// Evacuations returns the evacuated zones as of the version of SetReadAt, or of a later
	// one. It is set before use.
	Evacuations func() []evacuation.State

	mu  sync.Mutex
	row Row
	// readAt is the version of the store up to which the table was read.
	readAt ident.Revision
	// compressed is the compressed value of row, or nil until a router requests it.
	compressed []byte
}

// Set replaces the row if the new one has a higher version. It keeps the value
// without copying it.
func (service *Service) Set(row Row) {
	service.mu.Lock()
	defer service.mu.Unlock()
	if row.Version > service.row.Version {
		service.row, service.compressed = row, nil
	}
}

// SetReadAt records that the table was read up to version, so that the row and Evacuations are
// complete up to it.
func (service *Service) SetReadAt(version ident.Revision) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.readAt = max(service.readAt, version)
}

// Row is the net/rpc method that other routers call. It compresses the value on
// the first call for a row.
func (service *Service) Row(args Args, reply *Reply) error {
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.row.Version <= args.After {
		return nil
	}
	if service.compressed == nil {
		compressed, err := compress(service.row.Value)
		if err != nil {
			return err
		}
		service.compressed = compressed
	}
	*reply = Reply{Packed: service.compressed, Version: service.row.Version}
	if service.readAt > 0 && service.Evacuations != nil {
		reply.Evacuated, reply.ReadAt = service.Evacuations(), service.readAt
	}
	return nil
}

func compress(value []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(value); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

func decompress(compressed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	value, err := io.ReadAll(io.LimitReader(reader, maxRowBytes+1))
	if err != nil {
		return nil, err
	}
	if len(value) > maxRowBytes {
		return nil, errors.Newf("decompressed configuration longer than %d bytes", maxRowBytes)
	}
	return value, reader.Close()
}

// Fetch requests the configuration row from the router at address, which is
// IP:port. The error is ErrNone if that router has none with a version higher than
// after. Fetch ends when ctx does.
func Fetch(ctx context.Context, address string, after ident.Revision) (Row, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return Row{}, errors.Wrap(err, "connect to router for configuration")
	}
	client := rpc.NewClient(&limitedConn{Conn: conn, left: maxReplyBytes})
	defer client.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var reply Reply
	if err := client.Call(methodName, Args{After: after}, &reply); err != nil {
		return Row{}, errors.Wrapf(err, "fetch configuration from router %s", address)
	}
	if reply.Version <= after {
		return Row{}, ErrNone
	}
	value, err := decompress(reply.Packed)
	if err != nil {
		return Row{}, errors.Wrapf(err, "decompress configuration from router %s", address)
	}
	return Row{Value: value, Version: reply.Version, Evacuated: reply.Evacuated, ReadAt: reply.ReadAt}, nil
}
