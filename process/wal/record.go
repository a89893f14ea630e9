package wal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

const (
	// headerSize is the size of a record's header: length (4 bytes) and checksum (4 bytes).
	headerSize = 8
	// maxRecordBytes bounds a record, so that a corrupt length is detected.
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum includes the offset, so that bytes that look like a record at another place,
// such as inside a command, are not accepted as one.
func checksum(offset int64, payload []byte) uint32 {
	var head [12]byte
	binary.LittleEndian.PutUint64(head[:8], uint64(offset))
	binary.LittleEndian.PutUint32(head[8:], uint32(len(payload)))
	return crc32.Update(crc32.Checksum(head[:], castagnoli), castagnoli, payload)
}

// appendRecord appends the record for payload to b. offset is the record's position in
// the file.
func appendRecord(b []byte, offset int64, payload []byte) []byte {
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, checksum(offset, payload))
	return append(b, payload...)
}

// recordAt returns the payload of the record at offset of data, or nil if there is no
// complete record with a valid checksum.
func recordAt(data []byte, offset int) []byte {
	if len(data)-offset < headerSize {
		return nil
	}
	length := int(binary.LittleEndian.Uint32(data[offset:]))
	if length == 0 || length > maxRecordBytes || length > len(data)-offset-headerSize {
		return nil
	}
	payload := data[offset+headerSize : offset+headerSize+length]
	if checksum(int64(offset), payload) != binary.LittleEndian.Uint32(data[offset+4:]) {
		return nil
	}
	return payload
}

// nextValidRecord returns the offset of the first valid record after offset, or -1.
func nextValidRecord(data []byte, offset int) int {
	for candidate := offset + 1; candidate+headerSize < len(data); candidate++ {
		if recordAt(data, candidate) != nil {
			return candidate
		}
	}
	return -1
}

func marshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err) // Cannot fail for the module's own message types.
	}
	return b
}

// CorruptionError reports corruption of the durable files that a crash cannot cause.
type CorruptionError struct {
	File   string
	Offset int64
	Reason string
}

// Error names the file, the offset and the remedy.
func (d *CorruptionError) Error() string {
	return fmt.Sprintf("%s at offset %d: %s; the disk lost or changed synced data: move the data folder away and start with an empty one, so that this process joins again under a new identity", d.File, d.Offset, d.Reason)
}

func corruptionError(folder Folder, name string, offset int64, reason string) error {
	d := &CorruptionError{File: folder.Path() + "/" + name, Offset: offset, Reason: reason}
	return fault.Wrap(d, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "data folder is corrupt")
}
