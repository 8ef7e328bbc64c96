// Package codec encodes and decodes the messages of package wire for drpc. It
// calls the generated vtproto methods, which need no reflection on the hot path.
package codec

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
)

// Message is the interface of the generated code of every message in the schema.
type Message interface {
	proto.Message
	MarshalVT() ([]byte, error)
	UnmarshalVT([]byte) error
	SizeVT() int
	MarshalToSizedBufferVT([]byte) (int, error)
}

func asMessage(msg drpc.Message) (Message, error) {
	generated, ok := msg.(Message)
	if !ok {
		return nil, errors.Newf("message type %T is not generated from schema/wire.proto", msg)
	}
	return generated, nil
}

// Marshal encodes a message.
func Marshal(msg drpc.Message) ([]byte, error) {
	return MarshalAppend(nil, msg)
}

// MarshalAppend appends an encoded message to a buffer and returns the buffer.
func MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	generated, err := asMessage(msg)
	if err != nil {
		return nil, err
	}
	start, size := len(buf), generated.SizeVT()
	if cap(buf)-start < size {
		grown := make([]byte, start, start+size)
		copy(grown, buf)
		buf = grown
	}
	buf = buf[:start+size]
	if _, err := generated.MarshalToSizedBufferVT(buf[start:]); err != nil {
		return nil, errors.Wrapf(err, "marshal %T", msg)
	}
	return buf, nil
}

// Unmarshal decodes a message.
func Unmarshal(buf []byte, msg drpc.Message) error {
	generated, err := asMessage(msg)
	if err != nil {
		return err
	}
	if err := generated.UnmarshalVT(buf); err != nil {
		return errors.Wrapf(err, "unmarshal %T", msg)
	}
	return nil
}

// JSONMarshal encodes a message as JSON.
func JSONMarshal(msg drpc.Message) ([]byte, error) {
	generated, err := asMessage(msg)
	if err != nil {
		return nil, err
	}
	return protojson.Marshal(generated)
}

// JSONUnmarshal decodes a message from JSON.
func JSONUnmarshal(buf []byte, msg drpc.Message) error {
	generated, err := asMessage(msg)
	if err != nil {
		return err
	}
	return protojson.Unmarshal(buf, generated)
}
