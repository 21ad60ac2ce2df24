package gossip

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxDepth is how deep the arrays and maps of a datagram may be nested.
const maxDepth = 8

var (
	errTooLong = errors.New("gossip message: array or map that is longer than its datagram")
	errTooDeep = errors.New("gossip message: arrays or maps that are nested too deep")
)

// unmarshal decodes a datagram. The decoder allocates arrays and maps by the lengths that they
// name, so these are checked first.
func unmarshal(datagram []byte, message any) error {
	check := lengthCheck{decoder: msgpack.NewDecoder(bytes.NewReader(datagram)), size: len(datagram)}
	if err := check.value(maxDepth); err != nil {
		return err
	}
	return msgpack.Unmarshal(datagram, message)
}

// lengthCheck checks the lengths of the arrays and maps in a datagram of size bytes, each
// element of which takes a byte at least.
type lengthCheck struct {
	decoder *msgpack.Decoder
	size    int
}

// value checks the next value, in which arrays and maps are nested at most so deep.
func (check *lengthCheck) value(depth int) error {
	code, err := check.decoder.PeekCode()
	if err != nil {
		return err
	}
	switch {
	case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
		count, err := check.decoder.DecodeArrayLen()
		return errors.CombineErrors(err, check.values(count, depth-1))
	case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
		count, err := check.decoder.DecodeMapLen()
		return errors.CombineErrors(err, check.values(2*count, depth-1))
	}
	return check.decoder.Skip()
}

// values checks the next values.
func (check *lengthCheck) values(count, depth int) error {
	switch {
	case depth < 0:
		return errTooDeep
	case count > check.size:
		return errTooLong
	}
	for range count {
		if err := check.value(depth); err != nil {
			return err
		}
	}
	return nil
}
