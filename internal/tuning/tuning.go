// Package tuning holds every constant of the program that is not a setting, each with its unit
// and, where it is not obvious, the reason for its value. Durations carry their unit in their
// type; other constants have it in the name or in the comment. The constants are divided into
// files by the component that uses them.
package tuning
