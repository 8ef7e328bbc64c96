package query

import (
	"github.com/cockroachdb/errors"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

// Failure returns the reply to a command that could not be parsed.
func Failure(err error) *wire.CommandReply {
	reply := &wire.CommandReply{Code: CodeSyntax, Error: err.Error(), Column: 1}
	var syntax *SyntaxError
	if errors.As(err, &syntax) {
		reply.Column, reply.Code = uint32(syntax.Column), syntax.Code
	}
	return reply
}

// Invalid returns the reply to a well-formed command that cannot be executed.
func Invalid(err error) *wire.CommandReply {
	return &wire.CommandReply{Code: CodeInvalid, Error: err.Error()}
}
