// Package jobs defines the submissions of jobs and the durable records of jobs: their claimed and
// completed tasks, their final states, and the keys of all records in the key-value store. The JSON
// names are those of the protocol and of the stored records; docs/design.md maps them to the terms
// used here.
package jobs
