// Package query parses the operators' query and command language. Its grammar,
// records and fields are documented in docs/COMMANDS.md.
//
//	show WHAT [where FIELD OP VALUE [and …]] [order by FIELD [desc]] [limit N]
//	create|alter customer|tier|rule NAME [FIELD VALUE …] [if revision N]
//	drop customer|tier|rule NAME [if revision N]
//	drain|undrain endpoint NAME [if revision N]
//	unblock request ID [if revision N]
//	evacuate|restore zone NAME [if revision N]
//	cancel request ID
//	explain request ID
//	add|remove control NAME [if revision N]
package query

import (
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"
)

// Command is one parsed command; exactly one of its statements is set.
type Command struct {
	Show       *Show     `parser:"(  'show':Word @@"`
	Create     *Record   `parser:" | 'create':Word @@"`
	Alter      *Record   `parser:" | 'alter':Word @@"`
	Drop       *Target   `parser:" | 'drop':Word @@"`
	Drain      *Target   `parser:" | 'drain':Word @@"`
	Undrain    *Target   `parser:" | 'undrain':Word @@"`
	Cancel     *Target   `parser:" | 'cancel':Word @@"`
	Unblock    *Target   `parser:" | 'unblock':Word @@"`
	Evacuate   *Target   `parser:" | 'evacuate':Word @@"`
	Restore    *Target   `parser:" | 'restore':Word @@"`
	Explain    *Target   `parser:" | 'explain':Word @@"`
	Add        *Target   `parser:" | 'add':Word @@"`
	Remove     *Target   `parser:" | 'remove':Word @@ )"`
	Condition  *Revision `parser:"( 'if':Word 'revision':Word @@ )?"`
	IfRevision *uint64   `parser:""`
}

// Revision is the configuration revision that a conditional command requires.
type Revision struct {
	Pos  lexer.Position
	Text string `parser:"@Word"`
}

// Show is a query for the rows of a kind of record.
type Show struct {
	Pos     lexer.Position
	What    string      `parser:"@Word"`
	Where   []Condition `parser:"( 'where':Word @@ ( 'and':Word @@ )* )?"`
	OrderBy *Order      `parser:"( 'order':Word 'by':Word @@ )?"`
	Limit   *Limit      `parser:"( 'limit':Word @@ )?"`
}

// Limit bounds the number of rows.
type Limit struct {
	Pos  lexer.Position
	Text string `parser:"@Word"`
	Rows int    `parser:""`
}

// Condition compares a field with a value.
type Condition struct {
	Pos   lexer.Position
	Field string `parser:"@Word"`
	Op    string `parser:"@( '=' | '!=' | '<=' | '>=' | '<' | '>' )"`
	Value Value  `parser:"@@"`
}

// Order sorts rows by a field.
type Order struct {
	Pos   lexer.Position
	Field string `parser:"@Word"`
	Desc  bool   `parser:"@'desc':Word?"`
}

// Record is a named record with fields.
type Record struct {
	Target
	Fields []Field `parser:"@@*"`
}

// Target names a record.
type Target struct {
	Pos  lexer.Position
	What string `parser:"@Word"`
	Name Value  `parser:"@@"`
}

// Field sets one field of a record.
type Field struct {
	Pos   lexer.Position
	Name  string `parser:"(?! 'if':Word ) @Word"`
	Value Value  `parser:"@@"`
}

// Value is a word or a quoted text.
type Value struct {
	Pos  lexer.Position
	Text string `parser:"@( Word | String )"`
}

// SyntaxError is an error in a command, with its position.
type SyntaxError struct {
	// Column is the position in characters, from 1; it is one past the end if the
	// command ends too early.
	Column  int
	Message string
	// Code is syntax, or invalid for a well-formed command with an unknown
	// kind, column or field, or with a value of the wrong type.
	Code string
}

// Error returns the message.
func (syntax *SyntaxError) Error() string { return syntax.Message }

var parser = participle.MustBuild[Command](
	participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
		{Name: "Word", Pattern: `[\pL\pN_/+*-][\pL\pM\pN_./:@%+*-]*`},
		{Name: "Op", Pattern: `<=|>=|!=|[=<>]`},
		{Name: "Space", Pattern: `\s+`},
	})),
	participle.Elide("Space"),
	participle.Unquote("String"),
	participle.UseLookahead(2),
)

// fault is an error found after parsing, at a position in the command.
type fault struct {
	at      lexer.Position
	message string
}

// Parse reads one command and checks it against the catalogue of records.
func Parse(text string) (*Command, error) {
	trimmed := strings.TrimRight(text, " \t\r\n;")
	command, err := parser.ParseString("", trimmed)
	if err != nil {
		return nil, syntaxError(trimmed, err)
	}
	if invalid := command.check(); invalid != nil {
		return nil, &SyntaxError{Column: column(trimmed, invalid.at.Offset), Message: invalid.message, Code: CodeInvalid}
	}
	return command, nil
}

func syntaxError(text string, err error) error {
	var failure participle.Error
	if !errors.As(err, &failure) {
		return &SyntaxError{Column: 1, Message: err.Error(), Code: CodeSyntax}
	}
	at := failure.Position().Offset
	return &SyntaxError{Column: column(text, at), Message: describeSyntaxError(text, at, failure.Message()), Code: CodeSyntax}
}

// column converts an offset in bytes to a column in characters, from 1.
func column(text string, offset int) int {
	return utf8.RuneCountInString(text[:min(max(offset, 0), len(text))]) + 1
}

// Codes of command replies that do not come from applying a change on the control
// VMs.
const (
	CodeSyntax      = "syntax"
	CodeInvalid     = "invalid"
	CodeNotFound    = "notFound"
	CodeConflict    = "conflict"
	CodeUnavailable = "unavailable"
)
