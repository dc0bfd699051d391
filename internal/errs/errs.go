// Package errs annotates errors.
package errs

import "fmt"

// Annotate puts the formatted text before *err if it is not nil. It is meant
// for one deferred call at the top of a function with a named error result, so
// that each function names what it was doing exactly once.
func Annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = fmt.Errorf(format+": %w", append(args, *err)...)
	}
}
