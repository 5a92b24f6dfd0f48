package sesameagent

import "fmt"

// InputTooLargeError says that an attempt's input has more than maxInputBytes.
type InputTooLargeError struct {
	// Object is the key of the input in the object store.
	Object string
}

// Error names the object and the limit.
func (e *InputTooLargeError) Error() string {
	return fmt.Sprintf("input %q has more than %d bytes", e.Object, maxInputBytes)
}
