// Package entity defines the objects of the cluster state: jobs, their claimed task ranges,
// machines, and the assignments of tasks to machines.
//
// The methods of the objects may be called from every package; other packages refer to the types by
// their aliases in package clusterstate. The package-level functions change an object in a way that
// requires changes to other objects, counts or indexes. Only clusterstate.State may call them, since
// it keeps all of these consistent; therefore the package is internal to clusterstate.
//
// Nothing in this package is safe for concurrent use: the actor that owns the State also owns all its
// objects.
package entity
