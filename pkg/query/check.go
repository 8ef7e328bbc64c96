package query

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/hibiscuslug/hibiscuslug/pkg/wire"
)

var verbs = []string{"show", "create", "alter", "drop", "drain", "undrain", "cancel", "unblock", "evacuate", "restore", "explain", "add", "remove"}

var recordKinds = []string{"customer", "tier", "rule"}

// newFault returns a fault at a position in the command.
func newFault(at lexer.Position, format string, values ...any) *fault {
	return &fault{at: at, message: fmt.Sprintf(format, values...)}
}

// describeSyntaxError replaces or extends the parser's messages that do not say
// what was expected.
func describeSyntaxError(text string, at int, message string) string {
	words := strings.Fields(text)
	switch {
	case len(words) == 0:
		return "empty command; expected one of " + strings.Join(verbs, ", ")
	case !slices.Contains(verbs, words[0]):
		return fmt.Sprintf("%q is no command; expected one of %s", words[0], strings.Join(verbs, ", "))
	case strings.Contains(message, "invalid input text"):
		return "this character does not start a word, quoted text or comparison; quote texts as \"…\""
	case at >= len(text):
		return "command ends too early: " + strings.Replace(message, "unexpected token \"<EOF>\"", "", 1)
	}
	return message
}

// check validates the parsed command against the catalogue.
func (command *Command) check() *fault {
	if invalid := command.checkRevision(); invalid != nil {
		return invalid
	}
	switch {
	case command.Show != nil:
		return command.Show.check()
	case command.Create != nil:
		return command.Create.check()
	case command.Alter != nil:
		return command.Alter.check()
	case command.Drop != nil:
		return command.Drop.check(recordKinds...)
	case command.Drain != nil:
		return command.Drain.check("endpoint")
	case command.Undrain != nil:
		return command.Undrain.check("endpoint")
	case command.Cancel != nil:
		return command.Cancel.check("request")
	case command.Unblock != nil:
		return command.Unblock.check("request")
	case command.Evacuate != nil:
		return command.Evacuate.check("zone")
	case command.Restore != nil:
		return command.Restore.check("zone")
	case command.Explain != nil:
		return command.Explain.check("request")
	case command.Add != nil:
		return command.Add.check("control")
	}
	return command.Remove.check("control")
}

func (command *Command) checkRevision() *fault {
	if command.Condition == nil {
		return nil
	}
	if command.Show != nil || command.Explain != nil || command.Cancel != nil {
		return newFault(command.Condition.Pos, "a revision is allowed only for changes of the configuration, which this command does not make")
	}
	revision, err := strconv.ParseUint(command.Condition.Text, 10, 64)
	if err != nil {
		return newFault(command.Condition.Pos, "%q is not a revision; expected a whole number from 0", command.Condition.Text)
	}
	command.IfRevision = &revision
	return nil
}

func (target *Target) check(allowed ...string) *fault {
	if !slices.Contains(allowed, target.What) {
		return newFault(target.Pos, "%q is not allowed here; expected %s", target.What, strings.Join(allowed, ", "))
	}
	if target.Name.Text == "" {
		return newFault(target.Name.Pos, "the name of the %s is empty", target.What)
	}
	return nil
}

func (record *Record) check() *fault {
	if invalid := record.Target.check(recordKinds...); invalid != nil {
		return invalid
	}
	seen := map[string]bool{}
	for _, field := range record.Fields {
		at := slices.IndexFunc(setters[record.What], func(known Setter) bool { return known.Name == field.Name })
		if at < 0 {
			return newFault(field.Pos, "a %s has no field %q; fields are %s", record.What, field.Name, setterNames(record.What))
		}
		if seen[field.Name] {
			return newFault(field.Pos, "field %q is set twice", field.Name)
		}
		seen[field.Name] = true
		if invalid := setters[record.What][at].check(field.Value); invalid != nil {
			return invalid
		}
	}
	return nil
}

func setterNames(what string) string {
	var names []string
	for _, setter := range setters[what] {
		names = append(names, setter.Name)
	}
	return strings.Join(names, ", ")
}

func (setter Setter) check(value Value) *fault {
	if len(setter.Choices) > 0 && !slices.Contains(setter.Choices, value.Text) {
		return newFault(value.Pos, "%s: %q is not %s", setter.Name, value.Text, strings.Join(setter.Choices, " or "))
	}
	if setter.Type == wire.ColumnType_COLUMN_TYPE_NUMBER {
		if _, err := strconv.ParseInt(value.Text, 10, 32); err != nil {
			return newFault(value.Pos, "%s: %q is not a whole number in range", setter.Name, value.Text)
		}
	}
	return checkValue(setter.Name, setter.Type, value)
}

// checkValue returns a fault if a value cannot be parsed as a column's type.
func checkValue(name string, kind wire.ColumnType, value Value) *fault {
	if _, err := sortValue(kind, value.Text); err != nil {
		return newFault(value.Pos, "%s: %q is not %s", name, value.Text, typeExample(kind))
	}
	return nil
}

func typeExample(kind wire.ColumnType) string {
	switch kind {
	case wire.ColumnType_COLUMN_TYPE_NUMBER:
		return "a number such as 10"
	case wire.ColumnType_COLUMN_TYPE_DURATION:
		return "a duration with its unit such as 250ms, 3s or 5m"
	case wire.ColumnType_COLUMN_TYPE_TIME:
		return "a time such as 2026-01-31T12:00:00Z"
	default:
		return "a word or a quoted text"
	}
}

func (show *Show) check() *fault {
	kind, ok := KindOf(show.What)
	if !ok || show.What == explainKind.Name {
		var names []string
		for _, known := range kinds {
			names = append(names, known.Name)
		}
		return newFault(show.Pos, "%q cannot be shown; expected one of %s", show.What, strings.Join(names, ", "))
	}
	for _, condition := range show.Where {
		_, column, ok := kind.Column(condition.Field)
		if !ok {
			return newFault(condition.Pos, "%s have no field %q; fields are %s", kind.Name, condition.Field, kind.names())
		}
		if invalid := checkValue(column.Name, column.Type, condition.Value); invalid != nil {
			return invalid
		}
	}
	if show.OrderBy != nil {
		if _, _, ok := kind.Column(show.OrderBy.Field); !ok {
			return newFault(show.OrderBy.Pos, "%s have no field %q; fields are %s", kind.Name, show.OrderBy.Field, kind.names())
		}
	}
	return show.checkLimit()
}

func (show *Show) checkLimit() *fault {
	if show.Limit == nil {
		return nil
	}
	rows, err := strconv.Atoi(show.Limit.Text)
	if err != nil || rows < 1 {
		return newFault(show.Limit.Pos, "%q is not a limit; expected a whole number from 1", show.Limit.Text)
	}
	show.Limit.Rows = rows
	return nil
}
