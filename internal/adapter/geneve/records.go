package geneve

import (
	"encoding/binary"

	"github.com/ansel1/merry/v2"

	"github.com/savorytiller/savorytiller/internal/core/flow"
	"github.com/savorytiller/savorytiller/internal/core/model"
	"github.com/savorytiller/savorytiller/internal/port"
)

const (
	// recordLength is the length in bytes of a packed record: the fingerprint (8),
	// the deleted bit with the age (1), the service (3) and the server's number (4).
	recordLength = 16
	// deletedBit is Record.Deleted in the byte that also holds the age.
	deletedBit = 0x80
)

// EncodeRecords implements port.FlowCodec.
func (c *Codec) EncodeRecords(dst []byte, records []flow.Record) []byte {
	for i := range records {
		r := &records[i]
		word := uint32(min(r.Age, flow.MaxAge))<<24 | uint32(r.Service)
		if r.Deleted {
			word |= deletedBit << 24
		}
		dst = binary.BigEndian.AppendUint64(dst, r.Fingerprint)
		dst = binary.BigEndian.AppendUint32(dst, word)
		dst = binary.BigEndian.AppendUint32(dst, r.Server)
	}
	return dst
}

// DecodeRecords implements port.FlowCodec.
func (c *Codec) DecodeRecords(packed []byte) ([]flow.Record, error) {
	if len(packed)%recordLength != 0 {
		return nil, port.ErrTruncated
	}
	records := make([]flow.Record, 0, len(packed)/recordLength)
	for ; len(packed) > 0; packed = packed[recordLength:] {
		word := binary.BigEndian.Uint32(packed[8:])
		r := flow.Record{
			Fingerprint: binary.BigEndian.Uint64(packed),
			Service:     model.ServiceID(word) & model.MaxServiceID,
			Server:      binary.BigEndian.Uint32(packed[12:]),
			Age:         uint8(word>>24) &^ deletedBit,
			Deleted:     word>>24&deletedBit != 0,
		}
		if r.Service == 0 {
			return nil, merry.Prepend(port.ErrMalformed, "flow record without a service")
		}
		records = append(records, r)
	}
	return records, nil
}
