// Package lilacv1 holds the messages between lilacbridge's own processes,
// generated from the .proto files beside it by "make generate".
package lilacv1
