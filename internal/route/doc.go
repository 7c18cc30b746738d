// Package route holds the pure decisions of the request path: the bounded
// priority queue of a model, the estimate of when a request can be answered,
// and the choice of a replica. It does no I/O and has no clock of its own.
package route
