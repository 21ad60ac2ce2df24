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

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// serviceName is the name under which the service is registered, and method
	// that of its only call.
	serviceName = "Configuration"
	method      = serviceName + ".Row"
	// maxCallers bounds the callers that are served at a time.
	maxCallers = 4
	// callTimeout bounds a connection from its beginning to its end.
	callTimeout = 2 * time.Second
	// maxRowBytes bounds a row that is unpacked.
	maxRowBytes = 64 << 20
)

// ErrNone means that the other router has no row that is newer.
var ErrNone = errors.New("no newer configuration")

// Row is the row of the configuration as the store had it.
type Row struct {
	Value   []byte
	Version ident.Revision
}

// Args asks for a row that is newer than After.
type Args struct {
	After ident.Revision
}

// Reply holds a row with its value compressed; a Version of zero means none.
type Reply struct {
	Packed  []byte
	Version ident.Revision
}

// Service holds the row that a router has in force. The zero value has none. It
// is safe for concurrent use.
type Service struct {
	mu     sync.Mutex
	row    Row
	packed []byte
}

// Set replaces the row by a newer one.
func (service *Service) Set(row Row) {
	service.mu.Lock()
	defer service.mu.Unlock()
	if row.Version > service.row.Version {
		service.row, service.packed = row, nil
	}
}

// Row answers a call of another router.
func (service *Service) Row(args Args, reply *Reply) error {
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.row.Version <= args.After {
		return nil
	}
	if service.packed == nil {
		packed, err := pack(service.row.Value)
		if err != nil {
			return err
		}
		service.packed = packed
	}
	*reply = Reply{Packed: service.packed, Version: service.row.Version}
	return nil
}

func pack(value []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(value); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	value, err := io.ReadAll(io.LimitReader(reader, maxRowBytes+1))
	if err != nil {
		return nil, err
	}
	if len(value) > maxRowBytes {
		return nil, errors.Newf("configuration longer than %d bytes", maxRowBytes)
	}
	return value, reader.Close()
}

// Fetch asks the router at address, which is IP:port, for a row that is newer
// than after. Its error is ErrNone where there is none.
func Fetch(ctx context.Context, address string, after ident.Revision) (Row, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return Row{}, errors.Wrap(err, "configuration of a router")
	}
	client := rpc.NewClient(conn)
	defer client.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	var reply Reply
	if err := client.Call(method, Args{After: after}, &reply); err != nil {
		return Row{}, errors.Wrap(err, "configuration of a router")
	}
	if reply.Version <= after {
		return Row{}, ErrNone
	}
	value, err := unpack(reply.Packed)
	if err != nil {
		return Row{}, errors.Wrap(err, "configuration of a router")
	}
	return Row{Value: value, Version: reply.Version}, nil
}
