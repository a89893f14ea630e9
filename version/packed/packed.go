// Package packed compresses the text of the gateway document. The replicated log, the
// links between processes and the audit trail hold the compressed form.
package packed

import (
	"bytes"
	"compress/flate"
	"io"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// MaxText is the maximum size of an uncompressed document in bytes. A document with
// 20,000 routes has 4 MB, and the smallest instances have 184 MB of memory.
const MaxText = 8 << 20

// Document returns a document with the text, compressed if that makes it shorter.
func Document(version uint64, text []byte) (*lilacv1.Document, error) {
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	if compressed.Len() >= len(text) {
		return &lilacv1.Document{Version: version, Content: text}, nil
	}
	return &lilacv1.Document{Version: version, Content: compressed.Bytes(), Encoding: lilacv1.DocumentEncoding_DOCUMENT_ENCODING_DEFLATE}, nil
}

// Text returns the uncompressed text of the document.
func Text(d *lilacv1.Document) ([]byte, error) {
	switch d.GetEncoding() {
	case lilacv1.DocumentEncoding_DOCUMENT_ENCODING_UNSPECIFIED:
		return d.GetContent(), nil
	case lilacv1.DocumentEncoding_DOCUMENT_ENCODING_DEFLATE:
	default:
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "document %d has the unknown encoding %d; run the same version on all instances", d.GetVersion(), d.GetEncoding())
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(d.GetContent())), MaxText+1))
	if err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "cannot decompress the document; check the disks of the state processes and put the document again")
	}
	if len(text) > MaxText {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "document %d is larger than %d bytes; put a smaller one", d.GetVersion(), MaxText)
	}
	return text, nil
}
