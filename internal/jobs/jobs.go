// Package jobs defines jobs as users submit them and their durable records: which tasks are
// claimed and done, the final states, and the keys of all records in the key-value store. JSON
// names are those of the protocol and of stored records; docs/design.md maps them to the terms
// used here.
package jobs
