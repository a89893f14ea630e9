// Package lilacv1 contains the messages exchanged between lilacbridge processes and
// the records that they store. It is generated from the .proto files in this directory
// by "make generate".
package lilacv1
