// Package packed packs the text of the gateway's document: the log, the links
// between processes and the trails hold it packed.
package packed

import (
	"bytes"
	"compress/flate"
	"io"

	lilacv1 "github.com/lilacbridge/lilacbridge/api/lilacbridge/v1"
	"github.com/lilacbridge/lilacbridge/process/fault"
)

// MaxText bounds the text of a document, in bytes. A document of 20,000 routes has
// 4 MB, and the smallest instances 184 MB of memory.
const MaxText = 8 << 20

// Document returns the document with its text packed, if that makes it shorter.
func Document(version uint64, text []byte) (*lilacv1.Document, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	if packed.Len() >= len(text) {
		return &lilacv1.Document{Version: version, Content: text}, nil
	}
	return &lilacv1.Document{Version: version, Content: packed.Bytes(), Encoding: lilacv1.DocumentEncoding_DOCUMENT_ENCODING_DEFLATE}, nil
}

// Text returns the document's text as the operators sent it.
func Text(d *lilacv1.Document) ([]byte, error) {
	switch d.GetEncoding() {
	case lilacv1.DocumentEncoding_DOCUMENT_ENCODING_UNSPECIFIED:
		return d.GetContent(), nil
	case lilacv1.DocumentEncoding_DOCUMENT_ENCODING_DEFLATE:
	default:
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "document %d is packed by encoding %d, which this version does not know; run one version on all instances", d.GetVersion(), d.GetEncoding())
	}
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(d.GetContent())), MaxText+1))
	if err != nil {
		return nil, fault.Wrap(err, lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "document does not unpack; check the disks of the state processes, and put the document again")
	}
	if len(text) > MaxText {
		return nil, fault.Newf(lilacv1.ErrorKind_ERROR_KIND_INTERNAL, "document %d has more than %d bytes; put a shorter one", d.GetVersion(), MaxText)
	}
	return text, nil
}
