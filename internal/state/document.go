package state

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// maxDocument bounds an unpacked document, in bytes.
const maxDocument = 64 << 20

// NewDeployment packs an operator's document: every gateway takes a copy, and
// documents repeat themselves.
func NewDeployment(version uint64, document []byte) (*wire.Deployment, error) {
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	if _, err := writer.Write(document); err != nil {
		return nil, errors.Wrap(err, "pack a document")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "pack a document")
	}
	return &wire.Deployment{Version: version, Document: packed.Bytes()}, nil
}

// Document returns the operator's document as it was sent.
func Document(deployment *wire.Deployment) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(deployment.GetDocument()))
	if err != nil {
		return nil, errors.Wrapf(err, "document of version %d", deployment.GetVersion())
	}
	document, err := io.ReadAll(io.LimitReader(reader, maxDocument))
	return document, errors.Wrapf(err, "document of version %d", deployment.GetVersion())
}
