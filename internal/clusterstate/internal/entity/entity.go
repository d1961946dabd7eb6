// Package entity defines the objects of the cluster state: jobs, their claimed task ranges,
// machines, and the assignments of tasks to machines.
//
// The methods of the objects are for every package; other packages know the types by the names
// that package clusterstate gives them. The package-level functions change an object in a way
// that other objects, counts or indexes have to follow. They are for clusterstate.State alone,
// which keeps all of these consistent; that is why the package is internal to it.
//
// Nothing here is safe for concurrent use: the actor that owns the State owns all of its
// objects.
package entity
