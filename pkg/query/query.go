// Package query parses the operators' query and command language.
//
//	show WHAT [where FIELD OP VALUE [and …]] [order by FIELD [desc]] [limit N]
//	create|alter customer|tier|rule NAME [FIELD VALUE …] [if revision N]
//	drop customer|tier|rule NAME [if revision N]
//	drain|undrain endpoint NAME [if revision N]
//	cancel request ID
//	unblock request ID
//	explain request ID
//	add|remove control NAME
package query

import (
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"
)

// Command is one parsed line; exactly one of its statements is set.
type Command struct {
	Show       *Show   `parser:"(  'show' @@"`
	Create     *Record `parser:" | 'create' @@"`
	Alter      *Record `parser:" | 'alter' @@"`
	Drop       *Target `parser:" | 'drop' @@"`
	Drain      *Target `parser:" | 'drain' @@"`
	Undrain    *Target `parser:" | 'undrain' @@"`
	Cancel     *Target `parser:" | 'cancel' @@"`
	Unblock    *Target `parser:" | 'unblock' @@"`
	Explain    *Target `parser:" | 'explain' @@"`
	Add        *Target `parser:" | 'add' @@"`
	Remove     *Target `parser:" | 'remove' @@ )"`
	IfRevision *uint64 `parser:"( 'if' 'revision' @Number )?"`
}

// Show asks for rows.
type Show struct {
	What    string      `parser:"@Word"`
	Where   []Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	OrderBy *Order      `parser:"( 'order' 'by' @@ )?"`
	Limit   *int        `parser:"( 'limit' @Number )?"`
}

// Condition compares a field with a value.
type Condition struct {
	Field string `parser:"@Word"`
	Op    string `parser:"@( '=' | '!=' | '<=' | '>=' | '<' | '>' )"`
	Value Value  `parser:"@@"`
}

// Order sorts rows by a field.
type Order struct {
	Field string `parser:"@Word"`
	Desc  bool   `parser:"@'desc'?"`
}

// Record is a named record with fields.
type Record struct {
	Target
	Fields []Field `parser:"@@*"`
}

// Target names a record.
type Target struct {
	What string `parser:"@Word"`
	Name Value  `parser:"@@"`
}

// Field sets one field of a record.
type Field struct {
	Pos   lexer.Position
	Name  string `parser:"(?! 'if' ) @Word"`
	Value Value  `parser:"@@"`
}

// Value is a word, a number or a quoted text.
type Value struct {
	Text string `parser:"@( Word | Number | String )"`
}

// SyntaxError tells where a command is wrong.
type SyntaxError struct {
	// Column counts from 1.
	Column  int
	Message string
}

// Error returns the reason with the column.
func (syntax *SyntaxError) Error() string { return syntax.Message }

var parser = participle.MustBuild[Command](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
		{Name: "Number", Pattern: `[0-9]+\b`},
		{Name: "Word", Pattern: `[A-Za-z0-9_/][A-Za-z0-9_./:-]*`},
		{Name: "Op", Pattern: `<=|>=|!=|[=<>]`},
		{Name: "Space", Pattern: `\s+`},
	})),
	participle.Elide("Space"),
	participle.Unquote("String"),
	participle.UseLookahead(2),
)

// Parse reads one command.
func Parse(text string) (*Command, error) {
	command, err := parser.ParseString("", strings.TrimSuffix(strings.TrimSpace(text), ";"))
	if err == nil {
		return command, nil
	}
	var failure participle.Error
	if errors.As(err, &failure) {
		return nil, &SyntaxError{Column: failure.Position().Column, Message: failure.Message()}
	}
	return nil, &SyntaxError{Column: 1, Message: err.Error()}
}

// Codes of replies that no control VM decides.
const (
	CodeSyntax  = "syntax"
	CodeInvalid = "invalid"
)
