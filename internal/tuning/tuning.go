// Package tuning holds every constant of the program that is not a setting, each with its
// unit and the reason for its value. Durations carry their unit in their type; other units
// stand in the name or in the comment. The files divide the constants by the component that
// uses them.
package tuning
