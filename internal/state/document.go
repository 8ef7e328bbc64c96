package state

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// maxDocumentBytes is the maximum size of a decompressed document.
const maxDocumentBytes = 64 << 20

// NewDeployment compresses an operator's document. Every gateway fetches a copy,
// and documents are repetitive.
func NewDeployment(version uint64, document []byte) (*wire.Deployment, error) {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(document); err != nil {
		return nil, errors.Wrapf(err, "compress document of version %d", version)
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrapf(err, "compress document of version %d", version)
	}
	return &wire.Deployment{Version: version, Document: packed.Bytes()}, nil
}

// Document returns the decompressed document of a deployment.
func Document(deployment *wire.Deployment) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(deployment.GetDocument()))
	if err != nil {
		return nil, errors.Wrapf(err, "decompress document of version %d", deployment.GetVersion())
	}
	document, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes))
	return document, errors.Wrapf(err, "decompress document of version %d", deployment.GetVersion())
}
