// Package codec marshals the messages of package wire for drpc. It calls the
// generated methods directly, so that the hot path needs no reflection.
package codec

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
)

// Message is what the generated code offers for every message of the schema.
type Message interface {
	proto.Message
	MarshalVT() ([]byte, error)
	UnmarshalVT([]byte) error
	SizeVT() int
	MarshalToSizedBufferVT([]byte) (int, error)
}

func message(msg drpc.Message) (Message, error) {
	known, ok := msg.(Message)
	if !ok {
		return nil, errors.Newf("message type %T is not generated from schema/wire.proto", msg)
	}
	return known, nil
}

// Marshal encodes a message.
func Marshal(msg drpc.Message) ([]byte, error) {
	return MarshalAppend(nil, msg)
}

// MarshalAppend encodes a message behind the contents of a buffer.
func MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	known, err := message(msg)
	if err != nil {
		return nil, err
	}
	start, size := len(buf), known.SizeVT()
	if cap(buf)-start < size {
		grown := make([]byte, start, start+size)
		copy(grown, buf)
		buf = grown
	}
	buf = buf[:start+size]
	if _, err := known.MarshalToSizedBufferVT(buf[start:]); err != nil {
		return nil, errors.Wrapf(err, "marshal %T", msg)
	}
	return buf, nil
}

// Unmarshal decodes a message.
func Unmarshal(buf []byte, msg drpc.Message) error {
	known, err := message(msg)
	if err != nil {
		return err
	}
	if err := known.UnmarshalVT(buf); err != nil {
		return errors.Wrapf(err, "unmarshal %T", msg)
	}
	return nil
}

// JSONMarshal encodes a message as JSON.
func JSONMarshal(msg drpc.Message) ([]byte, error) {
	known, err := message(msg)
	if err != nil {
		return nil, err
	}
	return protojson.Marshal(known)
}

// JSONUnmarshal decodes a message from JSON.
func JSONUnmarshal(buf []byte, msg drpc.Message) error {
	known, err := message(msg)
	if err != nil {
		return err
	}
	return protojson.Unmarshal(buf, known)
}
