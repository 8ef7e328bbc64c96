package bounds

import "fmt"

// SettingError is the error of a number or duration that cannot be used. A process
// can run without it, on the setting's default; addresses and names have no such
// substitute.
type SettingError struct {
	// Setting is the name of the flag.
	Setting string
	// Reason follows the setting in the text of the error.
	Reason string
}

// Error returns the setting, its value and what is allowed.
func (refusal *SettingError) Error() string {
	return "setting --" + refusal.Setting + " " + refusal.Reason
}

func refuse(setting, format string, values ...any) error {
	return &SettingError{Setting: setting, Reason: fmt.Sprintf(format, values...)}
}
