// Package errs annotates errors.
package errs

import "fmt"

// Annotate wraps *err with the formatted text as a prefix, unless *err is nil. It is
// meant to be deferred once at the top of a function with a named error result, so that
// the function's operation appears exactly once in the error.
func Annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = fmt.Errorf(format+": %w", append(args, *err)...)
	}
}
